//! A transaction block as the caller sees it.

use pgwire::messages::response::TransactionStatus;

/// A transaction block that a caller has opened.
///
/// The member hears of it only with the first statement in it, so that a block that waits for its
/// caller holds no connection, and one that meets a former primary can start anew elsewhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransactionBlock {
    /// Statement that opens it.
    pub begin_sql: String,
    /// Whether it only reads.
    pub is_read_only: bool,
    /// Whether the member has been told.
    pub is_started: bool,
    /// Whether it failed, so that only its end is accepted.
    pub is_failed: bool,
    /// Whether a statement of it has succeeded.
    pub has_run: bool,
}

impl TransactionBlock {
    /// Creates a block that no member knows of yet.
    pub fn new(begin_sql: String, is_read_only: bool) -> Self {
        Self { begin_sql, is_read_only, is_started: false, is_failed: false, has_run: false }
    }

    /// Creates a block that the member opened within a longer text.
    pub fn opened_by_member(status: TransactionStatus) -> Option<Self> {
        let is_failed = match status {
            TransactionStatus::Idle => return None,
            TransactionStatus::Transaction => false,
            TransactionStatus::Error => true,
        };
        Some(Self {
            is_started: true,
            is_failed,
            has_run: true,
            ..Self::new("BEGIN".to_owned(), false)
        })
    }

    /// Returns the status that the caller is told.
    pub fn status(&self) -> TransactionStatus {
        match self.is_failed {
            true => TransactionStatus::Error,
            false => TransactionStatus::Transaction,
        }
    }
}
