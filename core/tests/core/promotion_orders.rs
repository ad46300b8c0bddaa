//! Orders for promotions under random schedules of members that go silent, crash and return, of
//! answers that are lost, and of owners that are killed.

use proptest::prelude::*;
use rstest::rstest;

use snipehead_core::failover::Decision;
use snipehead_core::failover::MemberView;
use snipehead_core::failover::decide;
use snipehead_core::failover::leads_newer_term;
use snipehead_core::log_position::LogPosition;
use snipehead_core::member::MemberKey;
use snipehead_core::member::MemberStatus;
use snipehead_core::promotion_order::EFFECT_LIMIT_MS;
use snipehead_core::promotion_order::OrderEffect;
use snipehead_core::promotion_order::PromotionOrder;
use snipehead_core::succession::Leadership;
use snipehead_core::succession::PendingStep;
use snipehead_core::succession::Succession;

const MEMBERS: usize = 3;
const START_MS: u64 = 1_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reach {
    Up,
    /// It runs, and the owner does not reach it.
    Silent,
    Down,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Write {
    Answered,
    AnswerLost,
    Dropped,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Accepted,
    /// The order is carried out, and the answer is lost.
    Lost,
    /// The order is lost.
    NeverArrived,
    Refused,
}

#[derive(Clone, Debug)]
enum Event {
    Wait {
        ms: u64,
    },
    Set(usize, Reach),
    /// The owner acts once.
    Act {
        /// What happens to the first write of the record.
        write: Write,
        /// What happens to an order that is given.
        answer: Answer,
        /// Time until the order takes effect.
        effect_ms: u64,
        /// What happens to the write that takes a record back.
        restore: Write,
    },
    Serve,
    /// The owner is killed; another one starts from the record at once.
    Kill,
    Follow(usize),
}

fn event() -> impl Strategy<Value = Event> {
    let reach = prop_oneof![4 => Just(Reach::Up), 2 => Just(Reach::Silent), 1 => Just(Reach::Down)];
    let write = || {
        prop_oneof![
            8 => Just(Write::Answered),
            1 => Just(Write::AnswerLost),
            1 => Just(Write::Dropped),
        ]
    };
    let answer = prop_oneof![
        8 => Just(Answer::Accepted),
        2 => Just(Answer::Lost),
        1 => Just(Answer::NeverArrived),
        2 => Just(Answer::Refused),
    ];
    let act = (write(), answer, 0..EFFECT_LIMIT_MS, write()).prop_map(
        |(write, answer, effect_ms, restore)| Event::Act { write, answer, effect_ms, restore },
    );
    prop_oneof![
        6 => (0..1_500_u64).prop_map(|ms| Event::Wait { ms }),
        3 => (0..MEMBERS, reach).prop_map(|(member, reach)| Event::Set(member, reach)),
        10 => act,
        6 => Just(Event::Serve),
        1 => Just(Event::Kill),
        3 => (0..MEMBERS).prop_map(Event::Follow),
    ]
}

/// Members, the platform and the owner, which decides as [`Succession`] and [`decide`] say.
struct Model {
    now_ms: u64,
    members: [MemberStatus; MEMBERS],
    reach: [Reach; MEMBERS],
    record: Leadership,
    succession: Succession,
    /// The primary in use and its term.
    serving: Option<(usize, u64)>,
    /// Members to be promoted, and when.
    orders: Vec<(u64, usize)>,
    /// The order whose effect the owner waits for, and the record before it.
    waiting: Option<(usize, PromotionOrder, Option<Leadership>)>,
    unpromotable: Option<usize>,
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
            now_ms: START_MS,
            members: std::array::from_fn(member),
            reach: [Reach::Up; MEMBERS],
            record: Leadership::default(),
            succession: Succession::default(),
            serving: None,
            orders: Vec::new(),
            waiting: None,
            unpromotable: None,
        }
    }

    fn newest_term(&self) -> u64 {
        self.members.iter().map(|status| status.term).max().unwrap_or(0)
    }

    fn wait(&mut self, ms: u64) {
        self.now_ms += ms;
        let now_ms = self.now_ms;
        let (mut due, open) = self.orders.drain(..).partition(|(at_ms, _)| *at_ms <= now_ms);
        self.orders = open;
        let due: &mut Vec<(u64, usize)> = &mut due;
        due.sort_unstable();
        for (_, member) in due.iter() {
            let newest = self.newest_term();
            let status = &mut self.members[*member];
            let leads = status.is_primary && status.term == newest;
            if !leads && self.reach[*member] != Reach::Down {
                (status.is_primary, status.term) = (true, newest + 1);
            }
        }
    }

    fn set(&mut self, member: usize, reach: Reach) {
        if self.reach[member] == Reach::Down && self.members[member].term < self.newest_term() {
            self.members[member].is_primary = false;
        }
        self.reach[member] = reach;
    }

    fn record(&mut self, leadership: Leadership, write: Write) -> bool {
        if write != Write::Dropped {
            self.record = leadership.clone();
        }
        match write {
            Write::Answered => self.succession.set_recorded(leadership),
            Write::AnswerLost | Write::Dropped => self.succession.set_unconfirmed(leadership.term),
        }
        write == Write::Answered
    }

    fn kill(&mut self) {
        (self.serving, self.waiting, self.unpromotable) = (None, None, None);
        self.succession = Succession::new(self.now_ms, self.record.clone());
    }

    fn status(&self, member: usize) -> Option<MemberStatus> {
        Some(self.members[member]).filter(|_| self.reach[member] == Reach::Up)
    }

    fn views(&self) -> Vec<MemberView> {
        let view = |member: usize| MemberView {
            key: key(member),
            must_leave: false,
            failing_since_ms: self.status(member).is_none().then_some(0),
            is_refused: false,
            status: self.status(member),
            position: self.members[member].position,
            position_at_ms: self.now_ms,
            is_unpromotable: self.unpromotable == Some(member),
        };
        (0..MEMBERS).map(view).collect()
    }

    fn act(&mut self, write: Write, answer: (Answer, u64), restore: Write) {
        if let Some((member, order, former)) = self.waiting.take() {
            return self.await_effect(member, order, former, write);
        }
        let views = self.views();
        let known = self.serving.map(|(member, _)| key(member));
        if known.is_none() {
            match self.succession.pending_step(self.now_ms, &views) {
                PendingStep::Adopt(key) => return self.adopt(index(&key), write),
                PendingStep::Order(key) => {
                    let leadership = self.succession.recorded().clone();
                    let min_term = leadership.min_pending_term();
                    if self.succession.is_confirmed() || self.record(leadership, write) {
                        self.order(index(&key), min_term, None, answer, restore);
                    }
                    return;
                }
                PendingStep::Leave => {}
            }
        }
        if leads_newer_term(known.as_ref(), self.succession.min_term(), &views) {
            let member = self.serving.take().map(|(member, _)| member);
            return member.into_iter().for_each(|member| self.adopt(member, write));
        }
        match decide(self.now_ms, known.as_ref(), 0, self.succession.min_term(), &views) {
            Decision::Adopt(leader) => self.adopt(index(&leader), write),
            Decision::Replace(successor) if self.succession.may_order(self.now_ms) => {
                self.serving = None;
                let terms = views.iter().filter_map(|view| Some(view.status?.term));
                let former = self.succession.recorded().clone();
                let leadership =
                    self.succession.promotion_of(&successor.id, terms.max().unwrap_or(0));
                let min_term = leadership.pending_term;
                if self.record(leadership, write) {
                    self.order(index(&successor), min_term, Some(former), answer, restore);
                }
            }
            _ => {}
        }
    }

    fn order(
        &mut self,
        member: usize,
        min_term: u64,
        former: Option<Leadership>,
        (answer, effect_ms): (Answer, u64),
        restore: Write,
    ) {
        let is_down = self.reach[member] == Reach::Down;
        if answer == Answer::Refused || is_down {
            self.unpromotable = Some(member);
            former.into_iter().for_each(|former| {
                self.record(former, restore);
            });
            return;
        }
        if matches!(answer, Answer::Accepted | Answer::Lost) {
            self.orders.push((self.now_ms + effect_ms, member));
        }
        self.succession.set_ordered(self.now_ms);
        let order = PromotionOrder {
            min_term,
            held: self.members[member].position,
            given_at_ms: self.now_ms,
            is_accepted: answer == Answer::Accepted,
        };
        self.waiting = Some((member, order, former));
    }

    fn await_effect(
        &mut self,
        member: usize,
        order: PromotionOrder,
        former: Option<Leadership>,
        write: Write,
    ) {
        let effect = order.effect(self.now_ms, self.status(member));
        if effect == OrderEffect::Taken {
            return self.adopt(member, write);
        }
        if self.now_ms < order.effect_until_ms() {
            self.waiting = Some((member, order, former));
            return;
        }
        if order.is_accepted {
            self.unpromotable = Some(member);
        }
        if let (OrderEffect::None, Some(former)) = (effect, former) {
            self.record(former, write);
        }
    }

    fn adopt(&mut self, leader: usize, write: Write) {
        self.serving = None;
        let term = self.members[leader].term;
        let leadership = Leadership::served(key(leader).id, term);
        if self.succession.must_record(term) && !self.record(leadership.clone(), write) {
            return;
        }
        self.succession.set_served_term(term);
        self.serving = Some((leader, term));
        self.unpromotable = None;
        if *self.succession.recorded() != leadership {
            self.record(leadership, write);
        }
    }

    fn serve(&mut self) {
        let Some((member, term)) = self.serving else { return };
        let is_primary = self.members[member].is_primary && self.members[member].term == term;
        if self.reach[member] == Reach::Up && is_primary {
            self.members[member].position =
                LogPosition::new(term, self.members[member].position.position + 1);
            let newest = self.newest_term();
            assert_eq!(term, newest, "m{member} serves term {term}, and term {newest} has begun");
        }
    }

    fn follow(&mut self, member: usize) {
        let leaders = (0..MEMBERS).filter(|leader| self.members[*leader].is_primary);
        let leader = leaders.max_by_key(|leader| self.members[*leader].term);
        let Some(leader) = leader.filter(|leader| *leader != member) else { return };
        if self.reach[member] != Reach::Down && self.reach[leader] == Reach::Up {
            self.members[member] = MemberStatus { is_primary: false, ..self.members[leader] };
        }
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Wait { ms } => self.wait(*ms),
            Event::Set(member, reach) => self.set(*member, *reach),
            Event::Act { write, answer, effect_ms, restore } => {
                self.act(*write, (*answer, *effect_ms), *restore);
            }
            Event::Serve => self.serve(),
            Event::Kill => self.kill(),
            Event::Follow(member) => self.follow(*member),
        }
    }

    /// Returns whether a primary serves within a bounded time if nothing fails any more.
    fn recovers(&mut self) -> bool {
        (0..MEMBERS).for_each(|member| self.set(member, Reach::Up));
        for _ in 0..200 {
            self.act(Write::Answered, (Answer::Accepted, 300), Write::Answered);
            self.wait(100);
            (0..MEMBERS).for_each(|member| self.follow(member));
        }
        self.serving.is_some_and(|(member, term)| {
            let status = self.members[member];
            status.is_primary && status.term == term && term == self.newest_term()
        })
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against a primary that serves after an order, given up by its owner, has begun a newer term.
    #[test]
    fn no_primary_serves_once_an_order_has_begun_a_newer_term(
        events in prop::collection::vec(event(), 1..150),
    ) {
        let mut model = Model::new();
        for event in &events {
            model.apply(event);
        }
        prop_assert!(
            model.recovers(), "{:?} {:?} {:?}", model.succession, model.serving, model.members
        );
    }
}

