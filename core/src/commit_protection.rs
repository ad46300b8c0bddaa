//! Chooses the member that replaces a lost primary, and decides whether it may be promoted although it
//! may lack acknowledged commits. Performs no input or output.

use crate::commit_checkpoint::CommitCheckpoint;
use crate::failover::MemberView;
use crate::log_position::LogPosition;
use crate::member::MemberKey;
use crate::name::Name;
use crate::term_start::TermStart;

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

/// What is known of the acknowledged commits of a service without a primary.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CommitEvidence {
    /// Newest position that this owner has acknowledged under the last primary, if it has any.
    pub acknowledged: Option<LogPosition>,
    /// Position of the last primary when this owner adopted it; `None` if it has served no primary. Not
    /// all of it need have been acknowledged.
    pub adopted: Option<LogPosition>,
    /// Number of replicas that have received a commit before the primary acknowledges it; `None` if it
    /// is not known.
    pub sync_replicas: Option<usize>,
    /// Where the commits are that synchronous replicas protect, if any owner has recorded that.
    pub checkpoint: Option<CommitCheckpoint>,
    /// Where the newest term began that has served.
    pub term_start: Option<TermStart>,
    /// Members that are missing from the list and may return with commits.
    pub may_return: Vec<MemberKey>,
    /// Time from which on a report of a log is later than the last acknowledged commit, in
    /// milliseconds.
    pub read_since_ms: u64,
}

impl CommitEvidence {
    /// Returns whether a member answers and has reported its log since the last commit.
    fn is_read(&self, member: &MemberView) -> bool {
        member.answers() && member.position_at_ms >= self.read_since_ms
    }

    /// Returns the newest position that a successor should have.
    fn needed(&self) -> Option<LogPosition> {
        self.acknowledged.max(self.adopted)
    }

    /// Returns the recorded position that a log with all earlier commits has reached.
    fn base(&self) -> Option<LogPosition> {
        self.checkpoint.as_ref().map(|checkpoint| checkpoint.base)
    }

    /// Returns whether a log has no entries that the newest term has not. Reads of that term lacked them.
    pub fn is_aligned(&self, member: &MemberView) -> bool {
        let (held_term, position) = member.log();
        self.term_start.is_none_or(|start| start.is_aligned(held_term, position))
    }

    /// Returns the rank of a log among those that may lack acknowledged commits. With synchronous replicas
    /// entries that the newest term lacks were not acknowledged, so the most commits count; without them
    /// reads must not be contradicted.
    fn rank(&self, member: &MemberView) -> (bool, (u64, LogPosition)) {
        let comes_first = match self.is_protected() {
            true => self.base().is_none_or(|base| member.position >= base),
            false => self.is_aligned(member),
        };
        (comes_first, member.log())
    }

    /// Returns whether no acknowledged commit may be lost for as long as a member that may have it can
    /// return. Commits of a time with synchronous replicas are protected after it as well.
    pub fn is_protected(&self) -> bool {
        self.sync_replicas != Some(0) || self.checkpoint.is_some()
    }

    /// Returns whether a member that has reported its log is known to have every acknowledged commit.
    ///
    /// An owner that has acknowledged nothing itself may know that by the number of logs. Without
    /// synchronous replicas an owner that has served no primary can know nothing.
    pub fn is_complete(&self, members: &[MemberView], member: &MemberView) -> bool {
        if !self.is_aligned(member) {
            return false;
        }
        if self.needed().is_some_and(|needed| member.position >= needed) {
            return true;
        }
        if !self.is_protected() {
            return self.needed().is_none();
        }
        let Some(checkpoint) = self.checkpoint.as_ref() else { return false };
        let Some(sync_replicas) = self.sync_replicas else { return false };
        self.acknowledged.is_none()
            && checkpoint.is_proven(sync_replicas, members, member, |view| self.is_read(view))
    }

    /// Returns whether a member that was not read may have commits: it is listed, or may return.
    fn is_log_awaited(&self, members: &[MemberView]) -> bool {
        !self.may_return.is_empty() || !members.iter().all(|member| self.is_read(member))
    }
}

