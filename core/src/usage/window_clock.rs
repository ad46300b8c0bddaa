//! The fleet's time, from which windows are derived. Performs no input or output.
//!
//! The clocks of hosts differ and may jump. Each host compares its own clock with the store's, and the
//! median of these offsets is the offset of the fleet: it is right as long as more than half of the
//! compared clocks are. The offset is applied to the store's clock as this process knows it by its
//! steady clock, so a jump of the host's own clock does not move its windows.

use std::collections::HashMap;

use crate::name::Name;
use crate::store_clock::ClockBounds;

/// Time for which reported offsets count, in milliseconds: several requests for metadata.
const SAMPLE_AGE_LIMIT_MS: u64 = 5_000;

/// Time for which a new reader estimates no offset, in milliseconds: at first it knows few clocks but
/// its own. All candidates have asked it for metadata by then, since an answer is held back for up to
/// a second.
const FIRST_WAIT_MS: u64 = 1_500;

/// Time after which a new reader makes the first estimate although it has heard from few nodes, in
/// milliseconds.
const LONGEST_WAIT_MS: u64 = 3_000;

/// Time without an estimate after which a node counts as a new reader, in milliseconds.
const ESTIMATE_GAP_MS: u64 = 2_000;

/// Most offsets of other nodes that a node passes on.
const MAX_PASSED_ON: usize = 8;

/// Smallest change of the offset that is applied, in milliseconds, so that the noise of the readings
/// does not move windows.
const MIN_CHANGE_MS: u64 = 25;

/// Relation of this process's steady clock to true time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrueTime {
    /// How far true time is ahead of the steady clock, in milliseconds.
    pub ahead_ms: i64,
}

impl TrueTime {
    /// Returns the true time at a time of the steady clock, both in milliseconds.
    pub fn at(self, local_ms: u64) -> u64 {
        local_ms.saturating_add_signed(self.ahead_ms)
    }
}

#[derive(Clone, Debug)]
struct Sample {
    heard_at_ms: u64,
    offsets_ms: Vec<i64>,
}

/// The offset of the fleet's time to the store's clock.
#[derive(Clone, Debug, Default)]
pub struct WindowClock {
    /// Times of the first and the last of the present series of estimates.
    estimates_ms: Option<(u64, u64)>,
    samples: HashMap<Name, Sample>,
    offset_ms: Option<i64>,
}

impl WindowClock {
    /// Records the offsets that a node has reported: its own, and some that others reported to it.
    pub fn observe(&mut self, now_ms: u64, sender: &Name, offsets_ms: &[i64]) {
        let offsets_ms = offsets_ms.iter().copied().take(MAX_PASSED_ON + 1).collect();
        self.samples.insert(sender.clone(), Sample { heard_at_ms: now_ms, offsets_ms });
    }

    /// Returns the offsets to report: this node's own, and some that represent those it heard of.
    pub fn sample(&mut self, now_ms: u64, own_ms: Option<i64>) -> Vec<i64> {
        let mut heard = self.recent_offsets(now_ms);
        heard.sort_unstable();
        let count = heard.len().min(MAX_PASSED_ON);
        let passed_on = (0..count).map(|index| heard[(2 * index + 1) * heard.len() / (2 * count)]);
        own_ms.into_iter().chain(passed_on).collect()
    }

    fn recent_offsets(&mut self, now_ms: u64) -> Vec<i64> {
        self.samples.retain(|_, sample| now_ms < sample.heard_at_ms + SAMPLE_AGE_LIMIT_MS);
        self.samples.values().flat_map(|sample| sample.offsets_ms.iter().copied()).collect()
    }

    /// Sets the offset to the median of the reported ones. With fewer reports than from two thirds of
    /// the candidates, an earlier offset is kept: a third of the clocks may be wrong.
    pub fn estimate(&mut self, now_ms: u64, own_ms: Option<i64>, candidates: usize) {
        let mut offsets = self.recent_offsets(now_ms);
        offsets.extend(own_ms);
        let nodes = self.samples.len() + usize::from(own_ms.is_some());
        let series = self.estimates_ms.filter(|(_, last)| now_ms < last + ESTIMATE_GAP_MS);
        let since_ms = series.map_or(now_ms, |(first, _)| first);
        self.estimates_ms = Some((since_ms, now_ms));
        let must_estimate = self.offset_ms.is_none() && now_ms >= since_ms + LONGEST_WAIT_MS;
        let has_most = nodes * 3 > candidates * 2 && now_ms >= since_ms + FIRST_WAIT_MS;
        if offsets.is_empty() || !(has_most || must_estimate) {
            return;
        }
        offsets.sort_unstable();
        self.adopt(offsets[offsets.len() / 2]);
    }

    /// Sets the offset to one that another node has estimated.
    pub fn adopt(&mut self, offset_ms: i64) {
        let is_change =
            self.offset_ms.is_none_or(|known| known.abs_diff(offset_ms) >= MIN_CHANGE_MS);
        if is_change {
            self.offset_ms = Some(offset_ms);
        }
    }

    /// Returns the offset of true time to the store's clock, in milliseconds.
    pub fn offset_ms(&self) -> Option<i64> {
        self.offset_ms
    }

    /// Returns the relation of this process's clock to true time, if it is known.
    pub fn true_time(&self, now_ms: u64, bounds: Option<ClockBounds>) -> Option<TrueTime> {
        // The lower bound is the tighter one, since answers of other nodes are held back.
        let store_ms = bounds?.at_least_ms as i64;
        Some(TrueTime { ahead_ms: store_ms + self.offset_ms? - now_ms as i64 })
    }
}
