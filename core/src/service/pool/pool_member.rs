//! State of a member in the pool.

use std::collections::VecDeque;
use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use crate::log_position::LogPosition;
use crate::member::MemberEntry;
use crate::member::MemberStatus;
use crate::name::Name;
use crate::service::connection::Connection;
use crate::service::connection_retention::ConnectionRetention;
use crate::service::connection_retention::may_open;
use crate::service::member_load::MemberLoad;
use crate::service::usable_slots::UsableSlots;

/// Time for which a replica that lagged behind a read gets no reads beyond its reported position,
/// in milliseconds. Replicas apply commits within a few times this unless they are far behind.
const LAG_MEMORY_MS: u64 = 100;

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
    /// Number of running statements, connections that are being opened for one included.
    pub in_flight: usize,
    /// Number of idle connections that were closed to make room for others.
    pub evicted_connections: u64,
    /// Number of the owner's probes that are running.
    pub probes: usize,
    /// Time since which statements have been running without any of them ending.
    pub busy_since_ms: u64,
    /// Time at which it was last given a statement.
    pub(super) granted_at_ms: u64,
    pub(super) down: CancellationToken,
    pub(super) open_connections: usize,
    pub(super) idle_connections: Vec<Conn>,
    pub(super) no_connect_until_ms: u64,
    pub(super) lagged_at_ms: Option<u64>,
    pub(super) cold_until_ms: u64,
    pub(super) cold_grants: VecDeque<u64>,
    pub(super) retention: ConnectionRetention,
    /// Number of connections at which the member refused another one, and the end of the time for
    /// which no more are opened.
    pub(super) refused_above: Option<(usize, u64)>,
    /// Whether it was an outlier when that was last asked.
    pub(super) was_outlier: bool,
    pub(super) load: MemberLoad,
    pub(super) usable_slots: UsableSlots,
}

impl<Conn> PoolMember<Conn> {
    /// Creates the state of a member that has just been listed.
    pub(super) fn new(entry: Arc<MemberEntry>) -> Self {
        Self {
            entry,
            must_leave: false,
            status: None,
            position: LogPosition::default(),
            position_at_ms: 0,
            answered_at_ms: 0,
            failing_since_ms: None,
            is_refused: false,
            is_unpromotable: false,
            in_flight: 0,
            evicted_connections: 0,
            probes: 0,
            busy_since_ms: 0,
            granted_at_ms: 0,
            down: CancellationToken::new(),
            open_connections: 0,
            idle_connections: Vec::new(),
            no_connect_until_ms: 0,
            lagged_at_ms: None,
            cold_until_ms: 0,
            cold_grants: VecDeque::new(),
            retention: ConnectionRetention::default(),
            refused_above: None,
            was_outlier: false,
            load: MemberLoad::default(),
            usable_slots: UsableSlots::default(),
        }
    }

    /// Returns how many of its slots the owner may use.
    pub fn usable_slots(&self, now_ms: u64) -> usize {
        self.usable_slots.usable(now_ms, self.entry.slots)
    }

    /// Returns whether another statement finds a usable slot.
    pub(super) fn has_free_slot(&self, now_ms: u64) -> bool {
        self.in_flight + self.probes < self.usable_slots(now_ms)
    }
}

impl<Conn> PoolMember<Conn>
where
    Conn: Connection,
{
    /// Returns whether it has an idle connection of a tenant.
    pub(super) fn has_idle(&self, tenant: &Name) -> bool {
        self.idle_connections.iter().any(|connection| connection.tenant() == tenant)
    }

    /// Takes the newest idle connection of a tenant.
    pub(super) fn take_idle(&mut self, tenant: &Name) -> Option<Conn> {
        let position =
            self.idle_connections.iter().rposition(|connection| connection.tenant() == tenant)?;
        Some(self.idle_connections.remove(position))
    }

    /// Closes the idle connection that is the least likely to be needed soon.
    pub(super) fn evict(&mut self) -> Option<Conn> {
        let tenants = self.idle_connections.iter().map(Connection::tenant);
        let victim = self.retention.victim(tenants)?;
        self.open_connections = self.open_connections.saturating_sub(1);
        self.evicted_connections += 1;
        Some(self.idle_connections.remove(victim))
    }

    /// Returns how many connections to it may be open, of the `listed` ones.
    pub(super) fn connection_limit(&self, now_ms: u64, listed: usize) -> usize {
        match self.refused_above {
            Some((open, until_ms)) if now_ms < until_ms => open.min(listed),
            _ => listed,
        }
    }

    /// Returns whether a connection may be opened now, if necessary in place of an idle one. As long
    /// as none is open, all slots are used for that.
    pub(super) fn may_connect(&self, now_ms: u64, listed: usize) -> bool {
        let opening = self.retention.opening(now_ms);
        let has_room = self.open_connections < self.connection_limit(now_ms, listed)
            || !self.idle_connections.is_empty();
        now_ms >= self.no_connect_until_ms
            && has_room
            && (self.open_connections <= opening || may_open(opening, self.usable_slots(now_ms)))
    }

    /// Returns whether its log may include a position.
    pub(super) fn may_include(&self, now_ms: u64, floor: LogPosition) -> bool {
        self.status.is_some()
            && (self.position >= floor
                || self.lagged_at_ms.is_none_or(|at_ms| now_ms >= at_ms + LAG_MEMORY_MS))
    }
}
