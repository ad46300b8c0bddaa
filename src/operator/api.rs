//! JSON-RPC methods for operators, and the types that only they use.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::Deserialize;
use serde::Serialize;

use super::status::FleetStatus;
use crate::control::change_request::ChangeReceipt;
use crate::control::change_request::ChangeRequest;
use crate::fleet::change::Change;
use crate::fleet::fleet_document::FleetDocument;

/// The active configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigView {
    /// Version of the configuration.
    pub version: u64,
    /// The fleet document, if one was applied.
    pub document: Option<FleetDocument>,
    /// Names of the data centres taken out of service.
    pub data_centres_out: Vec<String>,
    /// Members that are leaving and get no new work, as `group/member`.
    pub members_leaving: Vec<String>,
}

/// A key without its secret.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyView {
    /// Public id of the key.
    pub key_id: String,
    /// Workspace that the key gives access to.
    pub workspace: String,
    /// Whether the key has been withdrawn.
    pub is_withdrawn: bool,
}

/// Methods for operators.
#[rpc(server, client)]
pub trait OperatorApi {
    /// Readiness check for the load balancer. Returns an error unless the daemon is serving.
    #[method(name = "ready")]
    async fn ready(&self) -> RpcResult<bool>;

    /// Returns the status of the fleet.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<FleetStatus>;

    /// Returns the active configuration.
    #[method(name = "config")]
    async fn config(&self) -> RpcResult<ConfigView>;

    /// Returns the changes after a version, oldest first.
    #[method(name = "history")]
    async fn history(&self, after_version: u64) -> RpcResult<Vec<Change>>;

    /// Returns all keys without their secrets.
    #[method(name = "keys")]
    async fn keys(&self) -> RpcResult<Vec<KeyView>>;

    /// Changes the configuration.
    #[method(name = "change")]
    async fn change(&self, request: ChangeRequest) -> RpcResult<ChangeReceipt>;

    /// Moves a group's primary to a member and returns the name of the new primary. An empty member
    /// name selects the best candidate.
    #[method(name = "move_primary")]
    async fn move_primary(&self, group: String, member: String) -> RpcResult<String>;

    /// Starts a graceful shutdown of the daemon that receives the call.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<()>;
}
