//! Decides when the reporter writes its record and sends reports. Performs no input or output.
//!
//! The duty belongs to the node that last claimed the record in the store; the version of that claim is
//! the fencing token. A window is reported only after the record with its exact counts was written,
//! conditional on the version that this node wrote last, and only for a short time after that write was
//! sent. A new holder waits longer than that after its claim. So the counts of a window never change
//! once they may have been sent, and a former holder has stopped before its successor starts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::name::Name;
use crate::store::StoreError;
use crate::usage::UsageSettings;
use crate::usage::collector::Collector;
use crate::usage::record::RecordedWindow;
use crate::usage::record::StoredUsage;
use crate::usage::record::TenantCounts;
use crate::usage::record::UsageRecord;
use crate::usage::sink::UsageReport;
use crate::usage::window_clock::TrueTime;

/// Time after sending a write of the record within which reports may be sent, in milliseconds.
pub const SEND_LIMIT_MS: u64 = 2_500;

/// Time that a new holder waits beyond the gap between holders, in milliseconds: covers the transit
/// and a pause of the former holder's last call.
pub const CLAIM_MARGIN_MS: u64 = 600;

/// Shortest time left to send a report, in milliseconds; with less, the record is written again.
const MIN_SEND_TIME_MS: u64 = 200;

/// Time after the end of a window before which it is not reported, in milliseconds: a change of an
/// owner is known everywhere by then.
const SETTLE_MS: u64 = 2_000;

/// Time after the end of a window up to which it was certainly not reported by anyone, in milliseconds:
/// somewhat less than [`SETTLE_MS`], since the times of two hosts differ a little.
const UNREPORTED_MS: u64 = 1_500;

/// Time before a report is due at which it is sent without the counts that are missing, in
/// milliseconds: leaves time to write the record to a slow store and to repeat the call.
const EARLY_MS: u64 = 3_000;

/// Pause after a failed access to the store, in milliseconds.
const STORE_RETRY_MS: u64 = 500;

/// Pause after the first failed call, and the longest one, in milliseconds. It doubles each time.
const MIN_CALL_RETRY_MS: u64 = 250;
const MAX_CALL_RETRY_MS: u64 = 4_000;

/// Number of refusals after which a window is given up, so that it does not hold up later ones.
const MAX_REFUSALS: u32 = 3;

/// What the reporter needs to know for its next step.
#[derive(Clone, Copy, Debug)]
pub struct ReporterView<'a> {
    /// Time of the steady clock, in milliseconds.
    pub now_ms: u64,
    /// Relation of that clock to true time, if it is known.
    pub time: Option<TrueTime>,
    /// Whether this node owns the first service.
    pub is_owner: bool,
    /// Nodes that own services.
    pub owners: &'a BTreeSet<Name>,
    /// The collected counts.
    pub collector: &'a Collector,
}

/// The next step, to be carried out before the reporter is asked again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReporterStep {
    /// Nothing is to be done now.
    Wait,
    /// Read the record.
    Read,
    /// Write the record if its version is `expected`; 0 stands for a missing record.
    Write {
        /// The record.
        record: UsageRecord,
        /// Version that the stored record must have.
        expected: u64,
    },
    /// Send a report.
    Send(UsageReport),
}

/// Result of a write of the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordWriteResult {
    /// It was written at this version.
    Written(u64),
    /// The store has another version.
    Conflict(StoredUsage),
    /// It is not known to be written.
    Failed(StoreError),
}

/// Result of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendResult {
    /// It was accepted.
    Accepted,
    /// It was refused, and would be again.
    Refused,
    /// It is not known to be accepted.
    Failed,
}

