//! Counts and logs limits that were applied. The log has at most one line per reason and interval,
//! with the number of times since the last one.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Mutex;

use crate::clock::now_ms;
use crate::sync::lock;

/// Shortest time between two log lines for one reason, in milliseconds.
const LOG_INTERVAL_MS: u64 = 5_000;

/// A limit that was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Applied {
    /// A connection sent no `STARTUP` in time.
    StartupTime,
    /// The rest of a line did not arrive in time.
    SlowLine,
    /// A line waited for memory in vain.
    LineMemory,
    /// A statement with its session's values and shape waited for memory in vain.
    CallMemory,
    /// A reply was not read in time.
    SlowReader,
    /// A reply of a member was too large, or there was no memory for it.
    ReplyMemory,
    /// A session would have kept too much.
    KeptMemory,
    /// A connection was closed for another one.
    ClosedForOther,
    /// A tenant had too many sessions.
    TenantSessions,
    /// Connections had to wait to be accepted.
    AcceptWait,
    /// A message of another node waited for memory in vain, or did not arrive in time.
    RelayMemory,
    /// A call of another node was refused, because too many are held.
    RelayCalls,
    /// A connection for readiness or metrics was closed for another one.
    HttpConnections,
}

impl Applied {
    /// Returns the name for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::StartupTime => "startup_time",
            Self::SlowLine => "slow_line",
            Self::LineMemory => "line_memory",
            Self::CallMemory => "call_memory",
            Self::SlowReader => "slow_reader",
            Self::ReplyMemory => "reply_memory",
            Self::KeptMemory => "kept_memory",
            Self::ClosedForOther => "closed_for_other",
            Self::TenantSessions => "tenant_sessions",
            Self::AcceptWait => "accept_wait",
            Self::RelayMemory => "relay_memory",
            Self::RelayCalls => "relay_calls",
            Self::HttpConnections => "http_connections",
        }
    }
}

#[derive(Clone, Copy, Default)]
struct Count {
    total: u64,
    logged: u64,
    logged_at_ms: Option<u64>,
}

/// Counts of limits that were applied.
#[derive(Default)]
pub struct LimitReport {
    counts: Mutex<BTreeMap<Applied, Count>>,
}

impl LimitReport {
    /// Counts a limit that was applied, and logs it unless the reason was logged recently.
    pub fn record(&self, applied: Applied) {
        let now_ms = now_ms();
        let mut counts = lock(&self.counts);
        let count = counts.entry(applied).or_default();
        count.total += 1;
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) < LOG_INTERVAL_MS;
        if count.logged_at_ms.is_some_and(is_recent) {
            return;
        }
        let times = count.total - count.logged;
        count.logged = count.total;
        count.logged_at_ms = Some(now_ms);
        drop(counts);
        log::warn!(event = "client_limit_applied", reason = applied.label(), times = times; "");
    }

    /// Renders the counts as metrics.
    pub fn render_metrics(&self, text: &mut String) {
        for (applied, count) in lock(&self.counts).iter() {
            let (reason, total) = (applied.label(), count.total);
            let _ = writeln!(text, "client_limits_applied{{reason=\"{reason}\"}} {total}");
        }
    }
}
