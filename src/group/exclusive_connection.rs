//! Exclusive use of a connection to a member for one transaction.

use std::sync::Arc;

use async_trait::async_trait;
use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::PgWireFrontendMessage as Request;
use serde::Deserialize;
use serde::Serialize;

use super::log_position::LogPosition;
use crate::wire::sql_error::SqlError;

/// ParameterStatus in which a member reports the log position of a commit. It is passed on to the
/// caller's session only once a majority has received the commit.
pub const COMMIT_PARAMETER: &str = "group.commit";

/// What a request requires of a connection to a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionRequest {
    /// Name of the group.
    pub group: String,
    /// Workspace for which the request runs.
    pub workspace: String,
    /// Whether a replica may serve it.
    pub may_use_replica: bool,
    /// Log position that reads on the connection must include.
    pub floor: LogPosition,
    /// Further writes that the reads must include.
    pub freshness: Freshness,
    /// Longest wait for a connection, in milliseconds.
    pub timeout_ms: u64,
}

/// How fresh reads must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Freshness {
    /// The floor of the request is enough.
    Floor,
    /// Every write acknowledged before the request.
    Latest,
    /// Every write acknowledged more than this many milliseconds ago.
    Age(u64),
}

/// Why an exclusive connection failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionError {
    /// The connection was lost, for the given reason.
    Lost(String),
    /// A commit was made that no majority is known to have received.
    NotAcknowledged,
}

/// A granted connection and what its reads include.
pub struct ConnectionGrant {
    /// The connection.
    pub connection: Box<dyn ExclusiveConnection>,
    /// Log position that its reads include.
    pub floor: LogPosition,
    /// Whether it leads to a replica.
    pub is_replica: bool,
}

/// Exclusive use of a connection to a member, direct or through another daemon.
#[async_trait]
pub trait ExclusiveConnection: Send {
    /// Checks, while no reply is awaited, that none has arrived. After an error, the connection is
    /// closed.
    fn check_in_step(&mut self) -> Result<(), ConnectionError>;

    /// Sends messages and flushes them.
    async fn send(&mut self, messages: Vec<Request>) -> Result<(), ConnectionError>;

    /// Receives the next message. Cancel safe: dropping the future loses no message.
    async fn receive(&mut self) -> Result<Reply, ConnectionError>;

    /// Asks the member to cancel the statement that runs on the connection.
    async fn cancel(&mut self);

    /// Returns the connection for reuse. It is closed instead unless `is_clean` says that no
    /// session state is left on it.
    async fn release(self: Box<Self>, is_clean: bool);
}

/// Provides connections to the members of a group.
#[async_trait]
pub trait ConnectionProvider: Send + Sync {
    /// Waits for a connection that meets the request.
    ///
    /// # Errors
    ///
    /// Every error guarantees that nothing ran on a member.
    async fn acquire(&self, request: ConnectionRequest) -> Result<ConnectionGrant, SqlError>;
}

/// A connection provider that many sessions share.
pub type SharedProvider = Arc<dyn ConnectionProvider>;
