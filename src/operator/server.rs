//! JSON-RPC server for operators.

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

/// JSON-RPC error code of a call that failed; the error's message tells why.
pub const CALL_FAILED_CODE: i32 = 1;

/// JSON-RPC server for operators.
pub struct OperatorServer {
    control: ControlHandle,
    traffic: Arc<TrafficContext>,
}

impl OperatorServer {
    /// Starts the server on an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(
        control: ControlHandle,
        traffic: Arc<TrafficContext>,
        secret: &str,
        address: SocketAddr,
    ) -> std::io::Result<ServerHandle> {
        let readiness =
            ProxyGetRequestLayer::new([("/ready", "ready")]).map_err(std::io::Error::other)?;
        let middleware =
            tower::ServiceBuilder::new().layer(OperatorAuthLayer::new(secret)).layer(readiness);
        let server = Server::builder().set_http_middleware(middleware).build(address).await?;
        Ok(server.start(Self { control, traffic }.into_rpc()))
    }
}

fn call_failed(reason: String) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(CALL_FAILED_CODE, reason, None::<()>)
}

#[async_trait]
impl OperatorApiServer for OperatorServer {
    async fn ready(&self) -> RpcResult<bool> {
        let report = self.control.report().await;
        match report {
            Some(report) if report.state == "serving" => Ok(true),
            _ => Err(call_failed("the daemon is not serving".to_owned())),
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
        let result = self.control.change(request).await;
        result.map_err(|error| call_failed(error.to_string()))
    }

    async fn move_primary(&self, group: String, member: String) -> RpcResult<String> {
        self.control.move_primary(group, member).await.map_err(call_failed)
    }

    async fn drain(&self) -> RpcResult<()> {
        self.control.drain().await;
        Ok(())
    }
}

/// Timeout of an operator's call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(15);
