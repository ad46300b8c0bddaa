//! Connections of members: which are kept, opened and closed.

use crate::member::MemberError;
use crate::member::MemberKey;
use crate::outcome::Failure;
use crate::service::connection::Connection;
use crate::service::connection_retention::retained_limit;
use crate::service::pool::Grant;
use crate::service::pool::Pool;
use crate::service::pool::RESERVED_CONNECTIONS;
use crate::service::pool::SlotRequest;
use crate::service::pool::SlotTarget;
use crate::service::pool::WritePermit;

/// Time for which no new connection to a member is opened after an attempt failed, in milliseconds:
/// the member may have no connections left.
const CONNECT_PAUSE_MS: u64 = 150;

/// The same after a member refused a connection for want of a slot, in milliseconds: a slot becomes
/// free when a statement ends or a connection is open.
const BUSY_CONNECT_PAUSE_MS: u64 = 15;

/// Time for which no more connections are opened than a member had when it refused one, in
/// milliseconds. Members keep the connections of an unreachable owner open for up to 3 s; they may
/// also close them sooner.
const FORMER_CONNECTIONS_MS: u64 = 1_000;

impl<Conn> Pool<Conn>
where
    Conn: Connection,
{
    /// Returns the number of connections to a member that the pool may have open.
    pub(super) fn connection_limit(&self) -> usize {
        self.max_connections - RESERVED_CONNECTIONS
    }

    /// Grants a slot of a member, with an idle connection if there is one.
    pub(super) fn grant(
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
        member.begin_statement(now_ms);
        let connection = match &request.target {
            SlotTarget::Transaction(_) => None,
            _ => member.take_idle(&request.tenant),
        };
        let is_counted = !matches!(request.target, SlotTarget::Transaction(_));
        let is_opening = connection.is_none() && is_counted;
        if is_counted {
            member.retention.record_use(now_ms, &request.tenant);
        }
        if is_opening {
            if member.open_connections >= member.connection_limit(now_ms, limit) {
                surplus.extend(member.evict());
            }
            member.open_connections += 1;
            member.retention.begin_opening(now_ms);
        }
        let grant = Grant {
            member: member.entry.clone(),
            route: request.route.clone(),
            write_permit,
            connection,
            is_counted,
            is_opening,
            down: member.down.clone(),
        };
        Some(grant)
    }

    /// Frees a slot whose statement has ended.
    pub fn release_slot(&mut self, now_ms: u64, key: &MemberKey) {
        if let Some(member) = self.members.get_mut(key) {
            member.end_statement(now_ms);
        }
        self.queue.released(now_ms);
    }

    /// Puts a connection back into the pool. Returns one to close if there are too many, or if the
    /// member must leave or is no longer listed.
    pub fn return_connection(&mut self, key: &MemberKey, connection: Conn) -> Option<Conn> {
        let limit = self.connection_limit();
        let Some(member) = self.members.get_mut(key) else { return Some(connection) };
        if member.must_leave {
            member.open_connections = member.open_connections.saturating_sub(1);
            return Some(connection);
        }
        member.idle_connections.push(connection);
        if member.open_connections <= retained_limit(limit, member.entry.slots) {
            return None;
        }
        member.evict()
    }

    /// Stops counting a connection as one that is being opened.
    pub fn end_opening(&mut self, key: &MemberKey) {
        if let Some(member) = self.members.get_mut(key) {
            member.retention.end_opening();
        }
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

    /// Records that a connection to a member could not be opened, and opens none for a while. Returns
    /// the number of the member's usable slots if that was reduced.
    pub fn record_connect_failure(
        &mut self,
        now_ms: u64,
        key: &MemberKey,
        error: &MemberError,
    ) -> Option<usize> {
        let member = self.members.get_mut(key)?;
        let is_busy =
            matches!(error, MemberError::Refused(refusal) if refusal.failure == Failure::Busy);
        let pause_ms = if is_busy { BUSY_CONNECT_PAUSE_MS } else { CONNECT_PAUSE_MS };
        member.no_connect_until_ms = now_ms + pause_ms;
        let is_full = matches!(
            error,
            MemberError::Refused(refusal) if refusal.failure == Failure::TooManyConnections
        );
        if is_full {
            let until_ms = now_ms + FORMER_CONNECTIONS_MS;
            member.refused_above = Some((member.open_connections.max(1), until_ms));
        }
        if is_busy { self.record_busy(now_ms, key) } else { None }
    }
}
