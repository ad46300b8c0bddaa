//! How much longer statements hold their slots than members take for them.

/// Time constant of the averages, in milliseconds.
const MEMORY_MS: f64 = 500.0;

/// Statements without overhead with which the average starts, so that a few decide little.
const PRIOR_COUNT: f64 = 10.0;

/// Greatest overhead, in microseconds. More is not caused by connections but by statements that are
/// stuck.
const MAX_EXTRA_US: f64 = 40_000.0;

/// Time for which statements hold slots beyond the measured service times. Opening a connection
/// also holds a slot, and so do statements at a member that does not answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlotOverhead {
    running: usize,
    held_us: f64,
    expected_us: f64,
    granted: f64,
    updated_at_ms: u64,
}

impl SlotOverhead {
    fn advance(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_at_ms) as f64;
        self.updated_at_ms = self.updated_at_ms.max(now_ms);
        let left = (-elapsed_ms / MEMORY_MS).exp();
        let added_us = self.running as f64 * 1_000.0 * MEMORY_MS * (1.0 - left);
        self.held_us = self.held_us * left + added_us;
        self.expected_us *= left;
        self.granted *= left;
    }

    /// Records that a slot was granted to a statement that should hold it for `expected_us`.
    pub fn grant(&mut self, now_ms: u64, expected_us: u64) {
        self.advance(now_ms);
        self.running += 1;
        self.granted += 1.0;
        self.expected_us += expected_us as f64;
    }

    /// Records that a slot was released.
    pub fn release(&mut self, now_ms: u64) {
        self.advance(now_ms);
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the mean time for which a slot is held beyond the service time, in microseconds.
    pub fn extra_us(&self) -> u64 {
        let extra_us = (self.held_us - self.expected_us) / (self.granted + PRIOR_COUNT);
        extra_us.clamp(0.0, MAX_EXTRA_US) as u64
    }
}
