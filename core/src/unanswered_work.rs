//! What a caller may be told of work whose answer is lost.

/// Work that was sent to a member, or to the node that talks to it, without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnansweredWork {
    /// Whether a transaction was open.
    pub is_in_transaction: bool,
    /// Whether the work, or the transaction that it ends, may have written.
    pub may_write: bool,
    /// Whether the work may have ended the transaction.
    pub may_end_transaction: bool,
}

impl UnansweredWork {
    /// Returns whether something may be kept of it. A transaction without its commit is rolled
    /// back when the connection ends.
    pub fn may_have_taken_effect(self) -> bool {
        self.may_write && (!self.is_in_transaction || self.may_end_transaction)
    }

    /// Returns whether it may run once more without the caller's knowledge, if the caller has been
    /// told nothing of it.
    pub fn may_be_retried(self) -> bool {
        !self.may_have_taken_effect() && !self.is_in_transaction
    }
}
