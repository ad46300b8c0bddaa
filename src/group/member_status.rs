//! Status that a member reports about itself.

use super::log_position::LogPosition;
use super::term_end::TermEnd;

/// Status that a member reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberStatus {
    /// Whether the member considers itself the primary.
    pub is_primary: bool,
    /// Highest term that the member has accepted.
    pub accepted_term: u64,
    /// Position of the last log entry that it has received.
    pub received: LogPosition,
    /// Position of the last log entry that its reads include.
    pub applied: LogPosition,
    /// Time since it last heard from a primary, in milliseconds; 0 on a primary.
    pub primary_silent_ms: u64,
    /// How its previous term ended; of term 0 if it has accepted only one term.
    pub previous_term_end: TermEnd,
}

impl MemberStatus {
    /// Returns whether the member is known to have been the primary of a term.
    pub fn was_primary_in(&self, term: u64) -> bool {
        let end = self.previous_term_end;
        (self.is_primary && self.accepted_term == term) || (end.is_primary && end.term == term)
    }

    /// Returns whether the member had received a commit from the primary of the commit's term
    /// before it accepted a higher one.
    ///
    /// What it receives later may come from another primary, which can still be replaced by one
    /// that lacks the commit.
    pub fn has_received_in_term(&self, commit: LogPosition) -> bool {
        let holds = |received: LogPosition| {
            received.term == commit.term && received.position >= commit.position
        };
        let end = self.previous_term_end;
        let is_within_term = self.accepted_term == commit.term && holds(self.received);
        let was_within_term = end.term == commit.term && holds(end.received);
        is_within_term || was_within_term
    }
}
