//! What a later owner must know to find the acknowledged commits that synchronous replicas protect.
//! Performs no input or output.

use serde::Deserialize;
use serde::Serialize;

use crate::failover::MemberView;
use crate::member::MemberKey;

/// Where the acknowledged commits of a service are. It is stored in the lease, and stays true whatever
/// happens to the members: one that has left, or has started anew, took its copies with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitCheckpoint {
    /// Number of members besides the primary that have received a commit when it is acknowledged.
    pub sync_replicas: usize,
    /// Members that may have received commits.
    pub members: Vec<MemberKey>,
}

impl CommitCheckpoint {
    /// Creates a checkpoint whose commits are held by these members.
    pub fn new(sync_replicas: usize, mut members: Vec<MemberKey>) -> Self {
        members.sort();
        members.dedup();
        Self { sync_replicas, members }
    }

    /// Returns the checkpoint for a primary whose commits `sync_replicas` of these members receive, given
    /// the recorded one.
    pub fn serving(
        recorded: Option<&Self>,
        sync_replicas: usize,
        members: Vec<MemberKey>,
    ) -> Option<Self> {
        match (recorded, sync_replicas) {
            (recorded, 0) => recorded.cloned(),
            (None, _) => Some(Self::new(sync_replicas, members)),
            (Some(recorded), _) => Some(recorded.extended(sync_replicas, &members)),
        }
    }

    /// Returns this checkpoint for commits that more members may receive, and that fewer may have to.
    pub fn extended(&self, sync_replicas: usize, members: &[MemberKey]) -> Self {
        let members = self.members.iter().chain(members).cloned().collect();
        Self::new(self.sync_replicas.min(sync_replicas), members)
    }

    /// Returns whether a member has the newest of so many logs that one of them has each commit: of the
    /// `sync_replicas` + 1 members with a commit, at least one was read. `is_read` tells whether a report
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
        let (read, unread): (Vec<&MemberView>, Vec<&MemberView>) =
            members.iter().partition(|view| is_read(view) && !view.is_empty());
        let is_listed = |key: &MemberKey| members.iter().any(|view| view.key == *key);
        let missing = self.members.iter().filter(|key| !is_listed(key)).count();
        let newest = read.into_iter().map(MemberView::log).max();
        unread.len() + missing <= sync_replicas.min(self.sync_replicas)
            && newest.is_some_and(|newest| member.log() >= newest)
    }
}
