//! Guards that release a slot, or close a connection that was not returned, when they are dropped.

use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::clock::now_ms;
use crate::member::MemberCommand;
use crate::member::MemberEntry;
use crate::member::MemberError;
use crate::member::MemberKey;
use crate::member::MemberReply;
use crate::service::OwnedService;
use crate::service::connection::PooledConnection;
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

/// A connection taken from the pool. It is closed when dropped without being returned, because its
/// state is unknown after an incomplete exchange.
pub(super) struct BorrowedConnection {
    service: Arc<OwnedService>,
    /// Member that it is connected to.
    pub(super) member: Arc<MemberEntry>,
    connection: Option<PooledConnection>,
    down: CancellationToken,
}

impl BorrowedConnection {
    /// Wraps a granted connection. `down` is cancelled when a probe of the member fails or the
    /// member is no longer listed.
    pub(super) fn new(
        service: Arc<OwnedService>,
        member: Arc<MemberEntry>,
        connection: PooledConnection,
        down: CancellationToken,
    ) -> Self {
        Self { service, member, connection: Some(connection), down }
    }

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
    /// suspected of having failed.
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
        let replied = tokio::select! {
            biased;
            replied = connection.inner.exchange(commands) => replied,
            () = tokio::time::sleep(wait) => Err(MemberError::Timeout),
            () = self.down.cancelled(), if may_abandon => Err(MemberError::Timeout),
        };
        let mut pool = lock(&self.service.pool);
        match replied {
            Ok(replies) => {
                let position = replies.iter().rev().find_map(|reply| reply.position);
                pool.record_reply(now_ms(), &self.member.key, position);
                Ok(replies)
            }
            Err(error) => {
                self.connection = None;
                pool.connection_closed(&self.member.key);
                drop(pool);
                self.service.suspect_member(&self.member.key, &error.to_string());
                Err(error)
            }
        }
    }

    /// Returns the connection to the pool.
    pub(super) fn return_to_pool(mut self) {
        if let Some(connection) = self.connection.take() {
            let surplus = lock(&self.service.pool).return_connection(&self.member.key, connection);
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
