//! A model of hosts that count and report usage, of the store and of the platform's call.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use snipehead_core::name::Name;
use snipehead_core::store::StoreError;
use snipehead_core::usage::UsageSettings;
use snipehead_core::usage::collector::Collector;
use snipehead_core::usage::counts::UsageCounts;
use snipehead_core::usage::record::StoredUsage;
use snipehead_core::usage::record::TenantCounts;
use snipehead_core::usage::record::UsageRecord;
use snipehead_core::usage::reporter::RecordWriteResult;
use snipehead_core::usage::reporter::Reporter;
use snipehead_core::usage::reporter::ReporterStep;
use snipehead_core::usage::reporter::ReporterView;
use snipehead_core::usage::reporter::SendResult;
use snipehead_core::usage::sender::UpdateSender;
use snipehead_core::usage::sink::UsageReport;
use snipehead_core::usage::update::Ownership;
use snipehead_core::usage::update::UsageReceipt;
use snipehead_core::usage::window_clock::TrueTime;

pub const SETTINGS: UsageSettings =
    UsageSettings { window_ms: 5_000, late_ms: 10_000, duty_gap_ms: 3_000 };
pub const HOSTS: usize = 3;
pub const STEP_MS: u64 = 50;

/// True time at the start of a schedule, in milliseconds.
pub const EPOCH_MS: u64 = 1_700_000_000_000;

/// Longest time that a host waits for the answer to a write, in milliseconds.
const WRITE_TIMEOUT_MS: u64 = 2_500;

/// A report as it arrived at the platform.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub holder: usize,
    pub report: UsageReport,
    pub is_accepted: bool,
}

enum Operation {
    Read,
    Write { record: UsageRecord, expected: u64 },
    Send(UsageReport),
}

#[derive(Clone)]
enum Answer {
    Read(Result<StoredUsage, StoreError>),
    Write(RecordWriteResult),
    Send(u64, SendResult),
}

struct Call {
    host: usize,
    incarnation: u64,
    operation: Operation,
    effect_at_ms: u64,
    answer_at_ms: u64,
    answer: Answer,
    is_done: bool,
}

pub struct Host {
    incarnation: u64,
    base_ms: u64,
    pub clock_error_ms: i64,
    counts: UsageCounts,
    sender: UpdateSender,
    collector: Collector,
    reporter: Reporter,
    pub frozen_until_ms: u64,
    pub is_dead: bool,
    pub is_cut_off: bool,
    pub believes_to_own: bool,
    send_at_ms: u64,
}

/// How the schedule disturbs calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub is_slow: bool,
    pub loses_answers: f64,
    pub platform_down: bool,
}

pub struct UsageCluster {
    pub random: SmallRng,
    pub now_ms: u64,
    pub hosts: Vec<Host>,
    pub faults: Faults,
    pub arrivals: Vec<Arrival>,
    /// Requests that members executed, by window and tenant.
    pub executed: BTreeMap<u64, TenantCounts>,
    /// Host that owns each service, with the fencing token.
    pub owners: BTreeMap<Name, (usize, u64)>,
    pub stored: StoredUsage,
    pub writes: u64,
    version: u64,
    calls: Vec<Call>,
}

fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + host as u16))
}

fn name(host: usize) -> Name {
    format!("host-{host}").into()
}

impl UsageCluster {
    pub fn new(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let hosts = (0..HOSTS)
            .map(|host| Host {
                incarnation: 0,
                base_ms: random.random_range(10_000..9_000_000),
                clock_error_ms: random.random_range(-40..40),
                counts: UsageCounts::new(SETTINGS),
                sender: UpdateSender::default(),
                collector: Collector::default(),
                reporter: Reporter::new(SETTINGS, name(host), 0),
                frozen_until_ms: 0,
                is_dead: true,
                is_cut_off: false,
                believes_to_own: host == 0,
                send_at_ms: 0,
            })
            .collect();
        let mut cluster = Self {
            random,
            now_ms: 0,
            hosts,
            faults: Faults::default(),
            arrivals: Vec::new(),
            executed: BTreeMap::new(),
            owners: BTreeMap::new(),
            stored: StoredUsage { record: None, version: 0 },
            writes: 0,
            version: 7,
            calls: Vec::new(),
        };
        for host in 0..HOSTS {
            cluster.restart(host);
            cluster.owners.insert(format!("service-{host}").into(), (host, host as u64 + 1));
        }
        cluster
    }

    /// Starts a host as a new process that knows nothing.
    pub fn restart(&mut self, host: usize) {
        let incarnation = self.random.random();
        let send_at_ms = self.now_ms + self.random.random_range(0..1_000);
        let known = &mut self.hosts[host];
        known.incarnation = incarnation;
        known.counts = UsageCounts::new(SETTINGS);
        known.sender = UpdateSender::default();
        known.collector = Collector::default();
        known.reporter = Reporter::new(SETTINGS, name(host), incarnation);
        known.is_dead = false;
        known.send_at_ms = send_at_ms;
    }

