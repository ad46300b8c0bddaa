//! How statements end.

use serde::Deserialize;
use serde::Serialize;

use crate::log_position::LogPosition;
use crate::name::Name;

/// Why a statement failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Failure {
    /// No capacity, a limit is reached, or no member can take it now. Nothing is kept.
    Busy,
    /// The transaction was rolled back or the statement dropped. Nothing is kept.
    Aborted,
    /// The member's log lacks the required position. Nothing is kept.
    Lagging,
    /// The member does not accept writes. Nothing is kept.
    ReadOnly,
    /// The member is another one than expected. Nothing is kept.
    WrongMember,
    /// The member has no connection left. Nothing is kept.
    TooManyConnections,
    /// The member ran the statement and it failed.
    Failed,
    /// The statement ran for too long.
    Timeout,
    /// The statement may or may not have taken effect.
    InDoubt,
    /// No such prepared statement.
    UnknownPrepared,
    /// The credential is not valid.
    Unauthenticated,
    /// No route leads to the database.
    UnknownDatabase,
    /// The message is too large.
    TooLarge,
    /// The statement is not valid here.
    Malformed,
}

impl Failure {
    /// Returns whether a member that answers this has not run the statement.
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

    /// Short name for logs and metrics.
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

/// A failure with an explanation for people.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub failure: Failure,
    /// What happened, in words.
    pub detail: Name,
}

impl Refusal {
    /// Creates a refusal.
    pub fn new(failure: Failure, detail: &str) -> Self {
        Self { failure, detail: detail.into() }
    }
}

/// The whole answer of a member to one statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Rows in their order.
    pub rows: Vec<Name>,
    /// The member's signature over the statement and its rows; empty for what a node answers itself.
    pub signature: Name,
    /// The member's log position after the statement, if told.
    pub position: Option<LogPosition>,
}

impl Answer {
    /// Answer to a statement that no member needs to run.
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
    /// The open transaction has failed and can only be ended.
    Failed,
}
