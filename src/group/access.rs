//! Finds the way to a group: its connections here, or a daemon that holds them.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;

use super::lane::SharedAccess;

/// Ways to all groups; replaced whole when the configuration changes.
#[derive(Default)]
pub struct AccessTable {
    ways: ArcSwap<HashMap<String, SharedAccess>>,
}

impl AccessTable {
    /// Returns the way to a group.
    pub fn get(&self, group: &str) -> Option<SharedAccess> {
        self.ways.load().get(group).cloned()
    }

    /// Replaces all ways.
    pub fn replace(&self, ways: HashMap<String, SharedAccess>) {
        self.ways.store(Arc::new(ways));
    }
}
