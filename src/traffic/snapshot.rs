//! What the control thread publishes to the threads that serve callers.

use std::sync::Arc;

use crate::fleet::state::Fleet;

/// The configuration in force, unchanged once published.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The fleet's configuration.
    pub fleet: Arc<Fleet>,
    /// Whether the daemon is about to stop, or its data centre is out: idle callers are asked to
    /// connect elsewhere.
    pub is_draining: bool,
}