/// Something that operators should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReporterEvent {
    /// This node has claimed the duty.
    Claimed {
        /// Its fencing token.
        token: u64,
        /// First window that it records.
        next_window: u64,
        /// Number of windows whose reports it repeats.
        repeated: usize,
    },
    /// Another node holds the duty, or the record is gone.
    Lost {
        /// Token that this node had.
        token: u64,
    },
    /// A window is recorded although some nodes may not have sent all counts.
    Incomplete {
        /// The window.
        window: u64,
        /// Those nodes.
        missing: Vec<Name>,
    },
    /// Windows are not reported, because they are too old or were refused repeatedly.
    Missed {
        /// First of them.
        from: u64,
        /// Number of them.
        count: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Duty {
    /// Not held. The stored record, if it was read.
    None(Option<StoredUsage>),
    Held {
        token: u64,
        /// Version that this node wrote last.
        version: u64,
        may_report_at_ms: u64,
    },
}

/// The write that was sent last.
#[derive(Clone, Copy, Debug)]
struct SentWrite {
    sequence: u64,
    sent_at_ms: u64,
    next_window: u64,
}

/// The duty to report, as one process knows it.
#[derive(Clone, Debug)]
pub struct Reporter {
    settings: UsageSettings,
    holder: Name,
    incarnation: u64,
    sequence: u64,
    duty: Duty,
    /// First window that has not been assigned its counts.
    next_window: u64,
    /// Windows that have their counts and are not known to be accepted.
    windows: BTreeMap<u64, TenantCounts>,
    sent: Option<SentWrite>,
    /// The newest write that is known to be stored.
    confirmed: Option<SentWrite>,
    /// First window that no process has recorded, as far as this one knows.
    recorded_before: u64,
    /// Whether it is not known if the last write is stored.
    is_unsure: bool,
    retry_at_ms: u64,
    call_at_ms: u64,
    call_failures: u32,
    refusals: u32,
    events: Vec<ReporterEvent>,
}

impl Reporter {
    /// Creates the state of a process that does not hold the duty.
    pub fn new(settings: UsageSettings, holder: Name, incarnation: u64) -> Self {
        Self {
            settings,
            holder,
            incarnation,
            sequence: 0,
            duty: Duty::None(None),
            next_window: 0,
            windows: BTreeMap::new(),
            sent: None,
            confirmed: None,
            recorded_before: 0,
            is_unsure: false,
            retry_at_ms: 0,
            call_at_ms: 0,
            call_failures: 0,
            refusals: 0,
            events: Vec::new(),
        }
    }

    /// Returns the next step.
    pub fn next(&mut self, view: &ReporterView<'_>) -> ReporterStep {
        let Some(time) = view.time.filter(|_| view.is_owner) else { return ReporterStep::Wait };
        if view.now_ms < self.retry_at_ms {
            return ReporterStep::Wait;
        }
        let true_ms = time.at(view.now_ms);
        match &mut self.duty {
            Duty::None(stored) => match stored.take() {
                None => ReporterStep::Read,
                Some(stored) => self.claim(view.now_ms, true_ms, stored),
            },
            Duty::Held { .. } if self.is_unsure => ReporterStep::Read,
            Duty::Held { token, version, may_report_at_ms } => {
                if view.now_ms < *may_report_at_ms {
                    return ReporterStep::Wait;
                }
                let (token, version) = (*token, *version);
                self.drop_old_windows(true_ms);
                let has_new = self.assign_counts(view, true_ms);
                self.next_report(view.now_ms, token, version, has_new)
            }
        }
    }

    /// Builds the write that claims the duty. The new holder repeats the windows in the record and
    /// continues with the first one that was never recorded.
    fn claim(&mut self, now_ms: u64, true_ms: u64, stored: StoredUsage) -> ReporterStep {
        // Without a record it is not known which windows were reported, but this one was not.
        let unreported = self.settings.window_at(true_ms.saturating_sub(UNREPORTED_MS));
        let record = stored.record.filter(|record| record.window_ms == self.settings.window_ms);
        let next_window = record.as_ref().map_or(unreported, |record| record.next_window);
        self.next_window = next_window.max(self.recorded_before);
        let windows = record.map_or_else(Vec::new, |record| record.windows);
        self.windows =
            windows.into_iter().map(|recorded| (recorded.window, recorded.counts)).collect();
        self.confirmed = None;
        self.write(now_ms, stored.version)
    }

    fn write(&mut self, now_ms: u64, expected: u64) -> ReporterStep {
        self.sequence += 1;
        let windows = self.windows.iter();
        let record = UsageRecord {
            holder: self.holder.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            window_ms: self.settings.window_ms,
            next_window: self.next_window,
            windows: windows
                .map(|(window, counts)| RecordedWindow { window: *window, counts: counts.clone() })
                .collect(),
        };
        let (sequence, next_window) = (self.sequence, self.next_window);
        self.sent = Some(SentWrite { sequence, sent_at_ms: now_ms, next_window });
        ReporterStep::Write { record, expected }
    }

    /// Gives up the windows that are overdue by more than the retained history.
    fn drop_old_windows(&mut self, true_ms: u64) {
        let oldest = self.settings.oldest_window(true_ms);
        let kept = self.windows.split_off(&oldest);
        let dropped = std::mem::replace(&mut self.windows, kept);
        if let Some(from) = dropped.keys().next() {
            let count = dropped.len() as u64;
            self.events.push(ReporterEvent::Missed { from: *from, count });
        }
        if self.next_window < oldest {
            let (from, count) = (self.next_window, oldest - self.next_window);
            self.events.push(ReporterEvent::Missed { from, count });
            self.next_window = oldest;
        }
    }

    /// Fixes the counts of the windows that are complete or nearly due. Returns whether there are any.
    fn assign_counts(&mut self, view: &ReporterView<'_>, true_ms: u64) -> bool {
        let first = self.next_window;
        let early_ms = EARLY_MS.min(self.settings.late_ms / 2);
        loop {
            let window = self.next_window;
            let end_ms = self.settings.end_ms(window);
            let due_ms = end_ms.saturating_add(self.settings.late_ms);
            if true_ms < end_ms.saturating_add(SETTLE_MS) {
                return self.next_window > first;
            }
            let missing = view.collector.missing(window, view.owners);
            if !missing.is_empty() && true_ms < due_ms.saturating_sub(early_ms) {
                return self.next_window > first;
            }
            if !missing.is_empty() {
                self.events.push(ReporterEvent::Incomplete { window, missing });
            }
            self.windows.insert(window, view.collector.counts(window));
            self.next_window += 1;
        }
    }

    /// Returns the write or call that is due.
    fn next_report(
        &mut self,
        now_ms: u64,
        token: u64,
        version: u64,
        has_new: bool,
    ) -> ReporterStep {
        let Some((window, counts)) = self.windows.first_key_value() else {
            return ReporterStep::Wait;
        };
        let send_before_ms = self
            .confirmed
            .filter(|confirmed| confirmed.next_window > *window)
            .map_or(0, |confirmed| confirmed.sent_at_ms + SEND_LIMIT_MS);
        let is_due = now_ms >= self.call_at_ms;
        if is_due && now_ms + MIN_SEND_TIME_MS <= send_before_ms && !has_new {
            let (window, counts) = (*window, counts.clone());
            return ReporterStep::Send(UsageReport { token, window, counts, send_before_ms });
        }
        // Counts that were fixed while a write failed are not stored yet.
        let is_stored =
            self.confirmed.is_some_and(|confirmed| confirmed.next_window == self.next_window);
        match is_due || !is_stored {
            true => self.write(now_ms, version),
            false => ReporterStep::Wait,
        }
    }

    /// Records the result of a read.
    pub fn record_read(&mut self, now_ms: u64, result: Result<StoredUsage, StoreError>) {
        let Ok(stored) = result else {
            self.retry_at_ms = now_ms + STORE_RETRY_MS;
            return;
        };
        match &mut self.duty {
            Duty::None(known) => *known = Some(stored),
            Duty::Held { .. } => self.resolve(stored),
        }
    }

    /// Applies the stored record while it is not known whether the last write is stored.
    fn resolve(&mut self, stored: StoredUsage) {
        let mine = stored.record.filter(|record| record.incarnation == self.incarnation);
        let (Some(record), Duty::Held { version, .. }) = (mine, &mut self.duty) else {
            self.lose();
            return;
        };
        *version = stored.version;
        self.is_unsure = false;
        if let Some(sent) = self.sent.filter(|sent| sent.sequence == record.sequence) {
            self.confirm(sent);
        }
    }

    fn confirm(&mut self, sent: SentWrite) {
        self.confirmed = Some(sent);
        self.recorded_before = self.recorded_before.max(sent.next_window);
    }

    fn lose(&mut self) {
        if let Duty::Held { token, .. } = self.duty {
            self.events.push(ReporterEvent::Lost { token });
        }
        self.duty = Duty::None(None);
        self.windows.clear();
        self.confirmed = None;
        self.is_unsure = false;
        self.next_window = self.recorded_before;
    }

    /// Records the result of a write that ended at `now_ms`.
    pub fn record_write(&mut self, now_ms: u64, result: RecordWriteResult) {
        let Some(sent) = self.sent else { return };
        match (&mut self.duty, result) {
            (Duty::None(_), RecordWriteResult::Written(token)) => {
                let gap_ms = self.settings.duty_gap_ms.max(SEND_LIMIT_MS);
                let may_report_at_ms = now_ms + gap_ms + CLAIM_MARGIN_MS;
                self.duty = Duty::Held { token, version: token, may_report_at_ms };
                self.confirm(sent);
                (self.call_at_ms, self.call_failures, self.refusals) = (0, 0, 0);
                let (next_window, repeated) = (self.next_window, self.windows.len());
                self.events.push(ReporterEvent::Claimed { token, next_window, repeated });
            }
            // A write whose result is not known may still take effect; the record is read again.
            (Duty::None(_), _) => self.retry_at_ms = now_ms + STORE_RETRY_MS,
            (Duty::Held { version, .. }, RecordWriteResult::Written(written)) => {
                *version = written;
                self.confirm(sent);
            }
            (Duty::Held { .. }, RecordWriteResult::Conflict(stored)) => self.resolve(stored),
            (Duty::Held { .. }, RecordWriteResult::Failed(error)) => {
                self.is_unsure = !matches!(error, StoreError::NotDone(_));
                self.retry_at_ms = now_ms + STORE_RETRY_MS;
            }
        }
    }

    /// Records the result of a report of a window that ended at `now_ms`.
    pub fn record_send(&mut self, now_ms: u64, window: u64, result: SendResult) {
        self.refusals = if result == SendResult::Refused { self.refusals + 1 } else { 0 };
        if result == SendResult::Accepted {
            self.call_failures = 0;
            self.windows.remove(&window);
            return;
        }
        if self.refusals >= MAX_REFUSALS {
            self.refusals = 0;
            self.windows.remove(&window);
            self.events.push(ReporterEvent::Missed { from: window, count: 1 });
        }
        let pause_ms = MIN_CALL_RETRY_MS << self.call_failures.min(4);
        self.call_at_ms = now_ms + pause_ms.min(MAX_CALL_RETRY_MS);
        self.call_failures += 1;
    }

    /// Returns the first window that is not recorded, if this node holds the duty.
    pub fn recorded_before(&self) -> Option<u64> {
        matches!(self.duty, Duty::Held { .. }).then_some(self.recorded_before)
    }

    /// Returns what has happened since the last call.
    pub fn take_events(&mut self) -> Vec<ReporterEvent> {
        std::mem::take(&mut self.events)
    }
}
