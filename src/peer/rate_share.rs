//! Demand for shares of workspaces' rates, and transfers of shares between daemons.

use serde::Deserialize;
use serde::Serialize;

/// A daemon's demand for a share of a workspace's rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Name of the workspace.
    pub workspace: String,
    /// Statements per second that callers submit to the daemon.
    pub demand_per_s: f64,
    /// Share that the daemon holds, in parts per million.
    pub share_ppm: u64,
}

/// A share that one daemon transfers to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareTransfer {
    /// Name of the workspace.
    pub workspace: String,
    /// Share, in parts per million.
    pub share_ppm: u64,
}
