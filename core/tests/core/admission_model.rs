//! A service of three members with four slots each in simulated time, with callers that come back
//! twice after a refusal.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::pools::FakeConnection;
use crate::pools::entry;
use crate::pools::key;
use crate::pools::pool;
use snipehead_core::admission::admission_rules::AdmissionRules;
use snipehead_core::admission::refusal::AdmissionRefusal;
use snipehead_core::log_position::LogPosition;
use snipehead_core::member::MemberEntry;
use snipehead_core::member::MemberKey;
use snipehead_core::name::Name;
use snipehead_core::service::pool::Pool;
use snipehead_core::service::pool::SlotRequest;
use snipehead_core::service::pool::SlotTarget;
use snipehead_core::service::pool::admission::Arrival;

/// Work, objective, and time budget of the callers of each level, in milliseconds.
pub const LEVELS: [(u64, u64, u64); 3] = [(3, 100, 600), (9, 200, 900), (15, 600, 1_800)];

/// Share of the timeout for which a statement may wait, in percent, as in sessions.
const MAX_QUEUE_PERCENT: u64 = 45;

const ATTEMPTS: u32 = 3;
const CONNECT_MS: u64 = 12;

/// Time after which callers come back that are not told when, as by the present order.
const BACK_MS: u64 = 50;

const SLOTS: usize = 4;

/// A load, and what fails under it.
pub struct Load {
    /// Slots that each level needs on average.
    pub slots: [f64; 3],
    /// Slots that each level needs during the burst.
    pub burst_slots: [f64; 3],
    pub burst_ms: std::ops::Range<u64>,
    /// Factor of the service times of the first member during the burst.
    pub slow_factor: u64,
    /// Whether a replica does not answer during the burst.
    pub is_member_gone: bool,
    /// Share of the statements that one of eight tenants sends.
    pub flood_share: f64,
    pub write_share: f64,
}

impl Load {
    pub fn calm() -> Self {
        let slots = [2.0, 2.0, 3.0];
        Self {
            slots,
            burst_slots: slots,
            burst_ms: 2_000..3_000,
            slow_factor: 1,
            is_member_gone: false,
            flood_share: 0.0,
            write_share: 0.15,
        }
    }
}

#[derive(Clone)]
struct Caller {
    level: usize,
    tenant: usize,
    is_write: bool,
    first_at_ms: u64,
    attempts_left: u32,
}

/// What callers of one level, or of one tenant, got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub started: u64,
    pub served: u64,
    /// Answers within the objective, counted from the first attempt.
    pub in_objective: u64,
}

impl Counts {
    pub fn served_share(self) -> f64 {
        self.served as f64 / self.started.max(1) as f64
    }

    pub fn in_objective_share(self) -> f64 {
        self.in_objective as f64 / self.started.max(1) as f64
    }
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub levels: [Counts; 3],
    /// Tenants by number; the first one floods.
    pub tenants: [Counts; 8],
    /// Slot time granted to each level while statements of the last level waited, in milliseconds.
    pub slot_ms_while_last_waits: [u64; 3],
    /// Refusals of statements that had waited longer than a tenth of their objective.
    pub late_refusals: u64,
    pub refusals: u64,
}

pub struct Model {
    pool: Pool<FakeConnection>,
    random: SmallRng,
    now_ms: u64,
    waiting: Vec<(u64, Caller, SlotRequest, Arrival)>,
    running: Vec<(u64, MemberKey, u64, Caller, Name)>,
    returning: Vec<(u64, Caller)>,
    outcome: Outcome,
    has_levels: bool,
}

