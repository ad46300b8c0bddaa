//! Decides when a group gets another primary. The state machine is defined in
//! `charts/failover.json`. This module does no I/O.

use crate::fleet::finding::Finding;
use crate::group::member_control::ControlReply;
use crate::group::quorum::QuorumView;
use crate::state_chart::StateMachine;

/// Definition of the state machine.
const CHART: &str = include_str!("../../charts/failover.json");

/// Additional delay before a failover for each rank of a home, in milliseconds. It keeps the homes
/// of a group from starting failovers at the same time, and from superseding each other's terms.
const RANK_DELAY_MS: u64 = 400;

/// Minimum time after an attempt before this home starts another, in milliseconds.
const COOLDOWN_MS: u64 = 700;

/// Multiple of the failover timeout after which a primary that no home reaches is replaced although
/// other members still hear from it.
const UNREACHABLE_FACTOR: u64 = 2;

/// Observed values from which a home decides about a failover.
pub struct FailoverInputs<'a> {
    /// Current time, in milliseconds.
    pub now_ms: u64,
    /// Latest statuses of the members.
    pub view: &'a QuorumView,
    /// Failover timeout: how long a primary may be silent before another member is promoted, in
    /// milliseconds.
    pub failover_after_ms: u64,
    /// Position of this daemon among the group's homes, starting at 0.
    pub rank: u64,
    /// For each member, whether it is leaving service.
    pub leaving: &'a [bool],
    /// Whether every home reports that it cannot reach the primary.
    pub is_unreachable_from_all_homes: bool,
}

/// Action at a transition of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverAction {
    /// Ask the primary to accept no further writes.
    StepDown {
        /// Index of the primary.
        member: usize,
        /// Current term of the group.
        term: u64,
    },
    /// Let the primary accept writes again after it stepped down.
    Resume,
    /// Ask all members to accept a new term.
    RequestTerm {
        /// The term.
        term: u64,
    },
    /// Promote a member.
    Promote {
        /// Index of the member.
        member: usize,
        /// The term that the members accepted.
        term: u64,
    },
    /// Nothing further; the new primary has already been logged.
    Report,
}

/// Outcome of an action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailoverOutcome {
    /// The primary accepts no further writes, and another member holds its last write.
    SteppedDown,
    /// The primary did not step down, or no other member received its last write in time.
    StepDownRefused,
    /// Response of each member to the request for a term; none if it did not respond.
    TermGrants(Vec<Option<ControlReply>>),
    /// The member was promoted.
    Promoted,
    /// The member was not promoted.
    PromotionFailed,
}

/// Failover state of one group on one of its homes.
pub struct FailoverCore {
    machine: StateMachine,
    lost_since_ms: Option<u64>,
    /// Time since which no reachable replica has heard from a primary within the failover timeout,
    /// in milliseconds.
    silent_since_ms: Option<u64>,
    /// Highest term seen so far, if a member has been observed.
    seen_term: Option<u64>,
    term: u64,
    /// Member that an operator wants as primary.
    requested_member: Option<usize>,
    is_move_requested: bool,
    /// Primary that was asked to step down in a planned move.
    stepping_down: Option<usize>,
    /// Primary that this home reaches, but that does not reach a majority of the members. Its log
    /// may be the longest because of writes that were never acknowledged, so it must not be chosen
    /// as successor.
    isolated: Option<usize>,
    /// Time before which this home starts no further attempt, in milliseconds.
    cooldown_until_ms: u64,
}

impl FailoverCore {
    /// Creates the state machine in its initial state.
    ///
    /// # Errors
    ///
    /// Returns the errors of the chart if it is invalid.
    pub fn start() -> Result<Self, Vec<Finding>> {
        Ok(Self {
            machine: StateMachine::start(CHART)?,
            lost_since_ms: None,
            silent_since_ms: None,
            seen_term: None,
            term: 0,
            requested_member: None,
            is_move_requested: false,
            stepping_down: None,
            isolated: None,
            cooldown_until_ms: 0,
        })
    }

