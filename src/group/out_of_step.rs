//! Connections to members on which a message arrived that answers no request.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

static FOUND: AtomicU64 = AtomicU64::new(0);

/// Logs and counts a connection that is out of step. The caller must close it.
pub fn record(while_doing: &str) {
    FOUND.fetch_add(1, Ordering::Relaxed);
    log::warn!(
        event = "connection_out_of_step", while_doing = while_doing;
        "a message of a member belongs to no request; its connection is closed"
    );
}

/// Returns the number of connections found out of step since the daemon started.
pub fn count() -> u64 {
    FOUND.load(Ordering::Relaxed)
}
