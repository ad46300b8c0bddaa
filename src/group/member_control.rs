//! The calls by which a group is watched and steered.

use async_trait::async_trait;

use super::log_position::LogPosition;
use super::member_status::MemberStatus;

/// Why a member gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberError {
    /// The member could not be reached, or did not answer in time.
    Unreachable(String),
    /// The member answered that it does not do it.
    Refused(String),
}

/// Answer to a call that a member may refuse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlReply {
    /// Whether the member did as asked.
    pub is_granted: bool,
    /// Its state after the call.
    pub status: MemberStatus,
}

/// A member as its group's watchers see it.
///
/// Members of another make offer other calls; the decisions need no more than these.
#[async_trait]
pub trait MemberControl: Send + Sync {
    /// Reports the member's state.
    async fn status(&self) -> Result<MemberStatus, MemberError>;

    /// Asks the member to accept a term for one promoter and to refuse all lower ones.
    async fn accept_term(&self, term: u64, promoter: &str) -> Result<ControlReply, MemberError>;

    /// Makes the member primary of a term that it accepted for the promoter.
    async fn promote(&self, term: u64, promoter: &str) -> Result<ControlReply, MemberError>;

    /// Asks the primary to take no new writes, and waits for the running ones.
    async fn step_down(&self, term: u64) -> Result<ControlReply, MemberError>;

    /// Takes back a step down.
    async fn resume(&self, term: u64) -> Result<ControlReply, MemberError>;

    /// Reports whether readers of the member see a place in the log.
    async fn has_applied(&self, floor: LogPosition) -> Result<ControlReply, MemberError>;
}
