//! What every caller's session has in common.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::cancel_registry::CancelKey;
use super::cancel_registry::CancelRegistry;
use super::snapshot::Snapshot;
use crate::group::provider_table::ProviderTable;
use crate::limit::lease_clock::LeaseClock;
use crate::limit::rate_limiter::RateLimiter;
use crate::traffic::token::TokenSigner;

/// Passes cancel requests on to the daemon whose connection they are for.
#[async_trait]
pub trait CancelForwarder: Send + Sync {
    /// Tells the other daemons of a cancel request that is not for this one.
    async fn forward(&self, key: CancelKey);
}

/// What every caller's session has in common.
pub struct TrafficContext {
    /// Ways to the groups.
    pub access: ProviderTable,
    /// Configuration in force.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// Until when the daemon may serve.
    pub lease: Arc<LeaseClock>,
    /// Rates of the workspaces.
    pub limiter: RateLimiter,
    /// Connections that may be cancelled.
    pub cancels: CancelRegistry,
    /// Way to the other daemons for cancel requests.
    pub cancel_forwarder: Box<dyn CancelForwarder>,
    /// Signs and checks session tokens.
    pub signer: TokenSigner,
    /// Certificate for callers, if the settings give one.
    pub tls: Option<tokio_rustls::TlsAcceptor>,
    /// Largest message accepted from a caller, in bytes.
    pub max_message_bytes: usize,
    /// Most connections of callers at one time.
    pub max_connections: usize,
    /// Longest time from connecting to being admitted.
    pub startup_timeout: Duration,
    /// Ends all sessions at once.
    pub stop: CancellationToken,
    /// All sessions.
    pub sessions: TaskTracker,
}
