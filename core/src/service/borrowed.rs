//! Guards that release a slot, or close a connection that was not returned, when they are dropped.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::clock::now_ms;
use crate::clock::now_us;
use crate::member::MemberCommand;
use crate::member::MemberEntry;
use crate::member::MemberError;
use crate::member::MemberKey;
use crate::member::MemberReply;
use crate::name::Name;
use crate::service::OwnedService;
use crate::service::connection::Connection;
use crate::service::connection::PooledConnection;
use crate::service::pool::Grant;
use crate::sync::lock;

/// A slot of a member for one statement, released when dropped.
pub(super) struct SlotGuard {
    service: Arc<OwnedService>,
    member: MemberKey,
}

impl SlotGuard {
    /// Wraps a granted slot.
    pub(super) fn new(service: Arc<OwnedService>, member: MemberKey) -> Self {
        Self { service, member }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        lock(&self.service.pool).release_slot(now_ms(), &self.member);
        self.service.dispatch();
    }
}

/// A slot of a member that a probe of this node occupies, released when dropped.
pub(super) struct ProbeSlot {
    service: Arc<OwnedService>,
    member: MemberKey,
}

impl ProbeSlot {
    /// Counts a probe of a member.
    pub(super) fn new(service: Arc<OwnedService>, member: MemberKey) -> Self {
        lock(&service.pool).begin_probe(&member);
        Self { service, member }
    }
}

impl Drop for ProbeSlot {
    fn drop(&mut self) {
        lock(&self.service.pool).end_probe(&self.member);
        self.service.dispatch();
    }
}

/// A grant whose connection is returned to the pool, or no longer counted, when it is dropped
/// before the connection is borrowed.
pub(super) struct GrantGuard {
    service: Arc<OwnedService>,
    grant: Option<Grant<PooledConnection>>,
}

impl GrantGuard {
    /// Wraps a grant.
    pub(super) fn new(service: Arc<OwnedService>, grant: Grant<PooledConnection>) -> Self {
        Self { service, grant: Some(grant) }
    }

    /// Returns the grant, if it was not borrowed yet.
    pub(super) fn grant(&mut self) -> Option<&mut Grant<PooledConnection>> {
        self.grant.as_mut()
    }

    /// Borrows `connection`, which the grant contained or allowed to open. Returns `None` if it was
    /// borrowed already.
    pub(super) fn borrow(mut self, connection: PooledConnection) -> Option<BorrowedConnection> {
        let grant = self.grant.take()?;
        let connection = Some(connection);
        let service = self.service.clone();
        let Grant { member, route, down, is_opening, .. } = grant;
        if is_opening {
            lock(&service.pool).end_opening(&member.key);
            // Another connection may be opened now.
            service.dispatch();
        }
        let is_counted = false;
        Some(BorrowedConnection { service, member, route, is_counted, connection, down })
    }
}

impl Drop for GrantGuard {
    fn drop(&mut self) {
        let Some(grant) = self.grant.take() else { return };
        let key = &grant.member.key;
        let mut pool = lock(&self.service.pool);
        if grant.is_opening {
            pool.end_opening(key);
        }
        match grant.connection {
            Some(connection) => drop(pool.return_connection(key, connection)),
            None if grant.is_counted => pool.connection_closed(key),
            None => {}
        }
    }
}

/// Counts a running transaction until it is dropped.
pub(super) struct RunningTransaction {
    service: Arc<OwnedService>,
}

impl RunningTransaction {
    /// Counts one more running transaction.
    pub(super) fn new(service: Arc<OwnedService>) -> Self {
        service.running_transactions.fetch_add(1, Ordering::AcqRel);
        Self { service }
    }
}

