//! Exclusive use of a connection to a member, for one transaction.

use std::sync::Arc;

use async_trait::async_trait;
use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::PgWireFrontendMessage as Request;
use serde::Deserialize;
use serde::Serialize;

use super::log_position::LogPosition;
use crate::wire::sql_error::SqlError;

/// Parameter by which a member tells the place of a commit. It reaches the caller's session only
/// once a majority holds the commit.
pub const COMMIT_PARAMETER: &str = "group.commit";

/// What a request needs of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionRequest {
    /// Name of the group.
    pub group: String,
    /// Workspace for which the request runs.
    pub workspace: String,
    /// Whether a replica may serve it.
    pub may_use_replica: bool,
    /// Place that the connection's reads must include.
    pub floor: LogPosition,
    /// What the reads must see besides.
    pub freshness: Freshness,
    /// Longest wait for a connection, in milliseconds.
    pub timeout_ms: u64,
}

/// How fresh reads must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Freshness {
    /// The floor says all.
    Floor,
    /// All that was acknowledged before the request.
    Latest,
    /// All that was acknowledged longer ago than this, in milliseconds.
    Age(u64),
}

/// Why a lane failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionError {
    /// The connection was lost.
    Lost(String),
    /// A commit was made that no majority is known to hold.
    NotAcknowledged,
}

/// A lane with what is known of it.
pub struct ConnectionGrant {
    /// The lane.
    pub lane: Box<dyn Lane>,
    /// Place that its reads include.
    pub floor: LogPosition,
    /// Whether a replica serves it.
    pub is_replica: bool,
}

/// Exclusive use of a connection to a member.
#[async_trait]
pub trait Lane: Send {
    /// Sends messages at once.
    async fn send(&mut self, messages: Vec<Request>) -> Result<(), ConnectionError>;

    /// Receives the next message. Dropping the future loses nothing.
    async fn receive(&mut self) -> Result<Reply, ConnectionError>;

    /// Cancels what runs on the connection.
    async fn cancel(&mut self);

    /// Gives the connection back; one whose state is not known is closed.
    async fn release(self: Box<Self>, is_clean: bool);
}

/// A way to a group's members.
#[async_trait]
pub trait ConnectionProvider: Send + Sync {
    /// Waits for a lane.
    ///
    /// # Errors
    ///
    /// Any error promises that nothing ran.
    async fn acquire(&self, request: ConnectionRequest) -> Result<ConnectionGrant, SqlError>;
}

/// Shared access to a group.
pub type SharedProvider = Arc<dyn ConnectionProvider>;
