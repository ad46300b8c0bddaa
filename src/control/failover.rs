//! When a group gets another primary, free of input and output. The steps are in
//! `charts/failover.json`.

use crate::fleet::finding::Finding;
use crate::group::member_control::ControlReply;
use crate::group::quorum::QuorumView;
use crate::state_chart::StateMachine;

/// The steps of a failover.
const CHART: &str = include_str!("../../charts/failover.json");

/// Time by which each further home of a group waits longer, in milliseconds.
const RANK_DELAY_MS: u64 = 400;

/// Time after an attempt in which this home starts no other, in milliseconds.
const QUIET_MS: u64 = 700;

/// A primary that its members hear, but no home reaches, is replaced after this many times the
/// usual silence.
const UNREACHED_FACTOR: u64 = 2;

/// What a home knows when it decides.
pub struct FailoverInputs<'a> {
    /// Time, in milliseconds.
    pub now_ms: u64,
    /// What the members told.
    pub view: &'a QuorumView,
    /// Silence of a primary after which another is promoted, in milliseconds.
    pub failover_after_ms: u64,
    /// Place of this daemon among the group's homes.
    pub rank: u64,
    /// Members that take no new work.
    pub leaving: &'a [bool],
    /// Whether every home reports that it does not reach the primary.
    pub is_unreachable_from_all_homes: bool,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverAction {
    /// Ask the primary to take no new writes.
    StepDown {
        /// The primary.
        member: usize,
        /// Its term.
        term: u64,
    },
    /// Take the step down back.
    Resume,
    /// Ask all members to accept a term.
    RequestTerm {
        /// The term.
        term: u64,
    },
    /// Promote a member.
    Promote {
        /// The member.
        member: usize,
        /// Its term.
        term: u64,
    },
    /// Log that there is a new primary.
    Report,
}

/// What came of an action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailoverOutcome {
    /// The primary takes no new writes, and its last write is held by a successor.
    SteppedDown,
    /// The primary goes on.
    StepDownRefused,
    /// Answers of the members to the question for a term.
    TermGrants(Vec<Option<ControlReply>>),
    /// The member is primary.
    Promoted,
    /// The member is not primary.
    PromotionFailed,
}

/// The failover of one group, as one of its homes sees it.
pub struct FailoverCore {
    machine: StateMachine,
    lost_since_ms: Option<u64>,
    term: u64,
    /// Member that an operator asked for.
    wanted: Option<usize>,
    is_move_asked: bool,
    /// Primary that steps down in a planned change.
    stepping_down: Option<usize>,
    /// Primary that answers here and reaches no majority of its members. It may hold the longest
    /// log, of writes that were never acknowledged, and must not be chosen for that.
    isolated: Option<usize>,
    /// Time before which no further move is tried, in milliseconds.
    quiet_until_ms: u64,
}

impl FailoverCore {
    /// Starts to watch.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the chart.
    pub fn start() -> Result<Self, Vec<Finding>> {
        Ok(Self {
            machine: StateMachine::start(CHART)?,
            lost_since_ms: None,
            term: 0,
            wanted: None,
            is_move_asked: false,
            stepping_down: None,
            isolated: None,
            quiet_until_ms: 0,
        })
    }

    /// Returns the state in the chart.
    pub fn state(&self) -> &str {
        self.machine.state()
    }

    /// Asks for a planned change, to a member or to the best one.
    pub fn ask_move(&mut self, wanted: Option<usize>) {
        self.wanted = wanted;
        self.is_move_asked = true;
    }

    /// Looks at the situation and returns what to do.
    pub fn step(&mut self, situation: &FailoverInputs<'_>) -> Vec<FailoverAction> {
        let primary = situation.view.primary();
        self.isolated = primary.filter(|primary| is_isolated(situation, *primary));
        let is_lost = primary.is_none() || self.isolated.is_some();
        if !is_lost {
            self.lost_since_ms = None;
            self.machine.fire("primary_seen");
        }
        let event = match primary {
            _ if is_lost => self.judge_loss(situation),
            Some(primary) if self.wants_move(situation, primary) => Some("move_wanted"),
            _ => None,
        };
        let names = event.map(|event| self.machine.fire(event)).unwrap_or_default();
        self.actions(&names, situation.view, None)
    }

