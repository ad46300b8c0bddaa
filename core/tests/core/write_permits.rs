//! Writes under random schedules of replaced primaries: what is acknowledged is in the log of the
//! primary that leads afterwards.

use proptest::prelude::*;

use crate::pools::FakeConnection;
use snipehead_core::commit_history::CommitHistory;
use snipehead_core::log_position::LogPosition;
use snipehead_core::member::MemberEntry;
use snipehead_core::member::MemberKey;
use snipehead_core::member::MemberStatus;
use snipehead_core::service::pool::Pool;
use snipehead_core::service::pool::SlotRequest;
use snipehead_core::service::pool::SlotTarget;
use snipehead_core::service::pool::WritePermit;

const MEMBERS: usize = 3;
const STEP_MS: u64 = 10;

#[derive(Clone, Debug)]
enum Event {
    /// A caller's write is granted a slot at the primary.
    Grant,
    /// The owner sends a granted write, if it may still be sent.
    Send(prop::sample::Index),
    /// The member commits a write that is on its way.
    Commit(prop::sample::Index),
    /// The reply to a committed write arrives at the owner.
    Reply(prop::sample::Index),
    /// A replica receives the log of the primary that leads.
    Replicate { member: usize },
    /// The owner begins a planned move, and goes on with it once the successor has caught up.
    Move { successor: usize },
    /// The owner replaces a primary that does not answer.
    Replace { successor: usize },
    /// The ordered promotion takes effect.
    TakeEffect,
    /// The owner sees the new primary and uses it.
    Adopt,
}

fn event() -> impl Strategy<Value = Event> {
    let index = any::<prop::sample::Index>;
    prop_oneof![
        6 => Just(Event::Grant),
        6 => index().prop_map(Event::Send),
        6 => index().prop_map(Event::Commit),
        6 => index().prop_map(Event::Reply),
        5 => (0..MEMBERS).prop_map(|member| Event::Replicate { member }),
        2 => (0..MEMBERS).prop_map(|successor| Event::Move { successor }),
        1 => (0..MEMBERS).prop_map(|successor| Event::Replace { successor }),
        2 => Just(Event::TakeEffect),
        2 => Just(Event::Adopt),
    ]
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Granted,
    Sent,
    Committed(LogPosition),
}

struct Write {
    number: u64,
    member: usize,
    permit: WritePermit,
    stage: Stage,
}

/// Step of a change of primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    None,
    /// Permits are revoked; the successor must reach the position before the order.
    Revoked {
        successor: usize,
        needed: LogPosition,
    },
    Ordered {
        successor: usize,
    },
    InEffect {
        successor: usize,
    },
}

struct Model {
    now_ms: u64,
    pool: Pool<FakeConnection>,
    history: CommitHistory,
    logs: [Vec<(u64, LogPosition)>; MEMBERS],
    leader: usize,
    term: u64,
    writes: Vec<Write>,
    change: Change,
    /// Acknowledged writes since the last change that was not planned.
    acknowledged: Vec<u64>,
    next_write: u64,
}

fn key(member: usize) -> MemberKey {
    MemberKey { id: format!("m{member}").into(), incarnation: 1 }
}

fn entry(member: usize) -> MemberEntry {
    MemberEntry {
        key: key(member),
        service: "dispatch".into(),
        address: format!("10.0.0.{}:1", member + 1).parse().expect("valid"),
        zone: "almaty-a".into(),
        slots: 1_000,
        is_draining: false,
        cold_ms: 0,
        claims_primary: false,
    }
}

impl Model {
    fn new() -> Self {
        let mut pool = Pool::new("almaty-a".into());
        pool.set_limits(1_000, 0.0);
        pool.set_members(0, (0..MEMBERS).map(entry).collect(), &|_| false);
        for member in 0..MEMBERS {
            let position = LogPosition::new(1, 0);
            let status = MemberStatus { is_primary: member == 0, term: 1, position };
            pool.record_status(0, &key(member), Some(status));
        }
        pool.set_primary(0, Some(key(0)));
        Self {
            now_ms: 0,
            pool,
            history: CommitHistory::new(1, LogPosition::new(1, 0)),
            logs: Default::default(),
            leader: 0,
            term: 1,
            writes: Vec::new(),
            change: Change::None,
            acknowledged: Vec::new(),
            next_write: 1,
        }
    }

    fn position(&self, member: usize) -> LogPosition {
        self.logs[member].last().map_or(LogPosition::new(1, 0), |(_, position)| *position)
    }

    fn pick(&self, index: &prop::sample::Index, is_due: fn(Stage) -> bool) -> Option<usize> {
        let due: Vec<usize> =
            (0..self.writes.len()).filter(|number| is_due(self.writes[*number].stage)).collect();
        (!due.is_empty()).then(|| due[index.index(due.len())])
    }

