//! Decides whether a successor that lacks acknowledged commits may be promoted. Performs no input or
//! output.

use crate::log_position::LogPosition;
use crate::name::Name;

/// Acknowledged commits that a promoted member lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommitLoss {
    /// The member that is promoted.
    pub member: Name,
    /// Newest log position that was acknowledged to a caller.
    pub acknowledged: LogPosition,
    /// Log position of the member when its promotion was ordered.
    pub held: LogPosition,
}

impl CommitLoss {
    /// Returns the greatest number of acknowledged commits that may be lost: positions are
    /// consecutive, but not every commit between the two was acknowledged.
    pub fn max_commits(&self) -> u64 {
        self.acknowledged.position.saturating_sub(self.held.position).max(1)
    }
}

/// What a successor's log means for its promotion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It has every acknowledged commit that this owner knows of.
    Complete,
    /// It lacks some: wait for it to receive them, or for the primary to return.
    Wait,
    /// It lacks some, and the wait is over.
    Incomplete(CommitLoss),
}

/// Waits for a successor that has all acknowledged commits, up to a limit, while a primary is lost.
#[derive(Debug, Default)]
pub struct CommitProtection {
    waiting_since_ms: Option<u64>,
}

impl CommitProtection {
    /// Judges the best successor. `acknowledged` is the newest position that this owner has
    /// acknowledged, or `None` if it has served no primary. The limit counts from the first check
    /// since the last call of [`Self::end_wait`].
    pub fn check(
        &mut self,
        now_ms: u64,
        limit_ms: u64,
        acknowledged: Option<LogPosition>,
        member: &Name,
        held: LogPosition,
    ) -> Verdict {
        let Some(acknowledged) = acknowledged.filter(|acknowledged| held < *acknowledged) else {
            return Verdict::Complete;
        };
        let since_ms = *self.waiting_since_ms.get_or_insert(now_ms);
        match now_ms.saturating_sub(since_ms) < limit_ms {
            true => Verdict::Wait,
            false => Verdict::Incomplete(CommitLoss { member: member.clone(), acknowledged, held }),
        }
    }

    /// Returns whether a wait has begun and not ended.
    pub fn is_waiting(&self) -> bool {
        self.waiting_since_ms.is_some()
    }

    /// Ends the wait, since a primary serves again.
    pub fn end_wait(&mut self) {
        self.waiting_since_ms = None;
    }
}
