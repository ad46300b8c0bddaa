//! What the members of a service can do at present.

use crate::admission::slot_class::SlotClass;
use crate::admission::work::Work;

/// Share of the slot time that each waiting level gets at least. It is above the promised tenth,
/// because a share is paid out in whole statements, whose costs are estimates.
pub(super) const MIN_SHARE: f64 = 0.105;

/// Speed of the members: the slot time of a member of average speed that they provide in each
/// millisecond, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Speed of the primary.
    pub primary: f64,
    /// Speed of all other members that take new work.
    pub others: f64,
}

impl Capacity {
    /// Returns the speed of all members.
    pub fn total(&self) -> f64 {
        self.primary + self.others
    }

    /// Returns the time until the work that goes before a statement is done, in milliseconds.
    ///
    /// `rate` is the slot time that arriving statements take before it, for the primary alone and
    /// for any member, and `share` is the part of the slots that is left by minimum shares.
    ///
    /// The members are treated as two servers: if the primary's own work lasts longer than all
    /// other work at the other members, each server works off its part; otherwise they end together.
    pub(super) fn wait_ms(
        &self,
        class: SlotClass,
        ahead: Work,
        rate: (f64, f64),
        share: f64,
    ) -> f64 {
        let drain_ms = |work_us: u64, speed: f64, rate: f64| {
            let available = (speed * share - rate).max(speed * MIN_SHARE);
            if work_us == 0 { 0.0 } else { work_us as f64 / 1_000.0 / available }
        };
        let together_ms = drain_ms(ahead.total_us(), self.total(), rate.0 + rate.1);
        match class {
            SlotClass::Reader if self.others > 0.0 => {
                together_ms.min(drain_ms(ahead.reader_us, self.others, rate.1))
            }
            SlotClass::Reader => together_ms,
            SlotClass::Primary | SlotClass::Transaction => {
                together_ms.max(drain_ms(ahead.primary_us, self.primary, rate.0))
            }
        }
    }
}
