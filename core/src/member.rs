//! Members of a service, and the interface to their protocol.

use std::net::SocketAddr;

use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;

use crate::log_position::LogPosition;
use crate::name::Name;
use crate::outcome::BlockState;
use crate::outcome::Refusal;
use crate::reply_mismatch::Mismatch;
use crate::statement::Access;
use crate::statement::PreparedShape;

/// Identity of one incarnation of a member, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberKey {
    /// Name of the member, unique over all services.
    pub id: Name,
    /// Start time in Unix milliseconds as the member reports it; 0 if it reports none.
    pub incarnation: u64,
}

/// A member as listed by service discovery.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Name and incarnation.
    pub key: MemberKey,
    /// Service that it belongs to.
    pub service: Name,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: Name,
    /// Number of statements that it runs concurrently.
    pub slots: usize,
    /// Whether it is about to leave the service.
    pub is_draining: bool,
    /// Time until its warm-up ends, in milliseconds.
    pub cold_ms: u64,
    /// Whether it reports to be primary.
    pub claims_primary: bool,
}

/// Replication state as a member reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Whether it is primary.
    pub is_primary: bool,
    /// Its current term.
    pub term: u64,
    /// Newest log position that it has received.
    pub position: LogPosition,
}

/// Number by which a connection tells its prepared statements apart. It stands for the statement's
/// name at the member, which must not depend on a caller's text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PreparedNumber(pub u64);

/// A data statement as a member runs it on one connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandBody {
    /// The text that the caller sent.
    Text(Name),
    /// A statement that was prepared on the connection.
    Execute {
        /// Number of the prepared statement.
        prepared: PreparedNumber,
        /// Arguments as the caller sent them.
        arguments: Name,
    },
}

/// One command to a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberCommand {
    /// Starts a transaction.
    Begin {
        /// Caller's id of the statement.
        id: Name,
        /// Whether the transaction is read-only.
        is_read_only: bool,
        /// Position that the member's log must include.
        floor: Option<LogPosition>,
    },
    /// Runs a data statement.
    Run {
        /// Caller's id of the statement.
        id: Name,
        /// Whether it may write.
        access: Access,
        /// Statement to run.
        body: CommandBody,
        /// Position that the member's log must include.
        floor: Option<LogPosition>,
    },
    /// Commits the transaction.
    Commit {
        /// Caller's id of the statement.
        id: Name,
    },
    /// Sets a session value.
    Set {
        /// Name of the value.
        name: Name,
        /// The value.
        value: Name,
    },
    /// Prepares a statement.
    Prepare {
        /// Number that no other prepared statement has had on the connection.
        prepared: PreparedNumber,
        /// Definition of the statement.
        shape: PreparedShape,
    },
    /// Discards session values and prepared statements.
    Reset,
    /// Requests the replication state of the member.
    Status,
    /// Turns a primary of a lower term into a replica.
    StepDown {
        /// Term of the new primary.
        term: u64,
    },
}

impl MemberCommand {
    /// Returns the caller's id of the statement, or `-` for a command of the node's own.
    pub fn id(&self) -> &str {
        match self {
            Self::Begin { id, .. } | Self::Run { id, .. } | Self::Commit { id } => id,
            _ => "-",
        }
    }
}

/// The complete reply of a member to one command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberReply {
    /// Rows in the order in which they were received.
    pub rows: Vec<Name>,
    /// Signature of the result, or the failure.
    pub result: Result<Name, Refusal>,
    /// Transaction state of the connection after the command.
    pub block: BlockState,
    /// Log position after the command, if reported.
    pub position: Option<LogPosition>,
}

impl MemberReply {
    /// Returns whether the member refused the command without executing it.
    pub fn was_not_executed(&self) -> bool {
        self.result.as_ref().is_err_and(|refusal| refusal.failure.was_not_executed())
    }
}

/// Why a connection to a member failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberError {
    /// Nothing listens at the address, or the member closed the connection.
    Closed(String),
    /// The member did not answer in time.
    Timeout,
    /// The member refused the connection.
    Refused(Refusal),
    /// The member sent data that cannot be decoded.
    Protocol(String),
    /// The reply is larger than permitted, or there is no memory for it. The rest was not read.
    TooLarge(&'static str),
    /// The member sent a reply that cannot be shown to be that of the command that waits for one.
    Mismatched(Mismatch),
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
            Self::TooLarge(reason) => write!(formatter, "reply not read: {reason}"),
            Self::Mismatched(mismatch) => {
                write!(formatter, "reply without proof: {}", mismatch.label())
            }
        }
    }
}

/// Opens connections to members.
#[async_trait]
pub trait MemberConnector: Send + Sync {
    /// Connects to one incarnation of a member on behalf of a tenant.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection cannot be established.
    async fn connect(
        &self,
        member: &MemberEntry,
        tenant: &str,
    ) -> Result<Box<dyn MemberConnection>, MemberError>;
}

/// What has arrived on a connection on which no command waits for a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdleInput {
    /// Nothing.
    Nothing,
    /// A whole reply.
    Reply(MemberReply),
    /// Something else, such as a part of a reply.
    Unreadable,
    /// The end of the connection.
    Closed,
}

/// A connection to a member. It must not be used again after an error, or if a call is dropped before
/// it completes.
#[async_trait]
pub trait MemberConnection: Send {
    /// Sends all commands in one batch.
    ///
    /// # Errors
    ///
    /// Returns an error when not all commands were sent.
    async fn send(&mut self, commands: &[MemberCommand]) -> Result<(), MemberError>;

    /// Receives the next reply, whichever command it belongs to.
    ///
    /// # Errors
    ///
    /// Returns an error when no whole reply was received; [`Mismatch::CutOff`] if only a part of its
    /// rows was.
    async fn receive(&mut self) -> Result<MemberReply, MemberError>;

    /// Takes what has arrived while no command waits for a reply.
    fn take_input(&mut self) -> IdleInput;

    /// Decodes the replication state from the reply to a status command.
    fn decode_status(&self, reply: &MemberReply) -> Option<MemberStatus>;
}

/// Why an order to promote a member was not confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PromotionError {
    /// The order was refused or not sent; it has no effect.
    NotDone(String),
    /// The order may have been carried out, or may be carried out later.
    Unknown(String),
}

impl std::fmt::Display for PromotionError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotDone(reason) => write!(formatter, "not done: {reason}"),
            Self::Unknown(reason) => write!(formatter, "may take effect: {reason}"),
        }
    }
}

/// Promotes members through the platform, which accepts orders from one node at a time.
#[async_trait]
pub trait MemberPromoter: Send + Sync {
    /// Orders the promotion of a member to primary of a service. The order is sent only before
    /// `send_before_ms`, a time of [`crate::clock::now_ms`], which is checked when nothing else is left
    /// to wait for: the process may have been suspended since the caller looked at its lease.
    ///
    /// # Errors
    ///
    /// Returns an error when the order is not known to be accepted.
    async fn promote(
        &self,
        service: &str,
        member: &str,
        fencing_token: u64,
        send_before_ms: u64,
    ) -> Result<(), PromotionError>;
}
