//! The lease under which a daemon serves, free of input and output.
//!
//! A daemon that has read the table, or has heard a majority of the daemons, knows every change
//! that was accepted before it asked. Its lease runs from the moment at which it asked. A change
//! that a majority knows is therefore in force on every daemon that still serves one lease later.

use std::collections::BTreeMap;

/// Length of the lease, in milliseconds.
pub const LEASE_MS: u64 = 3_000;

/// The lease under which a daemon serves.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    table_asked_at_ms: Option<u64>,
    vouched_at_ms: BTreeMap<String, u64>,
}

impl Lease {
    /// Notes that the table was read, up to its end, with a question sent at `requested_at_ms`.
    pub fn record_table_read(&mut self, requested_at_ms: u64) {
        self.table_asked_at_ms = self.table_asked_at_ms.max(Some(requested_at_ms));
    }

    /// Notes that a peer told all it knows, in answer to a question sent at `requested_at_ms`.
    pub fn record_peer_response(&mut self, peer: &str, requested_at_ms: u64) {
        let vouched = self.vouched_at_ms.entry(peer.to_owned()).or_default();
        *vouched = (*vouched).max(requested_at_ms);
    }

    /// Returns the end of the lease, given the names of the other hosts.
    ///
    /// `has_held_lease` tells whether the daemon ever held the lease. One that did not has nothing to
    /// tell itself: it may stand in place of a daemon that knew more.
    pub fn expires_at_ms(&self, now_ms: u64, others: &[String], has_held_lease: bool) -> u64 {
        let by_table =
            self.table_asked_at_ms.map_or(0, |requested_at_ms| requested_at_ms + LEASE_MS);
        by_table.max(self.until_by_peers_ms(now_ms, others, has_held_lease))
    }

    fn until_by_peers_ms(&self, now_ms: u64, others: &[String], has_held_lease: bool) -> u64 {
        let majority = others.len().div_ceil(2) + 1;
        let needed = majority - usize::from(has_held_lease);
        if needed == 0 {
            // The only host knows all that the hosts know, but not the table.
            return match self.table_asked_at_ms {
                Some(_) => now_ms + LEASE_MS,
                None => 0,
            };
        }
        let mut vouched: Vec<u64> =
            others.iter().filter_map(|peer| self.vouched_at_ms.get(peer).copied()).collect();
        vouched.sort_unstable_by(|left, right| right.cmp(left));
        vouched.get(needed - 1).map_or(0, |requested_at_ms| requested_at_ms + LEASE_MS)
    }
}
