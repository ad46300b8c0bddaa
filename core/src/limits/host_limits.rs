//! The limits of a process, derived from the memory and the descriptors of its host.

use crate::limits::connection_table::ConnectionLimits;

/// Memory that is assumed if the settings name none, in MB: that of the largest host today.
pub const DEFAULT_MEMORY_MB: u64 = 512;

/// Descriptors that are assumed if the settings name none: those of the largest host today.
pub const DEFAULT_DESCRIPTORS: u64 = 8_192;

/// Smallest memory that leaves room for the process and one message of 1 MiB.
pub const MIN_MEMORY_MB: u64 = 48;

/// Smallest number of descriptors that leaves some for each listener.
pub const MIN_DESCRIPTORS: u64 = 300;

/// Descriptors for files, timers and signals.
const FILE_DESCRIPTORS: u64 = 200;

/// Connections for readiness and metrics, for each of the two listeners.
pub const HTTP_CONNECTIONS: usize = 32;

/// Memory of a session with its connection, in bytes, with its allowance for buffered and kept bytes.
/// A quarter of the host's memory at this rate holds 8,192 sessions at 256 MB, where 5,100 are needed.
const SESSION_BYTES: u64 = 8 << 10;

/// Longest values that a session may set, in bytes. They are sent with each call: with a shape and
/// arguments of 1 MiB each they fit into the largest message between nodes.
pub const MAX_VALUE_BYTES: usize = 5 << 18;

/// Most bytes that a session may keep.
const MAX_SESSION_KEPT_BYTES: usize = 4 << 20;

/// Largest reply of a member, in bytes, so that it fits into the largest message between nodes.
pub const MAX_REPLY_BYTES: usize = 3 << 20;

/// Time for `STARTUP`, in milliseconds. A host may stall for 6 s and run 6 times slower than usual.
pub const DEFAULT_STARTUP_MS: u64 = 20_000;

/// Time in which nothing of a begun line or a reply may be transferred, in milliseconds. Hosts may stall
/// for 6 s, and a lost packet is sent again after up to several seconds.
pub const DEFAULT_STALL_MS: u64 = 15_000;

/// Limits of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostLimits {
    /// Bytes of callers' lines, with their copies.
    pub line_bytes: usize,
    /// Bytes of replies.
    pub reply_bytes: usize,
    /// Bytes of other nodes' messages.
    pub relay_bytes: usize,
    /// Bytes that all sessions may keep.
    pub kept_bytes: usize,
    /// Bytes that the sessions of a tenant may keep.
    pub tenant_kept_bytes: usize,
    /// Bytes that a session may keep.
    pub session_kept_bytes: usize,
    /// Connections of callers.
    pub caller_connections: ConnectionLimits,
    /// Connections from other nodes.
    pub peer_connections: ConnectionLimits,
    /// Time for `STARTUP`, in milliseconds.
    pub startup_ms: u64,
    /// Time in which nothing of a begun line or a reply may be transferred, in milliseconds.
    pub stall_ms: u64,
}

impl HostLimits {
    /// Derives the limits. The shares of the memory leave a third for the process at rest, idle
    /// sessions, and what the allocator does not return.
    pub fn for_host(memory_mb: u64, descriptors: u64) -> Self {
        let memory_bytes = memory_mb.saturating_mul(1 << 20);
        let share = |divisor: u64| usize::try_from(memory_bytes / divisor).unwrap_or(usize::MAX);
        let kept_bytes = share(12);
        let connections = descriptors.saturating_sub(FILE_DESCRIPTORS);
        // A third is for peers, members, the store and the HTTP listeners.
        let for_callers = connections - connections / 3;
        let callers = for_callers.min(memory_bytes / 4 / SESSION_BYTES).max(1);
        let callers = usize::try_from(callers).unwrap_or(usize::MAX);
        let peers = usize::try_from(connections / 6).unwrap_or(usize::MAX).max(1);
        Self {
            line_bytes: share(6),
            reply_bytes: share(6),
            relay_bytes: share(8),
            kept_bytes,
            tenant_kept_bytes: kept_bytes - kept_bytes / 4,
            session_kept_bytes: MAX_SESSION_KEPT_BYTES.min(kept_bytes / 2),
            caller_connections: ConnectionLimits {
                total: callers,
                unstarted: callers.div_ceil(2),
                tenant: (callers - callers / 4).max(1),
            },
            peer_connections: ConnectionLimits {
                total: peers,
                unstarted: peers.div_ceil(2),
                tenant: peers,
            },
            startup_ms: DEFAULT_STARTUP_MS,
            stall_ms: DEFAULT_STALL_MS,
        }
    }
}

impl Default for HostLimits {
    fn default() -> Self {
        Self::for_host(DEFAULT_MEMORY_MB, DEFAULT_DESCRIPTORS)
    }
}