    /// Returns the current state.
    pub fn state(&self) -> &str {
        self.machine.state()
    }

    /// Requests a planned move of the primary, to a given member or to any suitable one.
    pub fn request_move(&mut self, requested_member: Option<usize>) {
        self.requested_member = requested_member;
        self.is_move_requested = true;
    }

    /// Updates the state from the inputs and returns what to do.
    pub fn step(&mut self, inputs: &FailoverInputs<'_>) -> Vec<FailoverAction> {
        self.observe_term(inputs);
        let primary = inputs.view.primary();
        self.isolated = primary.filter(|primary| is_isolated(inputs, *primary));
        let is_lost = primary.is_none() || self.isolated.is_some();
        if !is_lost {
            self.forget_loss();
            self.machine.fire("primary_seen");
        }
        let event = match primary {
            _ if is_lost => self.check_primary_loss(inputs),
            Some(primary) if self.needs_move(inputs, primary) => Some("move_needed"),
            _ => None,
        };
        let action_names = event.map(|event| self.machine.fire(event)).unwrap_or_default();
        self.actions(&action_names, inputs.view, None)
    }

    /// Processes the outcome of an action and returns the actions to perform next.
    pub fn handle_outcome(
        &mut self,
        now_ms: u64,
        view: &QuorumView,
        leaving: &[bool],
        outcome: FailoverOutcome,
    ) -> Vec<FailoverAction> {
        let mut successor = None;
        let event = match outcome {
            FailoverOutcome::SteppedDown => "stepped_down",
            FailoverOutcome::StepDownRefused => "step_down_refused",
            FailoverOutcome::TermGrants(grants) => {
                successor = self.choose_successor(view, leaving, &grants);
                match successor {
                    Some(_) => "term_granted",
                    None => "term_refused",
                }
            }
            FailoverOutcome::Promoted => "promoted",
            FailoverOutcome::PromotionFailed => "promotion_failed",
        };
        if event != "stepped_down" && event != "term_granted" {
            self.forget_loss();
            self.is_move_requested = false;
            self.requested_member = None;
            self.stepping_down = None;
            self.cooldown_until_ms = now_ms + COOLDOWN_MS;
        }
        let action_names = self.machine.fire(event);
        self.actions(&action_names, view, successor)
    }

    fn forget_loss(&mut self) {
        self.lost_since_ms = None;
        self.silent_since_ms = None;
    }

    /// Pauses this home's attempts after another home has requested a term, so that it does not
    /// supersede the primary that the other home is about to promote.
    fn observe_term(&mut self, inputs: &FailoverInputs<'_>) {
        let term = inputs.view.highest_term();
        if self.seen_term.is_some_and(|seen_term| term > seen_term.max(self.term)) {
            self.cooldown_until_ms = self.cooldown_until_ms.max(inputs.now_ms + RANK_DELAY_MS);
        }
        if term > 0 {
            self.seen_term = Some(term);
        }
    }

    /// Returns for how long this home has found the primary silent everywhere, in milliseconds;
    /// `None` if a replica hears from it.
    fn silent_for_ms(&mut self, inputs: &FailoverInputs<'_>) -> Option<u64> {
        if !is_primary_silent_everywhere(inputs) {
            self.silent_since_ms = None;
            return None;
        }
        let since_ms = *self.silent_since_ms.get_or_insert(inputs.now_ms);
        Some(inputs.now_ms.saturating_sub(since_ms))
    }

