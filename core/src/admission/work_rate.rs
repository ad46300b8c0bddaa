//! Moving average of the slot time that statements ask for.

use crate::admission::slot_class::SlotClass;

/// Time constant of the average, in milliseconds: long enough for some tens of statements of a busy
/// level, short compared to the bursts, which last for about a second.
const MEMORY_MS: f64 = 100.0;

/// Slot time that statements ask for, in milliseconds for each millisecond.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkRate {
    primary: f64,
    reader: f64,
    updated_at_ms: u64,
}

impl WorkRate {
    /// Adds a statement.
    pub fn add(&mut self, now_ms: u64, class: SlotClass, cost_us: u64) {
        let (primary, reader) = self.at(now_ms);
        let added = cost_us as f64 / 1_000.0 / MEMORY_MS;
        let is_reader = class == SlotClass::Reader;
        self.primary = primary + if is_reader { 0.0 } else { added };
        self.reader = reader + if is_reader { added } else { 0.0 };
        self.updated_at_ms = self.updated_at_ms.max(now_ms);
    }

    /// Returns the rates for the primary alone and for any member.
    pub fn at(&self, now_ms: u64) -> (f64, f64) {
        let age_ms = now_ms.saturating_sub(self.updated_at_ms) as f64;
        let left = (-age_ms / MEMORY_MS).exp();
        (self.primary * left, self.reader * left)
    }
}
