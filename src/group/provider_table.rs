//! Looks up how to reach a group: over this daemon's own connections, or through another daemon.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;

use super::exclusive_connection::SharedProvider;

/// The connection provider of each group. A configuration change replaces the whole table.
#[derive(Default)]
pub struct ProviderTable {
    providers: ArcSwap<HashMap<String, SharedProvider>>,
}

impl ProviderTable {
    /// Returns the provider of a group.
    pub fn get(&self, group: &str) -> Option<SharedProvider> {
        self.providers.load().get(group).cloned()
    }

    /// Replaces the providers of all groups.
    pub fn replace(&self, providers: HashMap<String, SharedProvider>) {
        self.providers.store(Arc::new(providers));
    }
}
