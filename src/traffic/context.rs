//! Resources shared by all caller sessions.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::caller_limits::CallerLimits;
use super::cancel_registry::CancelKey;
use super::cancel_registry::CancelRegistry;
use super::snapshot::Snapshot;
use crate::group::provider_table::ProviderTable;
use crate::limit::lease_clock::LeaseClock;
use crate::limit::rate_limiter::RateLimiter;
use crate::traffic::token::TokenSigner;

/// Forwards cancel requests to the other daemons.
#[async_trait]
pub trait CancelForwarder: Send + Sync {
    /// Forwards a cancel request for a connection that is not on this daemon.
    async fn forward(&self, key: CancelKey);
}

/// Resources shared by all caller sessions.
pub struct TrafficContext {
    /// Connection providers of the groups.
    pub providers: ProviderTable,
    /// Configuration in force.
    pub snapshot: watch::Receiver<Arc<Snapshot>>,
    /// Expiry of the daemon's lease.
    pub lease: Arc<LeaseClock>,
    /// Rate limiters of the workspaces.
    pub limiter: RateLimiter,
    /// Caller connections by their cancel keys.
    pub cancels: CancelRegistry,
    /// Forwards cancel requests to the other daemons.
    pub cancel_forwarder: Box<dyn CancelForwarder>,
    /// Signs and verifies session tokens.
    pub signer: TokenSigner,
    /// TLS acceptor for callers, if the settings give a certificate.
    pub tls: Option<tokio_rustls::TlsAcceptor>,
    /// Maximum size of a message from a caller, in bytes.
    pub max_message_bytes: usize,
    /// Maximum number of concurrent caller connections.
    pub max_connections: usize,
    /// Limits on what callers hold, and on connections without a session.
    pub limits: Arc<CallerLimits>,
    /// Maximum time from connecting to the end of authentication.
    pub startup_timeout: Duration,
    /// Cancelled to end all sessions immediately.
    pub stop: CancellationToken,
    /// Tracks all sessions.
    pub sessions: TaskTracker,
}
