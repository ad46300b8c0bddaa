//! Server side of the protocol between nodes.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use futures::StreamExt;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::name::Name;
use crate::node::Node;
use crate::owner_directory::Owner;
use crate::pressure_teller::PressureTeller;
use crate::relay::Call;
use crate::relay::CallReply;
use crate::relay::LeaseOffer;
use crate::relay::MetadataRequest;
use crate::relay::MetadataUpdate;
use crate::relay::PeerReport;
use crate::relay::Relay;
use crate::relay::RelayedReply;
use crate::relay::client::detect_dead_peer;
use crate::relay::client::frame_codec;
use crate::relay::format::RelayFormat;
use crate::sync::lock;
use crate::token_grant::TokenGrant;
use crate::transaction_id::TransactionId;
use crate::usage::update::UsageReceipt;
use crate::usage::update::UsageUpdate;

/// Serves one connection of another node. Transactions that were opened over the connection are
/// aborted when it ends.
#[derive(Clone)]
struct PeerServer {
    node: Arc<Node>,
    transactions: Arc<Mutex<HashSet<(Name, TransactionId)>>>,
    pressure: Arc<Mutex<PressureTeller>>,
}

impl Relay for PeerServer {
    async fn run(self, _: Context, call: Call) -> RelayedReply {
        let service = call.service.clone();
        let previous = call.transaction;
        let reply = self.node.run_owned(call).await;
        let current = self.node.owned_pressure(&service);
        let pressure = lock(&self.pressure).tell(&service, current);
        let mut transactions = lock(&self.transactions);
        if let Some(transaction) = previous {
            transactions.remove(&(service.clone(), transaction));
        }
        if let CallReply::Done { transaction: Some(transaction), .. } = &reply {
            transactions.insert((service, *transaction));
        }
        RelayedReply { reply, pressure }
    }

    async fn report(self, _: Context) -> PeerReport {
        self.node.report()
    }

    async fn reaches_store(self, _: Context) -> bool {
        self.node.reaches_store().await
    }

    async fn offer_lease(self, _: Context, offer: LeaseOffer) -> Option<Owner> {
        self.node.accept_offer(offer).await
    }

    async fn activate(self, _: Context, service: Name) {
        self.node.activate_ownership(&service);
    }

    async fn fetch_metadata(self, _: Context, request: MetadataRequest) -> Option<MetadataUpdate> {
        self.node.metadata_for(request).await
    }

    async fn take_tokens(
        self,
        _: Context,
        tenant: Name,
        level: u32,
        count: u32,
    ) -> Option<TokenGrant> {
        self.node.grant_tokens(&tenant, level, count)
    }

    async fn send_usage(self, _: Context, update: UsageUpdate) -> UsageReceipt {
        self.node.usage.collect(&update)
    }

    async fn reaches_member(self, _: Context, service: Name, address: SocketAddr) -> bool {
        self.node.reaches_member(&service, address).await
    }
}

/// Serves calls of other nodes until `stop` is cancelled.
pub async fn serve_peers(node: Arc<Node>, listener: TcpListener, stop: CancellationToken) {
    let tracker = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                tracker.spawn(serve_peer(node.clone(), stream, stop.clone()));
            }
            Err(error) => {
                log::warn!(
                    event = "peer_accept_failed", error = error.to_string();
                    "a connection from another node could not be accepted"
                );
            }
        }
    }
    tracker.close();
    tracker.wait().await;
}

async fn serve_peer(node: Arc<Node>, stream: TcpStream, stop: CancellationToken) {
    if let Err(error) = detect_dead_peer(&stream) {
        log::warn!(
            event = "peer_socket_failed", error = error.to_string();
            "the socket options that detect a dead peer could not be set; closing the connection"
        );
        return;
    }
    let framed = tarpc::tokio_util::codec::Framed::new(stream, frame_codec());
    let transport = serde_transport::new(framed, RelayFormat::new(false));
    let server =
        PeerServer { node: node.clone(), transactions: Arc::default(), pressure: Arc::default() };
    let tracker = TaskTracker::new();
    let requests = BaseChannel::with_defaults(transport).execute(server.clone().serve());
    let serving = requests.for_each(|request| {
        tracker.spawn(request);
        async {}
    });
    tokio::select! {
        () = serving => {}
        () = stop.cancelled() => {}
    }
    tracker.close();
    let transactions: Vec<(Name, TransactionId)> = lock(&server.transactions).drain().collect();
    for (service, transaction) in transactions {
        node.abort_transaction(&service, transaction);
    }
}