impl Model {
    /// Creates a service whose order is that of the levels, or the present one. What callers get is
    /// added to `outcome`.
    pub fn new(seed: u64, has_levels: bool, outcome: Outcome) -> Self {
        let members = ["m1", "m2", "m3"].map(|id| MemberEntry { slots: SLOTS, ..entry(id) });
        let mut pool = pool(members.into());
        pool.set_limits(56, 0.0);
        let levels = if has_levels { (0..3).collect() } else { [0].into() };
        let rates = (0..8).map(|tenant| (format!("t{tenant}").into(), 50.0));
        pool.set_admission_rules(AdmissionRules::new(levels, rates));
        let random = SmallRng::seed_from_u64(seed);
        let (waiting, running, returning) = (Vec::new(), Vec::new(), Vec::new());
        Self { pool, random, now_ms: 0, waiting, running, returning, outcome, has_levels }
    }

    /// Plays a load for `length_ms`, and then until no caller is left.
    pub fn play(mut self, load: &Load, length_ms: u64) -> Outcome {
        while self.now_ms < length_ms
            || !(self.waiting.is_empty() && self.running.is_empty() && self.returning.is_empty())
        {
            self.now_ms += 1;
            let is_burst = load.burst_ms.contains(&self.now_ms);
            if load.is_member_gone && self.now_ms == load.burst_ms.start {
                self.pool.suspect(self.now_ms, &key("m3"));
            }
            if load.is_member_gone && self.now_ms == load.burst_ms.end {
                self.pool.record_status(self.now_ms, &key("m3"), None);
            }
            self.end_statements(load, is_burst);
            // Neither new callers nor those that come back are always first.
            let are_new_first = self.random.random::<bool>();
            if are_new_first && self.now_ms < length_ms {
                self.start_callers(load, is_burst);
            }
            let (returned, later) =
                self.returning.drain(..).partition(|(at_ms, _)| *at_ms <= self.now_ms);
            self.returning = later;
            for (_, caller) in returned {
                self.arrive(caller);
                self.dispatch(load, is_burst);
            }
            if !are_new_first && self.now_ms < length_ms {
                self.start_callers(load, is_burst);
            }
            self.expire();
            self.dispatch(load, is_burst);
        }
        self.outcome
    }

    fn start_callers(&mut self, load: &Load, is_burst: bool) {
        let slots = if is_burst { load.burst_slots } else { load.slots };
        for (level, (cost_ms, ..)) in LEVELS.into_iter().enumerate() {
            let mut expected = slots[level] / cost_ms as f64;
            while expected > 0.0 {
                if self.random.random::<f64>() < expected.min(1.0) {
                    let is_flood = self.random.random::<f64>() < load.flood_share;
                    let tenant = if is_flood { 0 } else { self.random.random_range(1..8) };
                    let is_write = self.random.random::<f64>() < load.write_share;
                    self.outcome.levels[level].started += 1;
                    self.outcome.tenants[tenant].started += 1;
                    let first_at_ms = self.now_ms;
                    let attempts_left = ATTEMPTS;
                    self.arrive(Caller { level, tenant, is_write, first_at_ms, attempts_left });
                    self.dispatch(load, is_burst);
                }
                expected -= 1.0;
            }
        }
    }

    fn arrive(&mut self, mut caller: Caller) {
        caller.attempts_left -= 1;
        let (_, objective_ms, budget_ms) = LEVELS[caller.level];
        let target = match caller.is_write {
            true => SlotTarget::Primary,
            false => SlotTarget::Reader { floor: LogPosition::default(), excluded: None },
        };
        let request = SlotRequest {
            target,
            tenant: format!("t{}", caller.tenant).into(),
            route: format!("r{}", caller.level).into(),
            objective_at_ms: self.now_ms + objective_ms,
            priority: caller.level as u32,
        };
        let arrival = Arrival {
            arrived_at_ms: self.now_ms,
            queue_until_ms: self.now_ms + budget_ms * MAX_QUEUE_PERCENT / 100,
            kept_place: None,
        };
        match self.pool.admit(self.now_ms, request.clone(), arrival) {
            Ok(ticket) => self.waiting.push((ticket, caller, request, arrival)),
            Err(refusal) => self.refuse(caller, arrival, refusal),
        }
    }

