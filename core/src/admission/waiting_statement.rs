//! A statement that waits for a slot, as the queue sees it.

use crate::admission::slot_class::SlotClass;
use crate::name::Name;

/// Place of a statement that had a slot before. A statement that is repeated keeps its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeptPlace {
    pub(super) ticket: u64,
    pub(super) tag: u64,
}

/// A statement that waits for a slot.
#[derive(Clone, Debug)]
pub struct WaitingStatement {
    /// Which members can run it.
    pub class: SlotClass,
    /// Tenant that it belongs to.
    pub tenant: Name,
    /// Priority of its route; 0 is the most urgent level.
    pub level: u32,
    /// Expected slot time at a member of average speed, in microseconds.
    pub cost_us: u64,
    /// Time at which it arrived, in milliseconds.
    pub arrived_at_ms: u64,
    /// Time at which its latency objective ends, in milliseconds.
    pub objective_at_ms: u64,
    /// Time until which it may wait, in milliseconds.
    pub queue_until_ms: u64,
    /// Place that it keeps, if it had a slot before. It is not refused then.
    pub kept_place: Option<KeptPlace>,
}

impl WaitingStatement {
    /// Returns the latest start that meets the objective, in milliseconds.
    pub(super) fn latest_start_ms(&self) -> u64 {
        self.objective_at_ms.saturating_sub(self.cost_us.div_ceil(1_000))
    }

    /// Returns the time until which it may be refused because more urgent ones arrived, in
    /// milliseconds: a tenth of its objective, after which its caller counts on an answer.
    pub(super) fn displaceable_until_ms(&self) -> u64 {
        self.arrived_at_ms + self.objective_at_ms.saturating_sub(self.arrived_at_ms) / 10
    }
}
