//! Limits on what callers may make the daemon hold, and on connections without a session.

use std::sync::Arc;

use snipehead_core::limits::byte_budget::ByteBudget;
use snipehead_core::limits::connection_table::ConnectionLimits;
use snipehead_core::limits::connection_table::ConnectionTable;
use snipehead_core::limits::host_limits::HostLimits;
use snipehead_core::limits::kept_bytes::KeptLedger;
use snipehead_core::limits::live_connections::LiveConnections;
use snipehead_core::limits::report::LimitReport;

/// Limits on callers, and what counts against them.
pub struct CallerLimits {
    /// Bytes of messages that are being received or run.
    pub messages: Arc<ByteBudget>,
    /// Bytes of prepared statements and portals.
    pub kept: Arc<KeptLedger>,
    /// Connections from their start.
    pub connections: Arc<LiveConnections>,
    /// Counts and log lines of limits that were applied.
    pub report: LimitReport,
    /// Time in which nothing of a begun message may arrive, in milliseconds.
    pub stall_ms: u64,
}

impl CallerLimits {
    /// Derives the limits from the memory of the host. A quarter of it is for messages with their copies, a
    /// twelfth for what sessions keep; the rest is for replies, connections and the process. The number of sessions is limited when they are admitted;
    /// here, at most a quarter as many connections may be without a session.
    pub fn new(memory_mb: u64, max_connections: usize) -> Self {
        let memory_bytes = usize::try_from(memory_mb.saturating_mul(1 << 20)).unwrap_or(usize::MAX);
        let unstarted = (max_connections / 4).clamp(16, 1_024);
        let connections = ConnectionLimits {
            total: max_connections.saturating_add(unstarted),
            unstarted,
            tenant: usize::MAX,
        };
        let host = HostLimits::for_host(memory_mb, u64::MAX);
        let host = HostLimits { session_kept_bytes: host.kept_bytes / 2, ..host };
        Self {
            messages: ByteBudget::new(memory_bytes / 4),
            kept: KeptLedger::new(&host),
            connections: LiveConnections::new(ConnectionTable::new(connections)),
            report: LimitReport::default(),
            stall_ms: host.stall_ms,
        }
    }
}
