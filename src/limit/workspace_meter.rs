//! Statistics of a workspace's requests on this daemon.

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use crate::sync::lock;

/// Upper bound of recorded latencies, in microseconds. Longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Counters and latency histogram of one workspace.
pub struct WorkspaceMeter {
    admitted: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    replica_reads: AtomicU64,
    reads: AtomicU64,
    latency_us: Mutex<Histogram<u64>>,
}

/// Values of the counters and latencies at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MeterReading {
    /// Statements admitted.
    pub admitted: u64,
    /// Statements refused because the rate was exceeded.
    pub refused: u64,
    /// Requests that failed with an error of the proxy itself.
    pub failed: u64,
    /// Reads, whether on a primary or a replica.
    pub reads: u64,
    /// Reads on a replica.
    pub replica_reads: u64,
    /// Median latency, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of latency, in microseconds.
    pub p99_us: u64,
    /// Maximum latency, in microseconds.
    pub max_us: u64,
}

impl Default for WorkspaceMeter {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, 2);
        Self {
            admitted: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            failed: AtomicU64::new(0),
            replica_reads: AtomicU64::new(0),
            reads: AtomicU64::new(0),
            latency_us: Mutex::new(histogram.unwrap_or_else(|_| {
                Histogram::new(2).expect("2 significant digits are supported")
            })),
        }
    }
}

impl WorkspaceMeter {
    /// Counts admitted statements.
    pub fn count_admitted(&self, count: u64) {
        self.admitted.fetch_add(count, Ordering::Relaxed);
    }

    /// Counts statements refused because the rate was exceeded.
    pub fn count_refused(&self, count: u64) {
        self.refused.fetch_add(count, Ordering::Relaxed);
    }

    /// Counts a request that failed with an error of the proxy itself.
    pub fn count_failure(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a read, and whether it ran on a replica.
    pub fn count_read(&self, is_replica: bool) {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.replica_reads.fetch_add(is_replica.into(), Ordering::Relaxed);
    }

    /// Records the latency of a request, in microseconds.
    pub fn record_latency(&self, latency_us: u64) {
        let mut histogram = lock(&self.latency_us);
        histogram.saturating_record(latency_us.max(1));
    }

    /// Returns the number of statements submitted so far, whether admitted or refused.
    pub fn statements_requested(&self) -> u64 {
        self.admitted.load(Ordering::Relaxed) + self.refused.load(Ordering::Relaxed)
    }

    /// Returns the current values.
    pub fn reading(&self) -> MeterReading {
        let histogram = lock(&self.latency_us);
        MeterReading {
            admitted: self.admitted.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
            failed: self.failed.load(Ordering::Relaxed),
            reads: self.reads.load(Ordering::Relaxed),
            replica_reads: self.replica_reads.load(Ordering::Relaxed),
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            max_us: histogram.max(),
        }
    }
}
