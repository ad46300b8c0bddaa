//! Slots and connections that find their way back.

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

/// The right to run one statement at a member; ends when dropped.
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
        lock(&self.service.pool).end_slot(now_ms(), &self.member);
        self.service.pump();
    }
}

/// A connection on loan. It is closed when dropped, unless it was given back: its state is not
/// known after an exchange that did not end.
pub(super) struct Lent {
    service: Arc<OwnedService>,
    /// The member at its far end.
    pub(super) member: Arc<MemberEntry>,
    connection: Option<PooledConnection>,
    down: CancellationToken,
}

impl Lent {
    /// Wraps a connection that the pool has granted.
    pub(super) fn new(
        service: Arc<OwnedService>,
        member: Arc<MemberEntry>,
        connection: PooledConnection,
        down: CancellationToken,
    ) -> Self {
        Self { service, member, connection: Some(connection), down }
    }

    /// Returns the connection.
    pub(super) fn connection(&mut self) -> Option<&mut PooledConnection> {
        self.connection.as_mut()
    }

    /// Sends commands and reads the replies until `deadline_ms`. If nothing can be lost by it,
    /// the exchange ends as soon as the member is found not to answer.
    ///
    /// # Errors
    ///
    /// Returns why the replies are not complete; the connection is closed then.
    pub(super) async fn exchange(
        &mut self,
        commands: &[MemberCommand],
        deadline_ms: u64,
        may_abandon: bool,
    ) -> Result<Vec<MemberReply>, MemberError> {
        let Some(connection) = self.connection.as_mut() else {
            return Err(MemberError::Closed("closed before".to_owned()));
        };
        let wait = Duration::from_millis(deadline_ms.saturating_sub(now_ms()));
        let replied = tokio::select! {
            biased;
            replied = connection.link.exchange(commands) => replied,
            () = tokio::time::sleep(wait) => Err(MemberError::Timeout),
            () = self.down.cancelled(), if may_abandon => Err(MemberError::Timeout),
        };
        let mut pool = lock(&self.service.pool);
        match replied {
            Ok(replies) => {
                let position = replies.iter().rev().find_map(|reply| reply.position);
                pool.answered(now_ms(), &self.member.key, position);
                Ok(replies)
            }
            Err(error) => {
                self.connection = None;
                pool.connection_ended(&self.member.key);
                drop(pool);
                self.service.doubt(&self.member.key, &error.to_string());
                Err(error)
            }
        }
    }

    /// Gives the connection back to the pool.
    pub(super) fn give_back(mut self) {
        if let Some(connection) = self.connection.take() {
            let surplus = lock(&self.service.pool).give_back(&self.member.key, connection);
            drop(surplus);
            self.service.pump();
        }
    }
}

impl Drop for Lent {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            lock(&self.service.pool).connection_ended(&self.member.key);
            self.service.pump();
        }
    }
}
