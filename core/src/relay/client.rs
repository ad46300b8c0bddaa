//! Client side of the protocol between nodes.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tarpc::client::RpcError;
use tarpc::context;
use tarpc::tokio_serde;
use tarpc::trace;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::clock::now_ms;
use crate::limits::ClientLimits;
use crate::metadata_server::METADATA_HOLD_MS;
use crate::name::Name;
use crate::node_directory::NodeDirectory;
use crate::owner_directory::Owner;
use crate::relay::Call;
use crate::relay::LeaseOffer;
use crate::relay::MetadataRequest;
use crate::relay::MetadataUpdate;
use crate::relay::PeerReport;
use crate::relay::RelayClient;
use crate::relay::RelayedReply;
use crate::relay::format::RelayFormat;
use crate::relay::frame_codec::FrameCodec;
use crate::relay::gated_stream::GatedStream;
use crate::sync::lock;
use crate::token_grant::TokenGrant;
use crate::usage::update::UsageReceipt;
use crate::usage::update::UsageUpdate;

/// Longest wait for a connection to a node: many round trips between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which a connection with unacknowledged data is closed: a peer that loses power does
/// not close its connections.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time without an answer after which a node with calls in progress is asked for its status: a busy
/// owner answers some call every few milliseconds.
const QUIET_LIMIT: Duration = Duration::from_millis(150);

/// Longest wait for the status of a node that is checked in this way.
const CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Time allowed for the transit of an answer, beyond the deadline of the statement.
const TRANSIT_MS: u64 = 150;

/// Longest time limit of a call. A timer beyond two years ends the connection's task.
const MAX_CALL_TIME: Duration = Duration::from_hours(24);

/// Longest wait for the answer to a call that runs no statement.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for a connection over which metadata is requested, since another node can be asked.
const METADATA_CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

/// Longest wait for metadata: the answer may be held back for [`METADATA_HOLD_MS`].
const METADATA_TIMEOUT: Duration = Duration::from_millis(METADATA_HOLD_MS + 400);

/// Longest wait for another node to acquire an offered lease, for which it writes to the store.
const OFFER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Why a call to a node returned no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayError {
    /// The call was not sent.
    NotSent(String),
    /// The call was sent and may have been carried out.
    NoAnswer(String),
}

impl std::fmt::Display for RelayError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent(reason) => write!(formatter, "not sent: {reason}"),
            Self::NoAnswer(reason) => write!(formatter, "no answer: {reason}"),
        }
    }
}

/// Sets the socket options that close a connection whose peer no longer responds.
///
/// # Errors
///
/// Returns an error when the system rejects an option.
pub fn detect_dead_peer(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(Duration::from_secs(1))
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)
}

/// Connection to one node, and the state of its failure detection.
#[derive(Default)]
struct PeerConnection {
    client: Option<RelayClient>,
    answered_at_ms: u64,
    unresponsive_since_ms: Option<u64>,
    connect_after_ms: u64,
    is_check_running: bool,
    unresponsive: CancellationToken,
}

/// Connections to other nodes: one per node, opened on demand.
pub struct PeerPool {
    connections: Mutex<HashMap<SocketAddr, PeerConnection>>,
    nodes: Arc<Mutex<NodeDirectory>>,
    limits: Arc<ClientLimits>,
}

impl PeerPool {
    /// Creates a pool without connections. `nodes` tells which nodes are in the same data centre.
    pub fn new(nodes: Arc<Mutex<NodeDirectory>>, limits: Arc<ClientLimits>) -> Self {
        Self { connections: Mutex::default(), nodes, limits }
    }

    /// Returns the client for a node, and connects first if there is no connection.
    async fn client(&self, address: SocketAddr) -> Result<RelayClient, RelayError> {
        self.client_within(address, CONNECT_TIMEOUT).await
    }

