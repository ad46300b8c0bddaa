//! A token bucket, free of input and output.

/// Tokens that come at a rate and are kept up to a burst.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    updated_at_ms: u64,
}

impl TokenBucket {
    /// Creates an empty bucket with no rate.
    pub fn new(now_ms: u64) -> Self {
        Self { rate_per_s: 0.0, burst: 0.0, level: 0.0, updated_at_ms: now_ms }
    }

    /// Changes rate and burst. Tokens beyond the new burst are lost, and none are made.
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

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_at_ms);
        self.updated_at_ms = self.updated_at_ms.max(now_ms);
        let earned = self.rate_per_s * elapsed_ms as f64 / 1_000.0;
        self.level = (self.level + earned).min(self.burst);
    }

    /// Takes tokens.
    ///
    /// # Errors
    ///
    /// Returns how long to wait for them, in milliseconds, or `None` when they never come.
    pub fn take(&mut self, now_ms: u64, count: f64) -> Result<(), Option<u64>> {
        self.refill(now_ms);
        if self.level >= count {
            self.level -= count;
            return Ok(());
        }
        if self.rate_per_s <= 0.0 || self.burst < count {
            return Err(None);
        }
        let wait_ms = (count - self.level) / self.rate_per_s * 1_000.0;
        Err(Some(wait_ms.ceil() as u64))
    }
}
