//! The store's steady clock, as far as one process knows it; free of input and output.
//!
//! All processes see the same clock of the store, so one of them can tell how long ago another one
//! did something that it first hears of now.

use serde::Deserialize;
use serde::Serialize;

/// Greatest difference of the speeds of two clocks that is allowed for, in milliseconds for each
/// second: ten times the 100 ppm expected of a machine's clock.
const DRIFT_MS_PER_S: u64 = 1;

/// What one call tells of the store's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// When the call was sent, by this process's clock, in milliseconds.
    pub sent_at_ms: u64,
    /// When the answer came, by this process's clock, in milliseconds.
    pub received_at_ms: u64,
    /// What the store's clock showed at most when the call was sent, in milliseconds.
    pub at_most_ms: u64,
    /// What the store's clock showed at least when the answer came, in milliseconds.
    pub at_least_ms: u64,
}

/// What the store's clock shows at some moment, within bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockBounds {
    /// At most, in milliseconds.
    pub at_most_ms: u64,
    /// At least, in milliseconds.
    pub at_least_ms: u64,
}

/// A bound on the store's clock at a moment of this process's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Bound {
    local_ms: u64,
    store_ms: u64,
}

/// Bounds on what the store's clock shows.
#[derive(Clone, Debug, Default)]
pub struct StoreClock {
    upper: Option<Bound>,
    lower: Option<Bound>,
}

impl StoreClock {
    /// Takes note of a call.
    pub fn record(&mut self, reading: &ClockReading) {
        let now_ms = reading.received_at_ms;
        let upper = Bound { local_ms: reading.sent_at_ms, store_ms: reading.at_most_ms };
        if self
            .upper
            .is_none_or(|known| upper_bound_ms(upper, now_ms) < upper_bound_ms(known, now_ms))
        {
            self.upper = Some(upper);
        }
        let lower = Bound { local_ms: reading.received_at_ms, store_ms: reading.at_least_ms };
        if self
            .lower
            .is_none_or(|known| lower_bound_ms(lower, now_ms) > lower_bound_ms(known, now_ms))
        {
            self.lower = Some(lower);
        }
    }

    /// Returns both bounds, once a call was answered.
    pub fn bounds(&self, now_ms: u64) -> Option<ClockBounds> {
        let at_most_ms = self.at_most_ms(now_ms)?;
        let at_least_ms = self.at_least_ms(now_ms)?;
        Some(ClockBounds { at_most_ms, at_least_ms })
    }

    /// Returns what the store's clock shows at most, in milliseconds.
    pub fn at_most_ms(&self, now_ms: u64) -> Option<u64> {
        self.upper.map(|bound| upper_bound_ms(bound, now_ms))
    }

    /// Returns what the store's clock shows at least, in milliseconds.
    pub fn at_least_ms(&self, now_ms: u64) -> Option<u64> {
        self.lower.map(|bound| lower_bound_ms(bound, now_ms))
    }
}

fn upper_bound_ms(bound: Bound, now_ms: u64) -> u64 {
    let passed_ms = now_ms.saturating_sub(bound.local_ms);
    bound.store_ms + passed_ms + passed_ms * DRIFT_MS_PER_S / 1_000
}

fn lower_bound_ms(bound: Bound, now_ms: u64) -> u64 {
    let passed_ms = now_ms.saturating_sub(bound.local_ms);
    bound.store_ms + passed_ms - passed_ms * DRIFT_MS_PER_S / 1_000
}