    async fn client_within(
        &self,
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<RelayClient, RelayError> {
        {
            let mut connections = lock(&self.connections);
            let connection = connections.entry(address).or_default();
            if let Some(client) = &connection.client {
                return Ok(client.clone());
            }
            if connection.unresponsive_since_ms.is_some() {
                let now_ms = now_ms();
                if now_ms < connection.connect_after_ms {
                    return Err(RelayError::NotSent("the node does not answer".to_owned()));
                }
                connection.connect_after_ms = now_ms + CONNECT_TIMEOUT.as_millis() as u64;
            }
        }
        let connecting = tokio::time::timeout(connect_timeout, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(RelayError::NotSent(error.to_string())),
            Err(_) => {
                self.mark_unresponsive(address);
                return Err(RelayError::NotSent("the connection attempt timed out".to_owned()));
            }
        };
        detect_dead_peer(&stream).map_err(|error| RelayError::NotSent(error.to_string()))?;
        let stream = GatedStream::new(stream, self.limits.clone(), self.limits.replies.clone());
        let framed = tarpc::tokio_util::codec::Framed::new(stream, FrameCodec::new());
        let is_remote = lock(&self.nodes).is_in_other_zone(address);
        let transport = tokio_serde::Framed::new(framed, RelayFormat::new(is_remote));
        let client = RelayClient::new(tarpc::client::Config::default(), transport).spawn();
        let mut connections = lock(&self.connections);
        let connection = connections.entry(address).or_default();
        connection.client = Some(client.clone());
        connection.answered_at_ms = now_ms();
        Ok(client)
    }

    /// Drops the connection to a node after a failed call. Returns the error for the caller.
    fn disconnect(&self, address: SocketAddr, error: &RpcError) -> RelayError {
        let mut connections = lock(&self.connections);
        if let Some(connection) = connections.get_mut(&address) {
            connection.client = None;
        }
        RelayError::NoAnswer(error.to_string())
    }

    /// Records that a node has answered just now.
    fn record_answer(&self, address: SocketAddr) {
        if let Some(connection) = lock(&self.connections).get_mut(&address) {
            connection.answered_at_ms = now_ms();
            connection.unresponsive_since_ms = None;
        }
    }

    /// Marks a node as unresponsive, and cancels the calls to it that may be abandoned.
    fn mark_unresponsive(&self, address: SocketAddr) {
        let mut connections = lock(&self.connections);
        let connection = connections.entry(address).or_default();
        if connection.unresponsive_since_ms.is_none() {
            log::info!(
                event = "peer_unresponsive", peer = address.to_string();
                "calls to the node that can be abandoned are cancelled"
            );
        }
        connection.client = None;
        connection.unresponsive_since_ms.get_or_insert_with(now_ms);
        std::mem::take(&mut connection.unresponsive).cancel();
    }

    /// Returns the time since a node was found unresponsive, in milliseconds, if it still is.
    pub fn unresponsive_for_ms(&self, address: SocketAddr) -> Option<u64> {
        let connections = lock(&self.connections);
        Some(now_ms().saturating_sub(connections.get(&address)?.unresponsive_since_ms?))
    }

    /// Asks a node for its status if it has not answered for [`QUIET_LIMIT`], and marks it as
    /// unresponsive if it does not answer that either.
    async fn check(&self, address: SocketAddr) {
        // Answers may wait here for memory, so the quiet says nothing about the node.
        if self.limits.replies.is_short() {
            return;
        }
        {
            let mut connections = lock(&self.connections);
            let connection = connections.entry(address).or_default();
            let quiet_ms = now_ms().saturating_sub(connection.answered_at_ms);
            if connection.is_check_running || quiet_ms < QUIET_LIMIT.as_millis() as u64 {
                return;
            }
            connection.is_check_running = true;
        }
        let checked = tokio::time::timeout(CHECK_TIMEOUT, self.report(address)).await;
        if let Some(connection) = lock(&self.connections).get_mut(&address) {
            connection.is_check_running = false;
        }
        if !matches!(checked, Ok(Ok(_))) {
            self.mark_unresponsive(address);
        }
    }

    /// Runs a statement at another node. If `may_abandon` is set, the call fails as soon as the
    /// node is found unresponsive.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the call may have been carried out.
    pub async fn run(
        &self,
        address: SocketAddr,
        call: Call,
        may_abandon: bool,
    ) -> Result<RelayedReply, RelayError> {
        let client = self.client(address).await?;
        let unresponsive = lock(&self.connections).entry(address).or_default().unresponsive.clone();
        let context =
            context_within(Duration::from_millis(call.deadline_ms.saturating_add(TRANSIT_MS)));
        let running = client.run(context, call);
        tokio::pin!(running);
        loop {
            tokio::select! {
                biased;
                ran = &mut running => {
                    return match ran {
                        Ok(reply) => {
                            self.record_answer(address);
                            Ok(reply)
                        }
                        Err(error) => Err(self.disconnect(address, &error)),
                    };
                }
                () = unresponsive.cancelled(), if may_abandon => {
                    return Err(RelayError::NoAnswer("the node does not answer".to_owned()));
                }
                () = tokio::time::sleep(QUIET_LIMIT) => self.check(address).await,
            }
        }
    }

    /// Requests the status of another node.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn report(&self, address: SocketAddr) -> Result<PeerReport, RelayError> {
        let client = self.client(address).await?;
        let calling = client.report(control_context());
        let answered = calling.await.map_err(|error| self.disconnect(address, &error))?;
        self.record_answer(address);
        Ok(answered)
    }

