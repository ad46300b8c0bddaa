//! Rate limits of the workspaces on this daemon.

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

/// Delay suggested to a caller for its next attempt if this daemon's share of the rate is too small
/// to ever admit the statements, in milliseconds.
const INSUFFICIENT_SHARE_RETRY_MS: u64 = 1_000;

/// Rate limit of a workspace on one daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Allowance {
    /// Statements per second.
    pub rate_per_s: f64,
    /// Maximum number of statements admitted at once.
    pub burst: f64,
    /// Maximum time that a statement waits for the rate, in milliseconds.
    pub wait_ms: u64,
}

/// Rate limiter and statistics of one workspace on this daemon.
pub struct WorkspaceLimiter {
    /// Token bucket, and the maximum waiting time in milliseconds.
    bucket: Mutex<(TokenBucket, u64)>,
    /// Statistics of its requests.
    pub meter: WorkspaceMeter,
}

/// Rate limiters of all workspaces.
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

    /// Takes tokens for `count` statements. Returns the outcome of [`TokenBucket::take`] and the
    /// maximum waiting time, in milliseconds.
    fn take(&self, count: u64) -> (Result<(), Option<u64>>, u64) {
        let mut bucket = lock(&self.bucket);
        let outcome = bucket.0.take(clock::now_ms(), count as f64);
        (outcome, bucket.1)
    }
}

impl RateLimiter {
    /// Creates a limiter without workspaces, which admits nothing.
    pub fn new(lease: Arc<LeaseClock>) -> Self {
        Self { workspaces: ArcSwap::default(), lease }
    }

    /// Replaces the list of workspaces and their rate limits. Known workspaces keep their
    /// statistics, and their tokens up to the new burst.
    pub fn set_allowances(&self, allowances: &BTreeMap<Name, Allowance>) {
        let current = self.workspaces.load();
        let mut next = BTreeMap::new();
        for (name, allowance) in allowances {
            let known = current.get(name).cloned();
            let limiter = known.unwrap_or_else(|| Arc::new(WorkspaceLimiter::new()));
            limiter.set(*allowance);
            next.insert(name.clone(), limiter);
        }
        self.workspaces.store(Arc::new(next));
    }

    /// Returns the limiter of a workspace, if it is known.
    pub fn workspace(&self, name: &str) -> Option<Arc<WorkspaceLimiter>> {
        self.workspaces.load().get(name).cloned()
    }

    /// Returns the limiters of all workspaces.
    pub fn workspaces(&self) -> Arc<BTreeMap<Name, Arc<WorkspaceLimiter>>> {
        self.workspaces.load_full()
    }

    /// Admits `count` statements of a workspace, waiting for its rate up to the configured time.
    ///
    /// # Errors
    ///
    /// Returns an error if the rate is exceeded, the workspace is unknown or the lease has expired.
    /// No statement has run in any of these cases.
    pub async fn admit(&self, workspace: &str, count: u64) -> Result<(), SqlError> {
        let Some(limiter) = self.workspace(workspace) else {
            return Err(SqlError::new(
                sql_state::CANNOT_CONNECT,
                "not run: this daemon does not know the workspace",
            ));
        };
        let mut waited_ms = 0;
        loop {
            if !self.lease.is_valid() {
                return Err(SqlError::new(
                    sql_state::CANNOT_CONNECT,
                    "not run: the daemon is cut off from the rest of the fleet; connect again",
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
                return Err(rate_exceeded_error(workspace, retry_ms));
            }
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            waited_ms += wait_ms;
        }
    }
}

fn rate_exceeded_error(workspace: &str, retry_ms: Option<u64>) -> SqlError {
    let retry_ms = retry_ms.unwrap_or(INSUFFICIENT_SHARE_RETRY_MS);
    let message = format!(
        "not run: workspace {workspace} exceeds the share of its rate that this daemon holds"
    );
    SqlError::new(sql_state::RATE_EXCEEDED, message)
        .with_hint(format!("Try again in {retry_ms} ms."))
}
