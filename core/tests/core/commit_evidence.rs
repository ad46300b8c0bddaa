//! Successors of lost primaries under random schedules of commits, of replicas that receive nothing,
//! drain, fail or start anew, of refused orders, and of owners that are killed.

use proptest::prelude::*;

use snipehead_core::commit_checkpoint::CommitCheckpoint;
use snipehead_core::commit_protection::CommitEvidence;
use snipehead_core::commit_protection::CommitProtection;
use snipehead_core::commit_protection::Verdict;
use snipehead_core::failover::MemberView;
use snipehead_core::log_position::LogPosition;
use snipehead_core::member::MemberKey;
use snipehead_core::member::MemberStatus;

const MEMBERS: usize = 4;
const LIMIT_MS: u64 = 1_000;

#[derive(Clone, Debug)]
enum Event {
    /// The primary commits, and these members receive its log. It acknowledges if they are enough.
    Commit([bool; MEMBERS]),
    /// The primary is lost or returns.
    SetLost(bool),
    SetAnswering(usize, bool),
    SetLeaving(usize, bool),
    /// The order for a member was refused; those for all others were not.
    Refuse(usize),
    /// The owner reads the logs of the members that answer.
    Probe,
    /// The owner is killed; another one knows the primary by the record only.
    Kill,
    /// The owner chooses a successor after a time.
    Choose {
        after_ms: u64,
    },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => any::<[bool; MEMBERS]>().prop_map(Event::Commit),
        2 => prop::bool::weighted(0.7).prop_map(Event::SetLost),
        3 => (0..MEMBERS, any::<bool>()).prop_map(|(member, is)| Event::SetAnswering(member, is)),
        2 => (0..MEMBERS, any::<bool>()).prop_map(|(member, is)| Event::SetLeaving(member, is)),
        1 => (0..MEMBERS).prop_map(Event::Refuse),
        4 => Just(Event::Probe),
        1 => Just(Event::Kill),
        6 => (0..2_000_u64).prop_map(|after_ms| Event::Choose { after_ms }),
    ]
}

/// A group in one term, whose first member is the primary, and what the owner knows of it.
struct Model {
    now_ms: u64,
    sync_replicas: usize,
    logs: [u64; MEMBERS],
    is_lost: bool,
    lost_since_ms: u64,
    answers: [bool; MEMBERS],
    leaves: [bool; MEMBERS],
    refused: Option<usize>,
    read: [(u64, u64); MEMBERS],
    /// Newest commit that was acknowledged to a caller, and whether the present owner has done that.
    acknowledged: u64,
    has_acknowledged: bool,
    /// Position of the primary when the present owner adopted it.
    adopted: Option<u64>,
    protection: CommitProtection,
}

impl Model {
    fn new(sync_replicas: usize) -> Self {
        Self {
            now_ms: 1_000_000,
            sync_replicas,
            logs: [0; MEMBERS],
            is_lost: false,
            lost_since_ms: 0,
            answers: [true; MEMBERS],
            leaves: [false; MEMBERS],
            refused: None,
            read: [(0, 0); MEMBERS],
            acknowledged: 0,
            has_acknowledged: false,
            adopted: Some(0),
            protection: CommitProtection::default(),
        }
    }

    fn commit(&mut self, receive: &[bool; MEMBERS]) {
        if self.is_lost {
            return;
        }
        // An owner acknowledges nothing before it has adopted the primary.
        self.adopted.get_or_insert(self.logs[0]);
        self.logs[0] += 1;
        let receivers: Vec<usize> = (1..MEMBERS).filter(|member| receive[*member]).collect();
        receivers.iter().for_each(|member| self.logs[*member] = self.logs[0]);
        if receivers.len() >= self.sync_replicas {
            self.acknowledged = self.logs[0];
            self.has_acknowledged = true;
        }
    }

    fn set_lost(&mut self, is_lost: bool) {
        if is_lost && !self.is_lost {
            self.lost_since_ms = self.now_ms;
        }
        if !is_lost {
            self.protection.end_wait();
        }
        self.is_lost = is_lost;
    }

    fn probe(&mut self) {
        for member in 1..MEMBERS {
            if self.answers[member] {
                self.read[member] = (self.logs[member], self.now_ms);
            }
        }
    }

