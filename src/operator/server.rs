//! Answers operators.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerHandle;
use jsonrpsee::server::middleware::http::ProxyGetRequestLayer;
use jsonrpsee::types::ErrorObjectOwned;

use super::api::ConfigView;
use super::api::KeyView;
use super::api::OperatorApiServer;
use super::auth_layer::OperatorAuthLayer;
use super::status::FleetStatus;
use crate::control::change_request::ChangeReceipt;
use crate::control::change_request::ChangeRequest;
use crate::control::handle::ControlHandle;
use crate::fleet::change::Change;
use crate::fleet::key::Key;
use crate::traffic::context::TrafficContext;

/// Code of an error that tells why something was not done.
pub const NOT_DONE_CODE: i32 = 1;

/// Answers operators.
pub struct OperatorServer {
    control: ControlHandle,
    traffic: Arc<TrafficContext>,
}

impl OperatorServer {
    /// Starts to answer on an address.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(
        control: ControlHandle,
        traffic: Arc<TrafficContext>,
        secret: &str,
        address: SocketAddr,
    ) -> std::io::Result<ServerHandle> {
        let readiness =
            ProxyGetRequestLayer::new([("/ready", "ready")]).map_err(std::io::Error::other)?;
        let layers =
            tower::ServiceBuilder::new().layer(OperatorAuthLayer::new(secret)).layer(readiness);
        let server = Server::builder().set_http_middleware(layers).build(address).await?;
        Ok(server.start(Self { control, traffic }.into_rpc()))
    }
}

fn not_done(reason: String) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(NOT_DONE_CODE, reason, None::<()>)
}

#[async_trait]
impl OperatorApiServer for OperatorServer {
    async fn ready(&self) -> RpcResult<bool> {
        let report = self.control.report().await;
        match report {
            Some(report) if report.state == "serving" => Ok(true),
            _ => Err(not_done("not ready".to_owned())),
        }
    }

    async fn status(&self) -> RpcResult<FleetStatus> {
        let reports = self.control.reports().await;
        let fleet = self.traffic.snapshot.borrow().fleet.clone();
        Ok(FleetStatus::new(&fleet, reports))
    }

    async fn config(&self) -> RpcResult<ConfigView> {
        let fleet = self.traffic.snapshot.borrow().fleet.clone();
        let leaving = fleet.members_leaving.iter();
        Ok(ConfigView {
            version: fleet.version,
            document: fleet.document.clone(),
            data_centres_out: fleet.data_centres_out.iter().cloned().collect(),
            members_leaving: leaving.map(|(group, member)| format!("{group}/{member}")).collect(),
        })
    }

    async fn history(&self, after_version: u64) -> RpcResult<Vec<Change>> {
        Ok(self.control.history(after_version).await)
    }

    async fn keys(&self) -> RpcResult<Vec<KeyView>> {
        let fleet = self.traffic.snapshot.borrow().fleet.clone();
        let view = |key: &Key| KeyView {
            key_id: key.key_id.clone(),
            workspace: key.workspace.clone(),
            is_withdrawn: key.is_withdrawn,
        };
        Ok(fleet.keys.values().map(view).collect())
    }

    async fn change(&self, request: ChangeRequest) -> RpcResult<ChangeReceipt> {
        let changed = self.control.change(request).await;
        changed.map_err(|error| not_done(error.to_string()))
    }

    async fn move_primary(&self, group: String, member: String) -> RpcResult<String> {
        self.control.move_primary(group, member).await.map_err(not_done)
    }

    async fn drain(&self) -> RpcResult<()> {
        self.control.drain().await;
        Ok(())
    }
}

/// Longest time that an operator's call may take.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(15);
