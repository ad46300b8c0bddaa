//! Control calls with which daemons monitor a group and change its primary.

use async_trait::async_trait;

use super::log_position::LogPosition;
use super::member_status::MemberStatus;

/// Why a connection or a call to a member failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberError {
    /// The member could not be reached, did not answer in time, or closed the connection.
    Unreachable(String),
    /// The member refused the call, or its reply has an unexpected form.
    Refused(String),
}

/// Reply of a member to a control call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlReply {
    /// Whether the member complied with the call.
    pub is_granted: bool,
    /// Status of the member after the call.
    pub status: MemberStatus,
}

/// Control interface of a member.
///
/// The failover logic uses only these calls, so that it also works with other database products
/// that offer them in another form.
#[async_trait]
pub trait MemberControl: Send + Sync {
    /// Returns the member's status.
    async fn status(&self) -> Result<MemberStatus, MemberError>;

    /// Asks the member to accept a term and to refuse all lower ones. `promoter` identifies the
    /// daemon for which it accepts the term.
    async fn accept_term(&self, term: u64, promoter: &str) -> Result<ControlReply, MemberError>;

    /// Makes the member primary of a term that it accepted for the promoter.
    async fn promote(&self, term: u64, promoter: &str) -> Result<ControlReply, MemberError>;

    /// Asks the primary to accept no new writes, and waits for the running ones to finish.
    async fn step_down(&self, term: u64) -> Result<ControlReply, MemberError>;

    /// Reverts a step-down, so that the primary takes writes again.
    async fn resume(&self, term: u64) -> Result<ControlReply, MemberError>;

    /// Reports in `is_granted` whether the member has applied a log position.
    async fn has_applied(&self, floor: LogPosition) -> Result<ControlReply, MemberError>;
}
