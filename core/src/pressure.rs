//! The wait that statements can expect at the owner of a service, as it tells other nodes.

use serde::Deserialize;
use serde::Serialize;

/// Expected wait of one level.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelPressure {
    /// Priority of the routes; 0 is the most urgent level.
    pub level: u32,
    /// Time for which a statement that arrives now would wait for a slot, in milliseconds.
    pub expected_wait_ms: u32,
}

/// Expected waits at the owner of a service. Levels without a wait are left out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePressure {
    /// Levels at which statements wait, the most urgent first.
    pub levels: Vec<LevelPressure>,
}
