//! The lease under which a daemon may serve. This module does no I/O.
//!
//! A daemon that has read the configuration log to its end, or has exchanged state with a majority
//! of the daemons, knows every change that was accepted before it sent its requests. Its lease
//! therefore starts when the requests were sent. It follows that one lease period after a majority
//! knows a change, every daemon that still serves knows it too.

use std::collections::BTreeMap;

/// Duration of a lease, in milliseconds.
pub const LEASE_MS: u64 = 3_000;

/// Tracks the confirmations from which the end of a daemon's lease follows.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    /// When the last successful read of the table was requested, in milliseconds.
    table_requested_at_ms: Option<u64>,
    /// When the last confirmation of each peer was requested, in milliseconds.
    confirmed_at_ms: BTreeMap<String, u64>,
}

impl Lease {
    /// Records that the table was read to its end, with the last request sent at
    /// `requested_at_ms`.
    pub fn record_table_read(&mut self, requested_at_ms: u64) {
        self.table_requested_at_ms = self.table_requested_at_ms.max(Some(requested_at_ms));
    }

    /// Records that a peer sent every change that it knows, in response to a request sent at
    /// `requested_at_ms`.
    pub fn record_peer_response(&mut self, peer: &str, requested_at_ms: u64) {
        let confirmed = self.confirmed_at_ms.entry(peer.to_owned()).or_default();
        *confirmed = (*confirmed).max(requested_at_ms);
    }

    /// Returns when the lease expires, given the names of the other hosts; 0 if there is none.
    ///
    /// A daemon counts itself towards the majority only if it has held a lease
    /// (`has_held_lease`). Otherwise it may have replaced a daemon that knew more changes.
    pub fn expires_at_ms(&self, now_ms: u64, others: &[String], has_held_lease: bool) -> u64 {
        let by_table =
            self.table_requested_at_ms.map_or(0, |requested_at_ms| requested_at_ms + LEASE_MS);
        by_table.max(self.expires_by_peers_ms(now_ms, others, has_held_lease))
    }

    fn expires_by_peers_ms(&self, now_ms: u64, others: &[String], has_held_lease: bool) -> u64 {
        let majority = others.len().div_ceil(2) + 1;
        let required = majority - usize::from(has_held_lease);
        if required == 0 {
            // With a single host there is no other daemon to confirm the lease, so it never
            // expires once the table has been read.
            return match self.table_requested_at_ms {
                Some(_) => now_ms + LEASE_MS,
                None => 0,
            };
        }
        let mut confirmed: Vec<u64> =
            others.iter().filter_map(|peer| self.confirmed_at_ms.get(peer).copied()).collect();
        confirmed.sort_unstable_by(|left, right| right.cmp(left));
        confirmed.get(required - 1).map_or(0, |requested_at_ms| requested_at_ms + LEASE_MS)
    }
}
