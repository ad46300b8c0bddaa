//! State of a member at the end of a term.

use super::log_position::LogPosition;

/// State of a member at the moment it accepted a higher term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TermEnd {
    /// The term that ended. Terms start at 1.
    pub term: u64,
    /// Whether the member considered itself the primary.
    pub is_primary: bool,
    /// Position of the last log entry that it had received.
    pub received: LogPosition,
}
