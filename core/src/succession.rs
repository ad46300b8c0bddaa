//! The terms of a service's primaries across its owners: which primary may serve, and what the next
//! owner must know first. Performs no input or output.

use crate::name::Name;

/// What the next owner of a service must know about its primary. It is stored in the lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Leadership {
    /// Newest term that an owner has served or has ordered a promotion for.
    pub term: u64,
    /// Primary that was last served.
    pub primary: Option<Name>,
    /// Member whose promotion was ordered and is not known to have completed or failed.
    pub pending_promotion: Option<Name>,
}

impl Leadership {
    /// Returns the newest term that an owner has served. A promotion that is pending may not have
    /// begun its term.
    fn served_term(&self) -> u64 {
        self.term.saturating_sub(u64::from(self.pending_promotion.is_some()))
    }
}

/// The terms of a service as its owner knows them.
#[derive(Debug, Default)]
pub struct Succession {
    recorded: Leadership,
    served_term: u64,
}

impl Succession {
    /// Starts an ownership whose lease has this record.
    pub fn new(recorded: Leadership) -> Self {
        Self { recorded, served_term: 0 }
    }

    /// Returns what is stored in the lease.
    pub fn recorded(&self) -> &Leadership {
        &self.recorded
    }

    /// Records that the store has this in the lease.
    pub fn set_recorded(&mut self, recorded: Leadership) {
        self.recorded = recorded;
    }

    /// Records that the owner serves with the primary of a term.
    pub fn set_served_term(&mut self, term: u64) {
        self.served_term = self.served_term.max(term);
    }

    /// Returns the oldest term whose primary may serve: a member that leads an older one has been
    /// replaced, or is about to be.
    pub fn min_term(&self) -> u64 {
        self.served_term.max(self.recorded.term)
    }

    /// Returns whether a term must be recorded before its primary serves. Otherwise a later owner
    /// could use the primary of an earlier term.
    pub fn must_record(&self, term: u64) -> bool {
        self.recorded.term < term
    }

    /// Returns what to record before a promotion is ordered. `reported_term` is the newest term that
    /// a member has reported. The promoted member leads the recorded term or a newer one.
    pub fn promotion_of(&self, member: &Name, reported_term: u64) -> Leadership {
        let newest = reported_term.max(self.served_term).max(self.recorded.served_term());
        Leadership {
            term: newest.saturating_add(1),
            primary: self.recorded.primary.clone(),
            pending_promotion: Some(member.clone()),
        }
    }
}
