//! Past floors of a group, for reads that may return data up to a maximum age.

use std::collections::VecDeque;

use super::log_position::LogPosition;
use super::quorum::Floor;

/// Number of floors kept.
const MAX_FLOORS: usize = 4096;

/// Past floors of a group, oldest first.
#[derive(Default)]
pub struct FloorHistory {
    floors: VecDeque<Floor>,
}

impl FloorHistory {
    /// Adds a floor, unless a later one is already known.
    pub fn record(&mut self, floor: Floor) {
        if self.floors.back().is_some_and(|last| last.valid_at_ms >= floor.valid_at_ms) {
            return;
        }
        self.floors.push_back(floor);
        if self.floors.len() > MAX_FLOORS {
            self.floors.pop_front();
        }
    }

    /// Returns the oldest floor that includes every write acknowledged more than `age_ms` before
    /// `now_ms`, both in milliseconds; `None` if none of the kept ones is known to.
    pub fn floor_at_age(&self, now_ms: u64, age_ms: u64) -> Option<LogPosition> {
        // Times are rounded down, so that equal ones may be up to 1 ms too early.
        let oldest_ms = now_ms.saturating_sub(age_ms);
        let found = self.floors.iter().find(|floor| floor.valid_at_ms > oldest_ms);
        found.map(|floor| floor.position)
    }
}
