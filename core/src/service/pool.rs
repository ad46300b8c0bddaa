//! Scheduler for the statement slots and connections of a service's members. It does no I/O.
//!
//! A running statement occupies a slot of a member and uses a connection that was opened for its
//! tenant. The order of waiting statements is that of [`WaitQueue`].

pub mod admission;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use crate::admission::wait_queue::WaitQueue;
use crate::log_position::LogPosition;
use crate::member::MemberEntry;
use crate::member::MemberKey;
use crate::member::MemberStatus;
use crate::name::Name;
use crate::service::connection::Connection;
use crate::service::service_times::ServiceTimes;

/// Connections of each member that the pool does not use: one for the owner's probes, and one for
/// another node that checks whether it can reach the member.
const RESERVED_CONNECTIONS: usize = 2;

/// Time for which a replica that lagged behind a read gets no reads beyond its reported position,
/// in milliseconds. Replicas apply commits within a few times this unless they are far behind.
const LAG_MEMORY_MS: u64 = 100;

/// Time for which no new connection to a member is opened after an attempt failed, in milliseconds:
/// the member may have no connections left.
const CONNECT_PAUSE_MS: u64 = 150;

/// Penalties in the choice of a member for a read, in tenths of its slots: for a connection that
/// must be opened first, for the primary, whose slots writes need, and for another data centre,
/// since bandwidth between data centres is scarce. A replica elsewhere is chosen once the primary
/// next door has more than half of its slots in use.
const NEW_CONNECTION_PENALTY: usize = 4;
const PRIMARY_PENALTY: usize = 3;
const REMOTE_PENALTY: usize = 8;

/// Window of the rate limit for statements at a cold member, one that is still warming up, in
/// milliseconds.
const COLD_WINDOW_MS: u64 = 1_000;

/// Members that may run a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotTarget {
    /// The primary.
    Primary,
    /// Any member whose log may include `floor`. A replica refuses the read if it does not.
    Reader {
        /// Smallest log position that the read must include.
        floor: LogPosition,
        /// Member on which the last attempt failed; used only if the service has no other.
        excluded: Option<MemberKey>,
    },
    /// The member of an open transaction, which already holds a connection.
    Transaction(MemberKey),
}

/// Requirements of a statement that waits for a slot.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Members that may run it.
    pub target: SlotTarget,
    /// Tenant that the connection must be opened for.
    pub tenant: Name,
    /// Name of the route, which stands for statements of similar cost.
    pub route: Name,
    /// Time at which its latency objective ends, in milliseconds.
    pub objective_at_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u32,
}

/// A granted slot, and an idle connection if there was one.
pub struct Grant<Conn> {
    /// Member that runs the statement.
    pub member: Arc<MemberEntry>,
    /// Name of the statement's route.
    pub route: Name,
    /// Permit for writes, if it is the primary.
    pub write_permit: Option<WritePermit>,
    /// Idle connection of the tenant. If it is `None`, the caller opens one, unless it uses the
    /// connection of an open transaction.
    pub connection: Option<Conn>,
    /// Whether the pool counts a connection for this grant: the idle one, or the one to be opened.
    pub is_counted: bool,
    /// Cancelled when a probe of the member fails, or when the member is no longer listed.
    pub down: CancellationToken,
}

/// Permit to write at the primary. It ends when that primary is about to be replaced, and a write
/// that is sent or acknowledged after that could be missing from the log of its successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WritePermit {
    member: MemberKey,
    epoch: u64,
}

