//! What callers of a workspace experience on this daemon.

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use crate::sync::lock;

/// Longest latency recorded, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Counters and latencies of one workspace.
pub struct WorkspaceMeter {
    admitted: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    replica_reads: AtomicU64,
    reads: AtomicU64,
    latency_us: Mutex<Histogram<u64>>,
}

/// Counters and latencies at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MeterReading {
    /// Statements that were admitted.
    pub admitted: u64,
    /// Statements that were refused for the rate.
    pub refused: u64,
    /// Requests that ended with an error of the system's own.
    pub failed: u64,
    /// Reads, and how many of them replicas served.
    pub reads: u64,
    /// Reads that replicas served.
    pub replica_reads: u64,
    /// Median latency, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of latency, in microseconds.
    pub p99_us: u64,
    /// Greatest latency, in microseconds.
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
            latency_us: Mutex::new(
                histogram.unwrap_or_else(|_| Histogram::new(2).expect("2 digits")),
            ),
        }
    }
}

impl WorkspaceMeter {
    /// Counts admitted statements.
    pub fn count_admitted(&self, count: u64) {
        self.admitted.fetch_add(count, Ordering::Relaxed);
    }

    /// Counts statements refused for the rate.
    pub fn count_refused(&self, count: u64) {
        self.refused.fetch_add(count, Ordering::Relaxed);
    }

    /// Counts a request that ended with an error of the system's own.
    pub fn count_failure(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a read.
    pub fn count_read(&self, is_replica: bool) {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.replica_reads.fetch_add(is_replica.into(), Ordering::Relaxed);
    }

    /// Records the latency of a request, in microseconds.
    pub fn record_latency(&self, latency_us: u64) {
        let mut histogram = lock(&self.latency_us);
        histogram.saturating_record(latency_us.max(1));
    }

    /// Returns how many statements asked to run so far.
    pub fn statements_requested(&self) -> u64 {
        self.admitted.load(Ordering::Relaxed) + self.refused.load(Ordering::Relaxed)
    }

    /// Returns the present figures.
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
