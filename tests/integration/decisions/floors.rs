//! Tests that a read which accepts data up to an age includes every older acknowledged write.

use proptest::prelude::*;

use snipehead::group::floor_history::FloorHistory;
use snipehead::group::log_position::LogPosition;
use snipehead::group::member_status::MemberStatus;
use snipehead::group::quorum::Observation;
use snipehead::group::quorum::QuorumView;

const MEMBERS: usize = 3;
const TERM: u64 = 1;
const AGES_MS: [u64; 4] = [0, 20, 100, 250];

/// An event in a schedule.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes.
    Wait { ms: u64 },
    /// The primary, which is the first member, commits a write that one replica receives.
    Write { replica: usize },
    /// A task requests new probes.
    Request,
    /// A probe of a member is sent.
    Probe { member: usize },
    /// A member answers its probe, if one was sent.
    Answer { member: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (1..120_u64).prop_map(|ms| Step::Wait { ms }),
        3 => (1..MEMBERS).prop_map(|replica| Step::Write { replica }),
        1 => Just(Step::Request),
        4 => (0..MEMBERS).prop_map(|member| Step::Probe { member }),
        4 => (0..MEMBERS).prop_map(|member| Step::Answer { member }),
    ];
    prop::collection::vec(step, 1..120)
}

/// A group and a home that keeps its floors.
struct Simulation {
    now_ms: u64,
    positions: [u64; MEMBERS],
    acknowledged: Vec<(u64, u64)>,
    request_number: u64,
    /// Number and time of the probe on its way to each member.
    probes: [Option<(u64, u64)>; MEMBERS],
    view: QuorumView,
    history: FloorHistory,
}

impl Simulation {
    fn new() -> Self {
        Self {
            now_ms: 1_000,
            positions: [0; MEMBERS],
            acknowledged: Vec::new(),
            request_number: 0,
            probes: [None; MEMBERS],
            view: QuorumView::new(MEMBERS),
            history: FloorHistory::default(),
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Wait { ms } => self.now_ms += ms,
            Step::Write { replica } => {
                self.positions[0] += 1;
                self.positions[replica] = self.positions[0];
                self.acknowledged.push((self.now_ms, self.positions[0]));
            }
            Step::Request => self.request_number += 1,
            Step::Probe { member } => {
                self.probes[member].get_or_insert((self.request_number, self.now_ms));
            }
            Step::Answer { member } => self.answer(member),
        }
    }

    fn answer(&mut self, member: usize) {
        let Some((probe_number, sent_at_ms)) = self.probes[member].take() else {
            return;
        };
        let status = MemberStatus {
            is_primary: member == 0,
            accepted_term: TERM,
            received: LogPosition::new(TERM, self.positions[member]),
            ..MemberStatus::default()
        };
        self.view.observe(member, Observation { sent_at_ms, probe_number, status });
        if let Some(floor) = self.view.floor(probe_number) {
            self.history.record(floor);
        }
    }

    /// Returns the first acknowledged write that a read with an accepted age would miss.
    fn missing_write(&self) -> Option<String> {
        AGES_MS.into_iter().find_map(|age_ms| {
            let floor = self.history.floor_at_age(self.now_ms, age_ms)?;
            let is_missing = |(at_ms, position): &&(u64, u64)| {
                at_ms + age_ms < self.now_ms && LogPosition::new(TERM, *position) > floor
            };
            let missing = self.acknowledged.iter().find(is_missing);
            missing.map(|write| format!("{write:?} at {} with age {age_ms}", self.now_ms))
        })
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn reads_with_an_accepted_age_include_every_older_write(schedule in steps()) {
        let mut simulation = Simulation::new();
        for step in &schedule {
            simulation.apply(step);
            prop_assert_eq!(simulation.missing_write(), None);
        }
    }
}
