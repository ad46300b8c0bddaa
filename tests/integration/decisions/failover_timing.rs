//! Tests that one home after the other replaces a lost primary, and that the group has a primary
//! again in time. Probes, checks and messages take random times.

use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;

use super::elections::status_of;
use snipehead::control::failover::FailoverAction;
use snipehead::control::failover::FailoverCore;
use snipehead::control::failover::FailoverInputs;
use snipehead::control::failover::FailoverOutcome;
use snipehead::group::member_control::ControlReply;
use snipehead::group::member_status::MemberStatus;
use snipehead::group::quorum::Observation;
use snipehead::group::quorum::QuorumView;
use snipehead::stand_in::member::core::MemberCore;

const MEMBERS: usize = 3;
const HOMES: usize = 3;
const FAILOVER_AFTER_MS: u64 = 1_000;
const CHECK_INTERVAL_MS: u64 = 50;
/// Time between two probes while the primary is known.
const PROBE_INTERVAL_MS: u64 = 200;
const REPLICATION_INTERVAL_MS: u64 = 40;

/// Longest time for a message to a member, or for a reply.
const MAX_DELAY_MS: u64 = 20;

/// Maximum time without a primary, as the current target sets it.
const MAX_GAP_MS: u64 = 2_000;

/// When the primary is lost, and which home with it.
#[derive(Clone, Debug)]
struct Outage {
    lost_at_ms: u64,
    lost_home: Option<usize>,
    /// Offset of each home's checks and of its probes.
    phases_ms: Vec<u64>,
    /// Durations of the messages, used in turn.
    delays_ms: Vec<u64>,
}

fn outages() -> impl Strategy<Value = Outage> {
    let phases_ms = prop::collection::vec(0..PROBE_INTERVAL_MS, HOMES * (MEMBERS + 1));
    let delays_ms = prop::collection::vec(1..=MAX_DELAY_MS, 1..200);
    (500..1_000_u64, prop::option::of(0..HOMES), phases_ms, delays_ms).prop_map(
        |(lost_at_ms, lost_home, phases_ms, delays_ms)| Outage {
            lost_at_ms,
            lost_home,
            phases_ms,
            delays_ms,
        },
    )
}

/// A message on its way.
#[derive(Clone, Debug)]
enum Message {
    Probe { home: usize, member: usize, number: u64, sent_at_ms: u64 },
    ProbeReply { home: usize, member: usize, observation: Option<Observation> },
    RequestTerm { home: usize, member: usize, term: u64 },
    TermReply { home: usize, member: usize, reply: Option<ControlReply> },
    Promote { home: usize, member: usize, term: u64 },
    PromoteReply { home: usize, is_promoted: bool },
}

/// The failover of a group on one home.
struct Home {
    failover: FailoverCore,
    view: QuorumView,
    /// Replies to the current request for a term.
    replies: Vec<(usize, Option<ControlReply>)>,
    is_acting: bool,
    next_check_at_ms: u64,
    next_probe_at_ms: [u64; MEMBERS],
}

/// A group whose first member is primary until it loses all connections.
struct Simulation {
    outage: Outage,
    started_at: Instant,
    now_ms: u64,
    members: Vec<MemberCore>,
    homes: Vec<Home>,
    messages: Vec<(u64, Message)>,
    sent_count: usize,
    probe_count: u64,
    /// Number of terms that homes requested.
    attempts: usize,
    /// When a member was last promoted.
    promoted_at_ms: Option<u64>,
}

impl Simulation {
    fn new(outage: Outage) -> Self {
        let home = |index: usize| Home {
            failover: FailoverCore::start().expect("the chart is valid"),
            view: QuorumView::new(MEMBERS),
            replies: Vec::new(),
            is_acting: false,
            next_check_at_ms: 400 + outage.phases_ms[index * (MEMBERS + 1)],
            next_probe_at_ms: std::array::from_fn(|member| {
                outage.phases_ms[index * (MEMBERS + 1) + member + 1]
            }),
        };
        Self {
            homes: (0..HOMES).map(home).collect(),
            outage,
            started_at: Instant::now(),
            now_ms: 0,
            members: (0..MEMBERS).map(|index| MemberCore::new(index == 0)).collect(),
            messages: Vec::new(),
            sent_count: 0,
            probe_count: 0,
            attempts: 0,
            promoted_at_ms: None,
        }
    }

    fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.now_ms += 1;
            if self.now_ms.is_multiple_of(REPLICATION_INTERVAL_MS) {
                self.replicate();
            }
            for home in 0..HOMES {
                self.probe(home);
                self.check(home);
            }
            self.deliver();
        }
    }

    fn now(&self) -> Instant {
        self.started_at + Duration::from_millis(self.now_ms)
    }

    fn is_lost(&self) -> bool {
        self.now_ms >= self.outage.lost_at_ms
    }

    fn is_cut_off(&self, home: usize, member: usize) -> bool {
        self.is_lost() && (member == 0 || self.outage.lost_home == Some(home))
    }

    fn status(&self, member: usize) -> MemberStatus {
        MemberStatus {
            primary_silent_ms: self.members[member].status(self.now()).primary_silent_ms,
            ..status_of(&self.members[member])
        }
    }

    fn send(&mut self, message: Message) {
        let delays_ms = &self.outage.delays_ms;
        let delay_ms = delays_ms[self.sent_count % delays_ms.len()];
        self.sent_count += 1;
        self.messages.push((self.now_ms + delay_ms, message));
    }

    fn replicate(&mut self) {
        let now = self.now();
        let connected = match self.is_lost() {
            true => 1..MEMBERS,
            false => 0..MEMBERS,
        };
        for from in connected.clone() {
            for to in connected.clone() {
                if from == to || !self.members[from].is_primary() {
                    continue;
                }
                let position = self.members[to].last_position();
                let request = self.members[from].entries_after(position, now, Duration::ZERO);
                self.members[to].append(request, now);
            }
        }
    }

    fn probe(&mut self, home: usize) {
        for member in 0..MEMBERS {
            if self.now_ms >= self.homes[home].next_probe_at_ms[member] {
                self.homes[home].next_probe_at_ms[member] = u64::MAX;
                self.probe_count += 1;
                let (number, sent_at_ms) = (self.probe_count, self.now_ms);
                self.send(Message::Probe { home, member, number, sent_at_ms });
            }
        }
    }

    fn check(&mut self, index: usize) {
        let home = &mut self.homes[index];
        if home.is_acting || self.now_ms < home.next_check_at_ms {
            return;
        }
        home.next_check_at_ms = self.now_ms + CHECK_INTERVAL_MS;
        if home.view.primary().is_none() {
            let now_ms = self.now_ms;
            let is_idle = |at_ms: &&mut u64| **at_ms != u64::MAX;
            home.next_probe_at_ms.iter_mut().filter(is_idle).for_each(|at_ms| *at_ms = now_ms);
        }
        let actions = home.failover.step(&FailoverInputs {
            now_ms: self.now_ms,
            view: &home.view,
            failover_after_ms: FAILOVER_AFTER_MS,
            rank: index as u64,
            leaving: &[false; MEMBERS],
            is_unreachable_from_all_homes: false,
        });
        self.perform(index, &actions);
    }

    fn perform(&mut self, home: usize, actions: &[FailoverAction]) {
        self.homes[home].is_acting = false;
        for action in actions {
            match *action {
                FailoverAction::RequestTerm { term } => {
                    self.attempts += 1;
                    self.homes[home].is_acting = true;
                    for member in 0..MEMBERS {
                        self.send(Message::RequestTerm { home, member, term });
                    }
                }
                FailoverAction::Promote { member, term } => {
                    self.homes[home].is_acting = true;
                    self.send(Message::Promote { home, member, term });
                }
                _ => {}
            }
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|(at_ms, _)| *at_ms <= now_ms);
        self.messages = later;
        for (_, message) in due {
            self.receive(message);
        }
    }

    fn receive(&mut self, message: Message) {
        match message {
            Message::Probe { home, member, number, sent_at_ms } => {
                let status = self.status(member);
                let observation = (!self.is_cut_off(home, member)).then_some(Observation {
                    sent_at_ms,
                    probe_number: number,
                    status,
                });
                self.send(Message::ProbeReply { home, member, observation });
            }
            Message::ProbeReply { home, member, observation } => {
                self.homes[home].next_probe_at_ms[member] = self.now_ms + PROBE_INTERVAL_MS;
                match observation {
                    Some(observation) => self.homes[home].view.observe(member, observation),
                    None => self.homes[home].view.mark_unreachable(member),
                }
            }
            Message::RequestTerm { home, member, term } => {
                let reply = (!self.is_cut_off(home, member)).then(|| {
                    let is_granted = self.members[member].accept_term(term, &home.to_string());
                    ControlReply { is_granted, status: self.status(member) }
                });
                self.send(Message::TermReply { home, member, reply });
            }
            Message::TermReply { home, member, reply } => self.collect(home, member, reply),
            Message::Promote { home, member, term } => {
                let is_promoted = !self.is_cut_off(home, member)
                    && self.members[member].promote(term, &home.to_string()).is_ok();
                if is_promoted {
                    self.promoted_at_ms = Some(self.now_ms);
                }
                self.send(Message::PromoteReply { home, is_promoted });
            }
            Message::PromoteReply { home, is_promoted: true } => {
                self.finish(home, FailoverOutcome::Promoted);
            }
            Message::PromoteReply { home, is_promoted: false } => {
                self.finish(home, FailoverOutcome::PromotionFailed);
            }
        }
    }

    fn collect(&mut self, home: usize, member: usize, reply: Option<ControlReply>) {
        self.homes[home].replies.push((member, reply));
        if self.homes[home].replies.len() == MEMBERS {
            let mut replies = std::mem::take(&mut self.homes[home].replies);
            replies.sort_by_key(|(member, _)| *member);
            let grants = replies.into_iter().map(|(_, reply)| reply).collect();
            self.finish(home, FailoverOutcome::TermGrants(grants));
        }
    }

    fn finish(&mut self, index: usize, outcome: FailoverOutcome) {
        let home = &mut self.homes[index];
        home.next_check_at_ms = self.now_ms + CHECK_INTERVAL_MS;
        let leaving = [false; MEMBERS];
        let actions = home.failover.handle_outcome(self.now_ms, &home.view, &leaving, outcome);
        self.perform(index, &actions);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn one_home_at_a_time_replaces_a_lost_primary(outage in outages()) {
        let mut simulation = Simulation::new(outage.clone());
        simulation.run_until(outage.lost_at_ms + MAX_GAP_MS + FAILOVER_AFTER_MS);
        let promoted_at_ms = simulation.promoted_at_ms.expect("a member is promoted");
        prop_assert_eq!(simulation.attempts, 1, "homes superseded each other's terms");
        prop_assert!(promoted_at_ms - outage.lost_at_ms < MAX_GAP_MS);
    }
}
