//! Configuration snapshot that the control thread publishes to the caller sessions.

use std::sync::Arc;

use crate::fleet::state::Fleet;

/// The configuration in force. A snapshot is immutable once published.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The fleet's configuration.
    pub fleet: Arc<Fleet>,
    /// Whether idle sessions are to be closed so that their callers connect to another daemon. Set
    /// while the daemon is stopping or its data centre is out of service.
    pub is_draining: bool,
}
