//! 91 entry nodes, the owner of a service and retrying callers, in simulated time.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::Range;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use snipehead_core::name::Name;
use snipehead_core::owner_pressure::OwnerPressure;
use snipehead_core::pressure::LevelPressure;
use snipehead_core::pressure::ServicePressure;
use snipehead_core::pressure_table::Admission;
use snipehead_core::pressure_table::Arrival;
use snipehead_core::pressure_table::LocalRefusal;
use snipehead_core::pressure_table::PressureTable;
use snipehead_core::pressure_teller::PressureTeller;
use snipehead_core::refusal_history::RefusalHistory;

pub const NODES: usize = 91;

/// Statements that the owner serves in a second.
pub const SERVED_PER_S: usize = SLOTS * 1_000 / WORK_MS as usize;

const SLOTS: usize = 12;
const WORK_MS: u64 = 10;

/// Objectives by level, in milliseconds.
const OBJECTIVES_MS: [u64; 3] = [100, 300, 600];

/// Longest time for which a caller retries, in milliseconds.
const CALLER_BUDGET_MS: u64 = 1_500;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    Sent { is_retry: bool },
    Probe,
    RefusedLocally,
    Served { level: usize },
}

impl Seen {
    pub fn is_sent(self) -> bool {
        matches!(self, Self::Sent { .. })
    }
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    node: usize,
    level: usize,
    ownership: u16,
    first_at_ms: u64,
    is_retry: bool,
}

enum Event {
    Arrive(Attempt),
    Reach(Attempt),
    End(Attempt),
    Reply { attempt: Attempt, is_served: bool, told: Option<OwnerPressure> },
}

pub struct Simulation {
    pub frozen: Range<u64>,
    has_back_pressure: bool,
    now_ms: u64,
    random: SmallRng,
    events: BTreeMap<u64, Vec<Event>>,
    tables: Vec<PressureTable>,
    histories: Vec<RefusalHistory>,
    tellers: Vec<PressureTeller>,
    ownership: u16,
    queues: [VecDeque<Attempt>; 3],
    running: usize,
    seen: Vec<(u64, Seen)>,
}

pub fn owner(ownership: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + ownership))
}

pub fn pressure(fencing_token: u64, waits: &[(u32, u32)]) -> OwnerPressure {
    let levels =
        waits.iter().map(|&(level, expected_wait_ms)| LevelPressure { level, expected_wait_ms });
    OwnerPressure { fencing_token, pressure: ServicePressure { levels: levels.collect() } }
}

impl Simulation {
    pub fn new(seed: u64, has_back_pressure: bool) -> Self {
        Self {
            frozen: 0..0,
            has_back_pressure,
            now_ms: 0,
            random: SmallRng::seed_from_u64(seed),
            events: BTreeMap::new(),
            tables: vec![PressureTable::default(); NODES],
            histories: vec![RefusalHistory::default(); NODES],
            tellers: vec![PressureTeller::default(); NODES],
            ownership: 1,
            queues: Default::default(),
            running: 0,
            seen: Vec::new(),
        }
    }

    /// Adds first attempts of one level at random nodes and times.
    pub fn offer(&mut self, level: usize, window: Range<u64>, per_s: usize) {
        for _ in 0..(window.end - window.start) * per_s as u64 / 1_000 {
            let first_at_ms = self.random.random_range(window.clone());
            let node = self.random.random_range(0..NODES);
            let attempt = Attempt { node, level, ownership: 0, first_at_ms, is_retry: false };
            self.events.entry(first_at_ms).or_default().push(Event::Arrive(attempt));
        }
    }

