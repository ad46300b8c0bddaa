//! The calls of operators.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use serde::Deserialize;
use serde::Serialize;

use super::status::FleetStatus;
use crate::control::change_request::ChangeReceipt;
use crate::control::change_request::ChangeRequest;
use crate::fleet::change::Change;
use crate::fleet::fleet_document::FleetDocument;

/// The configuration in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigView {
    /// Version of the configuration.
    pub version: u64,
    /// The document, if one was applied.
    pub document: Option<FleetDocument>,
    /// Data centres that are out of service.
    pub data_centres_out: Vec<String>,
    /// Members that take no new work, as `group/member`.
    pub members_leaving: Vec<String>,
}

/// A key as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyView {
    /// Public id.
    pub key_id: String,
    /// Workspace that it is for.
    pub workspace: String,
    /// Whether it is withdrawn.
    pub is_withdrawn: bool,
}

/// The calls of operators.
#[rpc(server, client)]
pub trait OperatorApi {
    /// Tells the balancer whether callers may be sent here; an error says no.
    #[method(name = "ready")]
    async fn ready(&self) -> RpcResult<bool>;

    /// Tells how the fleet is doing.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<FleetStatus>;

    /// Returns the configuration in force.
    #[method(name = "config")]
    async fn config(&self) -> RpcResult<ConfigView>;

    /// Returns changes after a version, oldest first.
    #[method(name = "history")]
    async fn history(&self, after_version: u64) -> RpcResult<Vec<Change>>;

    /// Returns all keys, without their secrets.
    #[method(name = "keys")]
    async fn keys(&self) -> RpcResult<Vec<KeyView>>;

    /// Makes a change.
    #[method(name = "change")]
    async fn change(&self, request: ChangeRequest) -> RpcResult<ChangeReceipt>;

    /// Moves a group's primary to a member, or to the best one for an empty name.
    #[method(name = "move_primary")]
    async fn move_primary(&self, group: String, member: String) -> RpcResult<String>;

    /// Starts a planned stop of the daemon that is asked.
    #[method(name = "drain")]
    async fn drain(&self) -> RpcResult<()>;
}