    /// Takes the outcome of an action and returns what to do.
    pub fn handle_outcome(
        &mut self,
        now_ms: u64,
        view: &QuorumView,
        leaving: &[bool],
        outcome: FailoverOutcome,
    ) -> Vec<FailoverAction> {
        let mut best = None;
        let event = match outcome {
            FailoverOutcome::SteppedDown => "stepped_down",
            FailoverOutcome::StepDownRefused => "step_down_refused",
            FailoverOutcome::TermGrants(grants) => {
                best = self.choose(view, leaving, &grants);
                match best {
                    Some(_) => "terms_granted",
                    None => "terms_refused",
                }
            }
            FailoverOutcome::Promoted => "promoted",
            FailoverOutcome::PromotionFailed => "promotion_failed",
        };
        if event != "stepped_down" && event != "terms_granted" {
            self.lost_since_ms = None;
            self.is_move_asked = false;
            self.wanted = None;
            self.stepping_down = None;
            self.quiet_until_ms = now_ms + QUIET_MS;
        }
        let names = self.machine.fire(event);
        self.actions(&names, view, best)
    }

    fn judge_loss(&mut self, situation: &FailoverInputs<'_>) -> Option<&'static str> {
        let since_ms = *self.lost_since_ms.get_or_insert(situation.now_ms);
        self.machine.fire("primary_lost");
        let waited_ms = situation.now_ms.saturating_sub(since_ms);
        let delay_ms = situation.rank * RANK_DELAY_MS;
        let is_long_unreached = situation.is_unreachable_from_all_homes
            && waited_ms >= delay_ms + UNREACHED_FACTOR * situation.failover_after_ms;
        let is_silent = waited_ms >= delay_ms && hears_no_primary(situation);
        let has_majority = situation.view.reachable_count() >= situation.view.majority()
            && situation.now_ms >= self.quiet_until_ms;
        (has_majority && (is_silent || is_long_unreached)).then_some("silence_over")
    }

    fn wants_move(&self, situation: &FailoverInputs<'_>, primary: usize) -> bool {
        let is_leaving = situation.leaving[primary];
        let delay_ms = situation.rank * RANK_DELAY_MS * 4;
        let is_quiet = situation.now_ms < self.quiet_until_ms + delay_ms;
        let has_successor = (0..situation.view.len()).any(|member| {
            member != primary && !situation.leaving[member] && situation.view.is_reachable(member)
        });
        let is_asked = self.is_move_asked && self.wanted != Some(primary);
        has_successor && (is_asked || (is_leaving && !is_quiet))
    }

    /// Chooses the member to promote among those that accepted the term.
    ///
    /// It needs a majority, and only a member whose log is the most advanced may be chosen.
    fn choose(
        &self,
        view: &QuorumView,
        leaving: &[bool],
        grants: &[Option<ControlReply>],
    ) -> Option<usize> {
        let granted = |member: &usize| {
            let grant = grants[*member].as_ref();
            self.isolated != Some(*member)
                && grant.is_some_and(|grant| {
                    grant.is_granted && grant.status.accepted_term == self.term
                })
        };
        let members: Vec<usize> = (0..grants.len()).filter(granted).collect();
        if members.len() < view.majority() {
            return None;
        }
        let held = |member: &usize| grants[*member].as_ref().map(|grant| grant.status.received);
        let most = members.iter().map(held).max()?;
        let advanced = members.into_iter().filter(|member| held(member) == most);
        advanced.max_by_key(|member| {
            let is_wanted = self.wanted == Some(*member);
            let steps_down = self.stepping_down == Some(*member);
            (is_wanted, !leaving[*member], !steps_down)
        })
    }

    fn actions(
        &mut self,
        names: &[String],
        view: &QuorumView,
        best: Option<usize>,
    ) -> Vec<FailoverAction> {
        let mut actions = Vec::new();
        for name in names {
            match name.as_str() {
                "ask_terms" => {
                    self.term = view.highest_term().max(self.term) + 1;
                    actions.push(FailoverAction::RequestTerm { term: self.term });
                }
                "promote" => actions
                    .extend(best.map(|member| FailoverAction::Promote { member, term: self.term })),
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

/// Returns whether a majority of members has not heard a primary that still answers here.
fn is_isolated(situation: &FailoverInputs<'_>, primary: usize) -> bool {
    let view = situation.view;
    let is_deaf = |member: &usize| {
        let status = view.status(*member).unwrap_or_default();
        *member != primary
            && view.is_reachable(*member)
            && status.primary_silent_ms > 2 * situation.failover_after_ms
    };
    (0..view.len()).filter(is_deaf).count() >= view.majority()
}

/// Returns whether no member that answers has heard a primary lately. A primary that only this
/// daemon does not reach is left alone.
fn hears_no_primary(situation: &FailoverInputs<'_>) -> bool {
    let view = situation.view;
    let has_heard = |member: usize| {
        let status = view.status(member).unwrap_or_default();
        view.is_reachable(member)
            && !status.is_primary
            && status.primary_silent_ms < situation.failover_after_ms
    };
    !(0..view.len()).any(has_heard)
}
