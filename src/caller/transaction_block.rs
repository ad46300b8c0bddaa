//! Transaction blocks as callers see them.

use pgwire::messages::response::TransactionStatus;

/// A transaction block that a caller has opened.
///
/// BEGIN is sent to a member only together with the first statement. Until then, the block uses no
/// connection, and a block that reaches a former primary can be started again on another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransactionBlock {
    /// Statement that opens the block.
    pub begin_sql: String,
    /// Whether the block is READ ONLY.
    pub is_read_only: bool,
    /// Whether the block has been opened on a member.
    pub is_started: bool,
    /// Whether the block failed, so that only its end is accepted.
    pub is_failed: bool,
    /// Whether the member has answered a batch within the block and reported its transaction
    /// status.
    pub has_run: bool,
}

impl TransactionBlock {
    /// Creates a block that has not been opened on a member yet.
    pub fn new(begin_sql: String, is_read_only: bool) -> Self {
        Self { begin_sql, is_read_only, is_started: false, is_failed: false, has_run: false }
    }

    /// Creates a block that is open on the member although the daemon did not open it, for example
    /// by a query string of several statements. Returns `None` when the member reports no open
    /// block.
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

    /// Returns the transaction status to report to the caller.
    pub fn status(&self) -> TransactionStatus {
        match self.is_failed {
            true => TransactionStatus::Error,
            false => TransactionStatus::Transaction,
        }
    }
}
