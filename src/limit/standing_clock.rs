//! Until when this daemon may serve.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::clock;

/// The end of the daemon's lease, checked before each use.
#[derive(Debug, Default)]
pub struct StandingClock {
    until_ms: AtomicU64,
}

impl StandingClock {
    /// Sets the end of the lease, in milliseconds since boot.
    pub fn set_until(&self, until_ms: u64) {
        self.until_ms.store(until_ms, Ordering::SeqCst);
    }

    /// Returns the end of the lease, in milliseconds since boot.
    pub fn until_ms(&self) -> u64 {
        self.until_ms.load(Ordering::SeqCst)
    }

    /// Returns whether the lease holds now.
    pub fn is_standing(&self) -> bool {
        clock::now_ms() < self.until_ms()
    }
}
