//! What a member tells of itself.

use super::log_position::LogPosition;

/// What a member tells of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberStatus {
    /// Whether the member believes that it is the primary.
    pub is_primary: bool,
    /// Highest term the member has accepted.
    pub accepted_term: u64,
    /// Last log entry that it holds.
    pub received: LogPosition,
    /// Last log entry that its readers see.
    pub applied: LogPosition,
    /// Time since it last heard a primary, in milliseconds; 0 on a primary.
    pub primary_silent_ms: u64,
}
