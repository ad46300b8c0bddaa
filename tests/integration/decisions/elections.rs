//! Tests that an acknowledged write is in the log of every later primary.

use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;

use snipehead::control::failover::FailoverAction;
use snipehead::control::failover::FailoverCore;
use snipehead::control::failover::FailoverInputs;
use snipehead::control::failover::FailoverOutcome;
use snipehead::group::log_position::LogPosition;
use snipehead::group::member_control::ControlReply;
use snipehead::group::member_status::MemberStatus;
use snipehead::group::quorum::Acknowledgement;
use snipehead::group::quorum::Observation;
use snipehead::group::quorum::QuorumView;
use snipehead::group::term_end::TermEnd;
use snipehead::stand_in::member::core::MemberCore;

const MEMBERS: usize = 3;

/// An event in a schedule.
#[derive(Clone, Debug)]
enum Step {
    /// A member commits a write if it considers itself primary.
    Commit { member: usize },
    /// A member replicates its log to another if it considers itself primary.
    Replicate { from: usize, to: usize },
    /// An observer probes a member. Its view keeps the last status of every other member, which may
    /// be out of date.
    Probe { observer: usize, member: usize },
    /// A promoter requests a term from all members, and receives the replies of the members in the
    /// bit mask `voters`. If `promotes` is set, it promotes the member that the failover chooses,
    /// if any.
    Elect { promoter: usize, voters: u8, promotes: bool },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let member = 0..MEMBERS;
    let step = prop_oneof![
        4 => member.clone().prop_map(|member| Step::Commit { member }),
        6 => (member.clone(), member.clone()).prop_map(|(from, to)| Step::Replicate { from, to }),
        6 => (0..2_usize, member).prop_map(|(observer, member)| Step::Probe { observer, member }),
        1 => (0..2_usize, 0..8_u8, any::<bool>())
            .prop_map(|(promoter, voters, promotes)| Step::Elect { promoter, voters, promotes }),
    ];
    prop::collection::vec(step, 1..250)
}

pub(super) fn status_of(member: &MemberCore) -> MemberStatus {
    let status = member.status(Instant::now());
    MemberStatus {
        is_primary: status.is_primary,
        accepted_term: status.accepted_term,
        received: LogPosition::new(status.last_term, status.last_position),
        applied: LogPosition::new(status.applied_term, status.applied_position),
        // Exceeds the failover timeout in `elect`, so that the time since the last message of a
        // primary never prevents a failover.
        primary_silent_ms: 60_000,
        previous_term_end: TermEnd {
            term: status.previous_term_end.term,
            is_primary: status.previous_term_end.is_primary,
            received: LogPosition::new(
                status.previous_term_end.last_term,
                status.previous_term_end.last_position,
            ),
        },
    }
}

/// A group with its members, and two observers that acknowledge writes.
struct GroupSimulation {
    members: Vec<MemberCore>,
    observers: Vec<QuorumView>,
    committed: Vec<LogPosition>,
    acknowledged: Vec<LogPosition>,
    probe_count: u64,
}

impl GroupSimulation {
    fn new() -> Self {
        Self {
            members: (0..MEMBERS).map(|index| MemberCore::new(index == 0)).collect(),
            observers: vec![QuorumView::new(MEMBERS); 2],
            committed: Vec::new(),
            acknowledged: Vec::new(),
            probe_count: 0,
        }
    }

    fn apply(&mut self, step: &Step) {
        match step {
            Step::Commit { member } => self.commit(*member),
            Step::Replicate { from, to } => self.replicate(*from, *to),
            Step::Probe { observer, member } => self.probe(*observer, *member),
            Step::Elect { promoter, voters, promotes } => self.elect(*promoter, *voters, *promotes),
        }
        self.record_acknowledged();
    }

    fn commit(&mut self, member: usize) {
        let member = &mut self.members[member];
        if member.is_primary() {
            let position = member.append_local(Vec::new());
            self.committed.push(LogPosition::new(member.accepted_term(), position));
        }
    }

    fn replicate(&mut self, from: usize, to: usize) {
        if from == to || !self.members[from].is_primary() {
            return;
        }
        let now = Instant::now();
        let mut position = self.members[to].last_position();
        // Retries from earlier positions until the logs have an entry in common.
        loop {
            let request = self.members[from].entries_after(position, now, Duration::ZERO);
            let start = request.previous_position;
            let reply = self.members[to].append(request, now);
            if reply.is_appended
                || start == 0
                || reply.accepted_term > self.members[from].accepted_term()
            {
                return;
            }
            position = start - 1;
        }
    }