    fn grant(&mut self) {
        let request = SlotRequest {
            target: SlotTarget::Primary,
            tenant: "families".into(),
            route: "bookings".into(),
            objective_at_ms: 0,
            priority: 1,
        };
        let ticket = self.pool.enqueue(request);
        let (grants, _) = self.pool.dispatch(self.now_ms);
        self.pool.cancel(ticket);
        for (_, grant) in grants {
            let permit = grant.write_permit.expect("a write is granted at the primary only");
            let member = (0..MEMBERS).find(|member| key(*member) == grant.member.key);
            let member = member.expect("the member is listed");
            let number = self.next_write;
            self.next_write += 1;
            self.writes.push(Write { number, member, permit, stage: Stage::Granted });
        }
    }

    fn send(&mut self, index: &prop::sample::Index) {
        let Some(at) = self.pick(index, |stage| stage == Stage::Granted) else { return };
        match self.pool.is_permitted(&self.writes[at].permit) {
            true => self.writes[at].stage = Stage::Sent,
            // The caller is told that nothing is kept.
            false => drop(self.writes.remove(at)),
        }
    }

    fn commit(&mut self, index: &prop::sample::Index) {
        let Some(at) = self.pick(index, |stage| stage == Stage::Sent) else { return };
        let Write { number, member, .. } = self.writes[at];
        let term = if member == self.leader { self.term } else { 1 };
        let position = LogPosition::new(term, self.position(member).position + 1);
        // A former primary goes on until it is told to step down.
        self.logs[member].push((number, position));
        self.writes[at].stage = Stage::Committed(position);
    }

    fn reply(&mut self, index: &prop::sample::Index) {
        let is_committed = |stage| matches!(stage, Stage::Committed(_));
        let Some(at) = self.pick(index, is_committed) else { return };
        let write = self.writes.remove(at);
        let Stage::Committed(position) = write.stage else { return };
        if self.pool.is_permitted(&write.permit) {
            assert_eq!(write.member, self.leader, "write {} was acknowledged", write.number);
            self.history.acknowledge(self.now_ms, position);
            self.acknowledged.push(write.number);
        }
    }

    fn begin_change(&mut self, successor: usize, is_planned: bool) {
        if self.change != Change::None || successor == self.leader {
            return;
        }
        if is_planned {
            self.pool.set_primary_paused(true);
            self.pool.revoke_write_permits();
            self.change = Change::Revoked { successor, needed: self.history.newest() };
            self.order_if_caught_up();
        } else {
            self.pool.set_primary(self.now_ms, None);
            self.acknowledged.clear();
            self.change = Change::Ordered { successor };
        }
    }

    fn order_if_caught_up(&mut self) {
        if let Change::Revoked { successor, needed } = self.change
            && self.position(successor) >= needed
        {
            self.pool.set_primary(self.now_ms, None);
            self.change = Change::Ordered { successor };
        }
    }

    fn take_effect(&mut self) {
        let Change::Ordered { successor } = self.change else { return };
        self.leader = successor;
        self.term += 1;
        self.change = Change::InEffect { successor };
        for number in &self.acknowledged {
            let is_kept = self.logs[successor].iter().any(|(kept, _)| kept == number);
            assert!(is_kept, "write {number} was acknowledged and is lost");
        }
    }

    fn adopt(&mut self) {
        let Change::InEffect { successor } = self.change else { return };
        self.change = Change::None;
        self.history = CommitHistory::new(self.term, self.position(successor));
        self.pool.set_primary(self.now_ms, Some(key(successor)));
        self.pool.set_primary_paused(false);
    }

    fn apply(&mut self, event: &Event) {
        self.now_ms += STEP_MS;
        match event {
            Event::Grant => self.grant(),
            Event::Send(index) => self.send(index),
            Event::Commit(index) => self.commit(index),
            Event::Reply(index) => self.reply(index),
            Event::Replicate { member } => {
                self.logs[*member] = self.logs[self.leader].clone();
                self.order_if_caught_up();
            }
            Event::Move { successor } => self.begin_change(*successor, true),
            Event::Replace { successor } => self.begin_change(*successor, false),
            Event::TakeEffect => self.take_effect(),
            Event::Adopt => self.adopt(),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against writes that are sent to, or acknowledged at, a primary that is being replaced.
    #[test]
    fn no_write_is_acknowledged_at_a_replaced_primary(
        events in prop::collection::vec(event(), 1..120),
    ) {
        let mut model = Model::new();
        for event in &events {
            model.apply(event);
        }
    }
}
