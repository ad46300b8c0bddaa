//! What a majority of a group's members is known to hold, free of input and output.

use super::log_position::LogPosition;
use super::member_status::MemberStatus;

/// A status with the time at which it was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// When the question was sent, in milliseconds.
    pub sent_at_ms: u64,
    /// Number of the question; questions are numbered in the order in which they are sent.
    pub probe_number: u64,
    /// The answer.
    pub status: MemberStatus,
}

/// Whether a write is held by a majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acknowledgement {
    /// A majority holds it under its term, so that it can no longer be lost.
    Confirmed,
    /// Not yet known.
    Pending,
    /// So many members have accepted a higher term that it can no longer be confirmed.
    Superseded,
}

/// Last observations of each member of a group.
#[derive(Clone, Debug)]
pub struct QuorumView {
    observations: Vec<Option<Observation>>,
    unreachable: Vec<bool>,
}

impl QuorumView {
    /// Creates a view of a group with that many members.
    pub fn new(members: usize) -> Self {
        Self { observations: vec![None; members], unreachable: vec![true; members] }
    }

    /// Returns the least number of members that is a majority.
    pub fn majority(&self) -> usize {
        self.observations.len() / 2 + 1
    }

    /// Notes a status.
    pub fn observe(&mut self, member: usize, observation: Observation) {
        self.observations[member] = Some(observation);
        self.unreachable[member] = false;
    }

    /// Notes that a member gave no answer. What it held it still holds.
    pub fn mark_unreachable(&mut self, member: usize) {
        self.unreachable[member] = true;
    }

    /// Returns whether the member answered the last question.
    pub fn is_reachable(&self, member: usize) -> bool {
        !self.unreachable[member]
    }

    /// Returns the last status of a member.
    pub fn status(&self, member: usize) -> Option<MemberStatus> {
        self.observations[member].map(|observation| observation.status)
    }

    /// Returns whether a write committed by the primary of `commit.term` is safe.
    ///
    /// The primary itself holds it. Another member counts if its last entry is of the same term,
    /// so that its log is a prefix of the primary's, and if it has accepted no higher term. Any
    /// later primary is then chosen among a majority of which one member holds the write.
    pub fn acknowledgement(&self, commit: LogPosition) -> Acknowledgement {
        let holds = |status: &MemberStatus| {
            !status.is_primary
                && status.accepted_term == commit.term
                && status.received.term == commit.term
                && status.received.position >= commit.position
        };
        let statuses = self.observations.iter().flatten().map(|observation| observation.status);
        let others = statuses.clone().filter(holds).count();
        let moved_on = statuses.filter(|status| status.accepted_term > commit.term).count();
        if others + 1 >= self.majority() {
            Acknowledgement::Confirmed
        } else if self.len() - moved_on < self.majority() {
            Acknowledgement::Superseded
        } else {
            Acknowledgement::Pending
        }
    }

    /// Returns a place that includes every write acknowledged before question `since`.
    ///
    /// It needs answers of a majority that have accepted the same, highest seen, term.
    pub fn floor(&self, since: u64) -> Option<LogPosition> {
        let fresh = || {
            let observations = self.observations.iter().flatten();
            observations.filter(|observation| observation.probe_number >= since)
        };
        let term = fresh().map(|observation| observation.status.accepted_term).max()?;
        let agreeing = fresh().filter(|observation| observation.status.accepted_term == term);
        if agreeing.clone().count() < self.majority() {
            return None;
        }
        agreeing.map(|observation| observation.status.received).max()
    }

    /// Returns the member to which writes go: it claims to be primary, and no member is known to
    /// have accepted a higher term.
    pub fn primary(&self) -> Option<usize> {
        let highest = self.highest_term();
        let is_primary = |member: &usize| {
            let status = self.status(*member).unwrap_or_default();
            status.is_primary && status.accepted_term == highest && self.is_reachable(*member)
        };
        (0..self.observations.len()).find(is_primary)
    }

    /// Returns the highest term that any member is known to have accepted.
    pub fn highest_term(&self) -> u64 {
        let statuses = self.observations.iter().flatten();
        statuses.map(|observation| observation.status.accepted_term).max().unwrap_or(0)
    }

    /// Returns how many members answered the last question.
    pub fn reachable_count(&self) -> usize {
        self.unreachable.iter().filter(|unreachable| !**unreachable).count()
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.observations.len()
    }

    /// Returns whether the group has no members.
    pub fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }
}
