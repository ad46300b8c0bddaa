//! Generations: the sets of daemons that share rates and connections.

use std::collections::BTreeMap;

/// The daemons that share rates and connections until the next generation starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Generation {
    /// Version of the change that started the generation; 0 before the first one.
    pub number: u64,
    /// Names of the hosts, with the incarnations of their daemons.
    pub hosts: BTreeMap<String, u64>,
}

impl Generation {
    /// Returns whether the daemon on `host` with this incarnation belongs to the generation.
    pub fn includes(&self, host: &str, incarnation: u64) -> bool {
        self.hosts.get(host) == Some(&incarnation)
    }
}
