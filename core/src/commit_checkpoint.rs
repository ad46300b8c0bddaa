//! What a later owner must know to find the acknowledged commits that synchronous replicas protect.
//! Performs no input or output.

use serde::Deserialize;
use serde::Serialize;

use crate::failover::MemberView;
use crate::log_position::LogPosition;
use crate::member::MemberKey;

/// Where the acknowledged commits of a service are. It is stored in the lease, and stays true whatever
/// happens to the members: one that has left, or has started anew, took its copies with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitCheckpoint {
    /// Log position that includes all commits of earlier terms, and of members that have left.
    pub base: LogPosition,
    /// Number of members besides the primary that have received a later commit when it is acknowledged;
    /// 0 if later commits are not protected.
    pub sync_replicas: usize,
    /// Members that may have received later commits.
    pub members: Vec<MemberKey>,
}

/// What to do about the recorded checkpoint while a primary serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckpointStep {
    /// Leave it as it is.
    Keep,
    /// Record another one whose base is the present position of the primary.
    Renew,
    /// Record none: each member has all commits that were protected.
    Remove,
}

impl CommitCheckpoint {
    /// Creates a checkpoint for commits after `base`, which these members may receive.
    pub fn new(base: LogPosition, sync_replicas: usize, mut members: Vec<MemberKey>) -> Self {
        members.sort();
        members.dedup();
        Self { base, sync_replicas, members }
    }

    /// Returns the checkpoint for a primary that starts to serve with the log up to `position`. `recorded`
    /// is that of the same term, which holds for its earlier commits.
    pub fn serving(
        recorded: Option<&Self>,
        position: LogPosition,
        sync_replicas: usize,
        members: Vec<MemberKey>,
    ) -> Self {
        match recorded {
            Some(recorded) if recorded.sync_replicas > 0 => {
                recorded.extended(sync_replicas, members)
            }
            _ => Self::new(position, sync_replicas, members),
        }
    }

    /// Returns this checkpoint for commits that more members may receive, and that fewer may have to.
    fn extended(&self, sync_replicas: usize, members: Vec<MemberKey>) -> Self {
        let members = self.members.iter().cloned().chain(members).collect();
        Self::new(self.base, self.sync_replicas.min(sync_replicas), members)
    }

    /// Returns whether this checkpoint holds for commits that these members may receive, whatever the term.
    pub fn covers(&self, sync_replicas: usize, members: &[MemberKey]) -> bool {
        (1..=sync_replicas).contains(&self.sync_replicas)
            && members.iter().all(|key| self.members.contains(key))
    }

    /// Decides what to do about the recorded checkpoint while commits have `sync_replicas` replicas and
    /// these members may receive them. `has_base` tells whether each of them has reported a log with a
    /// position.
    pub fn step<HasBase>(
        recorded: Option<&Self>,
        sync_replicas: usize,
        members: &[MemberKey],
        has_base: HasBase,
    ) -> CheckpointStep
    where
        HasBase: Fn(LogPosition) -> bool,
    {
        match (recorded, sync_replicas) {
            (None, 0) => CheckpointStep::Keep,
            (Some(recorded), 0) if recorded.sync_replicas == 0 && has_base(recorded.base) => {
                CheckpointStep::Remove
            }
            (Some(recorded), _)
                if *recorded == Self::new(recorded.base, sync_replicas, members.to_vec()) =>
            {
                CheckpointStep::Keep
            }
            _ => CheckpointStep::Renew,
        }
    }

    /// Returns whether a member has the base, and the newest of so many logs that one of them has each later
    /// commit: of the `sync_replicas` + 1 members with it, at least one was read. `is_read` tells whether a report
    /// of a log is later than the last commit. An empty log counts as not read: that of a member which
    /// started anew is empty whatever it had received.
    pub fn is_proven<IsRead>(
        &self,
        sync_replicas: usize,
        members: &[MemberView],
        member: &MemberView,
        is_read: IsRead,
    ) -> bool
    where
        IsRead: Fn(&MemberView) -> bool,
    {
        if member.position < self.base {
            return false;
        }
        if self.sync_replicas == 0 {
            return sync_replicas == 0;
        }
        let (read, unread): (Vec<&MemberView>, Vec<&MemberView>) =
            members.iter().partition(|view| is_read(view) && !view.is_empty());
        let is_listed = |key: &MemberKey| members.iter().any(|view| view.key == *key);
        let missing = self.members.iter().filter(|key| !is_listed(key)).count();
        let newest = read.into_iter().map(MemberView::log).max();
        let counted = match sync_replicas {
            0 => self.sync_replicas,
            _ => self.sync_replicas.min(sync_replicas),
        };
        unread.len() + missing <= counted && newest.is_some_and(|newest| member.log() >= newest)
    }
}