/// State of a member in the pool.
pub struct PoolMember<Conn> {
    /// Entry from service discovery.
    pub entry: Arc<MemberEntry>,
    /// Whether it gets no new work: it is draining, or its data centre is evacuated.
    pub must_leave: bool,
    /// Replication state that it last reported.
    pub status: Option<MemberStatus>,
    /// Log position that it last reported to a probe, or a newer one from a reply since then.
    pub position: LogPosition,
    /// Time at which it last reported a log position.
    pub position_at_ms: u64,
    /// Time of its last reply of any kind.
    pub answered_at_ms: u64,
    /// Time since which it has been suspected of having failed.
    pub failing_since_ms: Option<u64>,
    /// Whether the connection of the last probe was refused or closed, or reached another process.
    pub is_refused: bool,
    /// Whether the last order to promote it was refused or had no effect.
    pub is_unpromotable: bool,
    /// Number of running statements.
    pub in_flight: usize,
    /// Time since which statements have been running without any of them ending.
    pub busy_since_ms: u64,
    down: CancellationToken,
    open_connections: usize,
    idle_connections: Vec<Conn>,
    no_connect_until_ms: u64,
    lagged_at_ms: Option<u64>,
    cold_until_ms: u64,
    cold_grants: VecDeque<u64>,
}

/// Members and their connections, and the waiting statements, of one service.
pub struct Pool<Conn> {
    members: BTreeMap<MemberKey, PoolMember<Conn>>,
    waiting: BTreeMap<u64, SlotRequest>,
    queue: WaitQueue,
    primary: Option<MemberKey>,
    primary_since_ms: u64,
    write_epoch: u64,
    is_primary_paused: bool,
    max_connections: usize,
    cold_per_s: f64,
    zone: Name,
    service_times: ServiceTimes,
}

impl<Conn> Pool<Conn> {
    /// Creates a pool for an owner in data centre `zone`, whose members are preferred for reads.
    pub fn new(zone: Name) -> Self {
        Self {
            zone,
            members: BTreeMap::new(),
            waiting: BTreeMap::new(),
            queue: WaitQueue::default(),
            primary: None,
            primary_since_ms: 0,
            write_epoch: 0,
            is_primary_paused: false,
            max_connections: RESERVED_CONNECTIONS + 1,
            cold_per_s: 0.0,
            service_times: ServiceTimes::default(),
        }
    }
}

