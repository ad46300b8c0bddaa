//! Bounds retries to a share of the first attempts. It does no I/O.

/// Retries that are allowed for each first attempt.
pub const RETRY_SHARE: f64 = 0.1;

/// Most retries that may be saved up: the share of the last 50 first attempts. Without a bound,
/// the first attempts of a calm hour would admit a whole wave of retries.
const MAX_CREDIT: f64 = 5.0;

/// Credit that a retry takes, a little under 1: tenths do not add up to 1 exactly.
const RETRY_CREDIT: f64 = 1.0 - 1e-9;

/// Retries that may be admitted, earned by first attempts.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    credit: f64,
}

impl RetryBudget {
    /// Records a first attempt that was admitted.
    pub fn record_first_attempt(&mut self) {
        self.credit = (self.credit + RETRY_SHARE).min(MAX_CREDIT);
    }

    /// Takes the credit for one retry. Returns false if there is not enough.
    pub fn take_retry(&mut self) -> bool {
        let is_allowed = self.credit >= RETRY_CREDIT;
        if is_allowed {
            self.credit -= RETRY_CREDIT;
        }
        is_allowed
    }
}
