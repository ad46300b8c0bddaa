//! Moving average of measured times.

/// Weight of a sample: about the last 30 samples count.
const WEIGHT: f64 = 1.0 / 30.0;

/// Number of samples after which an average is trusted. Before that, it may come from a statement
/// that was stuck.
const TRUSTED_COUNT: u32 = 8;

/// Greatest ratio of an average that is not trusted to a sample.
const MAX_EXCESS: f64 = 10.0;

/// Moving average of measured times, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct SampleAverage {
    mean_ms: f64,
    count: u32,
}

impl SampleAverage {
    /// Returns the average.
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Prepares for a sample. The first one is the average; the next ones bound it.
    pub fn prepare(&mut self, sample_ms: f64) {
        if self.count == 0 {
            self.mean_ms = sample_ms;
        } else if self.count < TRUSTED_COUNT {
            self.mean_ms = self.mean_ms.min(sample_ms * MAX_EXCESS);
        }
        self.count = self.count.saturating_add(1);
    }

    /// Adds a sample, which may have been adjusted.
    pub fn add(&mut self, sample_ms: f64) {
        self.mean_ms += (sample_ms - self.mean_ms) * WEIGHT;
    }
}
