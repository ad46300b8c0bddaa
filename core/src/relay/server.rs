//! Server side of the protocol between nodes.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::StreamExt;
use futures::future::ready;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::server::Config;
use tarpc::server::InFlightRequest;
use tarpc::tokio_serde;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::limits::byte_budget::Reservation;
use crate::limits::call_bytes::answer_bytes;
use crate::limits::call_bytes::call_bytes;
use crate::limits::call_bytes::may_refuse;
use crate::limits::connection_table::Phase;
use crate::limits::live_connections::LiveConnection;
use crate::limits::report::Applied;
use crate::name::Name;
use crate::node::Node;
use crate::outcome::Failure;
use crate::outcome::Refusal;
use crate::owner_directory::Owner;
use crate::pressure_teller::PressureTeller;
use crate::relay::Call;
use crate::relay::CallReply;
use crate::relay::LeaseOffer;
use crate::relay::MetadataRequest;
use crate::relay::MetadataUpdate;
use crate::relay::PeerReport;
use crate::relay::Relay;
use crate::relay::RelayRequest;
use crate::relay::RelayResponse;
use crate::relay::RelayedReply;
use crate::relay::client::detect_dead_peer;
use crate::relay::format::RelayFormat;
use crate::relay::frame_codec::FrameCodec;
use crate::relay::gated_stream::GatedStream;
use crate::sync::lock;
use crate::token_grant::TokenGrant;
use crate::transaction_id::TransactionId;
use crate::usage::update::UsageReceipt;
use crate::usage::update::UsageUpdate;

/// Replies of a connection that wait to be written. Further ones wait where they are counted.
const PENDING_REPLIES: usize = 8;

/// Pause after a connection could not be accepted, and between two attempts to find room for one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves one connection of another node. Transactions that were opened over the connection are
/// aborted when it ends.
#[derive(Clone)]
struct PeerServer {
    node: Arc<Node>,
    transactions: Arc<Mutex<HashSet<(Name, TransactionId)>>>,
    pressure: Arc<Mutex<PressureTeller>>,
    /// What the reply of a call holds until it has been handed over to be written.
    reply: Arc<Mutex<Option<Reservation>>>,
}

impl Relay for PeerServer {
    async fn run(self, _: Context, call: Call) -> RelayedReply {
        let limits = &self.node.limits;
        if may_refuse(&call) && limits.relay.used_bytes() > 2 * limits.relay.limit_bytes() {
            limits.report.record(Applied::RelayCalls);
            let detail = "the owner of the service holds too many calls; retry after 200 ms";
            let reply = CallReply::Refused(Refusal::new(Failure::Busy, detail));
            return RelayedReply { reply, pressure: None };
        }
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
        if let CallReply::Done { answer, .. } = &reply {
            *lock(&self.reply) = Some(limits.replies.charge(answer_bytes(answer)));
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

    async fn activate(self, _: Context, service: Name, version: u64) {
        self.node.activate_ownership(&service, version);
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
                let Some(live) = admit(&node, &stop).await else { break };
                tracker.spawn(serve_peer(node.clone(), stream, live, stop.clone()));
            }
            Err(error) => {
                log::warn!(
                    event = "peer_accept_failed", error = error.to_string();
                    "a connection from another node could not be accepted"
                );
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    tracker.close();
    tracker.wait().await;
}

/// Waits until there is room for a connection. Returns `None` when the node stops.
async fn admit(node: &Arc<Node>, stop: &CancellationToken) -> Option<LiveConnection> {
    loop {
        if let Some((live, closed_other)) = node.limits.peers.admit() {
            if closed_other {
                node.limits.report.record(Applied::ClosedForOther);
            }
            return Some(live);
        }
        node.limits.report.record(Applied::AcceptWait);
        tokio::select! {
            () = stop.cancelled() => return None,
            () = tokio::time::sleep(ACCEPT_PAUSE) => {}
        }
    }
}

/// Runs a request of another node. What it holds is counted until its reply is to be written.
async fn serve_request(
    mut server: PeerServer,
    request: InFlightRequest<RelayRequest, RelayResponse>,
    held: Option<Reservation>,
) {
    let reply = Arc::new(Mutex::new(None));
    server.reply = reply.clone();
    request.execute(server.serve()).await;
    drop(held);
}

async fn serve_peer(
    node: Arc<Node>,
    stream: TcpStream,
    live: LiveConnection,
    stop: CancellationToken,
) {
    if let Err(error) = detect_dead_peer(&stream) {
        log::warn!(
            event = "peer_socket_failed", error = error.to_string();
            "the socket options that detect a dead peer could not be set; closing the connection"
        );
        return;
    }
    let limits = node.limits.clone();
    let stream = GatedStream::new(stream, limits.clone(), limits.relay.clone());
    let framed = tarpc::tokio_util::codec::Framed::new(stream, FrameCodec::new());
    let transport = tokio_serde::Framed::new(framed, RelayFormat::new(false));
    let server = PeerServer {
        node: node.clone(),
        transactions: Arc::default(),
        pressure: Arc::default(),
        reply: Arc::default(),
    };
    let tracker = TaskTracker::new();
    let config = Config { pending_response_buffer: PENDING_REPLIES };
    let requests = BaseChannel::new(config, transport).requests();
    let valid = requests.take_while(|request| ready(request.is_ok()));
    let has_begun = AtomicBool::new(false);
    let serving = valid.for_each(|request| {
        if !has_begun.swap(true, Ordering::Relaxed) {
            live.set_phase(Phase::Working);
        }
        if let Ok(request) = request {
            let held = match &request.get().message {
                RelayRequest::Run { call } => Some(limits.relay.charge(call_bytes(call))),
                _ => None,
            };
            tracker.spawn(serve_request(server.clone(), request, held));
        }
        // A call that is refused gives its memory back before the next one is decoded.
        let is_short = limits.relay.is_short();
        async move {
            if is_short {
                tokio::task::yield_now().await;
            }
        }
    });
    let silent = async {
        tokio::time::sleep(Duration::from_millis(limits.host.startup_ms)).await;
        if has_begun.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        () = serving => {}
        () = stop.cancelled() => {}
        () = live.closed().cancelled() => {}
        () = silent => limits.report.record(Applied::StartupTime),
    }
    tracker.close();
    let transactions: Vec<(Name, TransactionId)> = lock(&server.transactions).drain().collect();
    for (service, transaction) in transactions {
        node.abort_transaction(&service, transaction);
    }
}
