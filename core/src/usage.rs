//! Usage reports: counts the requests that members begin to execute, and reports them once for each
//! window of true time.
//!
//! The owner of a service counts ([`counts`]) and sends its counts to the reporter and to the
//! reporter's first deputy, which collect them ([`collector`]). The reporter is the owner of the first
//! service by name. It records each window in the store before it reports it ([`reporter`]), so that
//! no two nodes report different counts for one window.

pub mod collector;
pub mod counts;
pub mod meter;
pub mod record;
pub mod reporter;
pub mod sender;
pub mod sink;
pub(crate) mod tasks;
pub mod update;
pub mod window_clock;

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use crate::name::Name;
use crate::store_clock::ClockBounds;
use crate::sync::lock;
use crate::usage::collector::Collector;
use crate::usage::meter::UsageMeter;
use crate::usage::sender::UpdateSender;
use crate::usage::sink::UsageSink;
use crate::usage::update::UsageReceipt;
use crate::usage::update::UsageUpdate;
use crate::usage::window_clock::TrueTime;
use crate::usage::window_clock::WindowClock;

/// Number of windows for which counts are kept after a report is due.
const RETAINED_WINDOWS: u64 = 12;

/// Times that govern usage reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageSettings {
    /// Length of a window, in milliseconds.
    pub window_ms: u64,
    /// Time after the end of a window at which its report is due, in milliseconds.
    pub late_ms: u64,
    /// Time within which holders of the duty must not act in the order A, B, A, in milliseconds.
    pub duty_gap_ms: u64,
}

impl UsageSettings {
    /// Returns the window that contains a point of true time.
    pub fn window_at(&self, true_ms: u64) -> u64 {
        true_ms / self.window_ms.max(1)
    }

    /// Returns the end of a window, in milliseconds of true time.
    pub fn end_ms(&self, window: u64) -> u64 {
        window.saturating_add(1).saturating_mul(self.window_ms)
    }

    /// Returns the oldest window that may still be reported.
    pub fn oldest_window(&self, true_ms: u64) -> u64 {
        let late_windows = self.late_ms.div_ceil(self.window_ms.max(1));
        self.window_at(true_ms).saturating_sub(RETAINED_WINDOWS + late_windows + 1)
    }
}

/// What a node keeps for usage reports.
pub struct Usage {
    settings: Option<UsageSettings>,
    incarnation: u64,
    sink: Option<Arc<dyn UsageSink>>,
    /// Counts the requests of the services that this node owns.
    pub(crate) meter: Arc<UsageMeter>,
    clock: Mutex<WindowClock>,
    collector: Mutex<Collector>,
    sender: Mutex<UpdateSender>,
    /// First window that this node, as the reporter, has not recorded.
    recorded_before: Mutex<Option<u64>>,
}

impl Usage {
    /// Creates the state of a node that has counted nothing. Nothing is counted or reported unless
    /// there are settings and a sink.
    pub fn new(
        settings: Option<UsageSettings>,
        sink: Option<Arc<dyn UsageSink>>,
        incarnation: u64,
    ) -> Self {
        let settings = settings.filter(|_| sink.is_some());
        Self {
            settings,
            incarnation,
            sink,
            meter: Arc::new(UsageMeter::new(settings)),
            clock: Mutex::default(),
            collector: Mutex::default(),
            sender: Mutex::default(),
            recorded_before: Mutex::default(),
        }
    }

    /// Returns the settings, or `None` if usage is not reported.
    pub fn settings(&self) -> Option<UsageSettings> {
        self.settings
    }

    /// Returns the offsets of clocks to report to the node that is asked for metadata.
    pub(crate) fn offset_sample(
        &self,
        now_ms: u64,
        bounds: Option<ClockBounds>,
        unix_ms: u64,
    ) -> Vec<i64> {
        match self.settings {
            Some(_) => lock(&self.clock).sample(now_ms, own_offset_ms(bounds, unix_ms)),
            None => Vec::new(),
        }
    }

    /// Records the offsets that another node has reported.
    pub(crate) fn observe_offsets(&self, now_ms: u64, sender: &Name, offsets_ms: &[i64]) {
        if !offsets_ms.is_empty() {
            lock(&self.clock).observe(now_ms, sender, offsets_ms);
        }
    }

    /// Returns the offset of the fleet, for other nodes.
    pub(crate) fn fleet_offset_ms(&self) -> Option<i64> {
        lock(&self.clock).offset_ms()
    }

    /// Applies the offset of the fleet that another node told.
    pub(crate) fn adopt_offset(&self, offset_ms: Option<i64>) {
        if let Some(offset_ms) = offset_ms {
            lock(&self.clock).adopt(offset_ms);
        }
    }

    /// Updates the time by which requests are counted, and forgets old windows. The reader, which
    /// hears of the most nodes, also estimates the offset of the fleet.
    fn refresh_time(
        &self,
        now_ms: u64,
        bounds: Option<ClockBounds>,
        unix_ms: u64,
        candidates: Option<usize>,
    ) -> Option<TrueTime> {
        let settings = self.settings?;
        let mut clock = lock(&self.clock);
        if let Some(candidates) = candidates {
            clock.estimate(now_ms, own_offset_ms(bounds, unix_ms), candidates);
        }
        let time = clock.true_time(now_ms, bounds);
        drop(clock);
        self.meter.set_time(time);
        if let Some(time) = time {
            let oldest = settings.oldest_window(time.at(now_ms));
            self.meter.forget_before(oldest);
            lock(&self.collector).forget_before(oldest);
        }
        time
    }

    /// Merges the counts of an owner. Returns what the owner needs to know for its next update.
    pub(crate) fn collect(&self, update: &UsageUpdate) -> UsageReceipt {
        if self.settings.is_some() {
            lock(&self.collector).merge(update, self.incarnation);
        }
        UsageReceipt { collector: self.incarnation, recorded_before: *lock(&self.recorded_before) }
    }

    /// Returns the update to send to a collector, if there is anything new for it.
    fn next_update(&self, now_ms: u64, me: &Name, collector: SocketAddr) -> Option<UsageUpdate> {
        self.meter.with_counts(|counts, time| {
            lock(&self.sender).next(now_ms, me, collector, counts, time?)
        })
    }

    /// Records that a collector has an update. Returns whether it needs all counts.
    fn record_receipt(
        &self,
        collector: SocketAddr,
        update: &UsageUpdate,
        receipt: &UsageReceipt,
    ) -> bool {
        if let Some(window) = receipt.recorded_before {
            self.meter.forget_before(window);
        }
        lock(&self.sender).record(collector, update, receipt)
    }

    /// Renders the state as metrics, one per line.
    pub(crate) fn render_metrics(&self, text: &mut String) {
        if self.settings.is_none() {
            return;
        }
        let _ = writeln!(text, "usage_requests_counted {}", self.meter.counted());
        if let Some(offset_ms) = self.fleet_offset_ms() {
            let _ = writeln!(text, "usage_clock_offset_ms {offset_ms}");
        }
        let recorded_before = *lock(&self.recorded_before);
        let _ = writeln!(text, "is_usage_reporter {}", u8::from(recorded_before.is_some()));
    }
}

/// Returns the offset of this host's clock to the store's, in milliseconds.
fn own_offset_ms(bounds: Option<ClockBounds>, unix_ms: u64) -> Option<i64> {
    let bounds = bounds?;
    Some(unix_ms as i64 - bounds.at_least_ms as i64)
}
