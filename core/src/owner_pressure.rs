//! The pressure that the owner of a service tells another node, with the ownership that it belongs to.

use serde::Deserialize;
use serde::Serialize;

use crate::pressure::ServicePressure;

/// Pressure of a service under one ownership.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerPressure {
    /// Fencing token of the ownership.
    pub fencing_token: u64,
    /// Expected waits.
    pub pressure: ServicePressure,
}

impl OwnerPressure {
    /// Returns the expected wait of a level, in milliseconds; 0 for a level that is not listed.
    pub fn expected_wait_ms(&self, level: u32) -> u32 {
        let listed = self.pressure.levels.iter().find(|listed| listed.level == level);
        listed.map_or(0, |listed| listed.expected_wait_ms)
    }
}
