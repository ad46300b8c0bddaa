//! Where a term began.

use serde::Deserialize;
use serde::Serialize;

use crate::log_position::LogPosition;

/// A term and the log position with which its primary began it. What another log has beyond that position
/// in an earlier term is not part of the log of this term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, u64)", into = "(u64, u64, u64)")]
pub struct TermStart {
    /// The term.
    pub term: u64,
    /// Log position of its primary when the term began; for a promotion that is pending, when it was
    /// ordered.
    pub position: LogPosition,
}

impl TermStart {
    /// Returns whether a log is known to be a part of that of this term, or follows it. That of a primary
    /// which went on after it was replaced is neither, and an empty one has lost what it had. `followed_term`
    /// is the term that the member reports.
    pub fn is_aligned(&self, followed_term: u64, position: LogPosition) -> bool {
        if position == LogPosition::default() {
            return self.position == LogPosition::default();
        }
        let is_part = position.term == self.position.term && position <= self.position;
        followed_term.max(position.term) >= self.term || is_part
    }
}

impl From<(u64, u64, u64)> for TermStart {
    fn from((term, position_term, position): (u64, u64, u64)) -> Self {
        Self { term, position: LogPosition::new(position_term, position) }
    }
}

impl From<TermStart> for (u64, u64, u64) {
    fn from(start: TermStart) -> Self {
        (start.term, start.position.term, start.position.position)
    }
}
