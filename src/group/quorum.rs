//! Decides from the members' statuses what a majority has received, without any I/O.

use std::cmp::Reverse;

use super::log_position::LogPosition;
use super::member_status::MemberStatus;

/// A member's status and the probe that returned it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// When the probe was sent, in milliseconds since boot.
    pub sent_at_ms: u64,
    /// Number of the latest probe request when the probe was sent.
    pub probe_number: u64,
    /// Status that the member reported.
    pub status: MemberStatus,
}

/// Whether a majority of members has received a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acknowledgement {
    /// A majority has received it in its term, so that no failover can lose it.
    Confirmed,
    /// Not yet known.
    Pending,
    /// So many members have accepted a higher term without it that a majority can no longer confirm
    /// it.
    Superseded,
}

/// A log position that includes every write acknowledged before a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Floor {
    /// The log position.
    pub position: LogPosition,
    /// The time, in milliseconds since boot.
    pub valid_at_ms: u64,
}

/// Latest observation of each member of a group.
#[derive(Clone, Debug)]
pub struct QuorumView {
    observations: Vec<Option<Observation>>,
    unreachable: Vec<bool>,
}

impl QuorumView {
    /// Creates a view of a group of `members` members, none of which has been observed.
    pub fn new(members: usize) -> Self {
        Self { observations: vec![None; members], unreachable: vec![true; members] }
    }

    /// Returns the smallest number of members that is a majority.
    pub fn majority(&self) -> usize {
        self.observations.len() / 2 + 1
    }

    /// Records the status of a member.
    pub fn observe(&mut self, member: usize, observation: Observation) {
        self.observations[member] = Some(observation);
        self.unreachable[member] = false;
    }

    /// Records that a member did not answer. Its last status is kept, because log entries that it
    /// has received stay received.
    pub fn mark_unreachable(&mut self, member: usize) {
        self.unreachable[member] = true;
    }

    /// Returns whether the member answered its last probe.
    pub fn is_reachable(&self, member: usize) -> bool {
        !self.unreachable[member]
    }

    /// Returns the last known status of a member.
    pub fn status(&self, member: usize) -> Option<MemberStatus> {
        self.observations[member].map(|observation| observation.status)
    }

    /// Returns whether a write committed by the primary of `commit.term` is durable.
    ///
    /// The primary itself has the write. Another member counts if its last entry is of the same
    /// term, so that its log is a prefix of the primary's, and if it has accepted no higher term,
    /// or had this log when it accepted one. Each majority that elects a later primary then contains
    /// a member that has the write.
    pub fn acknowledgement(&self, commit: LogPosition) -> Acknowledgement {
        let others = || {
            let statuses = self.observations.iter().map(|observed| observed.map(|it| it.status));
            statuses.filter(|status| !status.is_some_and(|it| it.was_primary_in(commit.term)))
        };
        let has_received = |status: &MemberStatus| status.has_received_in_term(commit);
        let may_receive = |status: &MemberStatus| status.accepted_term <= commit.term;
        let confirming = others().flatten().filter(has_received).count();
        let possible = others()
            .filter(|status| status.is_none_or(|it| has_received(&it) || may_receive(&it)))
            .count();
        if confirming + 1 >= self.majority() {
            Acknowledgement::Confirmed
        } else if possible + 1 < self.majority() {
            Acknowledgement::Superseded
        } else {
            Acknowledgement::Pending
        }
    }

    /// Returns a log position that includes every write acknowledged before probe request
    /// `first_probe`, and the time up to which it does.
    ///
    /// This requires answers to probes sent since that request from a majority of members that have
    /// accepted the highest term seen in these answers. Otherwise, returns `None`. The answers may
    /// be of different times: the floor is valid at the time since which a majority was probed.
    pub fn floor(&self, first_probe: u64) -> Option<Floor> {
        let recent = || {
            let observations = self.observations.iter().flatten();
            observations.filter(|observation| observation.probe_number >= first_probe)
        };
        let term = recent().map(|observation| observation.status.accepted_term).max()?;
        let agreeing = recent().filter(|observation| observation.status.accepted_term == term);
        let position = agreeing.clone().map(|observation| observation.status.received).max()?;
        let mut sent_at_ms: Vec<u64> = agreeing.map(|observation| observation.sent_at_ms).collect();
        sent_at_ms.sort_unstable_by_key(|at_ms| Reverse(*at_ms));
        let valid_at_ms = *sent_at_ms.get(self.majority() - 1)?;
        Some(Floor { position, valid_at_ms })
    }

    /// Returns the member to which writes go: one that is reachable and claims to be primary, while
    /// no member is known to have accepted a higher term.
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

    /// Returns how many members answered their last probe.
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