    fn view(&self, member: usize) -> MemberView {
        let (position, position_at_ms) = self.read[member];
        let position = LogPosition::new(1, position);
        let is_failing = if member == 0 { self.is_lost } else { !self.answers[member] };
        MemberView {
            key: MemberKey { id: format!("m{member}").into(), incarnation: 1 },
            must_leave: self.leaves[member],
            failing_since_ms: is_failing.then_some(self.lost_since_ms),
            is_refused: false,
            status: Some(MemberStatus { is_primary: member == 0, term: 1, position }),
            position,
            position_at_ms,
            is_unpromotable: self.refused == Some(member),
        }
    }

    fn choose(&mut self) -> Option<(usize, bool)> {
        let views: Vec<MemberView> = (0..MEMBERS).map(|member| self.view(member)).collect();
        let evidence = CommitEvidence {
            acknowledged: self.has_acknowledged.then(|| LogPosition::new(1, self.acknowledged)),
            adopted: self.adopted.map(|position| LogPosition::new(1, position)),
            sync_replicas: Some(self.sync_replicas),
            checkpoint: (self.sync_replicas > 0).then(|| {
                let members = views.iter().map(|view| view.key.clone()).collect();
                CommitCheckpoint::new(LogPosition::new(1, 0), self.sync_replicas, members)
            }),
            term_start: None,
            may_return: Vec::new(),
            read_since_ms: self.lost_since_ms,
        };
        let primary = Some(&views[0].key);
        let verdict = self.protection.choose(self.now_ms, LIMIT_MS, &evidence, &views, primary);
        let index = |key: &MemberKey| views.iter().position(|view| view.key == *key);
        match verdict {
            Verdict::Complete(key) => Some((index(&key)?, true)),
            Verdict::Incomplete(key, _) => Some((index(&key)?, false)),
            Verdict::Wait | Verdict::Nobody => None,
        }
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        let Some((member, is_complete)) = self.choose() else { return Ok(()) };
        let held = self.logs[member];
        let is_known = self.sync_replicas > 0 || self.adopted.is_some();
        if is_complete && is_known {
            prop_assert!(held >= self.acknowledged, "m{member} holds {held}");
        }
        prop_assert!(
            is_complete || self.sync_replicas == 0,
            "m{member} with {held} is promoted while m0 is listed"
        );
        if self.leaves[member] {
            let best = (1..MEMBERS)
                .filter(|other| self.answers[*other] && !self.leaves[*other])
                .filter(|other| self.refused != Some(*other))
                .filter(|other| self.read[*other].1 >= self.lost_since_ms)
                .map(|other| self.read[other].0)
                .max();
            prop_assert!(best.is_none_or(|best| best < self.read[member].0), "m{member} leaves");
        }
        Ok(())
    }

    fn apply(&mut self, event: &Event) -> Result<(), TestCaseError> {
        self.now_ms += 10;
        match event {
            Event::Commit(receive) => self.commit(receive),
            Event::SetLost(is_lost) => self.set_lost(*is_lost),
            Event::SetAnswering(member, answers) => self.answers[*member] = *answers,
            Event::SetLeaving(member, leaves) => self.leaves[*member] = *leaves,
            Event::Refuse(member) => self.refused = Some(*member),
            Event::Probe => self.probe(),
            Event::Kill => {
                (self.adopted, self.protection) = (None, CommitProtection::default());
                self.has_acknowledged = false;
                self.refused = None;
            }
            Event::Choose { after_ms } if self.is_lost => {
                self.now_ms += after_ms;
                return self.check();
            }
            Event::Choose { .. } => {}
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against a successor that lacks acknowledged commits, chosen because the member that has them
    /// drains, does not answer, or had its order refused.
    #[test]
    fn a_successor_has_every_commit_that_synchronous_replicas_protect(
        sync_replicas in 0..3_usize,
        events in prop::collection::vec(event(), 1..120),
    ) {
        let mut model = Model::new(sync_replicas);
        for event in &events {
            model.apply(event)?;
        }
        // All members answer in the end, so one of them is chosen.
        model.set_lost(true);
        model.answers = [true; MEMBERS];
        model.leaves = [false; MEMBERS];
        model.now_ms += LIMIT_MS;
        model.probe();
        model.check()?;
        model.now_ms += LIMIT_MS;
        prop_assert!(model.choose().is_some(), "nobody is chosen");
    }
}
