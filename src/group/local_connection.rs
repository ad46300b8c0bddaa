//! Exclusive use of one of this daemon's own connections to a member.

use std::sync::Arc;

use async_trait::async_trait;
use futures::FutureExt;
use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::PgWireFrontendMessage as Request;
use pgwire::messages::response::TransactionStatus;
use pgwire::messages::startup::ParameterStatus;

use super::exclusive_connection::COMMIT_PARAMETER;
use super::exclusive_connection::ConnectionError;
use super::exclusive_connection::ExclusiveConnection;
use super::group_home::GroupHome;
use super::log_position::LogPosition;
use super::member_connection::MemberConnection;
use super::member_control::MemberError;
use super::slot_pool::Slot;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;

/// Exclusive use of one of this daemon's own connections to a member.
///
/// It passes a commit's log position on only once a majority of members has received the commit.
pub struct LocalConnection {
    /// The group, of which this daemon is a home: it keeps the connections to the members.
    home: Arc<GroupHome>,
    member: usize,
    is_replica: bool,
    /// Highest term known when the connection was granted.
    term: u64,
    connection: Option<MemberConnection>,
    /// A commit reported by the member that no majority is known to have received yet.
    unconfirmed: Option<LogPosition>,
    /// Whether a cancel was requested. It may still arrive and hit a later statement.
    is_cancelled: bool,
    is_idle: bool,
    _slot: Slot,
}

impl LocalConnection {
    /// Takes over a connection that is not in a transaction.
    pub fn new(
        home: Arc<GroupHome>,
        member: usize,
        is_replica: bool,
        connection: MemberConnection,
        slot: Slot,
    ) -> Self {
        home.add_connection_in_use(member);
        Self {
            term: home.prober().view().highest_term(),
            home,
            member,
            is_replica,
            connection: Some(connection),
            unconfirmed: None,
            is_cancelled: false,
            is_idle: true,
            _slot: slot,
        }
    }

    fn connection(&mut self) -> Result<&mut MemberConnection, ConnectionError> {
        let lost = || ConnectionError::Lost("the connection to the member was lost".to_owned());
        self.connection.as_mut().ok_or_else(lost)
    }

    /// Drops the connection after an error and excludes the member from the choice for a while.
    fn drop_connection(&mut self, error: MemberError) -> ConnectionError {
        self.connection = None;
        self.home.back_off(self.member);
        match error {
            MemberError::Unreachable(reason) | MemberError::Refused(reason) => {
                ConnectionError::Lost(reason)
            }
        }
    }

    /// Receives a message. Fails without waiting for the connection to break when probes show that
    /// the member is lost.
    async fn receive_or_detect_loss(&mut self) -> Result<Reply, MemberError> {
        let lost = || MemberError::Unreachable("the connection to the member was lost".to_owned());
        let connection = self.connection.as_mut().ok_or_else(lost)?;
        if let Some(ready) = connection.receive().now_or_never() {
            return ready;
        }
        let prober = self.home.prober();
        tokio::select! {
            reply = connection.receive() => reply,
            () = prober.wait_member_lost(self.member, self.term, self.is_replica) => {
                Err(MemberError::Unreachable("the member does not answer status probes".to_owned()))
            }
        }
    }

    /// Waits until a majority has received a commit, and returns the message that reports the
    /// commit's log position to the session.
    async fn confirm_commit(&mut self, commit: LogPosition) -> Result<Reply, ConnectionError> {
        let timeout = self.home.options().acknowledge_timeout;
        let is_confirmed = self.home.prober().wait_confirmed(commit, timeout).await;
        self.unconfirmed = None;
        if !is_confirmed {
            self.connection = None;
            return Err(ConnectionError::NotAcknowledged);
        }
        let connection = self.connection()?;
        connection.applied = connection.applied.max(commit);
        let status = ParameterStatus::new(COMMIT_PARAMETER.to_owned(), commit.to_string());
        Ok(Reply::ParameterStatus(status))
    }
}

impl Drop for LocalConnection {
    fn drop(&mut self) {
        self.home.remove_connection_in_use(self.member);
    }
}

#[async_trait]
impl ExclusiveConnection for LocalConnection {
    fn check_in_step(&mut self) -> Result<(), ConnectionError> {
        match self.connection()?.check_in_step() {
            Ok(()) => Ok(()),
            Err(error) => Err(self.drop_connection(error)),
        }
    }

    async fn send(&mut self, messages: Vec<Request>) -> Result<(), ConnectionError> {
        self.is_idle = false;
        match self.connection()?.send(messages).await {
            Ok(()) => Ok(()),
            Err(error) => Err(self.drop_connection(error)),
        }
    }

    async fn receive(&mut self) -> Result<Reply, ConnectionError> {
        if let Some(commit) = self.unconfirmed {
            return self.confirm_commit(commit).await;
        }
        let reply = match self.receive_or_detect_loss().await {
            Ok(reply) => reply,
            Err(error) => return Err(self.drop_connection(error)),
        };
        match &reply {
            Reply::ErrorResponse(response) => {
                let error = SqlError::from_response(response);
                if error.code == sql_state::READ_ONLY {
                    self.home.prober().refresh();
                }
                Ok(reply)
            }
            Reply::ParameterStatus(status) if status.name == COMMIT_PARAMETER => {
                let Ok(commit) = status.value.parse() else {
                    return Err(ConnectionError::Lost(
                        "the member reported a commit position that cannot be parsed".to_owned(),
                    ));
                };
                self.unconfirmed = Some(commit);
                self.confirm_commit(commit).await
            }
            Reply::ReadyForQuery(ready) => {
                self.is_idle = ready.status == TransactionStatus::Idle;
                Ok(reply)
            }
            _ => Ok(reply),
        }
    }

    async fn cancel(&mut self) {
        self.is_cancelled = true;
        if let Ok(connection) = self.connection() {
            connection.cancel().await;
        }
    }

    async fn release(mut self: Box<Self>, is_clean: bool) {
        let is_reusable = is_clean && self.is_idle && !self.is_cancelled;
        if let Some(connection) = self.connection.take()
            && is_reusable
            && self.unconfirmed.is_none()
        {
            self.home.keep_idle(self.member, connection);
        }
    }
}