/// What to do about a primary that is lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Promote this member, which has every acknowledged commit that is known of.
    Complete(MemberKey),
    /// Wait for a member that may have them: one that answers or returns later, or the primary.
    Wait,
    /// Promote this member, which lacks some: the wait is over, or no listed member has them.
    Incomplete(MemberKey, CommitLoss),
    /// No member that may stay in the service answers.
    Nobody,
}

/// Chooses the successor of a lost primary. Without synchronous replicas it waits up to a limit for
/// one that has all acknowledged commits, with them for as long as a member may have them that is listed
/// or may return. It waits as long while the only logs are those of members that did not follow the newest
/// term and may have gone on in an earlier one.
#[derive(Debug, Default)]
pub struct CommitProtection {
    waiting_since_ms: Option<u64>,
    /// Whether the wait ends only when a member that may have the commits answers or has left.
    is_unlimited: bool,
}

impl CommitProtection {
    /// Chooses among the members other than `primary`, the one that is lost. The limit counts from the
    /// first call without an immediate choice since the last call of [`Self::end_wait`].
    ///
    /// A member that must leave is chosen only if no other one has the commits: it gets no work as
    /// primary, and its role is moved on at once.
    pub fn choose(
        &mut self,
        now_ms: u64,
        limit_ms: u64,
        evidence: &CommitEvidence,
        members: &[MemberView],
        primary: Option<&MemberKey>,
    ) -> Verdict {
        let read = || {
            let others = members.iter().filter(|member| Some(&member.key) != primary);
            others.filter(|member| evidence.is_read(member))
        };
        if read().all(|member| member.must_leave) {
            return Verdict::Nobody;
        }
        let complete =
            read().filter(|member| evidence.is_complete(members, member)).max_by_key(|member| {
                let may_stay = !member.must_leave;
                (may_stay, !member.is_unpromotable, member.log(), member.is_replica())
            });
        if let Some(member) = complete.filter(|member| !member.is_unpromotable) {
            self.is_unlimited = false;
            return Verdict::Complete(member.key.clone());
        }
        let since_ms = *self.waiting_since_ms.get_or_insert(now_ms);
        let aligned = || read().filter(|member| evidence.is_aligned(member));
        let is_unlimited = evidence.is_protected() || aligned().next().is_none();
        let is_over = match is_unlimited {
            false => now_ms.saturating_sub(since_ms) >= limit_ms,
            true => {
                let is_known = evidence.sync_replicas.is_some();
                is_known && complete.is_none() && !evidence.is_log_awaited(members)
            }
        };
        self.is_unlimited = !is_over && complete.is_none() && is_unlimited;
        if !is_over {
            return complete.map_or(Verdict::Wait, |member| Verdict::Complete(member.key.clone()));
        }
        let preference =
            |member: &&MemberView| (evidence.rank(member), !member.must_leave, member.is_replica());
        let promotable = || read().filter(|member| !member.is_unpromotable);
        let best = match promotable().all(|member| member.must_leave) {
            true => read().max_by_key(preference),
            false => promotable().max_by_key(preference),
        };
        let Some(best) = best else { return Verdict::Nobody };
        let start = evidence.term_start.filter(|_| !evidence.is_aligned(best));
        let needed = evidence.needed().max(evidence.base());
        let lacking = needed.filter(|position| best.position < *position);
        let acknowledged = lacking.or(start.map(|start| start.position));
        match acknowledged {
            None => Verdict::Complete(best.key.clone()),
            Some(acknowledged) => {
                let (member, held) = (best.key.id.clone(), best.position);
                Verdict::Incomplete(best.key.clone(), CommitLoss { member, acknowledged, held })
            }
        }
    }

    /// Returns whether a wait has begun and not ended.
    pub fn is_waiting(&self) -> bool {
        self.waiting_since_ms.is_some()
    }

    /// Returns whether a wait has begun that no time ends.
    pub fn is_unlimited(&self) -> bool {
        self.is_unlimited
    }

    /// Ends the wait, since a primary serves again.
    pub fn end_wait(&mut self) {
        self.waiting_since_ms = None;
        self.is_unlimited = false;
    }
}
