//! Calls between daemons.

use serde::Deserialize;
use serde::Serialize;

use super::rate_share::Demand;
use super::rate_share::Gift;
use crate::limit::workspace_meter::MeterReading;

/// What a daemon tells another one about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExchangeRequest {
    /// Name of the asking daemon's host.
    pub from: String,
    /// Incarnation of the asking daemon.
    pub incarnation: u64,
    /// Version of the configuration that it knows.
    pub version: u64,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// Generation of its shares.
    pub generation: u64,
    /// Demands that its shares do not carry.
    pub demands: Vec<Demand>,
    /// Groups that it is a home of and whose primaries it does not reach.
    pub unreached: Vec<String>,
}

/// Answer to an [`ExchangeRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExchangeResponse {
    /// Incarnation of the answering daemon.
    pub incarnation: u64,
    /// Version of the configuration that it knows.
    pub version: u64,
    /// Whether it ever held the lease, so that it knows all that was accepted before it started.
    pub has_held_lease: bool,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// Changes after the asker's version, as JSON, oldest first.
    pub changes: Vec<String>,
    /// Generation of its shares.
    pub generation: u64,
    /// Shares that it gives.
    pub gifts: Vec<Gift>,
    /// Groups that it is a home of and whose primaries it does not reach.
    pub unreached: Vec<String>,
}

/// What a home knows of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Name of the member.
    pub name: String,
    /// Data centre of the member.
    pub data_centre: String,
    /// Whether it answered the last question.
    pub is_reachable: bool,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// Last log place that its readers see, as `term/position`.
    pub applied: String,
    /// Log entries that its readers do not see yet.
    pub behind: u64,
}

/// What a home knows of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupReport {
    /// Name of the group.
    pub name: String,
    /// Name of the primary, if one is known.
    pub primary: Option<String>,
    /// Highest term known.
    pub term: u64,
    /// The members.
    pub members: Vec<MemberReport>,
    /// Connections that the home may use, and uses.
    pub slots: u64,
    /// Connections in use.
    pub in_use: u64,
    /// Requests that wait for a connection.
    pub waiting: u64,
    /// State of the failover chart.
    pub failover_state: String,
}

/// What a workspace's callers experience on one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceReport {
    /// Name of the workspace.
    pub name: String,
    /// Share of the rate held, in millionths.
    pub share_ppm: u64,
    /// Counters and latencies.
    pub reading: MeterReading,
}

/// What a daemon reports of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonReport {
    /// Name of the host.
    pub host: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Incarnation of the daemon.
    pub incarnation: u64,
    /// Version of the configuration in force.
    pub version: u64,
    /// State of the daemon.
    pub state: String,
    /// Whether the table answered within the lease.
    pub is_table_reachable: bool,
    /// Time left of the lease, in milliseconds.
    pub lease_left_ms: u64,
    /// Generation of shares.
    pub generation: u64,
    /// Connections of callers.
    pub callers: u64,
    /// Groups that it is a home of.
    pub groups: Vec<GroupReport>,
    /// Workspaces.
    pub workspaces: Vec<WorkspaceReport>,
}

/// Calls between daemons. Each but the first is refused before `authenticate` gave the shared secret.
#[tarpc::service]
pub trait PeerRpc {
    /// Proves that the caller is a daemon of the same fleet.
    async fn authenticate(secret: String) -> bool;
    /// Exchanges what each knows.
    async fn exchange(request: ExchangeRequest) -> Option<ExchangeResponse>;
    /// Cancels what runs on a caller's connection; returns whether it is known here.
    async fn cancel(process_id: i32, secret: i32) -> bool;
    /// Reports on the daemon.
    async fn report() -> Option<DaemonReport>;
    /// Moves a group's primary to a member, or to the best one if no name is given.
    async fn move_primary(group: String, member: String) -> Result<String, String>;
}
