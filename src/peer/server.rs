//! Server for the calls of other daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use futures::StreamExt;
use subtle::ConstantTimeEq;
use tarpc::context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats::Bincode;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::rpc::DaemonReport;
use super::rpc::ExchangeRequest;
use super::rpc::ExchangeResponse;
use super::rpc::PeerRpc;
use crate::traffic::cancel_registry::CancelKey;
use crate::traffic::context::TrafficContext;

/// Handles the calls of other daemons.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Exchanges state with another daemon; `None` once the control thread has stopped.
    async fn exchange(&self, request: ExchangeRequest) -> Option<ExchangeResponse>;

    /// Returns the status of this daemon; `None` once the control thread has stopped.
    async fn report(&self) -> Option<DaemonReport>;

    /// Moves a group's primary, if this daemon is a home of the group.
    ///
    /// # Errors
    ///
    /// Returns the reason as text if the primary was not moved.
    async fn move_primary(&self, group: String, member: String) -> Result<String, String>;
}

/// Resources that the server uses.
#[derive(Clone)]
pub struct PeerContext {
    /// Secret shared by all daemons of the fleet.
    pub secret: String,
    /// Handles the calls, except for cancel requests.
    pub control: Arc<dyn PeerHandler>,
    /// State shared by all caller sessions.
    pub traffic: Arc<TrafficContext>,
}

#[derive(Clone)]
struct PeerServer {
    context: PeerContext,
    is_authenticated: Arc<AtomicBool>,
}

impl PeerServer {
    fn is_authenticated(&self) -> bool {
        self.is_authenticated.load(Ordering::SeqCst)
    }
}

impl PeerRpc for PeerServer {
    async fn authenticate(self, _: context::Context, secret: String) -> bool {
        let is_equal: bool = secret.as_bytes().ct_eq(self.context.secret.as_bytes()).into();
        self.is_authenticated.store(is_equal, Ordering::SeqCst);
        is_equal
    }

    async fn exchange(
        self,
        _: context::Context,
        request: ExchangeRequest,
    ) -> Option<ExchangeResponse> {
        match self.is_authenticated() {
            true => self.context.control.exchange(request).await,
            false => None,
        }
    }

    async fn cancel(self, _: context::Context, process_id: i32, secret: i32) -> bool {
        let key = CancelKey { process_id, secret };
        self.is_authenticated() && self.context.traffic.cancels.cancel(key)
    }

    async fn report(self, _: context::Context) -> Option<DaemonReport> {
        match self.is_authenticated() {
            true => self.context.control.report().await,
            false => None,
        }
    }

    async fn move_primary(
        self,
        _: context::Context,
        group: String,
        member: String,
    ) -> Result<String, String> {
        match self.is_authenticated() {
            true => self.context.control.move_primary(group, member).await,
            false => Err("the peer connection is not authenticated".to_owned()),
        }
    }
}

/// Binds the address and starts a task that serves other daemons until `stop` is cancelled.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub async fn serve_peers(
    context: PeerContext,
    address: SocketAddr,
    stop: CancellationToken,
    tasks: TaskTracker,
) -> std::io::Result<()> {
    let mut listener = tarpc::serde_transport::tcp::listen(address, Bincode::default).await?;
    let spawner = tasks.clone();
    tasks.spawn(async move {
        loop {
            let next = tokio::select! {
                () = stop.cancelled() => return,
                next = listener.next() => next,
            };
            let Some(Ok(transport)) = next else { continue };
            let server = PeerServer {
                context: context.clone(),
                is_authenticated: Arc::new(AtomicBool::new(false)),
            };
            let stop = stop.clone();
            spawner.spawn(async move {
                let calls = BaseChannel::with_defaults(transport).execute(server.serve());
                let serving = calls.for_each_concurrent(None, |response| response);
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = serving => {}
                }
            });
        }
    });
    Ok(())
}
