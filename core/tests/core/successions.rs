//! Terms of primaries under random schedules of owners that are killed around each record, of
//! members that are cut off, and of orders that take effect late.

use proptest::prelude::*;

use snipehead_core::failover::Decision;
use snipehead_core::failover::MemberView;
use snipehead_core::failover::decide;
use snipehead_core::failover::leads_newer_term;
use snipehead_core::log_position::LogPosition;
use snipehead_core::member::MemberKey;
use snipehead_core::member::MemberStatus;
use snipehead_core::succession::Leadership;
use snipehead_core::succession::PendingStep;
use snipehead_core::succession::Succession;

const MEMBERS: usize = 3;

/// Time by which every limit of a decision has passed, in milliseconds.
const LATE_MS: u64 = 1_000_000;

/// What happens to a write of the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Write {
    Answered,
    AnswerLost,
    Dropped,
    /// The owner is killed before the write reaches the store.
    KilledBefore,
    /// The owner is killed after the write and before it acts on it.
    KilledAfter,
}

#[derive(Clone, Debug)]
enum Event {
    /// The owner reaches exactly these members from now on.
    Reach([bool; MEMBERS]),
    /// The owner looks at the members and acts.
    Decide(Write),
    /// An order takes effect.
    TakeEffect(prop::sample::Index),
    /// The owner serves a write.
    Serve,
    /// The owner is killed; another one starts from the record.
    Kill,
    /// A replica follows the newest primary.
    Follow(usize),
}

fn event() -> impl Strategy<Value = Event> {
    let write = prop_oneof![
        6 => Just(Write::Answered),
        1 => Just(Write::AnswerLost),
        1 => Just(Write::Dropped),
        1 => Just(Write::KilledBefore),
        1 => Just(Write::KilledAfter),
    ];
    prop_oneof![
        2 => any::<[bool; MEMBERS]>().prop_map(Event::Reach),
        6 => write.prop_map(Event::Decide),
        3 => any::<prop::sample::Index>().prop_map(Event::TakeEffect),
        4 => Just(Event::Serve),
        2 => Just(Event::Kill),
        2 => (0..MEMBERS).prop_map(Event::Follow),
    ]
}

struct Model {
    members: [MemberStatus; MEMBERS],
    reached: [bool; MEMBERS],
    record: Leadership,
    succession: Succession,
    /// The primary in use and its term.
    serving: Option<(usize, u64)>,
    orders: Vec<usize>,
    /// Member whose last order was accepted and had no effect.
    unpromotable: Option<usize>,
    newest_acknowledged_term: u64,
}

fn key(member: usize) -> MemberKey {
    MemberKey { id: format!("m{member}").into(), incarnation: 1 }
}

fn index(key: &MemberKey) -> usize {
    (0..MEMBERS).find(|member| self::key(*member) == *key).expect("the member is listed")
}

impl Model {
    fn new() -> Self {
        let member = |number| MemberStatus {
            is_primary: number == 0,
            term: 1,
            position: LogPosition::new(1, 0),
        };
        Self {
            members: std::array::from_fn(member),
            reached: [true; MEMBERS],
            record: Leadership::default(),
            succession: Succession::default(),
            serving: None,
            orders: Vec::new(),
            unpromotable: None,
            newest_acknowledged_term: 0,
        }
    }

    fn kill(&mut self) {
        self.unpromotable = None;
        self.serving = None;
        self.succession = Succession::new(LATE_MS, self.record.clone());
    }

    /// Writes the record. Returns whether the owner goes on and knows that it is stored.
    fn record(&mut self, leadership: Leadership, write: Write) -> bool {
        if matches!(write, Write::Answered | Write::AnswerLost | Write::KilledAfter) {
            self.record = leadership.clone();
        }
        match write {
            Write::Answered => self.succession.set_recorded(leadership),
            Write::KilledBefore | Write::KilledAfter => self.kill(),
            Write::AnswerLost | Write::Dropped => self.succession.set_unconfirmed(leadership.term),
        }
        write == Write::Answered
    }

    fn views(&self) -> Vec<MemberView> {
        let view = |member: usize| MemberView {
            key: key(member),
            must_leave: false,
            failing_since_ms: (!self.reached[member]).then_some(0),
            is_refused: false,
            status: Some(self.members[member]).filter(|_| self.reached[member]),
            position: self.members[member].position,
            position_at_ms: LATE_MS,
            is_unpromotable: self.unpromotable == Some(member),
        };
        (0..MEMBERS).map(view).collect()
    }

