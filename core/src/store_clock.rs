//! Bounds on the store's monotonic clock, as known to one process. Performs no input or output.
//!
//! All processes see the same clock of the store, so one process can tell how long ago another one
//! did something that it has only just learned of.

use serde::Deserialize;
use serde::Serialize;

/// Largest drift between two clocks that is tolerated, in milliseconds per second: ten times the
/// 100 ppm expected of a machine's clock.
const DRIFT_MS_PER_S: u64 = 1;

/// What one call to the store reveals about its clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// Time of this process at which the call was sent, in milliseconds.
    pub sent_at_ms: u64,
    /// Time of this process at which the answer arrived, in milliseconds.
    pub received_at_ms: u64,
    /// Upper bound of the store's clock when the call was sent, in milliseconds.
    pub at_most_ms: u64,
    /// Lower bound of the store's clock when the answer arrived, in milliseconds.
    pub at_least_ms: u64,
}

/// Bounds of the store's clock at one point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockBounds {
    /// Upper bound, in milliseconds.
    pub at_most_ms: u64,
    /// Lower bound, in milliseconds.
    pub at_least_ms: u64,
}

/// A bound of the store's clock at one time of this process's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Bound {
    local_ms: u64,
    store_ms: u64,
}

/// The tightest bounds of the store's clock from all recorded readings.
#[derive(Clone, Debug, Default)]
pub struct StoreClock {
    upper: Option<Bound>,
    lower: Option<Bound>,
}

impl StoreClock {
    /// Records a reading, if it tightens a bound.
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

    /// Returns both bounds, or `None` before the first reading.
    pub fn bounds(&self, now_ms: u64) -> Option<ClockBounds> {
        let at_most_ms = self.at_most_ms(now_ms)?;
        let at_least_ms = self.at_least_ms(now_ms)?;
        Some(ClockBounds { at_most_ms, at_least_ms })
    }

    /// Returns the upper bound of the store's clock, in milliseconds.
    pub fn at_most_ms(&self, now_ms: u64) -> Option<u64> {
        self.upper.map(|bound| upper_bound_ms(bound, now_ms))
    }

    /// Returns the lower bound of the store's clock, in milliseconds.
    pub fn at_least_ms(&self, now_ms: u64) -> Option<u64> {
        self.lower.map(|bound| lower_bound_ms(bound, now_ms))
    }
}

fn upper_bound_ms(bound: Bound, now_ms: u64) -> u64 {
    let elapsed_ms = now_ms.saturating_sub(bound.local_ms);
    bound.store_ms.saturating_add(elapsed_ms).saturating_add(drift_ms(elapsed_ms))
}

fn lower_bound_ms(bound: Bound, now_ms: u64) -> u64 {
    let elapsed_ms = now_ms.saturating_sub(bound.local_ms);
    bound.store_ms.saturating_add(elapsed_ms - drift_ms(elapsed_ms))
}

fn drift_ms(elapsed_ms: u64) -> u64 {
    elapsed_ms / 1_000 * DRIFT_MS_PER_S + elapsed_ms % 1_000 * DRIFT_MS_PER_S / 1_000
}
