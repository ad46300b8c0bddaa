//! What a caller may be told about work that was not answered completely.

/// Work that was sent to a member, or to the node connected to it, and not answered completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnansweredWork {
    /// Whether a transaction was open.
    pub is_in_transaction: bool,
    /// Whether the work, or the transaction that it ends, may have written data.
    pub may_write: bool,
    /// Whether the work may have ended the transaction.
    pub may_end_transaction: bool,
}

impl UnansweredWork {
    /// Returns whether changes may have been committed. An uncommitted transaction is rolled back
    /// when the connection ends.
    pub fn may_have_taken_effect(self) -> bool {
        self.may_write && (!self.is_in_transaction || self.may_end_transaction)
    }

    /// Returns whether the work may be retried transparently, provided that the caller has received
    /// no part of the answer.
    pub fn may_be_retried(self) -> bool {
        !self.may_have_taken_effect() && !self.is_in_transaction
    }
}