    fn decide(&mut self, write: Write) {
        let views = self.views();
        if self.serving.is_none() {
            match self.succession.pending_step(u64::MAX, &views) {
                PendingStep::Adopt(key) => return self.adopt(index(&key), write),
                PendingStep::Order(key) => return self.orders.push(index(&key)),
                PendingStep::Leave => {}
            }
        }
        let known = self.serving.map(|(member, _)| key(member));
        if leads_newer_term(known.as_ref(), self.succession.min_term(), &views) {
            let member = self.serving.take().map(|(member, _)| member);
            return member.into_iter().for_each(|member| self.adopt(member, write));
        }
        match decide(LATE_MS, known.as_ref(), 0, self.succession.min_term(), &views) {
            Decision::Adopt(leader) => self.adopt(index(&leader), write),
            Decision::Replace(successor) => {
                self.serving = None;
                let terms = views.iter().filter_map(|view| Some(view.status?.term));
                let reported_term = terms.max().unwrap_or(0);
                let leadership = self.succession.promotion_of(&successor.id, reported_term);
                if self.record(leadership, write) {
                    self.orders.push(index(&successor));
                }
            }
            Decision::Probe | Decision::Keep | Decision::Move(_) => {}
        }
    }

    fn adopt(&mut self, leader: usize, write: Write) {
        self.serving = None;
        let term = self.members[leader].term;
        let leadership = Leadership::served(key(leader).id, term);
        if self.succession.must_record(term) && !self.record(leadership, write) {
            return;
        }
        self.succession.set_served_term(term);
        self.serving = Some((leader, term));
        self.unpromotable = None;
    }

    fn take_effect(&mut self, order: usize) {
        let member = self.orders.remove(order);
        let newest = self.members.iter().map(|member| member.term).max().unwrap_or(0);
        let leads = self.members[member].is_primary && self.members[member].term == newest;
        if !leads {
            let position = self.members[member].position;
            self.members[member] = MemberStatus { is_primary: true, term: newest + 1, position };
        } else if self.serving.is_none() {
            self.unpromotable = Some(member);
        }
    }

    fn serve(&mut self) {
        let Some((member, term)) = self.serving else { return };
        let status = &mut self.members[member];
        if !self.reached[member] || !status.is_primary || status.term != term {
            return;
        }
        status.position = LogPosition::new(term, status.position.position + 1);
        assert!(
            term >= self.newest_acknowledged_term,
            "m{member} served in term {term} after term {}",
            self.newest_acknowledged_term
        );
        self.newest_acknowledged_term = term;
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Reach(reached) => self.reached = *reached,
            Event::Decide(write) => self.decide(*write),
            Event::TakeEffect(order) => {
                if !self.orders.is_empty() {
                    self.take_effect(order.index(self.orders.len()));
                }
            }
            Event::Serve => self.serve(),
            Event::Kill => self.kill(),
            Event::Follow(member) => {
                let leaders = self.members.iter().filter(|status| status.is_primary);
                let leader = leaders.max_by_key(|status| status.term).copied();
                if let Some(leader) = leader.filter(|leader| *leader != self.members[*member]) {
                    self.members[*member] = MemberStatus { is_primary: false, ..leader };
                }
            }
        }
    }

    /// Returns whether the service comes back once all members are reached and orders take effect.
    fn recovers(&mut self) -> bool {
        self.reached = [true; MEMBERS];
        for _ in 0..10 {
            self.decide(Write::Answered);
            while !self.orders.is_empty() {
                self.take_effect(0);
            }
        }
        let leads = |member: usize, term| {
            self.members[member].is_primary && self.members[member].term == term
        };
        self.serving.is_some_and(|(member, term)| leads(member, term))
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against a new owner that uses the primary of an earlier term than one that was served.
    #[test]
    fn no_owner_serves_an_earlier_term_than_one_that_was_acknowledged(
        events in prop::collection::vec(event(), 1..100),
    ) {
        let mut model = Model::new();
        for event in &events {
            model.apply(event);
        }
        prop_assert!(model.recovers(), "no primary serves: {:?} {:?} {:?}", model.succession, model.serving, model.members);
    }
}
