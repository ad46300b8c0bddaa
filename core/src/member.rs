//! Members of a service, as the owner sees them, and the border to their protocol.

use std::net::SocketAddr;

use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;

use crate::log_position::LogPosition;
use crate::name::Name;
use crate::outcome::BlockState;
use crate::outcome::Refusal;
use crate::statement::PreparedShape;
use crate::statement::StatementBody;

/// Identity of one life of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberKey {
    /// Name of the member, unique over all services.
    pub id: Name,
    /// Start of this life, in Unix milliseconds as the member tells it; 0 if it tells none.
    pub incarnation: u64,
}

/// A member as service discovery lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Which life of which member.
    pub key: MemberKey,
    /// Service that it belongs to.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: Name,
    /// Statements that it runs at once.
    pub slots: usize,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// For how much longer it is cold, in milliseconds.
    pub cold_ms: u64,
    /// Whether it says that it is primary.
    pub claims_primary: bool,
}

/// A member's own account of its replication state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Whether it leads.
    pub is_primary: bool,
    /// Its term.
    pub term: u64,
    /// Newest position that it has received.
    pub position: LogPosition,
}

/// One command to a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberCommand {
    /// Starts a transaction with the caller's id.
    Begin {
        /// The caller's id.
        id: Name,
        /// Whether it only reads.
        is_read_only: bool,
        /// Position that the log must include.
        floor: Option<LogPosition>,
    },
    /// Runs a data statement.
    Run {
        /// The caller's id.
        id: Name,
        /// What to run.
        body: StatementBody,
        /// Position that the log must include.
        floor: Option<LogPosition>,
    },
    /// Commits.
    Commit {
        /// The caller's id.
        id: Name,
    },
    /// Rolls back.
    Rollback,
    /// Sets a value.
    Set {
        /// Name of the value.
        name: Name,
        /// The value.
        value: Name,
    },
    /// Prepares a statement under the name that its shape implies.
    Prepare(PreparedShape),
    /// Drops values and prepared statements.
    Reset,
    /// Asks for the replication state.
    Status,
    /// Makes a primary of a lower term a replica.
    StepDown {
        /// Term of the new primary.
        term: u64,
    },
}

/// The member's whole reply to one command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberReply {
    /// Rows in their order.
    pub rows: Vec<Name>,
    /// The signature, or the failure.
    pub result: Result<Name, Refusal>,
    /// State of the connection's transaction.
    pub block: BlockState,
    /// Log position, if told.
    pub position: Option<LogPosition>,
}

/// Why a member cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberError {
    /// Nothing listens there, or it closed the connection.
    Closed(String),
    /// No answer in time.
    Timeout,
    /// It refused the connection.
    Refused(Refusal),
    /// It sent something that cannot be read.
    Protocol(String),
}

impl std::fmt::Display for MemberError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Closed(reason) => write!(formatter, "connection ended: {reason}"),
            Self::Timeout => write!(formatter, "no answer in time"),
            Self::Refused(refusal) => {
                write!(formatter, "refused: {} {}", refusal.failure.label(), refusal.detail)
            }
            Self::Protocol(reason) => write!(formatter, "unreadable answer: {reason}"),
        }
    }
}

/// Opens connections to members.
#[async_trait]
pub trait MemberConnector: Send + Sync {
    /// Connects to one life of a member for a tenant.
    ///
    /// # Errors
    ///
    /// Returns why no connection was made.
    async fn connect(
        &self,
        member: &MemberEntry,
        tenant: &str,
    ) -> Result<Box<dyn MemberConnection>, MemberError>;
}

/// A connection to a member.
#[async_trait]
pub trait MemberConnection: Send {
    /// Sends commands at once and reads all replies in order. The connection is of no use after an
    /// error, or when the call is dropped.
    ///
    /// # Errors
    ///
    /// Returns why the replies are not complete.
    async fn exchange(
        &mut self,
        commands: &[MemberCommand],
    ) -> Result<Vec<MemberReply>, MemberError>;

    /// Returns whether the far end has closed an idle connection.
    fn is_closed(&mut self) -> bool;

    /// Reads the replication state out of the reply to a status command.
    fn decode_status(&self, reply: &MemberReply) -> Option<MemberStatus>;
}

/// Orders that the platform carries out for one node at a time.
#[async_trait]
pub trait MemberPromoter: Send + Sync {
    /// Designates the member that takes over a service.
    ///
    /// # Errors
    ///
    /// Returns why the order is not known to be accepted.
    async fn promote(&self, service: &str, member: &str, fencing_token: u64) -> Result<(), String>;
}