    fn check_primary_loss(&mut self, inputs: &FailoverInputs<'_>) -> Option<&'static str> {
        let since_ms = *self.lost_since_ms.get_or_insert(inputs.now_ms);
        self.machine.fire("primary_lost");
        let waited_ms = inputs.now_ms.saturating_sub(since_ms);
        let delay_ms = inputs.rank * RANK_DELAY_MS;
        let is_unreachable_too_long = inputs.is_unreachable_from_all_homes
            && waited_ms >= delay_ms + UNREACHABLE_FACTOR * inputs.failover_after_ms;
        let is_silent = self.silent_for_ms(inputs).is_some_and(|silent_ms| silent_ms >= delay_ms);
        let has_majority = inputs.view.reachable_count() >= inputs.view.majority()
            && inputs.now_ms >= self.cooldown_until_ms;
        (has_majority && (is_silent || is_unreachable_too_long)).then_some("failover_due")
    }

    fn needs_move(&self, inputs: &FailoverInputs<'_>, primary: usize) -> bool {
        let is_leaving = inputs.leaving[primary];
        let delay_ms = inputs.rank * RANK_DELAY_MS * 4;
        let is_cooling_down = inputs.now_ms < self.cooldown_until_ms + delay_ms;
        let has_successor = (0..inputs.view.len()).any(|member| {
            member != primary && !inputs.leaving[member] && inputs.view.is_reachable(member)
        });
        let is_requested = self.is_move_requested && self.requested_member != Some(primary);
        has_successor && (is_requested || (is_leaving && !is_cooling_down))
    }

    /// Chooses the member to promote among those that accepted the term.
    ///
    /// There is none unless a majority, not counting an isolated primary, accepted the term. Only
    /// a member whose log is the most advanced of these may be promoted, because any other may
    /// lack acknowledged writes.
    fn choose_successor(
        &self,
        view: &QuorumView,
        leaving: &[bool],
        grants: &[Option<ControlReply>],
    ) -> Option<usize> {
        let has_granted = |member: &usize| {
            let grant = grants[*member].as_ref();
            self.isolated != Some(*member)
                && grant.is_some_and(|grant| {
                    grant.is_granted && grant.status.accepted_term == self.term
                })
        };
        let members: Vec<usize> = (0..grants.len()).filter(has_granted).collect();
        if members.len() < view.majority() {
            return None;
        }
        let received = |member: &usize| grants[*member].as_ref().map(|grant| grant.status.received);
        let last_received = members.iter().map(received).max()?;
        let candidates = members.into_iter().filter(|member| received(member) == last_received);
        candidates.max_by_key(|member| {
            let is_requested = self.requested_member == Some(*member);
            let is_stepping_down = self.stepping_down == Some(*member);
            (is_requested, !leaving[*member], !is_stepping_down)
        })
    }

    fn actions(
        &mut self,
        action_names: &[String],
        view: &QuorumView,
        successor: Option<usize>,
    ) -> Vec<FailoverAction> {
        let mut actions = Vec::new();
        for name in action_names {
            match name.as_str() {
                "request_term" => {
                    self.term = view.highest_term().max(self.term) + 1;
                    actions.push(FailoverAction::RequestTerm { term: self.term });
                }
                "promote" => actions.extend(
                    successor.map(|member| FailoverAction::Promote { member, term: self.term }),
                ),
                "step_down" => {
                    self.stepping_down = view.primary();
                    actions.extend(view.primary().map(|member| FailoverAction::StepDown {
                        member,
                        term: view.highest_term(),
                    }));
                }
                "resume" => actions.push(FailoverAction::Resume),
                _ => actions.push(FailoverAction::Report),
            }
        }
        actions
    }
}

/// Returns whether a majority of the members no longer hears a primary that this home reaches.
fn is_isolated(inputs: &FailoverInputs<'_>, primary: usize) -> bool {
    let view = inputs.view;
    let misses_primary = |member: &usize| {
        let status = view.status(*member).unwrap_or_default();
        *member != primary
            && view.is_reachable(*member)
            && status.primary_silent_ms > 2 * inputs.failover_after_ms
    };
    (0..view.len()).filter(misses_primary).count() >= view.majority()
}

/// Returns whether no reachable replica has heard from a primary within the failover timeout. This
/// keeps a daemon from replacing a primary that only the daemon itself cannot reach.
fn is_primary_silent_everywhere(inputs: &FailoverInputs<'_>) -> bool {
    let view = inputs.view;
    let hears_primary = |member: usize| {
        let status = view.status(member).unwrap_or_default();
        view.is_reachable(member)
            && !status.is_primary
            && status.primary_silent_ms < inputs.failover_after_ms
    };
    !(0..view.len()).any(hears_primary)
}
