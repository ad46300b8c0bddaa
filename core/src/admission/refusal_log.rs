//! Bound on the log lines about refusals.

use crate::token_bucket::TokenBucket;

/// Most lines for each service in a second, and at once. Under overload thousands of statements are
/// refused in a second; a sample shows level, estimate and members.
const LINES_PER_S: f64 = 20.0;
const LINES_AT_ONCE: f64 = 20.0;

/// Decides which refusals are logged at level info; the others are logged at level debug.
#[derive(Clone, Debug)]
pub struct RefusalLog {
    bucket: TokenBucket,
}

impl RefusalLog {
    /// Creates a bound with all lines left.
    pub fn new(now_ms: u64) -> Self {
        let mut bucket = TokenBucket::new(now_ms);
        bucket.configure(now_ms, LINES_PER_S, LINES_AT_ONCE);
        bucket.add(LINES_AT_ONCE);
        Self { bucket }
    }

    /// Returns whether a line may be logged now.
    pub fn may_log(&mut self, now_ms: u64) -> bool {
        self.bucket.take(now_ms, 1.0).is_ok()
    }
}
