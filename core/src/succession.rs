//! The terms of a service's primaries across its owners: which primary may serve, and what the next
//! owner must know first. Performs no input or output.

use crate::commit_checkpoint::CommitCheckpoint;
use crate::failover::MemberView;
use crate::member::MemberKey;
use crate::name::Name;
use crate::promotion_order::EFFECT_LIMIT_MS;
use crate::term_start::TermStart;

/// What the next owner of a service must know about its primary. It is stored in the lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Leadership {
    /// Newest term that an owner has served or that an order for a promotion may have begun.
    pub term: u64,
    /// Primary that was last served.
    pub primary: Option<Name>,
    /// Member whose promotion was ordered and is not known to have completed or failed.
    pub pending_promotion: Option<Name>,
    /// Least term that this member leads once its promotion has taken effect: less than `term` if
    /// earlier orders, for other members, may have begun terms as well; 0 if it is `term`.
    pub pending_term: u64,
    /// Where the commits are that synchronous replicas protect, if there are any.
    pub checkpoint: Option<CommitCheckpoint>,
    /// Where the newest term began that has served, or that the pending promotion may have begun.
    pub term_start: Option<TermStart>,
}

impl Leadership {
    /// Returns the record of a primary that serves in a term while no promotion is pending.
    pub fn served(primary: Name, term: u64) -> Self {
        Self { term, primary: Some(primary), ..Self::default() }
    }

    /// Returns the members that may have commits, as far as the record names them.
    pub fn possible_holders(&self) -> Vec<MemberKey> {
        let primary = || {
            let primary = self.primary.iter().cloned();
            primary.map(|id| MemberKey { id, incarnation: 0 }).collect()
        };
        self.checkpoint.as_ref().map_or_else(primary, |checkpoint| checkpoint.members.clone())
    }

    /// Returns the least term that the member whose promotion is pending leads once that has taken
    /// effect.
    pub fn min_pending_term(&self) -> u64 {
        match self.pending_term {
            0 => self.term,
            pending_term => pending_term,
        }
    }

    /// Returns the newest term that has certainly begun.
    fn begun_term(&self) -> u64 {
        match self.pending_promotion {
            Some(_) => self.min_pending_term().saturating_sub(1),
            None => self.term,
        }
    }
}

/// What to do about a promotion that is pending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PendingStep {
    /// The promotion has taken effect: use the member.
    Adopt(MemberKey),
    /// Order the promotion once more.
    Order(MemberKey),
    /// Leave it and decide as if there were none.
    Leave,
}

/// The terms of a service as its owner knows them.
#[derive(Debug, Default)]
pub struct Succession {
    recorded: Leadership,
    /// Least term that the store may have in place of `recorded`, after a write without an answer.
    unconfirmed_term: Option<u64>,
    served_term: u64,
    term_start: Option<TermStart>,
    /// Time until which the last order may take effect, in milliseconds.
    order_open_until_ms: u64,
}

impl Succession {
    /// Starts an ownership whose lease has this record.
    pub fn new(now_ms: u64, recorded: Leadership) -> Self {
        let order_open_until_ms = match recorded.pending_promotion {
            Some(_) => now_ms.saturating_add(EFFECT_LIMIT_MS),
            None => 0,
        };
        let term_start = recorded.term_start;
        Self { recorded, unconfirmed_term: None, served_term: 0, term_start, order_open_until_ms }
    }

    /// Returns what is stored in the lease.
    pub fn recorded(&self) -> &Leadership {
        &self.recorded
    }

    /// Records that the store has this in the lease.
    pub fn set_recorded(&mut self, recorded: Leadership) {
        self.recorded = recorded;
        self.unconfirmed_term = None;
    }

    /// Records that the store may have a record of another term in the lease, since the write of it got
    /// no answer.
    pub fn set_unconfirmed(&mut self, term: u64) {
        let earlier = self.unconfirmed_term.unwrap_or(term);
        self.unconfirmed_term = Some(earlier.min(term));
    }

    /// Returns whether the store is known to have what [`Self::recorded`] returns.
    pub fn is_confirmed(&self) -> bool {
        self.unconfirmed_term.is_none()
    }

