//! Bounds of the store's clock.

use proptest::prelude::*;

use snipehead_core::store_clock::ClockReading;
use snipehead_core::store_clock::StoreClock;

/// Offset between the two clocks at the start, in milliseconds.
const AHEAD_MS: u64 = 7_000;

proptest! {
    /// The bounds hold at whichever moment of a call the store read its clock, and while one clock
    /// runs faster than the other by up to a tenth of the tolerated drift.
    #[test]
    fn the_clock_is_within_its_bounds(
        calls in prop::collection::vec((0_u64..5_000, 0_u64..2_000, 0.0_f64..1.0), 1..50),
        drift_ppm in -100_i64..100,
    ) {
        let store_at = |local_ms: u64| {
            let drifted = local_ms as i64 + local_ms as i64 * drift_ppm / 1_000_000;
            AHEAD_MS + drifted as u64
        };
        let mut clock = StoreClock::default();
        let mut now_ms = 1_000;
        for (pause_ms, took_ms, part) in calls {
            now_ms += pause_ms;
            let sent_at_ms = now_ms;
            let read_at_ms = now_ms + (took_ms as f64 * part) as u64;
            now_ms += took_ms;
            let store_ms = store_at(read_at_ms);
            let reading = ClockReading {
                sent_at_ms,
                received_at_ms: now_ms,
                at_most_ms: store_ms,
                at_least_ms: store_ms,
            };
            clock.record(&reading);
            let later_ms = now_ms + pause_ms;
            prop_assert!(clock.at_most_ms(later_ms) >= Some(store_at(later_ms) - 1));
            prop_assert!(clock.at_least_ms(later_ms) <= Some(store_at(later_ms) + 1));
        }
    }
}
