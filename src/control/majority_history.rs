//! The times at which a majority of the daemons came to know each configuration version. This
//! module does no I/O.

use std::collections::VecDeque;

use super::lease::LEASE_MS;

/// Margin added to the lease duration for the limited resolution of the clocks, in milliseconds.
const CLOCK_MARGIN_MS: u64 = 100;

/// Maximum number of entries kept.
const MAX_ENTRIES: usize = 64;

/// Records when a majority of the daemons came to know each configuration version.
#[derive(Clone, Debug, Default)]
pub struct MajorityHistory {
    /// Version, and the time in milliseconds at which a majority was seen to have it.
    entries: VecDeque<(u64, u64)>,
}

impl MajorityHistory {
    /// Records which version a majority of the daemons has, given the last known version of each
    /// daemon, this one included.
    pub fn record(&mut self, now_ms: u64, mut versions: Vec<u64>) {
        versions.sort_unstable_by(|left, right| right.cmp(left));
        let majority = versions.len() / 2 + 1;
        let Some(version) = versions.get(majority - 1).copied() else {
            return;
        };
        if self.version() < version {
            self.entries.push_back((version, now_ms));
        }
        if self.entries.len() > MAX_ENTRIES {
            self.entries.pop_front();
        }
    }

    /// Returns the highest version that a majority is known to have; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.entries.back().map_or(0, |(version, _)| *version)
    }

    /// Returns whether every daemon that still serves knows the given version: a majority has known
    /// it for a lease period, so the lease of any daemon without it has expired.
    pub fn is_in_force(&self, now_ms: u64, version: u64) -> bool {
        let since = self.entries.iter().find(|(known, _)| *known >= version);
        since.is_some_and(|(_, since_ms)| since_ms + LEASE_MS + CLOCK_MARGIN_MS <= now_ms)
    }
}
