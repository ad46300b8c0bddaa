//! Fair order among workspaces, free of input and output.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::name::Name;

/// Waiting items by workspace. The workspace that has used the least time goes first.
///
/// Each workspace has a virtual time that grows by the time for which its items held a slot
/// (start-time fair queueing). A workspace that was idle starts at the least time of those that
/// wait, so that it can't save up.
#[derive(Debug)]
pub struct FairQueue<Item> {
    waiting: BTreeMap<Name, VecDeque<Item>>,
    used_us: BTreeMap<Name, u64>,
    floor_us: u64,
}

impl<Item> Default for FairQueue<Item> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new(), used_us: BTreeMap::new(), floor_us: 0 }
    }
}

impl<Item> FairQueue<Item> {
    /// Adds an item at the end of its workspace's line.
    pub fn push(&mut self, workspace: &Name, item: Item) {
        let used_us = self.used_us.entry(workspace.clone()).or_default();
        *used_us = (*used_us).max(self.floor_us);
        self.waiting.entry(workspace.clone()).or_default().push_back(item);
    }

    /// Takes the next item among workspaces that `may_go` allows.
    pub fn pop<Allowed>(&mut self, may_go: Allowed) -> Option<(Name, Item)>
    where
        Allowed: Fn(&Name) -> bool,
    {
        let allowed = self.waiting.keys().filter(|name| may_go(name));
        let next = allowed.min_by_key(|name| self.used_us.get(*name).copied())?.clone();
        let line = self.waiting.get_mut(&next)?;
        let item = line.pop_front()?;
        if line.is_empty() {
            self.waiting.remove(&next);
        }
        let used_us = self.used_us.get(&next).copied().unwrap_or(0);
        self.floor_us = self.floor_us.max(used_us);
        Some((next, item))
    }

    /// Charges a workspace for the time that it held a slot, in microseconds.
    pub fn charge(&mut self, workspace: &Name, held_us: u64) {
        let used_us = self.used_us.entry(workspace.clone()).or_default();
        *used_us = (*used_us).max(self.floor_us).saturating_add(held_us);
    }

    /// Returns how many items wait.
    pub fn len(&self) -> usize {
        self.waiting.values().map(VecDeque::len).sum()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether a workspace other than this one waits.
    pub fn has_others(&self, workspace: &Name) -> bool {
        self.waiting.keys().any(|name| name != workspace)
    }
}