impl Drop for RunningTransaction {
    fn drop(&mut self) {
        self.service.running_transactions.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A connection taken from the pool. It is closed when dropped without being returned, because its
/// state is unknown after an incomplete exchange.
pub(super) struct BorrowedConnection {
    service: Arc<OwnedService>,
    /// Member that it is connected to.
    pub(super) member: Arc<MemberEntry>,
    route: Name,
    /// Whether the operation that it was borrowed for is counted as usage.
    is_counted: bool,
    connection: Option<PooledConnection>,
    /// Cancelled when a probe of the member fails or the member is no longer listed.
    down: CancellationToken,
}

impl BorrowedConnection {
    /// Returns the connection, or `None` if it was closed after an error.
    pub(super) fn connection(&mut self) -> Option<&mut PooledConnection> {
        self.connection.as_mut()
    }

    /// Sends commands and reads the replies until `deadline_at_ms`. With `may_abandon`, which is
    /// for work that can be repeated or rolled back, it also ends as soon as a probe of the member
    /// fails or the member is no longer listed.
    ///
    /// # Errors
    ///
    /// Returns why the replies are incomplete. The connection is closed then, and the member is
    /// suspected of having failed unless it sent something that does not fit.
    pub(super) async fn exchange(
        &mut self,
        commands: &[MemberCommand],
        deadline_at_ms: u64,
        may_abandon: bool,
    ) -> Result<Vec<MemberReply>, MemberError> {
        let Some(connection) = self.connection.as_mut() else {
            return Err(MemberError::Closed("an earlier exchange failed".to_owned()));
        };
        let wait = Duration::from_millis(deadline_at_ms.saturating_sub(now_ms()));
        let sent_at_us = now_us();
        let service = &self.service;
        let token = service.fencing_token;
        let metered = (!self.is_counted).then(|| {
            service.context.usage.begin(&service.name, token, connection.tenant(), commands)
        });
        let metered = metered.flatten();
        self.is_counted |= metered.is_some();
        let replied = tokio::select! {
            biased;
            replied = self.service.exchange(&self.member.key, &mut connection.inner, commands) => {
                replied
            }
            () = tokio::time::sleep(wait) => Err(MemberError::Timeout),
            () = self.down.cancelled(), if may_abandon => Err(MemberError::Timeout),
        };
        let mut pool = lock(&self.service.pool);
        match replied {
            Ok(replies) => {
                if let Some(mut metered) = metered
                    && replies.last().is_some_and(MemberReply::was_not_executed)
                {
                    metered.discard();
                    self.is_counted = false;
                }
                let position = replies.iter().rev().find_map(|reply| reply.position);
                pool.record_reply(now_ms(), &self.member.key, position);
                let lowered = pool.record_results(now_ms(), &self.member.key, &replies);
                // Statements that fail may end much sooner than others.
                if replies.iter().all(|reply| reply.result.is_ok()) {
                    let took_us = now_us().saturating_sub(sent_at_us);
                    pool.record_service_time(now_ms(), &self.member.key, &self.route, took_us);
                }
                drop(pool);
                self.service.report_lowered_slots(&self.member.key, lowered);
                self.service.report_outlier(&self.member.key);
                Ok(replies)
            }
            Err(error) => {
                self.connection = None;
                pool.connection_closed(&self.member.key);
                // Members that are busy or behind send replies that prove nothing without failing, and a
                // reply that is too large is no failure of theirs.
                if matches!(error, MemberError::Mismatched(_) | MemberError::TooLarge(_)) {
                    return Err(error);
                }
                pool.record_result(now_ms(), &self.member.key, true);
                drop(pool);
                self.service.report_outlier(&self.member.key);
                self.service.suspect_member(&self.member.key, &error.to_string());
                Err(error)
            }
        }
    }

    /// Checks the connection before it is used again without having been in the pool.
    ///
    /// # Errors
    ///
    /// Returns why the connection cannot be used. Nothing was sent.
    pub(super) fn check_idle(&mut self, id: &str) -> Result<(), MemberError> {
        let Some(connection) = self.connection.as_mut() else {
            return Err(MemberError::Closed("an earlier exchange failed".to_owned()));
        };
        let checked = connection.inner.discard_repeats();
        if let Err(MemberError::Mismatched(mismatch)) = &checked {
            self.service.report_mismatch(&self.member.key, id, *mismatch);
        }
        checked
    }

    /// Returns the connection to the pool, or closes it if it may not be used again.
    pub(super) fn return_to_pool(mut self) {
        if let Some(connection) = self.connection.take_if(|kept| kept.is_reusable()) {
            let surplus = lock(&self.service.pool).return_connection(&self.member.key, connection);
            if let Some(closed) = &surplus {
                log::debug!(
                    event = "connection_not_kept", service = &*self.service.name,
                    member = &*self.member.key.id, tenant = &**closed.tenant();
                    "the least demanded idle connection, or one to a member that leaves, is closed"
                );
            }
            drop(surplus);
            self.service.dispatch();
        }
    }
}

impl Drop for BorrowedConnection {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            lock(&self.service.pool).connection_closed(&self.member.key);
            self.service.dispatch();
        }
    }
}