    /// Records that the owner serves with the primary of a term. The last order has taken effect, or
    /// was given up before another one led to this term.
    pub fn set_served_term(&mut self, term: u64) {
        self.served_term = self.served_term.max(term);
        self.order_open_until_ms = 0;
    }

    /// Returns where the newest term began that has served or, by the record of a former owner, may have
    /// served. A promotion that this owner has ordered does not count before its primary serves.
    pub fn term_start(&self) -> Option<TermStart> {
        self.term_start
    }

    /// Records where a term began whose primary is about to serve, unless that is known.
    pub fn set_term_start(&mut self, start: TermStart) {
        if self.term_start.is_none_or(|known| known.term < start.term) {
            self.term_start = Some(start);
        }
    }

    /// Returns the oldest term whose primary may serve, unless its promotion is the pending one: a
    /// member that leads an older term has been replaced, or is about to be.
    pub fn min_term(&self) -> u64 {
        self.served_term.max(self.recorded.term)
    }

    /// Returns whether a term must be recorded before its primary serves. Otherwise a later owner
    /// could use the primary of an earlier term, and this one would not use that of a pending
    /// promotion which began its term in place of an earlier order.
    pub fn must_record(&self, term: u64) -> bool {
        let stored_term = self.unconfirmed_term.unwrap_or(u64::MAX).min(self.recorded.term);
        let is_below_open = self.recorded.pending_promotion.is_some() && term < self.recorded.term;
        stored_term < term || is_below_open
    }

    /// Records that the call which orders a promotion has ended.
    pub fn set_ordered(&mut self, now_ms: u64) {
        self.order_open_until_ms = now_ms.saturating_add(EFFECT_LIMIT_MS);
    }

    /// Returns whether a promotion may be ordered now. While an earlier order may take effect, the
    /// term that a new one begins could be that of the other.
    pub fn may_order(&self, now_ms: u64) -> bool {
        now_ms >= self.order_open_until_ms
    }

    /// Returns what to record before a promotion is ordered. `reported_term` is the newest term that
    /// a member has reported. The recorded term rises with each member that is ordered, so that a
    /// member whose order was given up is not used if that order took effect.
    pub fn promotion_of(&self, member: &Name, reported_term: u64) -> Leadership {
        let begun_term = reported_term.max(self.served_term).max(self.recorded.begun_term());
        let pending_term = begun_term.saturating_add(1);
        let pending = self.recorded.pending_promotion.as_ref();
        let open_term = match pending {
            None => 0,
            Some(pending) => self.recorded.term.saturating_add(u64::from(pending != member)),
        };
        Leadership {
            term: pending_term.max(open_term),
            primary: self.recorded.primary.clone(),
            pending_promotion: Some(member.clone()),
            pending_term,
            checkpoint: self.recorded.checkpoint.clone(),
            term_start: self.recorded.term_start,
        }
    }

    /// Decides what to do about the pending promotion while no primary is in use. The order is not
    /// repeated for a member that lacks what another replica has, as one that started anew does.
    pub fn pending_step(&self, now_ms: u64, members: &[MemberView]) -> PendingStep {
        let pending = self.recorded.pending_promotion.as_ref();
        let answering = |view: &&MemberView| view.answers();
        let member = members
            .iter()
            .filter(answering)
            .find(|view| pending.is_some_and(|pending| view.key.id == *pending));
        let Some((member, status)) = member.and_then(|view| Some((view, view.status?))) else {
            return PendingStep::Leave;
        };
        let newest_term = members.iter().filter_map(|view| Some(view.status?.term)).max();
        let min_term = self.recorded.min_pending_term().max(self.served_term);
        if status.is_primary && status.term >= min_term && Some(status.term) == newest_term {
            return PendingStep::Adopt(member.key.clone());
        }
        // Another member that leads a newer term is for the general decision to use.
        let is_left_behind = members.iter().filter(answering).any(|view| {
            view.status.is_some_and(|other| match other.is_primary {
                true => other.term > status.term && other.term >= self.min_term(),
                false => view.position > member.position,
            })
        });
        match self.may_order(now_ms) && !member.is_unpromotable && !is_left_behind {
            true => PendingStep::Order(member.key.clone()),
            false => PendingStep::Leave,
        }
    }
}
