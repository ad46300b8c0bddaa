//! An acknowledged write is in the log of every later primary.

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
use snipehead::stand_in::member::core::MemberCore;

const MEMBERS: usize = 3;

/// A step of a schedule.
#[derive(Clone, Debug)]
enum Step {
    /// A member that believes it is primary commits a write.
    Commit { member: usize },
    /// A member that believes it is primary sends its log to another.
    Send { from: usize, to: usize },
    /// An observer asks a member; answers to earlier questions are kept.
    Observe { observer: usize, member: usize },
    /// A promoter asks members for a term, hears some of the answers, and promotes or gives up.
    Elect { promoter: usize, heard: u8, promotes: bool },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let member = 0..MEMBERS;
    let step = prop_oneof![
        4 => member.clone().prop_map(|member| Step::Commit { member }),
        6 => (member.clone(), member.clone()).prop_map(|(from, to)| Step::Send { from, to }),
        6 => (0..2_usize, member).prop_map(|(observer, member)| Step::Observe { observer, member }),
        1 => (0..2_usize, 0..8_u8, any::<bool>())
            .prop_map(|(promoter, heard, promotes)| Step::Elect { promoter, heard, promotes }),
    ];
    prop::collection::vec(step, 1..250)
}

fn status_of(member: &MemberCore) -> MemberStatus {
    let status = member.status(Instant::now());
    MemberStatus {
        is_primary: status.is_primary,
        accepted_term: status.accepted_term,
        received: LogPosition::new(status.last_term, status.last_position),
        applied: LogPosition::new(status.applied_term, status.applied_position),
        // Long enough for any promoter.
        primary_silent_ms: 60_000,
    }
}

struct World {
    members: Vec<MemberCore>,
    observers: Vec<QuorumView>,
    committed: Vec<LogPosition>,
    acknowledged: Vec<LogPosition>,
    sequence: u64,
}

impl World {
    fn new() -> Self {
        Self {
            members: (0..MEMBERS).map(|index| MemberCore::new(index == 0)).collect(),
            observers: vec![QuorumView::new(MEMBERS); 2],
            committed: Vec::new(),
            acknowledged: Vec::new(),
            sequence: 0,
        }
    }

    fn take(&mut self, step: &Step) {
        match step {
            Step::Commit { member } => self.commit(*member),
            Step::Send { from, to } => self.send(*from, *to),
            Step::Observe { observer, member } => self.observe(*observer, *member),
            Step::Elect { promoter, heard, promotes } => self.elect(*promoter, *heard, *promotes),
        }
        self.acknowledge();
    }

    fn commit(&mut self, member: usize) {
        let member = &mut self.members[member];
        if member.is_primary() {
            let position = member.append_own(Vec::new());
            self.committed.push(LogPosition::new(member.accepted_term(), position));
        }
    }

    fn send(&mut self, from: usize, to: usize) {
        if from == to || !self.members[from].is_primary() {
            return;
        }
        let now = Instant::now();
        let mut position = self.members[to].last_position();
        // The sender walks back to the last entry that both hold.
        loop {
            let request = self.members[from].entries_after(position, now, Duration::ZERO);
            let start = request.previous_position;
            let reply = self.members[to].append(request, now);
            if reply.is_held
                || start == 0
                || reply.accepted_term > self.members[from].accepted_term()
            {
                return;
            }
            position = start - 1;
        }
    }

    fn observe(&mut self, observer: usize, member: usize) {
        self.sequence += 1;
        let status = status_of(&self.members[member]);
        let observation = Observation { sent_at_ms: 0, probe_number: self.sequence, status };
        self.observers[observer].observe(member, observation);
    }

    fn elect(&mut self, promoter: usize, heard: u8, promotes: bool) {
        let mut view = QuorumView::new(MEMBERS);
        for member in 0..MEMBERS {
            let mut status = status_of(&self.members[member]);
            status.is_primary = false;
            view.observe(member, Observation { sent_at_ms: 0, probe_number: 1, status });
        }
        let mut failover = FailoverCore::start().expect("the chart is sound");
        let leaving = [false; MEMBERS];
        let situation = |now_ms| FailoverInputs {
            now_ms,
            view: &view,
            failover_after_ms: 1_000,
            rank: 0,
            leaving: &leaving,
            is_unreachable_from_all_homes: false,
        };
        let actions = failover.step(&situation(10_000));
        let Some(FailoverAction::RequestTerm { term }) = actions.first().copied() else {
            return;
        };
        let name = format!("promoter{promoter}");
        let grants: Vec<Option<ControlReply>> = (0..MEMBERS)
            .map(|member| {
                let is_granted = self.members[member].accept_term(term, &name);
                let status = status_of(&self.members[member]);
                (heard >> member & 1 == 1).then_some(ControlReply { is_granted, status })
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
                "member {member} became primary of term {term} without write {write}"
            );
        }
    }

    fn acknowledge(&mut self) {
        for write in &self.committed {
            let is_held = |observer: &QuorumView| {
                observer.acknowledgement(*write) == Acknowledgement::Confirmed
            };
            if !self.acknowledged.contains(write) && self.observers.iter().any(is_held) {
                self.acknowledged.push(*write);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn acknowledged_writes_are_in_every_later_primary(schedule in steps()) {
        let mut world = World::new();
        for step in &schedule {
            world.take(step);
        }
    }
}

#[test]
fn schedules_do_acknowledge_and_elect() {
    let mut world = World::new();
    for member in 0..MEMBERS {
        world.take(&Step::Commit { member: 0 });
        world.take(&Step::Send { from: 0, to: member });
        world.take(&Step::Observe { observer: 0, member });
    }
    assert!(!world.acknowledged.is_empty());
    world.take(&Step::Elect { promoter: 1, heard: 0b110, promotes: true });
    assert!(world.members[1].is_primary() || world.members[2].is_primary());
    assert!(!world.members[0].is_primary());
}