/// Guards against a served term that a later owner does not find, after a record was taken back by a
/// write whose answer was lost.
#[test]
fn a_term_is_recorded_again_if_the_store_may_have_an_older_one() {
    let served = Leadership::served("m1".into(), 1);
    let mut succession = Succession::new(START_MS, served.clone());
    succession.set_recorded(succession.promotion_of(&"m2".into(), 1));
    assert!(!succession.must_record(2));
    succession.set_unconfirmed(served.term);
    assert!(succession.must_record(2));
    succession.set_recorded(Leadership::served("m2".into(), 2));
    assert!(!succession.must_record(2));
}

#[rstest]
#[case::silent(EFFECT_LIMIT_MS, None, OrderEffect::Open)]
#[case::leads(300, Some((true, 2, 9)), OrderEffect::Taken)]
#[case::replica_too_early(EFFECT_LIMIT_MS - 1, Some((false, 1, 9)), OrderEffect::Open)]
#[case::replica_afterwards(EFFECT_LIMIT_MS, Some((false, 1, 9)), OrderEffect::None)]
#[case::replica_of_a_newer_term(EFFECT_LIMIT_MS, Some((false, 2, 9)), OrderEffect::Open)]
#[case::started_anew(EFFECT_LIMIT_MS, Some((false, 1, 0)), OrderEffect::Open)]
fn only_a_late_answer_proves_that_an_accepted_order_has_no_effect(
    #[case] after_ms: u64,
    #[case] reported: Option<(bool, u64, u64)>,
    #[case] expected: OrderEffect,
) {
    let order = PromotionOrder {
        min_term: 2,
        held: LogPosition::new(1, 9),
        given_at_ms: START_MS,
        is_accepted: true,
    };
    let status = reported.map(|(is_primary, term, number)| MemberStatus {
        is_primary,
        term,
        position: LogPosition::new(1, number),
    });
    assert_eq!(order.effect(START_MS + after_ms, status), expected);
    let unanswered = PromotionOrder { is_accepted: false, ..order };
    let is_taken = expected == OrderEffect::Taken;
    let expected = if is_taken { OrderEffect::Taken } else { OrderEffect::Open };
    assert_eq!(unanswered.effect(START_MS + after_ms, status), expected);
}