    /// Tells another node that it may now act as owner of a service that was offered to it.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn activate(
        &self,
        address: SocketAddr,
        service: Name,
        version: u64,
    ) -> Result<(), RelayError> {
        let client = self.client(address).await?;
        let calling = client.activate(control_context(), service, version);
        calling.await.map_err(|error| self.disconnect(address, &error))
    }

    /// Requests metadata from another node.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn fetch_metadata(
        &self,
        address: SocketAddr,
        request: MetadataRequest,
    ) -> Result<Option<MetadataUpdate>, RelayError> {
        let client = self.client_within(address, METADATA_CONNECT_TIMEOUT).await?;
        let calling = client.fetch_metadata(context_within(METADATA_TIMEOUT), request);
        let answered = calling.await.map_err(|error| self.disconnect(address, &error))?;
        self.record_answer(address);
        Ok(answered)
    }

    /// Takes rate-limit tokens of a tenant for statements of a level from another node.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn take_tokens(
        &self,
        address: SocketAddr,
        tenant: Name,
        level: u32,
        count: u32,
    ) -> Result<Option<TokenGrant>, RelayError> {
        let client = self.client(address).await?;
        let calling = client.take_tokens(control_context(), tenant, level, count);
        let answered = calling.await.map_err(|error| self.disconnect(address, &error))?;
        self.record_answer(address);
        Ok(answered)
    }

    /// Asks another node whether it reaches the store.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn reaches_store(&self, address: SocketAddr) -> Result<bool, RelayError> {
        let client = self.client(address).await?;
        let calling = client.reaches_store(control_context());
        let answered = calling.await.map_err(|error| self.disconnect(address, &error))?;
        self.record_answer(address);
        Ok(answered)
    }

    /// Offers a lease to another node.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn offer_lease(
        &self,
        address: SocketAddr,
        offer: LeaseOffer,
    ) -> Result<Option<Owner>, RelayError> {
        let client = self.client(address).await?;
        let calling = client.offer_lease(context_within(OFFER_TIMEOUT), offer);
        let answered = calling.await.map_err(|error| self.disconnect(address, &error))?;
        self.record_answer(address);
        Ok(answered)
    }

    /// Sends usage counts to a node that collects them.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn send_usage(
        &self,
        address: SocketAddr,
        update: UsageUpdate,
    ) -> Result<UsageReceipt, RelayError> {
        let client = self.client(address).await?;
        let calling = client.send_usage(control_context(), update);
        let answered = calling.await.map_err(|error| self.disconnect(address, &error))?;
        self.record_answer(address);
        Ok(answered)
    }

    /// Asks another node whether it reaches a member.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn reaches_member(
        &self,
        address: SocketAddr,
        service: Name,
        member: SocketAddr,
    ) -> Result<bool, RelayError> {
        let client = self.client(address).await?;
        let calling = client.reaches_member(control_context(), service, member);
        let answered = calling.await.map_err(|error| self.disconnect(address, &error))?;
        self.record_answer(address);
        Ok(answered)
    }
}

fn control_context() -> context::Context {
    context_within(CONTROL_TIMEOUT)
}

/// Returns the context of a call with this time limit, up to [`MAX_CALL_TIME`]. It names no trace,
/// because random identifiers cannot be compressed and nothing collects traces.
fn context_within(limit: Duration) -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + limit.min(MAX_CALL_TIME);
    context.trace_context = trace::Context::default();
    context
}
