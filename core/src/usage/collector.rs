//! Merges the counts of all owners. Performs no input or output.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::name::Name;
use crate::usage::record::TenantCounts;
use crate::usage::update::Ownership;
use crate::usage::update::UsageUpdate;

/// Counts of all owners as far as they were received. Counts are cumulative for each ownership, so
/// updates may be repeated, lost and reordered.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    windows: BTreeMap<u64, BTreeMap<Ownership, TenantCounts>>,
    /// For each window, the nodes that have sent counts of it.
    senders: BTreeMap<u64, BTreeSet<Name>>,
    /// For each node, the first window of which it may still send more counts.
    complete_before: BTreeMap<Name, u64>,
    forgotten_before: u64,
}

impl Collector {
    /// Merges an update. `me` is the process that collects.
    pub fn merge(&mut self, update: &UsageUpdate, me: u64) {
        for changed in &update.counts {
            if changed.window < self.forgotten_before {
                continue;
            }
            self.senders.entry(changed.window).or_default().insert(update.sender.clone());
            let ownerships = self.windows.entry(changed.window).or_default();
            let tenants = ownerships.entry(changed.ownership.clone()).or_default();
            for (tenant, count) in &changed.counts {
                let known = tenants.entry(tenant.clone()).or_default();
                *known = (*known).max(*count);
            }
        }
        // An update for another process lacks what that one had received.
        if update.collector.is_none_or(|collector| collector == me) {
            let known = self.complete_before.entry(update.sender.clone()).or_default();
            *known = (*known).max(update.complete_before);
        }
    }

    /// Returns the sum of all counts in a window.
    pub fn counts(&self, window: u64) -> TenantCounts {
        let mut sum = TenantCounts::new();
        for tenants in self.windows.get(&window).into_iter().flat_map(BTreeMap::values) {
            for (tenant, count) in tenants {
                *sum.entry(tenant.clone()).or_default() += count;
            }
        }
        sum
    }

    /// Returns the nodes that may still send counts of a window: those of `owners`, and those that
    /// have already sent some of it, that have not sent all.
    pub fn missing(&self, window: u64, owners: &BTreeSet<Name>) -> Vec<Name> {
        let senders = self.senders.get(&window).into_iter().flatten();
        let expected: BTreeSet<&Name> = owners.iter().chain(senders).collect();
        let is_missing =
            |node: &&Name| self.complete_before.get(*node).is_none_or(|before| *before <= window);
        expected.into_iter().filter(is_missing).cloned().collect()
    }

    /// Forgets the windows before this one.
    pub fn forget_before(&mut self, window: u64) {
        if window <= self.forgotten_before {
            return;
        }
        self.forgotten_before = window;
        self.windows = self.windows.split_off(&window);
        self.senders = self.senders.split_off(&window);
        self.complete_before.retain(|_, before| *before >= window);
    }
}
