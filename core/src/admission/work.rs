//! Expected slot time of a set of statements.

use crate::admission::slot_class::SlotClass;

/// Expected slot time of a set of statements, in microseconds at a member of average speed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Slot time that only the primary can provide.
    pub primary_us: u64,
    /// Slot time that any member can provide.
    pub reader_us: u64,
}

impl Work {
    /// Adds a statement. Most open transactions write, so their statements count for the primary.
    pub fn add(&mut self, class: SlotClass, cost_us: u64) {
        match class {
            SlotClass::Reader => self.reader_us += cost_us,
            SlotClass::Primary | SlotClass::Transaction => self.primary_us += cost_us,
        }
    }

    /// Removes a statement that was added before.
    pub fn remove(&mut self, class: SlotClass, cost_us: u64) {
        match class {
            SlotClass::Reader => self.reader_us = self.reader_us.saturating_sub(cost_us),
            SlotClass::Primary | SlotClass::Transaction => {
                self.primary_us = self.primary_us.saturating_sub(cost_us);
            }
        }
    }

    /// Returns the slot time of both sets.
    pub fn plus(self, other: Self) -> Self {
        Self {
            primary_us: self.primary_us + other.primary_us,
            reader_us: self.reader_us + other.reader_us,
        }
    }

    /// Returns the slot time of all statements.
    pub fn total_us(self) -> u64 {
        self.primary_us + self.reader_us
    }
}
