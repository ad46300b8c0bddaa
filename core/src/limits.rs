//! Limits on clients: bytes that are held for them, connections, and time. Nothing here knows a
//! protocol or does input or output; the listeners ask before they read, keep or accept.

pub mod byte_budget;
pub mod call_bytes;
pub mod connection_table;
pub mod frame_progress;
pub mod host_limits;
pub mod kept_bytes;
pub mod line_budget;
pub mod live_connections;
pub mod newest_connections;
pub mod pace;
pub mod report;

use std::fmt::Write;
use std::sync::Arc;

use crate::limits::byte_budget::ByteBudget;
use crate::limits::connection_table::ConnectionTable;
use crate::limits::host_limits::HostLimits;
use crate::limits::kept_bytes::KeptLedger;
use crate::limits::line_budget::LineBudget;
use crate::limits::live_connections::LiveConnections;
use crate::limits::report::LimitReport;

/// Bytes of a line or reply that need no reservation, twice the usual size of a message.
pub const FREE_BYTES: usize = 8 << 10;

/// Limits of a process and what counts against them.
pub struct ClientLimits {
    /// The limits.
    pub host: HostLimits,
    /// Bytes of callers' lines and of the calls made of them.
    pub lines: LineBudget,
    /// Bytes of replies, from members and other nodes to callers.
    pub replies: Arc<ByteBudget>,
    /// Bytes of other nodes' messages and of the calls made of them.
    pub relay: Arc<ByteBudget>,
    /// Bytes that sessions keep.
    pub kept: Arc<KeptLedger>,
    /// Connections of callers.
    pub callers: Arc<LiveConnections>,
    /// Connections from other nodes.
    pub peers: Arc<LiveConnections>,
    /// Counts and log lines of limits that were applied.
    pub report: LimitReport,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self::new(HostLimits::default())
    }
}

impl ClientLimits {
    /// Creates limits against which nothing counts yet.
    pub fn new(host: HostLimits) -> Self {
        Self {
            lines: LineBudget::new(host.line_bytes),
            replies: ByteBudget::new(host.reply_bytes),
            relay: ByteBudget::new(host.relay_bytes),
            kept: KeptLedger::new(&host),
            callers: LiveConnections::new(ConnectionTable::new(host.caller_connections)),
            peers: LiveConnections::new(ConnectionTable::new(host.peer_connections)),
            report: LimitReport::default(),
            host,
        }
    }

    /// Renders what is held, and how often a limit was applied, as metrics.
    pub fn render_metrics(&self, text: &mut String) {
        let shares = [
            ("lines", self.lines.used_bytes(), self.lines.waiting()),
            ("replies", self.replies.used_bytes(), self.replies.waiting()),
            ("relay", self.relay.used_bytes(), self.relay.waiting()),
            ("kept", self.kept.used_bytes(), 0),
        ];
        for (share, used_bytes, waiting) in shares {
            let _ = writeln!(text, "buffered_bytes{{share=\"{share}\"}} {used_bytes}");
            let _ = writeln!(text, "reservations_waiting{{share=\"{share}\"}} {waiting}");
        }
        for (listener, connections) in [("callers", &self.callers), ("relay", &self.peers)] {
            let count = connections.len();
            let _ = writeln!(text, "client_connections{{listener=\"{listener}\"}} {count}");
        }
        self.report.render_metrics(text);
    }
}
