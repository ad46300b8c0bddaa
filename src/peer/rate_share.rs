//! Shares of a workspace's rate, as daemons pass them on.

use serde::Deserialize;
use serde::Serialize;

/// What a daemon tells of its demand for a workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Name of the workspace.
    pub workspace: String,
    /// Statements a second that callers ask for here.
    pub demand_per_s: f64,
    /// Share held here, in millionths.
    pub share_ppm: u64,
}

/// Share that passes from one daemon to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareTransfer {
    /// Name of the workspace.
    pub workspace: String,
    /// Share, in millionths.
    pub share_ppm: u64,
}