    fn refuse(&mut self, caller: Caller, arrival: Arrival, refusal: AdmissionRefusal) {
        let (_, objective_ms, budget_ms) = LEVELS[caller.level];
        self.outcome.refusals += 1;
        let waited_ms = self.now_ms - arrival.arrived_at_ms;
        self.outcome.late_refusals += u64::from(waited_ms > objective_ms / 10);
        let back_after_ms = if self.has_levels { refusal.retry_after_ms } else { BACK_MS };
        let back_at_ms = self.now_ms + back_after_ms.max(1);
        if caller.attempts_left > 0 && back_at_ms < caller.first_at_ms + budget_ms {
            self.returning.push((back_at_ms, caller));
        }
    }

    fn expire(&mut self) {
        let now_ms = self.now_ms;
        let is_over =
            |entry: &&(u64, Caller, SlotRequest, Arrival)| entry.3.queue_until_ms <= now_ms;
        let expired: Vec<u64> =
            self.waiting.iter().filter(is_over).map(|(ticket, ..)| *ticket).collect();
        for ticket in expired {
            self.pool.cancel(ticket);
            if let Some((caller, request, arrival)) = self.take(ticket) {
                let refusal = self.pool.expire(now_ms, &request, arrival);
                self.refuse(caller, arrival, refusal);
            }
        }
    }

    fn take(&mut self, ticket: u64) -> Option<(Caller, SlotRequest, Arrival)> {
        let index = self.waiting.iter().position(|(known, ..)| *known == ticket)?;
        let (_, caller, request, arrival) = self.waiting.swap_remove(index);
        Some((caller, request, arrival))
    }

    fn dispatch(&mut self, load: &Load, is_burst: bool) {
        let does_last_wait = self.waiting.iter().any(|(_, caller, ..)| caller.level == 2);
        for (ticket, grant) in self.pool.dispatch(self.now_ms).0 {
            let Some((caller, request, _)) = self.take(ticket) else { continue };
            let member = grant.member.key.clone();
            let is_slow = is_burst && member == key("m1");
            let took_ms = LEVELS[caller.level].0 * if is_slow { load.slow_factor } else { 1 };
            if does_last_wait {
                self.outcome.slot_ms_while_last_waits[caller.level] += took_ms;
            }
            let connect_ms = if grant.connection.is_some() { 0 } else { CONNECT_MS };
            let ends_at_ms = self.now_ms + connect_ms + took_ms;
            self.running.push((ends_at_ms, member, took_ms, caller, request.tenant));
        }
        for (ticket, refusal) in self.pool.take_overdue(self.now_ms) {
            if let Some((caller, _, arrival)) = self.take(ticket) {
                self.refuse(caller, arrival, refusal);
            }
        }
    }

    fn end_statements(&mut self, load: &Load, is_burst: bool) {
        let now_ms = self.now_ms;
        let (ended, running) =
            self.running.drain(..).partition(|(ends_at_ms, ..)| *ends_at_ms <= now_ms);
        self.running = running;
        let ended: Vec<(u64, MemberKey, u64, Caller, Name)> = ended;
        for (_, member, took_ms, caller, tenant) in ended {
            let route: Name = format!("r{}", caller.level).into();
            self.pool.record_service_time(now_ms, &member, &route, took_ms * 1_000);
            self.pool.release_slot(now_ms, &member);
            drop(self.pool.return_connection(&member, FakeConnection::new(tenant)));
            let (_, objective_ms, budget_ms) = LEVELS[caller.level];
            let latency_ms = now_ms - caller.first_at_ms;
            let is_served = u64::from(latency_ms <= budget_ms);
            let is_in_objective = latency_ms <= objective_ms;
            for counts in
                [&mut self.outcome.levels[caller.level], &mut self.outcome.tenants[caller.tenant]]
            {
                counts.served += is_served;
                counts.in_objective += u64::from(is_in_objective);
            }
            self.dispatch(load, is_burst);
        }
    }
}