    pub fn run(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            for event in self.events.remove(&self.now_ms).unwrap_or_default() {
                let is_at_owner = matches!(event, Event::Reach(_) | Event::End(_));
                match is_at_owner && self.frozen.contains(&self.now_ms) {
                    true => self.events.entry(self.frozen.end).or_default().push(event),
                    false => self.handle(event),
                }
            }
            self.now_ms += 1;
        }
    }

    /// Lets another node own the service, which has nothing queued.
    pub fn hand_over(&mut self) {
        self.ownership += 1;
        self.queues = Default::default();
        self.running = 0;
        self.tellers = vec![PressureTeller::default(); NODES];
    }

    /// Counts what was seen in a window of time.
    pub fn count(&self, window: Range<u64>, is_counted: impl Fn(Seen) -> bool) -> usize {
        let in_window = self.seen.iter().filter(|(at_ms, _)| window.contains(at_ms));
        in_window.filter(|(_, seen)| is_counted(*seen)).count()
    }

    fn see(&mut self, seen: Seen) {
        self.seen.push((self.now_ms, seen));
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.events.entry(self.now_ms + delay_ms).or_default().push(event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(attempt) => self.arrive(attempt),
            Event::Reach(attempt) if attempt.ownership != self.ownership => {}
            Event::Reach(attempt) => {
                if self.wait_ms(attempt.level) > OBJECTIVES_MS[attempt.level] {
                    return self.reply(attempt, false);
                }
                self.queues[attempt.level].push_back(attempt);
                self.dispatch();
            }
            // The former owner still answers what runs, and tells its own pressure.
            Event::End(attempt) if attempt.ownership != self.ownership => {
                let told = Some(pressure(attempt.ownership.into(), &[(0, 500)]));
                self.schedule(2, Event::Reply { attempt, is_served: true, told });
            }
            Event::End(attempt) => {
                self.running -= 1;
                self.see(Seen::Served { level: attempt.level });
                self.dispatch();
                self.reply(attempt, true);
            }
            Event::Reply { attempt, is_served, told } => {
                let is_under_pressure = told.is_some();
                if let Some(told) = told {
                    let address = owner(attempt.ownership);
                    let table = &mut self.tables[attempt.node];
                    table.record(self.now_ms, &"dispatch".into(), address, told, &mut self.random);
                }
                if !is_served {
                    let (tenant, route) = names(attempt.level);
                    if is_under_pressure {
                        self.histories[attempt.node].record(self.now_ms, &tenant, &route);
                    }
                    let after_ms = self.random.random_range(50..150);
                    self.retry(after_ms, attempt);
                }
            }
        }
    }

    fn arrive(&mut self, mut attempt: Attempt) {
        let (tenant, route) = names(attempt.level);
        attempt.ownership = self.ownership;
        let history = &mut self.histories[attempt.node];
        let arrival = Arrival {
            service: &"dispatch".into(),
            owner: owner(attempt.ownership),
            level: attempt.level as u32,
            objective_left_ms: OBJECTIVES_MS[attempt.level],
            is_retry: history.match_retry(self.now_ms, &tenant, &route),
        };
        let admission = match self.has_back_pressure {
            true => self.tables[attempt.node].admit(self.now_ms, &arrival, &mut self.random),
            false => Admission::Admit,
        };
        if let Admission::Refuse { reason, retry_after_ms, .. } = admission {
            match reason {
                LocalRefusal::RetryBudget => {
                    history.undo_match(self.now_ms, &tenant, &route, retry_after_ms);
                }
                _ => history.record(self.now_ms, &tenant, &route),
            }
            self.see(Seen::RefusedLocally);
            return self.retry(retry_after_ms, attempt);
        }
        if admission == Admission::Probe {
            self.see(Seen::Probe);
        }
        self.see(Seen::Sent { is_retry: attempt.is_retry });
        let delay_ms = self.random.random_range(1..4);
        self.schedule(delay_ms, Event::Reach(attempt));
    }

    fn retry(&mut self, after_ms: u64, attempt: Attempt) {
        if self.now_ms + after_ms < attempt.first_at_ms + CALLER_BUDGET_MS {
            self.schedule(after_ms, Event::Arrive(Attempt { is_retry: true, ..attempt }));
        }
    }

    /// Returns the expected wait of a level at the owner, which serves urgent levels first.
    fn wait_ms(&self, level: usize) -> u64 {
        let ahead: usize = self.queues[..=level].iter().map(VecDeque::len).sum();
        ahead as u64 * WORK_MS / SLOTS as u64
    }

    fn dispatch(&mut self) {
        while self.running < SLOTS
            && let Some(attempt) = self.queues.iter_mut().find_map(VecDeque::pop_front)
        {
            self.running += 1;
            self.schedule(WORK_MS, Event::End(attempt));
        }
    }

    fn reply(&mut self, attempt: Attempt, is_served: bool) {
        let waits = [0, 1, 2].map(|level| (level as u32, self.wait_ms(level) as u32));
        let listed: Vec<(u32, u32)> = waits.into_iter().filter(|(_, wait)| *wait > 0).collect();
        let current = pressure(attempt.ownership.into(), &listed);
        let told = self.tellers[attempt.node].tell(&"dispatch".into(), Some(current));
        let delay_ms = self.random.random_range(1..4);
        self.schedule(delay_ms, Event::Reply { attempt, is_served, told });
    }
}

fn names(level: usize) -> (Name, Name) {
    ("families".into(), format!("level-{level}").into())
}
