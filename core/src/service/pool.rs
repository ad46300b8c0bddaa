//! Slots and connections of a service's members, free of input and output.
//!
//! A statement needs a slot of a member while it runs, and a connection that belongs to its
//! tenant. Waiting statements are served by what is left of their objective.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use crate::log_position::LogPosition;
use crate::member::MemberEntry;
use crate::member::MemberKey;
use crate::member::MemberStatus;
use crate::name::Name;
use crate::service::connection::Connection;

/// Connections of each member that are left to other purposes: the owner's own probe, and one for
/// a node that checks whether it reaches the member.
const RESERVED_CONNECTIONS: usize = 2;

/// Time for which a replica is taken to lag after it was seen to, in milliseconds: replicas apply
/// commits within a few times this unless they are far behind.
const LAG_MEMORY_MS: u64 = 100;

/// Time without new connections after a member had none left, in milliseconds.
const CONNECT_PAUSE_MS: u64 = 150;

/// Window in which statements at a cold member are counted, in milliseconds.
const COLD_WINDOW_MS: u64 = 1_000;

/// Which member a statement needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Need {
    /// The primary.
    Primary,
    /// Any member whose log includes a position, except one that has just failed.
    Reader {
        /// The position.
        floor: LogPosition,
        /// The member to avoid.
        except: Option<MemberKey>,
    },
    /// The member at which the transaction is open; it has a connection already.
    Lane(MemberKey),
}

/// A waiting statement.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Which member it needs.
    pub need: Need,
    /// Tenant of the connection.
    pub tenant: Name,
    /// End of its latency objective.
    pub objective_at_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u32,
}

/// A slot, and possibly a connection.
pub struct Grant<Conn> {
    /// The member.
    pub member: Arc<MemberEntry>,
    /// Whether it is the primary.
    pub is_primary: bool,
    /// A connection of the tenant's; if there is none, one may be opened.
    pub connection: Option<Conn>,
    /// Cancelled when the member is found not to answer.
    pub down: CancellationToken,
}

/// What is known of a member.
pub struct PoolMember<Conn> {
    /// As service discovery lists it.
    pub entry: Arc<MemberEntry>,
    /// Whether it must get no new work.
    pub must_leave: bool,
    /// Its last account of itself.
    pub status: Option<MemberStatus>,
    /// Newest position that it has told.
    pub position: LogPosition,
    /// When it last answered anything.
    pub answered_at_ms: u64,
    /// Since when it has been in doubt, if it is.
    pub failing_since_ms: Option<u64>,
    /// Whether the last probe found nobody listening.
    pub is_refused: bool,
    /// Statements under way.
    pub in_flight: usize,
    /// Since when statements have been under way without an end to any.
    pub busy_since_ms: u64,
    down: CancellationToken,
    open: usize,
    idle: Vec<Conn>,
    no_connect_until_ms: u64,
    lagged_at_ms: Option<u64>,
    cold_until_ms: u64,
    cold_grants: VecDeque<u64>,
}

/// Members, connections and waiting statements of one service.
pub struct Pool<Conn> {
    members: BTreeMap<MemberKey, PoolMember<Conn>>,
    waiting: BTreeMap<u64, SlotRequest>,
    next_ticket: u64,
    primary: Option<MemberKey>,
    is_primary_held: bool,
    max_connections: usize,
    cold_per_s: f64,
    zone: Name,
}

impl<Conn> Pool<Conn> {
    /// Creates a pool for an owner in a data centre; its own members are preferred for reads.
    pub fn new(zone: Name) -> Self {
        Self {
            zone,
            members: BTreeMap::new(),
            waiting: BTreeMap::new(),
            next_ticket: 0,
            primary: None,
            is_primary_held: false,
            max_connections: RESERVED_CONNECTIONS + 1,
            cold_per_s: 0.0,
        }
    }
}

