//! Since when a majority of the daemons knows a version, free of input and output.

use std::collections::VecDeque;

use super::lease::LEASE_MS;

/// Added to the lease for the resolution of clocks, in milliseconds.
const MARGIN_MS: u64 = 100;

/// Versions remembered.
const MAX_REMEMBERED: usize = 64;

/// Since when a majority of the daemons knows a version.
#[derive(Clone, Debug, Default)]
pub struct MajorityHistory {
    known: VecDeque<(u64, u64)>,
}

impl MajorityHistory {
    /// Notes the versions that the daemons were last known to have, this one's included.
    pub fn note(&mut self, now_ms: u64, mut versions: Vec<u64>) {
        versions.sort_unstable_by(|left, right| right.cmp(left));
        let majority = versions.len() / 2 + 1;
        let Some(version) = versions.get(majority - 1).copied() else {
            return;
        };
        if self.version() < version {
            self.known.push_back((version, now_ms));
        }
        if self.known.len() > MAX_REMEMBERED {
            self.known.pop_front();
        }
    }

    /// Returns the highest version that a majority is known to have.
    pub fn version(&self) -> u64 {
        self.known.back().map_or(0, |(version, _)| *version)
    }

    /// Returns whether no daemon serves any more that does not know a version.
    pub fn is_in_force(&self, now_ms: u64, version: u64) -> bool {
        let since = self.known.iter().find(|(known, _)| *known >= version);
        since.is_some_and(|(_, since_ms)| since_ms + LEASE_MS + MARGIN_MS <= now_ms)
    }
}
