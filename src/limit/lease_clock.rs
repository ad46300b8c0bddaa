//! Until when this daemon may serve.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::clock;

/// The end of the daemon's lease, checked before each use.
#[derive(Debug, Default)]
pub struct LeaseClock {
    expires_at_ms: AtomicU64,
}

impl LeaseClock {
    /// Sets the end of the lease, in milliseconds since boot.
    pub fn set_expires_at_ms(&self, expires_at_ms: u64) {
        self.expires_at_ms.store(expires_at_ms, Ordering::SeqCst);
    }

    /// Returns the end of the lease, in milliseconds since boot.
    pub fn expires_at_ms(&self) -> u64 {
        self.expires_at_ms.load(Ordering::SeqCst)
    }

    /// Returns whether the lease holds now.
    pub fn is_valid(&self) -> bool {
        clock::now_ms() < self.expires_at_ms()
    }
}
