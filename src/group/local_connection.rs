//! A lane over a connection of this daemon.

use std::sync::Arc;

use async_trait::async_trait;
use futures::FutureExt;
use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::PgWireFrontendMessage as Request;
use pgwire::messages::response::TransactionStatus;
use pgwire::messages::startup::ParameterStatus;

use super::exclusive_connection::COMMIT_PARAMETER;
use super::exclusive_connection::ConnectionError;
use super::exclusive_connection::Lane;
use super::group_home::GroupHome;
use super::log_position::LogPosition;
use super::member_connection::MemberConnection;
use super::member_control::MemberError;
use super::slot_pool::Slot;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;

/// A lane over a connection of this daemon.
pub struct LocalConnection {
    home: Arc<GroupHome>,
    member: usize,
    is_replica: bool,
    /// Highest term known when the lane was made.
    term: u64,
    connection: Option<MemberConnection>,
    /// A commit whose place was received and which no majority is known to hold yet.
    unacknowledged: Option<LogPosition>,
    is_cancelled: bool,
    is_idle: bool,
    _slot: Slot,
}

impl LocalConnection {
    /// Creates a lane over a connection that is not in a transaction.
    pub fn new(
        home: Arc<GroupHome>,
        member: usize,
        is_replica: bool,
        connection: MemberConnection,
        slot: Slot,
    ) -> Self {
        home.start_work(member);
        Self {
            term: home.prober().view().highest_term(),
            home,
            member,
            is_replica,
            connection: Some(connection),
            unacknowledged: None,
            is_cancelled: false,
            is_idle: true,
            _slot: slot,
        }
    }

    fn connection(&mut self) -> Result<&mut MemberConnection, ConnectionError> {
        let lost = || ConnectionError::Lost("the connection to the member was lost".to_owned());
        self.connection.as_mut().ok_or_else(lost)
    }

    fn lose(&mut self, error: MemberError) -> ConnectionError {
        self.connection = None;
        self.home.avoid(self.member);
        match error {
            MemberError::Unreachable(reason) | MemberError::Refused(reason) => {
                ConnectionError::Lost(reason)
            }
        }
    }

    /// Receives a message, unless the member turns out to be lost.
    async fn receive_or_lose(&mut self) -> Result<Reply, MemberError> {
        let lost = || MemberError::Unreachable("the connection to the member was lost".to_owned());
        let connection = self.connection.as_mut().ok_or_else(lost)?;
        if let Some(ready) = connection.receive().now_or_never() {
            return ready;
        }
        let prober = self.home.prober();
        tokio::select! {
            reply = connection.receive() => reply,
            () = prober.member_lost(self.member, self.term, self.is_replica) => {
                Err(MemberError::Unreachable("the member gives no answer".to_owned()))
            }
        }
    }

    async fn acknowledge(&mut self, commit: LogPosition) -> Result<Reply, ConnectionError> {
        let timeout = self.home.options().acknowledge_timeout;
        let is_held = self.home.prober().acknowledge(commit, timeout).await;
        self.unacknowledged = None;
        if !is_held {
            self.connection = None;
            return Err(ConnectionError::NotAcknowledged);
        }
        let connection = self.connection()?;
        connection.reached = connection.reached.max(commit);
        let status = ParameterStatus::new(COMMIT_PARAMETER.to_owned(), commit.to_string());
        Ok(Reply::ParameterStatus(status))
    }
}

impl Drop for LocalConnection {
    fn drop(&mut self) {
        self.home.end_work(self.member);
    }
}

#[async_trait]
impl Lane for LocalConnection {
    async fn send(&mut self, messages: Vec<Request>) -> Result<(), ConnectionError> {
        self.is_idle = false;
        match self.connection()?.send(messages).await {
            Ok(()) => Ok(()),
            Err(error) => Err(self.lose(error)),
        }
    }

    async fn receive(&mut self) -> Result<Reply, ConnectionError> {
        if let Some(commit) = self.unacknowledged {
            return self.acknowledge(commit).await;
        }
        let reply = match self.receive_or_lose().await {
            Ok(reply) => reply,
            Err(error) => return Err(self.lose(error)),
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
                    return Err(ConnectionError::Lost("commit place is not readable".to_owned()));
                };
                self.unacknowledged = Some(commit);
                self.acknowledge(commit).await
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
        let is_known = is_clean && self.is_idle && !self.is_cancelled;
        if let Some(connection) = self.connection.take()
            && is_known
            && self.unacknowledged.is_none()
        {
            self.home.keep_idle(self.member, connection);
        }
    }
}
