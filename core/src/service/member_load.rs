//! Moving averages of how busy a member is and how often it fails. It does no I/O.

/// Time constant of the utilization, in milliseconds: many times the duration of a statement, so that
/// members which are idle at the moment get work by what they did before.
const UTILIZATION_MEMORY_MS: f64 = 500.0;

/// Weight of a statement in the share of failures: a member that fails shows within about 8.
const FAILURE_WEIGHT: f64 = 1.0 / 8.0;

/// Time constant with which failures are forgotten, in milliseconds, so that a member is tried again.
const FAILURE_MEMORY_MS: f64 = 2_000.0;

/// Recent utilization and failures of a member.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemberLoad {
    utilization: f64,
    utilization_at_ms: u64,
    failures: f64,
    failures_at_ms: u64,
}

impl MemberLoad {
    /// Records that `in_flight` of the member's slots were in use since the last call.
    pub fn record_in_flight(&mut self, now_ms: u64, in_flight: usize, slots: usize) {
        let used = in_flight as f64 / slots.max(1) as f64;
        let kept = kept(now_ms, self.utilization_at_ms, UTILIZATION_MEMORY_MS);
        self.utilization = used + (self.utilization - used) * kept;
        self.utilization_at_ms = now_ms;
    }

    /// Returns the share of its slots that was in use recently; `in_flight` are in use now.
    pub fn utilization(&self, now_ms: u64, in_flight: usize, slots: usize) -> f64 {
        let mut present = *self;
        present.record_in_flight(now_ms, in_flight, slots);
        present.utilization
    }

    /// Records a statement that the member ran, or failed to run.
    pub fn record_result(&mut self, now_ms: u64, has_failed: bool) {
        let before = self.failures(now_ms);
        self.failures = before + (f64::from(u8::from(has_failed)) - before) * FAILURE_WEIGHT;
        self.failures_at_ms = now_ms;
    }

    /// Returns the share of recent statements that failed.
    pub fn failures(&self, now_ms: u64) -> f64 {
        self.failures * kept(now_ms, self.failures_at_ms, FAILURE_MEMORY_MS)
    }
}

/// Returns the weight that a value of `since_ms` still has.
fn kept(now_ms: u64, since_ms: u64, memory_ms: f64) -> f64 {
    (-(now_ms.saturating_sub(since_ms) as f64) / memory_ms).exp()
}
