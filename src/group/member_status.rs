//! Status that a member reports about itself.

use super::log_position::LogPosition;

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
}