impl<Conn> Pool<Conn>
where
    Conn: Connection,
{
    /// Sets the connection limit per member and the rate limit for statements at a cold member; a
    /// rate of 0 means no limit.
    pub fn set_limits(&mut self, max_connections: usize, cold_per_s: f64) {
        self.max_connections = max_connections.max(RESERVED_CONNECTIONS + 1);
        self.cold_per_s = cold_per_s;
    }

    /// Replaces the list of members. Returns the connections to close.
    pub fn set_members(
        &mut self,
        now_ms: u64,
        entries: Vec<MemberEntry>,
        evacuated: &dyn Fn(&str) -> bool,
    ) -> Vec<Conn> {
        let mut surplus = Vec::new();
        let listed: BTreeSet<MemberKey> = entries.iter().map(|entry| entry.key.clone()).collect();
        self.members.retain(|key, member| {
            let stays = listed.contains(key);
            if !stays {
                member.down.cancel();
                surplus.append(&mut member.idle_connections);
            }
            stays
        });
        self.service_times.retain_members(&listed);
        for entry in entries {
            let must_leave = entry.is_draining || evacuated(&entry.zone);
            let cold_until_ms = now_ms.saturating_add(entry.cold_ms);
            let entry = Arc::new(entry);
            let member = self.members.entry(entry.key.clone()).or_insert_with(|| {
                let entry = entry.clone();
                PoolMember {
                    entry,
                    must_leave,
                    status: None,
                    position: LogPosition::default(),
                    position_at_ms: 0,
                    answered_at_ms: 0,
                    failing_since_ms: None,
                    is_refused: false,
                    is_unpromotable: false,
                    in_flight: 0,
                    busy_since_ms: 0,
                    down: CancellationToken::new(),
                    open_connections: 0,
                    idle_connections: Vec::new(),
                    no_connect_until_ms: 0,
                    lagged_at_ms: None,
                    cold_until_ms: 0,
                    cold_grants: VecDeque::new(),
                }
            });
            member.cold_until_ms = if entry.cold_ms > 0 { cold_until_ms } else { 0 };
            member.entry = entry;
            member.must_leave = must_leave;
            if must_leave {
                member.open_connections -=
                    member.idle_connections.len().min(member.open_connections);
                surplus.append(&mut member.idle_connections);
            }
        }
        surplus
    }

    /// Returns all members by key.
    pub fn members(&self) -> &BTreeMap<MemberKey, PoolMember<Conn>> {
        &self.members
    }

    /// Returns the primary in use.
    pub fn primary(&self) -> Option<&MemberKey> {
        self.primary.as_ref()
    }

    /// Returns the time since which the present primary is in use.
    pub fn primary_since_ms(&self) -> u64 {
        self.primary_since_ms
    }

    /// Sets the primary in use from `now_ms` on. A change revokes the permits for writes.
    pub fn set_primary(&mut self, now_ms: u64, primary: Option<MemberKey>) {
        if self.primary != primary {
            self.primary_since_ms = now_ms;
            self.revoke_write_permits();
            if primary.is_some() {
                self.members.values_mut().for_each(|member| member.is_unpromotable = false);
            }
        }
        self.primary = primary;
    }

    /// Revokes all permits for writes that were given so far.
    pub fn revoke_write_permits(&mut self) {
        self.write_epoch += 1;
    }

    /// Returns whether a write with this permit may still be sent and acknowledged.
    pub fn is_permitted(&self, permit: &WritePermit) -> bool {
        permit.epoch == self.write_epoch && self.primary.as_ref() == Some(&permit.member)
    }

    /// Stops or resumes granting new work at the primary. Open transactions continue.
    pub fn set_primary_paused(&mut self, is_paused: bool) {
        self.is_primary_paused = is_paused;
    }

    /// Returns the number of waiting statements.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the measured service times.
    pub fn service_times(&self) -> &ServiceTimes {
        &self.service_times
    }

    /// Records the time that a member took for a statement of a route, in microseconds.
    pub fn record_service_time(
        &mut self,
        now_ms: u64,
        key: &MemberKey,
        route: &Name,
        took_us: u64,
    ) {
        if self.members.contains_key(key) {
            self.service_times.record(now_ms, key, route, took_us as f64 / 1_000.0);
        }
    }

    /// Returns the numbers of open and of idle connections of a member.
    pub fn connections(&self, key: &MemberKey) -> (usize, usize) {
        self.members
            .get(key)
            .map_or((0, 0), |member| (member.open_connections, member.idle_connections.len()))
    }

    fn select_member(&self, now_ms: u64, request: &SlotRequest) -> Option<MemberKey> {
        match &request.target {
            SlotTarget::Transaction(key) => {
                let member = self.members.get(key)?;
                (member.in_flight < member.entry.slots).then(|| key.clone())
            }
            SlotTarget::Primary => {
                let key = self.primary.as_ref().filter(|_| !self.is_primary_paused)?;
                self.can_accept(now_ms, key, &request.tenant).then(|| key.clone())
            }
            SlotTarget::Reader { floor, excluded } => {
                let candidates = self.members.iter().filter(|(key, member)| {
                    let is_primary = self.primary.as_ref() == Some(key);
                    (excluded.as_ref() != Some(key) || self.members.len() == 1)
                        && (is_primary || member.may_include(now_ms, *floor))
                        && (!is_primary || !self.is_primary_paused)
                        && self.can_accept(now_ms, key, &request.tenant)
                });
                // The load in tenths of the slots, plus penalties.
                let best = candidates.min_by_key(|(key, member)| {
                    let is_primary = self.primary.as_ref() == Some(key);
                    let needs_connection = !member.has_idle(&request.tenant);
                    let load = member.in_flight * 10 / member.entry.slots.max(1);
                    let is_remote = member.entry.zone != self.zone;
                    load + usize::from(needs_connection) * NEW_CONNECTION_PENALTY
                        + usize::from(is_primary) * PRIMARY_PENALTY
                        + usize::from(is_remote) * REMOTE_PENALTY
                });
                best.map(|(key, _)| key.clone())
            }
        }
    }

    fn can_accept(&self, now_ms: u64, key: &MemberKey, tenant: &Name) -> bool {
        let Some(member) = self.members.get(key) else { return false };
        let has_connection = member.has_idle(tenant)
            || (now_ms >= member.no_connect_until_ms
                && (member.open_connections < self.connection_limit()
                    || !member.idle_connections.is_empty()));
        !member.must_leave
            && member.failing_since_ms.is_none()
            && member.in_flight < member.entry.slots
            && has_connection
            && self.may_grant_cold(now_ms, member)
    }

    fn connection_limit(&self) -> usize {
        self.max_connections - RESERVED_CONNECTIONS
    }

    /// Returns the number of open connections to a member above which a connection is closed each
    /// time that one is returned. The rest of the limit is left for the next owner, because members
    /// keep the connections of an unreachable owner open for seconds.
    fn retained_limit(&self) -> usize {
        (self.connection_limit() * 2 / 3).max(1)
    }

    fn may_grant_cold(&self, now_ms: u64, member: &PoolMember<Conn>) -> bool {
        if self.cold_per_s <= 0.0 || now_ms >= member.cold_until_ms {
            return true;
        }
        let is_recent = |at_ms: &&u64| **at_ms + COLD_WINDOW_MS > now_ms;
        let recent = member.cold_grants.iter().filter(is_recent).count();
        (recent as f64) < self.cold_per_s
    }

    fn grant(
        &mut self,
        now_ms: u64,
        key: &MemberKey,
        request: &SlotRequest,
        surplus: &mut Vec<Conn>,
    ) -> Option<Grant<Conn>> {
        let limit = self.connection_limit();
        let is_primary = self.primary.as_ref() == Some(key);
        let write_permit =
            is_primary.then(|| WritePermit { member: key.clone(), epoch: self.write_epoch });
        let member = self.members.get_mut(key)?;
        if member.in_flight == 0 {
            member.busy_since_ms = now_ms;
        }
        member.in_flight += 1;
        if now_ms < member.cold_until_ms {
            member.cold_grants.push_back(now_ms);
            while member.cold_grants.front().is_some_and(|at| at + COLD_WINDOW_MS <= now_ms) {
                member.cold_grants.pop_front();
            }
        }
        let connection = match &request.target {
            SlotTarget::Transaction(_) => None,
            _ => member.take_idle(&request.tenant),
        };
        let is_counted = !matches!(request.target, SlotTarget::Transaction(_));
        if connection.is_none() && is_counted {
            if member.open_connections >= limit && !member.idle_connections.is_empty() {
                surplus.push(member.idle_connections.remove(0));
                member.open_connections -= 1;
            }
            member.open_connections += 1;
        }
        let grant = Grant {
            member: member.entry.clone(),
            route: request.route.clone(),
            write_permit,
            connection,
            is_counted,
            down: member.down.clone(),
        };
        Some(grant)
    }

    /// Frees a slot whose statement has ended.
    pub fn release_slot(&mut self, now_ms: u64, key: &MemberKey) {
        if let Some(member) = self.members.get_mut(key) {
            member.in_flight = member.in_flight.saturating_sub(1);
            member.busy_since_ms = now_ms;
        }
        self.queue.released(now_ms);
    }

    /// Puts a connection back into the pool. Returns one to close if there are too many, or if the
    /// member must leave or is no longer listed.
    pub fn return_connection(&mut self, key: &MemberKey, connection: Conn) -> Option<Conn> {
        let limit = self.retained_limit();
        let Some(member) = self.members.get_mut(key) else { return Some(connection) };
        if member.must_leave {
            member.open_connections = member.open_connections.saturating_sub(1);
            return Some(connection);
        }
        member.idle_connections.push(connection);
        if member.open_connections <= limit {
            return None;
        }
        member.open_connections -= 1;
        Some(member.idle_connections.remove(0))
    }

    /// Removes all idle connections from the pool and returns them.
    pub fn take_all_idle(&mut self) -> Vec<Conn> {
        let mut taken = Vec::new();
        for member in self.members.values_mut() {
            member.open_connections =
                member.open_connections.saturating_sub(member.idle_connections.len());
            taken.append(&mut member.idle_connections);
        }
        taken
    }

    /// Stops counting a connection that was closed or never opened.
    pub fn connection_closed(&mut self, key: &MemberKey) {
        if let Some(member) = self.members.get_mut(key) {
            member.open_connections = member.open_connections.saturating_sub(1);
        }
    }

    /// Opens no new connections to a member for `CONNECT_PAUSE_MS`.
    pub fn pause_connecting(&mut self, now_ms: u64, key: &MemberKey) {
        if let Some(member) = self.members.get_mut(key) {
            member.no_connect_until_ms = now_ms + CONNECT_PAUSE_MS;
        }
    }

    /// Records a reply, with the log position if it had one.
    pub fn record_reply(&mut self, now_ms: u64, key: &MemberKey, position: Option<LogPosition>) {
        if let Some(member) = self.members.get_mut(key) {
            member.answered_at_ms = now_ms;
            if let Some(position) = position {
                member.position = position.max(member.position);
                member.position_at_ms = now_ms;
            }
        }
    }

    /// Records that a replica's log did not include a required position.
    pub fn record_lag(&mut self, now_ms: u64, key: &MemberKey) {
        if let Some(member) = self.members.get_mut(key) {
            member.lagged_at_ms = Some(now_ms);
        }
    }

    /// Marks a member as suspected of having failed. Returns false if it already was or is not
    /// listed.
    pub fn suspect(&mut self, now_ms: u64, key: &MemberKey) -> bool {
        let Some(member) = self.members.get_mut(key) else { return false };
        if member.failing_since_ms.is_some() {
            return false;
        }
        member.failing_since_ms = Some(now_ms);
        true
    }

    /// Records that an order to promote a member was refused or had no effect, and forgets that of
    /// all others.
    pub fn mark_unpromotable(&mut self, key: &MemberKey) {
        for (member_key, member) in &mut self.members {
            member.is_unpromotable = member_key == key;
        }
    }

    /// Records a failed probe and interrupts the exchanges that may be abandoned. Returns the
    /// connections to close.
    pub fn record_probe_failure(
        &mut self,
        now_ms: u64,
        key: &MemberKey,
        is_refused: bool,
    ) -> Vec<Conn> {
        let Some(member) = self.members.get_mut(key) else { return Vec::new() };
        member.failing_since_ms.get_or_insert(now_ms);
        member.is_refused = is_refused;
        member.down.cancel();
        member.open_connections =
            member.open_connections.saturating_sub(member.idle_connections.len());
        std::mem::take(&mut member.idle_connections)
    }

    /// Records that a probe was answered, with the replication state if the member reported it.
    pub fn record_status(&mut self, now_ms: u64, key: &MemberKey, status: Option<MemberStatus>) {
        let Some(member) = self.members.get_mut(key) else { return };
        member.answered_at_ms = now_ms;
        member.failing_since_ms = None;
        member.is_refused = false;
        if member.down.is_cancelled() {
            member.down = CancellationToken::new();
        }
        if let Some(status) = status {
            member.status = Some(status);
            member.position = status.position;
            member.position_at_ms = now_ms;
        }
    }
}

impl<Conn> PoolMember<Conn>
where
    Conn: Connection,
{
    fn has_idle(&self, tenant: &Name) -> bool {
        self.idle_connections.iter().any(|connection| connection.tenant() == tenant)
    }

    fn take_idle(&mut self, tenant: &Name) -> Option<Conn> {
        let position =
            self.idle_connections.iter().rposition(|connection| connection.tenant() == tenant)?;
        Some(self.idle_connections.remove(position))
    }

    fn may_include(&self, now_ms: u64, floor: LogPosition) -> bool {
        self.status.is_some()
            && (self.position >= floor
                || self.lagged_at_ms.is_none_or(|at_ms| now_ms >= at_ms + LAG_MEMORY_MS))
    }
}
