//! Number of a member's slots that its owner may use, learned from its busy replies. It does no I/O.
//!
//! The owner knows its own running statements. It does not know of slots that are taken by probes of
//! other nodes, by connections of a former owner, or by a member's own work.

/// Time after which one more slot is used again, in milliseconds: longer than a connection takes to
/// open, so that most of what took the slot is over.
const FIRST_STEP_MS: u64 = 100;

/// Longest such time, in milliseconds: a member that is busy repeatedly gets few statements
/// too many, and one that recovers gets all of its slots back within seconds.
const MAX_STEP_MS: u64 = 400;

/// Time without a busy reply after which the next one counts as the first, in milliseconds.
const FORGET_MS: u64 = 2_000;

/// Time for which busy replies count as the same occasion, in milliseconds: their statements were
/// sent before the first of them arrived.
const SAME_OCCASION_MS: u64 = 10;

/// Slots of a member that may be used: reduced at a busy reply, and increased step by step.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsableSlots {
    lowered: Option<Lowered>,
}

#[derive(Clone, Copy, Debug)]
struct Lowered {
    slots: usize,
    at_ms: u64,
    step_ms: u64,
}

impl UsableSlots {
    /// Returns how many of `listed` slots may be used, at least one of them.
    pub fn usable(&self, now_ms: u64, listed: usize) -> usize {
        let Some(lowered) = self.lowered else { return listed };
        let steps = now_ms.saturating_sub(lowered.at_ms) / lowered.step_ms.max(1);
        let steps = usize::try_from(steps).unwrap_or(usize::MAX);
        lowered.slots.saturating_add(steps).min(listed)
    }

    /// Reduces the number after a busy reply, with `in_flight` statements running at the member, the
    /// refused one included: by at least one, and to no less than half. Returns whether it was.
    pub fn lower(&mut self, now_ms: u64, listed: usize, in_flight: usize) -> bool {
        let before_ms = self.lowered.map(|lowered| now_ms.saturating_sub(lowered.at_ms));
        if before_ms.is_some_and(|before_ms| before_ms < SAME_OCCASION_MS) {
            return false;
        }
        let usable = self.usable(now_ms, listed);
        let step_ms = match self.lowered {
            Some(lowered) if before_ms.is_some_and(|before_ms| before_ms < FORGET_MS) => {
                (lowered.step_ms * 2).min(MAX_STEP_MS)
            }
            _ => FIRST_STEP_MS,
        };
        let slots = usable.min(in_flight).saturating_sub(1).max(usable / 2).max(1);
        self.lowered = Some(Lowered { slots, at_ms: now_ms, step_ms });
        true
    }
}