impl<Conn> Pool<Conn>
where
    Conn: Connection,
{
    /// Applies limits from the configuration.
    pub fn set_limits(&mut self, max_connections: usize, cold_per_s: f64) {
        self.max_connections = max_connections.max(RESERVED_CONNECTIONS + 1);
        self.cold_per_s = cold_per_s;
    }

    /// Applies the list of members. Returns connections to close.
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
                surplus.append(&mut member.idle);
            }
            stays
        });
        for entry in entries {
            let must_leave = entry.is_draining || evacuated(&entry.zone);
            let cold_until_ms = now_ms + entry.cold_ms;
            let entry = Arc::new(entry);
            let member = self.members.entry(entry.key.clone()).or_insert_with(|| {
                let entry = entry.clone();
                PoolMember {
                    entry,
                    must_leave,
                    status: None,
                    position: LogPosition::default(),
                    answered_at_ms: 0,
                    failing_since_ms: None,
                    is_refused: false,
                    in_flight: 0,
                    busy_since_ms: 0,
                    down: CancellationToken::new(),
                    open: 0,
                    idle: Vec::new(),
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
                member.open -= member.idle.len().min(member.open);
                surplus.append(&mut member.idle);
            }
        }
        surplus
    }

    /// Returns the members.
    pub fn members(&self) -> &BTreeMap<MemberKey, PoolMember<Conn>> {
        &self.members
    }

    /// Returns the primary.
    pub fn primary(&self) -> Option<&MemberKey> {
        self.primary.as_ref()
    }

    /// Changes the primary.
    pub fn set_primary(&mut self, primary: Option<MemberKey>) {
        self.primary = primary;
    }

    /// Holds back new work for the primary, or lets it go on.
    pub fn hold_primary(&mut self, is_held: bool) {
        self.is_primary_held = is_held;
    }

    /// Returns how many statements wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the connections of a member: all, and those at rest.
    pub fn connections(&self, key: &MemberKey) -> (usize, usize) {
        self.members.get(key).map_or((0, 0), |member| (member.open, member.idle.len()))
    }

    /// Adds a waiting statement.
    pub fn enqueue(&mut self, request: SlotRequest) -> u64 {
        self.next_ticket += 1;
        self.waiting.insert(self.next_ticket, request);
        self.next_ticket
    }

    /// Removes a waiting statement. Returns whether it still waited.
    pub fn cancel(&mut self, ticket: u64) -> bool {
        self.waiting.remove(&ticket).is_some()
    }

    /// Grants what can be granted. Returns grants with their tickets, and connections to close.
    pub fn pump(&mut self, now_ms: u64) -> (Vec<(u64, Grant<Conn>)>, Vec<Conn>) {
        let mut grants = Vec::new();
        let mut surplus = Vec::new();
        if self.waiting.is_empty() {
            return (grants, surplus);
        }
        let mut order: Vec<(bool, bool, u64, u32, u64)> = self
            .waiting
            .iter()
            .map(|(ticket, request)| {
                let is_new = !matches!(request.need, Need::Lane(_));
                let is_late = now_ms > request.objective_at_ms;
                (is_new, is_late, request.objective_at_ms, request.priority, *ticket)
            })
            .collect();
        order.sort_unstable();
        for (.., ticket) in order {
            let Some(request) = self.waiting.get(&ticket) else { continue };
            let Some(key) = self.choose(now_ms, request) else { continue };
            let Some(request) = self.waiting.remove(&ticket) else { continue };
            if let Some(grant) = self.grant(now_ms, &key, &request, &mut surplus) {
                grants.push((ticket, grant));
            }
        }
        (grants, surplus)
    }

    fn choose(&self, now_ms: u64, request: &SlotRequest) -> Option<MemberKey> {
        match &request.need {
            Need::Lane(key) => {
                let member = self.members.get(key)?;
                (member.in_flight < member.entry.slots).then(|| key.clone())
            }
            Need::Primary => {
                let key = self.primary.as_ref().filter(|_| !self.is_primary_held)?;
                self.can_take(now_ms, key, &request.tenant).then(|| key.clone())
            }
            Need::Reader { floor, except } => {
                let candidates = self.members.iter().filter(|(key, member)| {
                    let is_primary = self.primary.as_ref() == Some(key);
                    (except.as_ref() != Some(key) || self.members.len() == 1)
                        && (is_primary || member.may_include(now_ms, *floor))
                        && (!is_primary || !self.is_primary_held)
                        && self.can_take(now_ms, key, &request.tenant)
                });
                let best = candidates.min_by_key(|(key, member)| {
                    let is_primary = self.primary.as_ref() == Some(key);
                    let needs_connection = !member.has_idle(&request.tenant);
                    let load = member.in_flight * 10 / member.entry.slots.max(1);
                    let is_remote = member.entry.zone != self.zone;
                    load + usize::from(needs_connection) * 4
                        + usize::from(is_primary) * 3
                        + usize::from(is_remote) * 4
                });
                best.map(|(key, _)| key.clone())
            }
        }
    }

    fn can_take(&self, now_ms: u64, key: &MemberKey, tenant: &Name) -> bool {
        let Some(member) = self.members.get(key) else { return false };
        let has_connection = member.has_idle(tenant)
            || (now_ms >= member.no_connect_until_ms
                && (member.open < self.connection_limit() || !member.idle.is_empty()));
        !member.must_leave
            && member.failing_since_ms.is_none()
            && member.in_flight < member.entry.slots
            && has_connection
            && self.is_warm(now_ms, member)
    }

    fn connection_limit(&self) -> usize {
        self.max_connections - RESERVED_CONNECTIONS
    }

    /// Connections that stay open at rest. The others are left to a next owner: those of one that
    /// went dark linger at the members for seconds.
    fn rest_limit(&self) -> usize {
        (self.connection_limit() * 2 / 3).max(1)
    }

    fn is_warm(&self, now_ms: u64, member: &PoolMember<Conn>) -> bool {
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
        let connection = match &request.need {
            Need::Lane(_) => None,
            _ => member.take_idle(&request.tenant),
        };
        if connection.is_none() && !matches!(request.need, Need::Lane(_)) {
            if member.open >= limit && !member.idle.is_empty() {
                surplus.push(member.idle.remove(0));
                member.open -= 1;
            }
            member.open += 1;
        }
        let grant = Grant {
            member: member.entry.clone(),
            is_primary,
            connection,
            down: member.down.clone(),
        };
        Some(grant)
    }

    /// Gives a slot back.
    pub fn end_slot(&mut self, now_ms: u64, key: &MemberKey) {
        if let Some(member) = self.members.get_mut(key) {
            member.in_flight = member.in_flight.saturating_sub(1);
            member.busy_since_ms = now_ms;
        }
    }

    /// Gives a connection back. Returns one to close, if there are too many.
    pub fn give_back(&mut self, key: &MemberKey, connection: Conn) -> Option<Conn> {
        let limit = self.rest_limit();
        let Some(member) = self.members.get_mut(key) else { return Some(connection) };
        if member.must_leave {
            member.open = member.open.saturating_sub(1);
            return Some(connection);
        }
        member.idle.push(connection);
        if member.open <= limit {
            return None;
        }
        member.open -= 1;
        Some(member.idle.remove(0))
    }

    /// Takes all connections at rest out of the pool.
    pub fn take_all_idle(&mut self) -> Vec<Conn> {
        let mut taken = Vec::new();
        for member in self.members.values_mut() {
            member.open = member.open.saturating_sub(member.idle.len());
            taken.append(&mut member.idle);
        }
        taken
    }

    /// Takes note that a connection is gone.
    pub fn connection_ended(&mut self, key: &MemberKey) {
        if let Some(member) = self.members.get_mut(key) {
            member.open = member.open.saturating_sub(1);
        }
    }

    /// Takes note that a member has no connection left.
    pub fn connection_refused(&mut self, now_ms: u64, key: &MemberKey) {
        if let Some(member) = self.members.get_mut(key) {
            member.no_connect_until_ms = now_ms + CONNECT_PAUSE_MS;
        }
    }

    /// Takes note of an answer.
    pub fn answered(&mut self, now_ms: u64, key: &MemberKey, position: Option<LogPosition>) {
        if let Some(member) = self.members.get_mut(key) {
            member.answered_at_ms = now_ms;
            member.position = position.unwrap_or(member.position).max(member.position);
        }
    }

    /// Takes note that a replica lacks a position.
    pub fn lagged(&mut self, now_ms: u64, key: &MemberKey) {
        if let Some(member) = self.members.get_mut(key) {
            member.lagged_at_ms = Some(now_ms);
        }
    }

    /// Takes note that a member may not answer. Returns whether that is news.
    pub fn doubt(&mut self, now_ms: u64, key: &MemberKey) -> bool {
        let Some(member) = self.members.get_mut(key) else { return false };
        if member.failing_since_ms.is_some() {
            return false;
        }
        member.failing_since_ms = Some(now_ms);
        true
    }

    /// Takes note that a probe failed. Returns connections to close.
    pub fn probe_failed(&mut self, now_ms: u64, key: &MemberKey, is_refused: bool) -> Vec<Conn> {
        let Some(member) = self.members.get_mut(key) else { return Vec::new() };
        member.failing_since_ms.get_or_insert(now_ms);
        member.is_refused = is_refused;
        member.down.cancel();
        member.open = member.open.saturating_sub(member.idle.len());
        std::mem::take(&mut member.idle)
    }

    /// Takes note of a member's account of itself.
    pub fn probed(&mut self, now_ms: u64, key: &MemberKey, status: Option<MemberStatus>) {
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
        }
    }
}

impl<Conn> PoolMember<Conn>
where
    Conn: Connection,
{
    fn has_idle(&self, tenant: &Name) -> bool {
        self.idle.iter().any(|connection| connection.tenant() == tenant)
    }

    fn take_idle(&mut self, tenant: &Name) -> Option<Conn> {
        let position = self.idle.iter().rposition(|connection| connection.tenant() == tenant)?;
        Some(self.idle.remove(position))
    }

    fn may_include(&self, now_ms: u64, floor: LogPosition) -> bool {
        self.status.is_some()
            && (self.position >= floor
                || self.lagged_at_ms.is_none_or(|at_ms| now_ms >= at_ms + LAG_MEMORY_MS))
    }
}
