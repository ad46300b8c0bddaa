//! Answers other daemons.

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

/// What this daemon answers to others.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Exchanges what each daemon knows; nothing while the daemon stops.
    async fn exchange(&self, request: ExchangeRequest) -> Option<ExchangeResponse>;

    /// Reports on this daemon; nothing while it stops.
    async fn report(&self) -> Option<DaemonReport>;

    /// Moves a group's primary, if this daemon is a home of the group.
    ///
    /// # Errors
    ///
    /// Returns a sentence when it was not moved.
    async fn move_primary(&self, group: String, member: String) -> Result<String, String>;
}

/// What the answers need.
#[derive(Clone)]
pub struct PeerContext {
    /// Secret that all daemons share.
    pub secret: String,
    /// The control thread.
    pub control: Arc<dyn PeerHandler>,
    /// What callers' sessions share.
    pub traffic: Arc<TrafficContext>,
}

#[derive(Clone)]
struct PeerServer {
    context: PeerContext,
    is_admitted: Arc<AtomicBool>,
}

impl PeerServer {
    fn is_admitted(&self) -> bool {
        self.is_admitted.load(Ordering::SeqCst)
    }
}

impl PeerRpc for PeerServer {
    async fn authenticate(self, _: context::Context, secret: String) -> bool {
        let is_same: bool = secret.as_bytes().ct_eq(self.context.secret.as_bytes()).into();
        self.is_admitted.store(is_same, Ordering::SeqCst);
        is_same
    }

    async fn exchange(
        self,
        _: context::Context,
        request: ExchangeRequest,
    ) -> Option<ExchangeResponse> {
        match self.is_admitted() {
            true => self.context.control.exchange(request).await,
            false => None,
        }
    }

    async fn cancel(self, _: context::Context, process_id: i32, secret: i32) -> bool {
        let key = CancelKey { process_id, secret };
        self.is_admitted() && self.context.traffic.cancels.cancel(key)
    }

    async fn report(self, _: context::Context) -> Option<DaemonReport> {
        match self.is_admitted() {
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
        match self.is_admitted() {
            true => self.context.control.move_primary(group, member).await,
            false => Err("not admitted".to_owned()),
        }
    }
}

/// Answers other daemons until the daemon stops.
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
                is_admitted: Arc::new(AtomicBool::new(false)),
            };
            let stop = stop.clone();
            spawner.spawn(async move {
                let calls = BaseChannel::with_defaults(transport).execute(server.serve());
                let answering = calls.for_each_concurrent(None, |answer| answer);
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = answering => {}
                }
            });
        }
    });
    Ok(())
}
