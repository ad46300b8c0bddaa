//! Decides whether a client that sends or reads slowly is given more time. No input or output.

/// Lowest mean rate of a transfer, in bytes per millisecond: 1 MiB takes at most 32 s longer than the
/// time for which it may stall.
const MIN_BYTES_PER_MS: u64 = 32;

/// Time after which a client is closed if others wait for the memory that it holds and it is slower
/// than [`SHORT_BYTES_PER_MS`], in milliseconds. A client that takes in what it asked for starts
/// within a few round trips.
const SHORT_STALL_MS: u64 = 300;

/// Rate that is expected of a client while others wait, in bytes per millisecond: 2 Mbit/s, which 5
/// clients at once still have on the slowest link.
const SHORT_BYTES_PER_MS: u64 = 256;

/// Progress of a line or reply that is being transferred.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    stall_ms: u64,
    started_at_ms: u64,
    moved_at_ms: u64,
    bytes: u64,
}

/// Why a transfer is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TooSlow {
    /// It is slower than any client needs to be.
    Slow,
    /// Others wait for the memory that it holds.
    Holding,
}

impl Pace {
    /// Starts a transfer in which nothing may be transferred for `stall_ms`.
    pub fn new(now_ms: u64, stall_ms: u64) -> Self {
        Self { stall_ms, started_at_ms: now_ms, moved_at_ms: now_ms, bytes: 0 }
    }

    /// Records bytes that were transferred.
    pub fn record(&mut self, now_ms: u64, bytes: usize) {
        self.moved_at_ms = now_ms;
        self.bytes += bytes as u64;
    }

    /// Restarts the clock after a time for which the client was not responsible.
    pub fn resume(&mut self, now_ms: u64) {
        *self = Self::new(now_ms, self.stall_ms);
    }

    /// Decides whether the transfer goes on. `is_short` tells that others wait for memory that this
    /// transfer holds.
    ///
    /// # Errors
    ///
    /// Returns why it is ended.
    pub fn check(&self, now_ms: u64, is_short: bool) -> Result<(), TooSlow> {
        let took_ms = now_ms.saturating_sub(self.started_at_ms);
        let stalled_ms = now_ms.saturating_sub(self.moved_at_ms);
        let expected = took_ms.saturating_sub(self.stall_ms) * MIN_BYTES_PER_MS;
        if stalled_ms > self.stall_ms || self.bytes < expected {
            return Err(TooSlow::Slow);
        }
        let expected = took_ms.saturating_sub(SHORT_STALL_MS) * SHORT_BYTES_PER_MS;
        match is_short && self.bytes < expected {
            true => Err(TooSlow::Holding),
            false => Ok(()),
        }
    }
}