    fn probe(&mut self, observer: usize, member: usize) {
        self.probe_count += 1;
        let status = status_of(&self.members[member]);
        let observation = Observation { sent_at_ms: 0, probe_number: self.probe_count, status };
        self.observers[observer].observe(member, observation);
    }

    fn elect(&mut self, promoter: usize, voters: u8, promotes: bool) {
        let mut view = QuorumView::new(MEMBERS);
        for member in 0..MEMBERS {
            let mut status = status_of(&self.members[member]);
            status.is_primary = false;
            view.observe(member, Observation { sent_at_ms: 0, probe_number: 1, status });
        }
        let mut failover = FailoverCore::start().expect("the chart is valid");
        let leaving = [false; MEMBERS];
        let inputs = |now_ms| FailoverInputs {
            now_ms,
            view: &view,
            failover_after_ms: 1_000,
            rank: 0,
            leaving: &leaving,
            is_unreachable_from_all_homes: false,
        };
        let actions = failover.step(&inputs(10_000));
        let Some(FailoverAction::RequestTerm { term }) = actions.first().copied() else {
            return;
        };
        let name = format!("promoter{promoter}");
        let grants: Vec<Option<ControlReply>> = (0..MEMBERS)
            .map(|member| {
                let is_granted = self.members[member].accept_term(term, &name);
                let status = status_of(&self.members[member]);
                (voters >> member & 1 == 1).then_some(ControlReply { is_granted, status })
            })
            .collect();
        let outcome = FailoverOutcome::TermGrants(grants);
        let actions = failover.handle_outcome(20_100, &view, &leaving, outcome);
        if let (true, Some(FailoverAction::Promote { member, term })) = (promotes, actions.first())
        {
            self.promote(*member, *term, &name);
        }
    }

    fn promote(&mut self, member: usize, term: u64, promoter: &str) {
        if self.members[member].promote(term, promoter).is_err() {
            return;
        }
        for write in &self.acknowledged {
            assert_eq!(
                self.members[member].term_at(write.position),
                write.term,
                "member {member} became primary of term {term} without the acknowledged \
                 write {write}"
            );
        }
    }

    fn record_acknowledged(&mut self) {
        for write in &self.committed {
            let is_confirmed = |observer: &QuorumView| {
                observer.acknowledgement(*write) == Acknowledgement::Confirmed
            };
            if !self.acknowledged.contains(write) && self.observers.iter().any(is_confirmed) {
                self.acknowledged.push(*write);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn acknowledged_writes_are_in_the_log_of_every_later_primary(schedule in steps()) {
        let mut simulation = GroupSimulation::new();
        for step in &schedule {
            simulation.apply(step);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// An observer that probes the members only after the move still learns that they had received
    /// the last writes.
    #[test]
    fn writes_received_before_a_planned_move_are_confirmed_after_it(
        write_count in 1..5_usize,
        receiver in 1..MEMBERS,
        early_probes in prop::collection::vec(0..MEMBERS, 0..4),
        promotes in any::<bool>(),
    ) {
        let mut simulation = GroupSimulation::new();
        for _ in 0..write_count {
            simulation.apply(&Step::Commit { member: 0 });
        }
        for member in early_probes {
            simulation.apply(&Step::Probe { observer: 0, member });
        }
        simulation.apply(&Step::Replicate { from: 0, to: receiver });
        simulation.apply(&Step::Elect { promoter: 0, voters: 0b111, promotes });
        for member in 0..MEMBERS {
            simulation.apply(&Step::Replicate { from: receiver, to: member });
        }
        for member in 0..MEMBERS {
            simulation.apply(&Step::Probe { observer: 0, member });
        }
        prop_assert_eq!(simulation.acknowledged, simulation.committed);
    }
}

#[test]
fn simulation_acknowledges_writes_and_elects_a_primary() {
    let mut simulation = GroupSimulation::new();
    for member in 0..MEMBERS {
        simulation.apply(&Step::Commit { member: 0 });
        simulation.apply(&Step::Replicate { from: 0, to: member });
        simulation.apply(&Step::Probe { observer: 0, member });
    }
    assert!(!simulation.acknowledged.is_empty());
    simulation.apply(&Step::Elect { promoter: 1, voters: 0b110, promotes: true });
    assert!(simulation.members[1].is_primary() || simulation.members[2].is_primary());
    assert!(!simulation.members[0].is_primary());
}
