//! Finds the way to a group: its connections here, or a daemon that holds them.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;

use super::exclusive_connection::SharedProvider;

/// Ways to all groups; replaced whole when the configuration changes.
#[derive(Default)]
pub struct ProviderTable {
    ways: ArcSwap<HashMap<String, SharedProvider>>,
}

impl ProviderTable {
    /// Returns the way to a group.
    pub fn get(&self, group: &str) -> Option<SharedProvider> {
        self.ways.load().get(group).cloned()
    }

    /// Replaces all ways.
    pub fn replace(&self, ways: HashMap<String, SharedProvider>) {
        self.ways.store(Arc::new(ways));
    }
}
