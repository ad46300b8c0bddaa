//! Results and failures of statements.

use serde::Deserialize;
use serde::Serialize;

use crate::log_position::LogPosition;
use crate::name::Name;

/// Why a statement failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Failure {
    /// A limit is reached, or no member can run the statement now. No change was committed.
    Busy,
    /// The transaction was rolled back or the statement dropped. No change was committed.
    Aborted,
    /// The member's log lacks the required position. No change was committed.
    Lagging,
    /// The member does not accept writes. No change was committed.
    ReadOnly,
    /// The member is not the expected one. No change was committed.
    WrongMember,
    /// The member accepts no more connections. No change was committed.
    TooManyConnections,
    /// The member ran the statement, which failed.
    Failed,
    /// The statement exceeded its time limit.
    Timeout,
    /// The statement may or may not have taken effect.
    InDoubt,
    /// The prepared statement does not exist.
    UnknownPrepared,
    /// The credential is not valid.
    Unauthenticated,
    /// No route exists for the database.
    UnknownDatabase,
    /// The message is too large.
    TooLarge,
    /// The statement is invalid, or invalid in the current state of the session.
    Malformed,
}

impl Failure {
    /// Returns whether a member that reports this failure has not run the statement.
    pub fn was_not_executed(self) -> bool {
        matches!(
            self,
            Self::Busy
                | Self::Lagging
                | Self::ReadOnly
                | Self::WrongMember
                | Self::TooManyConnections
                | Self::UnknownPrepared
        )
    }

    /// Returns the short name that is used in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Aborted => "aborted",
            Self::Lagging => "lagging",
            Self::ReadOnly => "read_only",
            Self::WrongMember => "wrong_member",
            Self::TooManyConnections => "too_many_connections",
            Self::Failed => "failed",
            Self::Timeout => "timeout",
            Self::InDoubt => "in_doubt",
            Self::UnknownPrepared => "unknown_prepared",
            Self::Unauthenticated => "unauthenticated",
            Self::UnknownDatabase => "unknown_database",
            Self::TooLarge => "too_large",
            Self::Malformed => "malformed",
        }
    }
}

/// A failure with an explanation for operators and callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Kind of the failure.
    pub failure: Failure,
    /// Explanation in words.
    pub detail: Name,
}

impl Refusal {
    /// Creates a refusal.
    pub fn new(failure: Failure, detail: &str) -> Self {
        Self { failure, detail: detail.into() }
    }
}

/// The complete answer of a member to one statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Rows in the order in which they were received.
    pub rows: Vec<Name>,
    /// Member's signature of the statement and its rows; `-` for an answer of the node itself.
    pub signature: Name,
    /// Member's log position after the statement, if reported.
    pub position: Option<LogPosition>,
}

impl Answer {
    /// Returns the answer to a statement that no member needs to run.
    pub fn local() -> Self {
        Self { rows: Vec::new(), signature: "-".into(), position: None }
    }
}

/// State of a session's transaction block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BlockState {
    /// No transaction is open.
    Idle,
    /// A transaction is open.
    Open,
    /// The transaction has failed and can only be ended.
    Failed,
}
