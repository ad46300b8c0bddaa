//! Scheduler for the statement slots and connections of a service's members. It does no I/O.
//!
//! A running statement occupies a slot of a member and uses a connection that was opened for its
//! tenant. The order of waiting statements is that of [`WaitQueue`].

pub mod admission;

mod connections;
mod pool_member;
mod selection;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio_util::sync::CancellationToken;

use crate::admission::wait_queue::WaitQueue;
use crate::log_position::LogPosition;
use crate::member::MemberEntry;
use crate::member::MemberKey;
use crate::member::MemberStatus;
use crate::name::Name;
use crate::service::connection::Connection;
pub use crate::service::pool::pool_member::PoolMember;
use crate::service::service_times::ServiceTimes;

/// Connections of each member that the pool does not use: one for the owner's probes, and one for
/// another node that checks whether it can reach the member.
const RESERVED_CONNECTIONS: usize = 2;

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
    /// Whether the caller is expected to open a connection, which the pool counts as being opened.
    pub is_opening: bool,
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
    /// Breaks ties between members. Choosing a member leaves the rest of the pool as it is.
    random: RefCell<SmallRng>,
}

impl<Conn> Pool<Conn> {
    /// Creates a pool for an owner in data centre `zone`, whose members are preferred for reads.
    pub fn new(zone: Name) -> Self {
        Self::with_seed(zone, 0)
    }

    /// Creates a pool whose random choices depend on `seed`.
    pub fn with_seed(zone: Name, seed: u64) -> Self {
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
            random: RefCell::new(SmallRng::seed_from_u64(seed)),
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
            let member = self
                .members
                .entry(entry.key.clone())
                .or_insert_with(|| PoolMember::new(entry.clone()));
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
