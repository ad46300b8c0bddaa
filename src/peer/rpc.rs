//! RPC interface between daemons. Messages are encoded by position, so the order of methods, fields
//! and variants must not change.

use serde::Deserialize;
use serde::Serialize;

use super::rate_share::Demand;
use super::rate_share::ShareTransfer;
use crate::limit::workspace_meter::MeterReading;

/// State that a daemon sends to another, which responds with its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExchangeRequest {
    /// Name of the sender's host.
    pub from: String,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Configuration version that it has.
    pub version: u64,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// Generation of its shares.
    pub generation: u64,
    /// Demands that approach or exceed its shares.
    pub demands: Vec<Demand>,
    /// Groups that it is a home of and whose primaries it cannot reach.
    pub unreachable_primaries: Vec<String>,
}

/// Response to an [`ExchangeRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExchangeResponse {
    /// Incarnation of the responding daemon.
    pub incarnation: u64,
    /// Configuration version that it has.
    pub version: u64,
    /// Whether it has held a lease since it started. If so, it knows every change that was accepted
    /// before its first lease began.
    pub has_held_lease: bool,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// The first changes after the version in the request, as JSON, oldest first.
    pub changes: Vec<String>,
    /// Generation of its shares.
    pub generation: u64,
    /// Shares that it transfers to the daemon that sent the request.
    pub transfers: Vec<ShareTransfer>,
    /// Groups that it is a home of and whose primaries it cannot reach.
    pub unreachable_primaries: Vec<String>,
}

/// Status of a group member, as seen by a home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Name of the member.
    pub name: String,
    /// Data centre of the member.
    pub data_centre: String,
    /// Whether it responded to the last status request.
    pub is_reachable: bool,
    /// Whether it is leaving service.
    pub is_leaving: bool,
    /// Last log position visible to reads on the member, as `term/position`.
    pub applied: String,
    /// Number of log entries not yet visible to reads on the member.
    pub behind: u64,
}

/// Status of a group, as seen by a home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupReport {
    /// Name of the group.
    pub name: String,
    /// Name of the primary, if it is known.
    pub primary: Option<String>,
    /// Highest known term.
    pub term: u64,
    /// The members.
    pub members: Vec<MemberReport>,
    /// Connections that the home may use for requests.
    pub slots: u64,
    /// Connections in use.
    pub in_use: u64,
    /// Requests waiting for a connection.
    pub waiting: u64,
    /// State of the failover state machine.
    pub failover_state: String,
}

/// Statistics of a workspace on one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceReport {
    /// Name of the workspace.
    pub name: String,
    /// Usable share of the rate, in parts per million.
    pub share_ppm: u64,
    /// Counters and latencies.
    pub reading: MeterReading,
}

/// Status of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonReport {
    /// Name of the host.
    pub host: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Incarnation of the daemon.
    pub incarnation: u64,
    /// Version of the configuration in force on the daemon.
    pub version: u64,
    /// State of the lifecycle state machine.
    pub state: String,
    /// Whether the table was read within the last lease period.
    pub is_table_reachable: bool,
    /// Remaining time of the lease, in milliseconds.
    pub lease_left_ms: u64,
    /// Generation that its shares belong to.
    pub generation: u64,
    /// Number of connected callers.
    pub callers: u64,
    /// Groups that it is a home of.
    pub groups: Vec<GroupReport>,
    /// All workspaces.
    pub workspaces: Vec<WorkspaceReport>,
}

/// Calls between daemons. Every other call is refused until `authenticate` has succeeded on the
/// connection.
#[tarpc::service]
pub trait PeerRpc {
    /// Authenticates the client as a daemon of the same fleet by the shared secret.
    async fn authenticate(secret: String) -> bool;
    /// Exchanges the state of two daemons.
    async fn exchange(request: ExchangeRequest) -> Option<ExchangeResponse>;
    /// Cancels the request that runs on a caller's connection. Returns whether this daemon has that
    /// connection.
    async fn cancel(process_id: i32, secret: i32) -> bool;
    /// Returns the status of the daemon.
    async fn report() -> Option<DaemonReport>;
    /// Moves a group's primary to a member, or to any suitable one if the name is empty. Returns
    /// the name of the new primary, or the reason of a failure.
    async fn move_primary(group: String, member: String) -> Result<String, String>;
}