    pub fn window(&self) -> u64 {
        SETTINGS.window_at(EPOCH_MS + self.now_ms)
    }

    pub fn runs(&self, host: usize) -> bool {
        !self.hosts[host].is_dead && self.now_ms >= self.hosts[host].frozen_until_ms
    }

    fn local_ms(&self, host: usize) -> u64 {
        self.hosts[host].base_ms + self.now_ms
    }

    fn time(&self, host: usize) -> TrueTime {
        let known = &self.hosts[host];
        TrueTime { ahead_ms: EPOCH_MS as i64 - known.base_ms as i64 + known.clock_error_ms }
    }

    /// Runs a request of a tenant at the owner of a service.
    pub fn execute(&mut self, service: &Name, tenant: &Name) {
        let (host, token) = self.owners[service];
        if !self.runs(host) {
            return;
        }
        let (local_ms, time) = (self.local_ms(host), self.time(host));
        let ownership = Ownership { service: service.clone(), token };
        let counts = &mut self.hosts[host].counts;
        counts.begin(local_ms);
        let was_executed = self.random.random_bool(0.9);
        counts.finish(local_ms, &ownership, tenant, was_executed, Some(time));
        if was_executed {
            let window = self.window();
            *self.executed.entry(window).or_default().entry(tenant.clone()).or_default() += 1;
        }
    }

    /// Advances the model by one step. `reporter` and `deputy` collect.
    pub fn step(&mut self, reporter: usize, deputy: usize) {
        self.now_ms += STEP_MS;
        self.apply_calls();
        for host in 0..HOSTS {
            if self.runs(host) {
                self.send_updates(host, [reporter, deputy]);
                self.run_reporter(host);
            }
        }
    }

    fn send_updates(&mut self, host: usize, collectors: [usize; 2]) {
        if self.now_ms < self.hosts[host].send_at_ms {
            return;
        }
        self.hosts[host].send_at_ms = self.now_ms + 1_000;
        let (local_ms, time) = (self.local_ms(host), self.time(host));
        self.hosts[host].counts.forget_before(SETTINGS.oldest_window(EPOCH_MS + self.now_ms));
        for collector in collectors {
            let is_reachable = collector == host
                || (self.runs(collector)
                    && !self.hosts[host].is_cut_off
                    && !self.hosts[collector].is_cut_off);
            if is_reachable {
                self.send_update(host, collector, local_ms, time);
            }
        }
    }

    fn send_update(&mut self, host: usize, collector: usize, local_ms: u64, time: TrueTime) {
        loop {
            let known = &self.hosts[host];
            let address = address(collector);
            let next = known.sender.next(local_ms, &name(host), address, &known.counts, time);
            let Some(update) = next else { return };
            let other = &mut self.hosts[collector];
            other.collector.merge(&update, other.incarnation);
            let receipt = UsageReceipt {
                collector: other.incarnation,
                recorded_before: other.reporter.recorded_before(),
            };
            let is_lost = self.random.random_bool(self.faults.loses_answers);
            let known = &mut self.hosts[host];
            if is_lost || !known.sender.record(address, &update, &receipt) {
                return;
            }
        }
    }

    fn run_reporter(&mut self, host: usize) {
        let local_ms = self.local_ms(host);
        let incarnation = self.hosts[host].incarnation;
        let mine = |call: &&mut Call| call.host == host && call.incarnation == incarnation;
        let mut calls = self.calls.iter_mut().filter(|call| !call.is_done);
        if let Some(call) = calls.find(mine) {
            if self.now_ms < call.answer_at_ms {
                return;
            }
            call.is_done = true;
            let reporter = &mut self.hosts[host].reporter;
            match call.answer.clone() {
                Answer::Read(read) => reporter.record_read(local_ms, read),
                Answer::Write(written) => reporter.record_write(local_ms, written),
                Answer::Send(window, sent) => reporter.record_send(local_ms, window, sent),
            }
        }
        let owners: BTreeSet<Name> = self.owners.values().map(|(host, _)| name(*host)).collect();
        let time = Some(self.time(host));
        let known = &mut self.hosts[host];
        let view = ReporterView {
            now_ms: local_ms,
            time,
            is_owner: known.believes_to_own,
            owners: &owners,
            collector: &known.collector,
        };
        let step = known.reporter.next(&view);
        self.begin_call(host, local_ms, step);
    }

