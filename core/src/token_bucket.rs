//! A token bucket. Performs no input or output.

/// A bucket that fills with tokens at a fixed rate, up to a burst.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    updated_at_ms: u64,
}

impl TokenBucket {
    /// Creates an empty bucket with a rate of zero.
    pub fn new(now_ms: u64) -> Self {
        Self { rate_per_s: 0.0, burst: 0.0, level: 0.0, updated_at_ms: now_ms }
    }

    /// Changes rate and burst. Tokens beyond the new burst are discarded; none are added.
    pub fn configure(&mut self, now_ms: u64, rate_per_s: f64, burst: f64) {
        self.refill(now_ms);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Adds tokens, up to the burst.
    pub fn add(&mut self, count: f64) {
        self.level = (self.level + count).min(self.burst);
    }

    /// Returns the number of tokens in the bucket.
    pub fn level(&mut self, now_ms: u64) -> f64 {
        self.refill(now_ms);
        self.level
    }

    /// Returns the time until the bucket holds `count` tokens, in milliseconds, or `None` if it never
    /// will.
    pub fn wait_ms(&mut self, now_ms: u64, count: f64) -> Option<u64> {
        self.refill(now_ms);
        if self.level >= count {
            return Some(0);
        }
        if self.rate_per_s <= 0.0 || self.burst < count {
            return None;
        }
        let wait_ms = (count - self.level) / self.rate_per_s * 1_000.0;
        Some(wait_ms.ceil() as u64)
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_at_ms);
        self.updated_at_ms = self.updated_at_ms.max(now_ms);
        let earned = self.rate_per_s * elapsed_ms as f64 / 1_000.0;
        self.level = (self.level + earned).min(self.burst);
    }

    /// Takes tokens, or none if there are too few.
    ///
    /// # Errors
    ///
    /// Returns the time until there are enough, in milliseconds, or `None` if there never will be.
    pub fn take(&mut self, now_ms: u64, count: f64) -> Result<(), Option<u64>> {
        self.refill(now_ms);
        if self.level >= count {
            self.level -= count;
            return Ok(());
        }
        Err(self.wait_ms(now_ms, count))
    }
}
