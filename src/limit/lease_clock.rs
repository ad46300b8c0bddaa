//! Expiry of the daemon's lease, shared with the threads that serve callers.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::clock;

/// Expiry time of the daemon's lease. Must be checked before each request is served.
#[derive(Debug, Default)]
pub struct LeaseClock {
    expires_at_ms: AtomicU64,
}

impl LeaseClock {
    /// Sets when the lease expires, in milliseconds since boot.
    pub fn set_expires_at_ms(&self, expires_at_ms: u64) {
        self.expires_at_ms.store(expires_at_ms, Ordering::SeqCst);
    }

    /// Returns when the lease expires, in milliseconds since boot.
    pub fn expires_at_ms(&self) -> u64 {
        self.expires_at_ms.load(Ordering::SeqCst)
    }

    /// Returns whether the lease is valid now.
    pub fn is_valid(&self) -> bool {
        clock::now_ms() < self.expires_at_ms()
    }
}