    fn begin_call(&mut self, host: usize, local_ms: u64, step: ReporterStep) {
        let slow_ms = if self.faults.is_slow { 4_000 } else { 60 };
        let is_lost = self.random.random_bool(self.faults.loses_answers);
        let takes_ms = self.random.random_range(1..slow_ms);
        let unknown = StoreError::Unknown("no answer".to_owned());
        let (operation, takes_ms, limit_ms, no_answer) = match step {
            ReporterStep::Wait => return,
            ReporterStep::Read => (Operation::Read, takes_ms, 900, Answer::Read(Err(unknown))),
            ReporterStep::Write { record, expected } => {
                self.writes += 1;
                let no_answer = Answer::Write(RecordWriteResult::Failed(unknown));
                (Operation::Write { record, expected }, takes_ms, WRITE_TIMEOUT_MS, no_answer)
            }
            ReporterStep::Send(report) => {
                // The call is given up, and does not arrive, after its limit.
                let left_ms = report.send_before_ms - local_ms;
                let most_ms = if self.faults.is_slow { 1_100 } else { 100 };
                let takes_ms = self.random.random_range(0..left_ms.min(most_ms));
                let no_answer = Answer::Send(report.window, SendResult::Failed);
                (Operation::Send(report), takes_ms, left_ms.min(600), no_answer)
            }
        };
        let is_answered = !is_lost && takes_ms < limit_ms;
        self.calls.push(Call {
            host,
            incarnation: self.hosts[host].incarnation,
            operation,
            effect_at_ms: self.now_ms + takes_ms,
            answer_at_ms: self.now_ms + if is_answered { takes_ms } else { limit_ms },
            answer: no_answer,
            is_done: false,
        });
    }

    /// Lets calls take effect, also those whose host has given them up or died.
    fn apply_calls(&mut self) {
        let mut due: Vec<Call> = Vec::new();
        let now_ms = self.now_ms;
        let is_due = |call: &mut Call| call.effect_at_ms <= now_ms && call.effect_at_ms > 0;
        due.extend(self.calls.extract_if(.., is_due));
        due.sort_by_key(|call| call.effect_at_ms);
        for mut call in due {
            let at_ms = std::mem::take(&mut call.effect_at_ms);
            let is_answered = call.answer_at_ms <= at_ms;
            let answer = match &call.operation {
                Operation::Read => Answer::Read(Ok(self.stored.clone())),
                Operation::Write { record, expected } if *expected == self.stored.version => {
                    self.version += self.random.random_range(1..9);
                    let version = self.version;
                    self.stored = StoredUsage { record: Some(record.clone()), version };
                    Answer::Write(RecordWriteResult::Written(version))
                }
                Operation::Write { .. } => {
                    Answer::Write(RecordWriteResult::Conflict(self.stored.clone()))
                }
                Operation::Send(report) => {
                    let is_accepted = !self.faults.platform_down;
                    let holder = call.host;
                    let report = report.clone();
                    let window = report.window;
                    self.arrivals.push(Arrival { at_ms, holder, report, is_accepted });
                    let failed = SendResult::Failed;
                    Answer::Send(window, if is_accepted { SendResult::Accepted } else { failed })
                }
            };
            if is_answered {
                call.answer = answer;
            }
            if !call.is_done {
                self.calls.push(call);
            }
        }
        self.calls.retain(|call| !call.is_done || call.effect_at_ms > 0);
    }

    /// Returns the counts of the accepted reports; fails if a window was reported with others too,
    /// if a token decreases or has two holders, or if hosts take turns within the gap.
    pub fn check(&self) -> BTreeMap<u64, TenantCounts> {
        let mut reported: BTreeMap<u64, &TenantCounts> = BTreeMap::new();
        let mut holders: BTreeMap<u64, usize> = BTreeMap::new();
        let mut last_acts: BTreeMap<usize, u64> = BTreeMap::new();
        let mut previous: Option<&Arrival> = None;
        for arrival in &self.arrivals {
            let Arrival { at_ms, holder, report, .. } = arrival;
            let known = *reported.entry(report.window).or_insert(&report.counts);
            assert_eq!(known, &report.counts, "window {} was reported differently", report.window);
            assert_eq!(holders.entry(report.token).or_insert(*holder), holder, "{arrival:?}");
            if let Some(previous) = previous {
                assert!(previous.report.token <= report.token, "{previous:?} then {arrival:?}");
                let is_change = previous.holder != *holder;
                let before_ms = last_acts.get(holder).filter(|_| is_change);
                let has_gap = before_ms.is_none_or(|ms| at_ms - ms > SETTINGS.duty_gap_ms);
                assert!(has_gap, "{arrival:?} follows {previous:?}");
            }
            last_acts.insert(*holder, *at_ms);
            previous = Some(arrival);
        }
        let accepted = self.arrivals.iter().filter(|arrival| arrival.is_accepted);
        accepted.map(|a| (a.report.window, a.report.counts.clone())).collect()
    }
}
