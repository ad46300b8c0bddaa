//! Fair queueing among workspaces, without any I/O.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::name::Name;

/// Waiting items by workspace. The workspace that has used the least time is served first.
///
/// This is start-time fair queueing: each workspace has a virtual time that grows by the time for
/// which its items held a slot. A workspace that was idle resumes at the queue's virtual time, so
/// that idle time earns it no credit.
#[derive(Debug)]
pub struct FairQueue<Item> {
    waiting: BTreeMap<Name, VecDeque<Item>>,
    used_us: BTreeMap<Name, u64>,
    virtual_time_us: u64,
}

impl<Item> Default for FairQueue<Item> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new(), used_us: BTreeMap::new(), virtual_time_us: 0 }
    }
}

impl<Item> FairQueue<Item> {
    /// Appends an item to the queue of its workspace.
    pub fn push(&mut self, workspace: &Name, item: Item) {
        let used_us = self.used_us.entry(workspace.clone()).or_default();
        *used_us = (*used_us).max(self.virtual_time_us);
        self.waiting.entry(workspace.clone()).or_default().push_back(item);
    }

    /// Removes the next item among the workspaces for which `is_eligible` holds.
    pub fn pop<Eligible>(&mut self, is_eligible: Eligible) -> Option<(Name, Item)>
    where
        Eligible: Fn(&Name) -> bool,
    {
        let eligible = self.waiting.keys().filter(|name| is_eligible(name));
        let next = eligible.min_by_key(|name| self.used_us.get(*name).copied())?.clone();
        let items = self.waiting.get_mut(&next)?;
        let item = items.pop_front()?;
        if items.is_empty() {
            self.waiting.remove(&next);
        }
        let used_us = self.used_us.get(&next).copied().unwrap_or(0);
        self.virtual_time_us = self.virtual_time_us.max(used_us);
        Some((next, item))
    }

    /// Adds the time for which a workspace held a slot to its virtual time, in microseconds.
    pub fn charge(&mut self, workspace: &Name, held_us: u64) {
        let used_us = self.used_us.entry(workspace.clone()).or_default();
        *used_us = (*used_us).max(self.virtual_time_us).saturating_add(held_us);
    }

    /// Returns the number of waiting items.
    pub fn len(&self) -> usize {
        self.waiting.values().map(VecDeque::len).sum()
    }

    /// Returns whether no items wait.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether any other workspace has waiting items.
    pub fn has_others(&self, workspace: &Name) -> bool {
        self.waiting.keys().any(|name| name != workspace)
    }
}
