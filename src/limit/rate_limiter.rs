//! Rates of all workspaces on this daemon.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use arc_swap::ArcSwap;

use super::token_bucket::TokenBucket;
use super::workspace_meter::WorkspaceMeter;
use crate::clock;
use crate::limit::lease_clock::LeaseClock;
use crate::name::Name;
use crate::sync::lock;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;

/// Wait told to a caller when this daemon holds no share of the rate, in milliseconds.
const NO_SHARE_RETRY_MS: u64 = 1_000;

/// What one daemon may spend of a workspace's rate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Allowance {
    /// Statements a second.
    pub rate_per_s: f64,
    /// Statements at once.
    pub burst: f64,
    /// Longest wait for the rate, in milliseconds.
    pub wait_ms: u64,
}

/// A workspace's limit and meter on this daemon.
pub struct WorkspaceLimiter {
    bucket: Mutex<(TokenBucket, u64)>,
    /// What its callers experience.
    pub meter: WorkspaceMeter,
}

/// Limits of all workspaces.
pub struct RateLimiter {
    workspaces: ArcSwap<BTreeMap<Name, Arc<WorkspaceLimiter>>>,
    lease: Arc<LeaseClock>,
}

impl WorkspaceLimiter {
    fn new() -> Self {
        Self {
            bucket: Mutex::new((TokenBucket::new(clock::now_ms()), 0)),
            meter: WorkspaceMeter::default(),
        }
    }

    fn set(&self, allowance: Allowance) {
        let mut bucket = lock(&self.bucket);
        bucket.0.configure(clock::now_ms(), allowance.rate_per_s, allowance.burst);
        bucket.1 = allowance.wait_ms;
    }

    fn take(&self, count: u64) -> (Result<(), Option<u64>>, u64) {
        let mut bucket = lock(&self.bucket);
        let outcome = bucket.0.take(clock::now_ms(), count as f64);
        (outcome, bucket.1)
    }
}

impl RateLimiter {
    /// Creates a limiter that admits nothing.
    pub fn new(lease: Arc<LeaseClock>) -> Self {
        Self { workspaces: ArcSwap::default(), lease }
    }

    /// Sets what the daemon may spend from now on.
    pub fn set_allowances(&self, allowances: &BTreeMap<Name, Allowance>) {
        let present = self.workspaces.load();
        let mut next = BTreeMap::new();
        for (name, allowance) in allowances {
            let known = present.get(name).cloned();
            let limiter = known.unwrap_or_else(|| Arc::new(WorkspaceLimiter::new()));
            limiter.set(*allowance);
            next.insert(name.clone(), limiter);
        }
        self.workspaces.store(Arc::new(next));
    }

    /// Returns the limiter of a workspace.
    pub fn workspace(&self, name: &str) -> Option<Arc<WorkspaceLimiter>> {
        self.workspaces.load().get(name).cloned()
    }

    /// Returns all limiters.
    pub fn workspaces(&self) -> Arc<BTreeMap<Name, Arc<WorkspaceLimiter>>> {
        self.workspaces.load_full()
    }

    /// Takes the right to run statements, waiting a little for the rate.
    ///
    /// # Errors
    ///
    /// Returns an error that promises that nothing ran.
    pub async fn admit(&self, workspace: &str, count: u64) -> Result<(), SqlError> {
        let Some(limiter) = self.workspace(workspace) else {
            return Err(SqlError::new(sql_state::CANNOT_CONNECT, "not run: no rate is known"));
        };
        let mut waited_ms = 0;
        loop {
            if !self.lease.is_valid() {
                return Err(SqlError::new(
                    sql_state::CANNOT_CONNECT,
                    "not run: the daemon is cut off from the others",
                ));
            }
            let (outcome, max_wait_ms) = limiter.take(count);
            let retry_ms = match outcome {
                Ok(()) => {
                    limiter.meter.count_admitted(count);
                    return Ok(());
                }
                Err(retry_ms) => retry_ms,
            };
            let wait_ms = retry_ms.unwrap_or(max_wait_ms.saturating_sub(waited_ms)).max(1);
            if waited_ms + wait_ms > max_wait_ms {
                limiter.meter.count_refused(count);
                return Err(rate_exceeded(workspace, retry_ms));
            }
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            waited_ms += wait_ms;
        }
    }
}

fn rate_exceeded(workspace: &str, retry_ms: Option<u64>) -> SqlError {
    let retry_ms = retry_ms.unwrap_or(NO_SHARE_RETRY_MS);
    let message = format!("not run: workspace {workspace} is over its rate");
    SqlError::new(sql_state::RATE_EXCEEDED, message)
        .with_hint(format!("Try again in {retry_ms} ms."))
}
