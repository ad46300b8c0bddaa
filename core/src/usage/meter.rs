//! Counts requests while they are sent to members.

use std::sync::Arc;
use std::sync::Mutex;

use crate::clock::now_ms;
use crate::member::MemberCommand;
use crate::name::Name;
use crate::sync::lock;
use crate::usage::UsageSettings;
use crate::usage::counts::UsageCounts;
use crate::usage::counts::is_counted;
use crate::usage::update::Ownership;
use crate::usage::window_clock::TrueTime;

struct MeterState {
    counts: UsageCounts,
    time: Option<TrueTime>,
}

/// The counts of a node, shared by the services that it owns.
pub struct UsageMeter {
    /// `None` if usage is not reported.
    state: Option<Mutex<MeterState>>,
}

impl UsageMeter {
    /// Creates a meter, which counts nothing without settings.
    pub fn new(settings: Option<UsageSettings>) -> Self {
        let state =
            settings.map(|settings| MeterState { counts: UsageCounts::new(settings), time: None });
        Self { state: state.map(Mutex::new) }
    }

    /// Returns a guard for a batch of commands that is about to be sent to a member; `None` if the
    /// batch does not count as a request.
    pub fn begin(
        self: &Arc<Self>,
        service: &Name,
        token: u64,
        tenant: &Name,
        commands: &[MemberCommand],
    ) -> Option<MeteredRequest> {
        let state = self.state.as_ref()?;
        if !commands.iter().any(is_counted) {
            return None;
        }
        let sent_at_ms = now_ms();
        lock(state).counts.begin(sent_at_ms);
        Some(MeteredRequest {
            meter: self.clone(),
            sent_at_ms,
            ownership: Ownership { service: service.clone(), token },
            tenant: tenant.clone(),
            was_executed: true,
        })
    }

    /// Sets the time by which requests are counted.
    pub(super) fn set_time(&self, time: Option<TrueTime>) {
        let Some(state) = &self.state else { return };
        let mut state = lock(state);
        state.time = time.or(state.time);
        if let Some(time) = state.time {
            state.counts.settle(time);
        }
    }

    /// Forgets the windows before this one.
    pub(super) fn forget_before(&self, window: u64) {
        if let Some(state) = &self.state {
            lock(state).counts.forget_before(window);
        }
    }

    /// Returns whether no counts are kept and no request waits for a reply.
    pub(super) fn is_empty(&self) -> bool {
        self.state.as_ref().is_none_or(|state| lock(state).counts.is_empty())
    }

    /// Returns the number of counted requests.
    pub(super) fn counted(&self) -> u64 {
        self.state.as_ref().map_or(0, |state| lock(state).counts.counted())
    }

    /// Reads the counts and the time by which they are counted.
    pub(super) fn with_counts<Read, Value>(&self, read: Read) -> Option<Value>
    where
        Read: FnOnce(&UsageCounts, Option<TrueTime>) -> Option<Value>,
    {
        let state = lock(self.state.as_ref()?);
        read(&state.counts, state.time)
    }
}

/// A request that was sent to a member. It counts when it is dropped, unless the member refused it.
pub struct MeteredRequest {
    meter: Arc<UsageMeter>,
    sent_at_ms: u64,
    ownership: Ownership,
    tenant: Name,
    was_executed: bool,
}

impl MeteredRequest {
    /// Records that the member refused the request without executing it.
    pub fn discard(&mut self) {
        self.was_executed = false;
    }
}

impl Drop for MeteredRequest {
    fn drop(&mut self) {
        let Some(state) = &self.meter.state else { return };
        let mut state = lock(state);
        let time = state.time;
        state.counts.finish(
            self.sent_at_ms,
            &self.ownership,
            &self.tenant,
            self.was_executed,
            time,
        );
    }
}
