//! Calls to other nodes.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tarpc::client::RpcError;
use tarpc::context;
use tarpc::serde_transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpStream;

use crate::directory::Owner;
use crate::name::Name;
use crate::relay::Call;
use crate::relay::CallReply;
use crate::relay::LeaseOffer;
use crate::relay::PeerReport;
use crate::relay::RelayClient;
use crate::sync::lock;

/// Longest wait for a connection to a node: many times the way between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which unacknowledged bytes end a connection: a far end without power says nothing.
const DARK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time beyond a statement's own deadline that the owner's answer may take on its way.
const TRANSIT_MS: u64 = 150;

/// Longest wait for an answer to a call between nodes that runs no statement.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(500);

/// Greatest frame between nodes, in bytes: a message of 1 MiB and what surrounds it.
pub(crate) const MAX_FRAME_BYTES: usize = 4 << 20;

/// Why a call to a node has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayError {
    /// The call was not sent.
    NotSent(String),
    /// The call was sent; it may have been carried out.
    Lost(String),
}

impl std::fmt::Display for RelayError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent(reason) => write!(formatter, "not sent: {reason}"),
            Self::Lost(reason) => write!(formatter, "no answer: {reason}"),
        }
    }
}

/// Frames of the protocol between nodes.
pub(crate) fn frames() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Makes a connection notice that its far end has gone.
///
/// # Errors
///
/// Returns an error when the system refuses an option.
pub fn watch_far_end(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(DARK_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(Duration::from_secs(1))
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)
}

/// Connections to other nodes, one each, made when they are needed.
#[derive(Default)]
pub struct PeerPool {
    clients: Mutex<HashMap<SocketAddr, RelayClient>>,
}

impl PeerPool {
    async fn client(&self, address: SocketAddr) -> Result<RelayClient, RelayError> {
        if let Some(client) = lock(&self.clients).get(&address) {
            return Ok(client.clone());
        }
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(RelayError::NotSent(error.to_string())),
            Err(_) => return Err(RelayError::NotSent("no connection in time".to_owned())),
        };
        watch_far_end(&stream).map_err(|error| RelayError::NotSent(error.to_string()))?;
        let framed = tarpc::tokio_util::codec::Framed::new(stream, frames());
        let transport = serde_transport::new(framed, Bincode::default());
        let client = RelayClient::new(tarpc::client::Config::default(), transport).spawn();
        lock(&self.clients).insert(address, client.clone());
        Ok(client)
    }

    fn failed(&self, address: SocketAddr, error: &RpcError) -> RelayError {
        lock(&self.clients).remove(&address);
        RelayError::Lost(error.to_string())
    }

    /// Runs a statement at another node.
    ///
    /// # Errors
    ///
    /// Returns whether the call may have been carried out.
    pub async fn run(&self, address: SocketAddr, call: Call) -> Result<CallReply, RelayError> {
        let client = self.client(address).await?;
        let mut context = context::current();
        context.deadline = Instant::now() + Duration::from_millis(call.deadline_ms + TRANSIT_MS);
        client.run(context, call).await.map_err(|error| self.failed(address, &error))
    }

    /// Asks another node how it is.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn report(&self, address: SocketAddr) -> Result<PeerReport, RelayError> {
        let client = self.client(address).await?;
        let asking = client.report(control_context());
        asking.await.map_err(|error| self.failed(address, &error))
    }

    /// Offers a lease to another node.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn offer(
        &self,
        address: SocketAddr,
        offer: LeaseOffer,
    ) -> Result<Option<Owner>, RelayError> {
        let client = self.client(address).await?;
        let asking = client.offer(control_context(), offer);
        asking.await.map_err(|error| self.failed(address, &error))
    }

    /// Asks another node whether it reaches a member.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn reaches(
        &self,
        address: SocketAddr,
        service: Name,
        member: SocketAddr,
    ) -> Result<bool, RelayError> {
        let client = self.client(address).await?;
        let asking = client.reaches(control_context(), service, member);
        asking.await.map_err(|error| self.failed(address, &error))
    }
}

fn control_context() -> context::Context {
    let mut context = context::current();
    context.deadline = Instant::now() + CONTROL_TIMEOUT;
    context
}
