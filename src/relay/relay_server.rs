//! Grants other daemons the use of this daemon's connections to the members of the groups of which
//! it is a home.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicI32;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use futures::FutureExt;
use futures::SinkExt;
use futures::StreamExt;
use pgwire::messages::PgWireBackendMessage as Reply;
use pgwire::messages::PgWireFrontendMessage as Request;
use pgwire::messages::SslNegotiationMetaMessage;
use pgwire::messages::response::ReadyForQuery;
use pgwire::messages::response::SslResponse;
use pgwire::messages::response::TransactionStatus;
use pgwire::messages::startup::Authentication;
use pgwire::messages::startup::BackendKeyData;
use pgwire::messages::startup::ParameterStatus;
use pgwire::messages::startup::SecretKey;
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::relay_message::NOT_ACKNOWLEDGED_PARAMETER;
use super::relay_message::RELAY_USER;
use super::relay_message::RelayCommand;
use super::relay_message::RelayGrant;
use super::relay_message::answered_message;
use crate::group::exclusive_connection::ConnectionError;
use crate::group::exclusive_connection::ConnectionProvider;
use crate::group::exclusive_connection::ConnectionRequest;
use crate::group::exclusive_connection::ExclusiveConnection;
use crate::group::group_home::GroupHome;
use crate::group::local_provider::LocalProvider;
use crate::sync::lock;
use crate::wire::frontend_codec::FrontendCodec;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;

/// Longest time from accepting a connection to authenticating the other daemon.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after a connection could not be accepted: the process may have no descriptors left.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Largest message that another daemon may relay, in bytes.
const MAX_MESSAGE_BYTES: usize = (1 << 30) - 1;

type Wire = Framed<TcpStream, FrontendCodec>;

/// Grants other daemons the use of this daemon's connections to members.
pub struct RelayServer {
    secret: String,
    homes: ArcSwap<HashMap<String, Arc<GroupHome>>>,
    cancels: Mutex<HashMap<i32, (SecretKey, Arc<Notify>)>>,
    next_process_id: AtomicI32,
    lent_connections: AtomicUsize,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl RelayServer {
    /// Creates a server with no groups.
    pub fn new(secret: &str, stop: CancellationToken, tasks: TaskTracker) -> Arc<Self> {
        Arc::new(Self {
            secret: secret.to_owned(),
            homes: ArcSwap::default(),
            cancels: Mutex::new(HashMap::new()),
            next_process_id: AtomicI32::new(1),
            lent_connections: AtomicUsize::new(0),
            stop,
            tasks,
        })
    }

    /// Sets the groups whose connections other daemons may use.
    pub fn set_homes(&self, homes: HashMap<String, Arc<GroupHome>>) {
        self.homes.store(Arc::new(homes));
    }

    /// Returns the number of connections that other daemons use.
    pub fn lent_connections(&self) -> usize {
        self.lent_connections.load(Ordering::SeqCst)
    }

    /// Accepts connections of other daemons until this daemon stops.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                () = self.stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!(
                        event = "relay_accept_failed", error = error.to_string();
                        "a connection of another daemon could not be accepted"
                    );
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                    continue;
                }
            };
            let _ = stream.set_nodelay(true);
            let server = self.clone();
            self.tasks.spawn(async move {
                let stop = server.stop.clone();
                tokio::select! {
                    () = stop.cancelled() => {}
                    _ = server.serve_connection(stream) => {}
                }
            });
        }
    }

    /// Serves one relay connection; returns when it is over.
    async fn serve_connection(self: Arc<Self>, stream: TcpStream) -> Option<()> {
        let mut wire = Framed::new(stream, FrontendCodec::new(MAX_MESSAGE_BYTES));
        let starting = self.authenticate(&mut wire);
        let (process_id, secret) = tokio::time::timeout(STARTUP_TIMEOUT, starting).await.ok()??;
        let cancel = Arc::new(Notify::new());
        self.lock_cancels().insert(process_id, (secret, cancel.clone()));
        let served = self.serve_requests(&mut wire, &cancel).await;
        self.lock_cancels().remove(&process_id);
        served
    }

    fn lock_cancels(&self) -> std::sync::MutexGuard<'_, HashMap<i32, (SecretKey, Arc<Notify>)>> {
        lock(&self.cancels)
    }

    /// Authenticates the other daemon; returns the process id and the cancel secret assigned to the
    /// connection. `None` means that the connection is over.
    async fn authenticate(&self, wire: &mut Wire) -> Option<(i32, SecretKey)> {
        let startup = loop {
            match wire.next().await?.ok()? {
                Request::SslNegotiation(SslNegotiationMetaMessage::None) => {
                    wire.codec_mut().expect_startup();
                }
                Request::SslNegotiation(_) => {
                    wire.send(Reply::SslResponse(SslResponse::Refuse)).await.ok()?;
                }
                Request::CancelRequest(request) => {
                    self.cancel(request.pid, &request.secret_key);
                    return None;
                }
                Request::Startup(startup) => break startup,
                _ => return None,
            }
        };
        wire.codec_mut().expect_messages();
        let challenge = Reply::Authentication(Authentication::CleartextPassword);
        wire.send(challenge).await.ok()?;
        let Request::PasswordMessageFamily(password) = wire.next().await?.ok()? else {
            return None;
        };
        let password = password.into_password().ok()?.password;
        let is_secret_valid: bool = password.as_bytes().ct_eq(self.secret.as_bytes()).into();
        let is_relay_user = startup.parameters.get("user").is_some_and(|user| user == RELAY_USER);
        if !is_secret_valid || !is_relay_user {
            let error = SqlError::fatal(
                sql_state::INVALID_KEY,
                "only daemons with the fleet's secret may connect to the relay address",
            );
            wire.send(error.into_message()).await.ok()?;
            return None;
        }
        let process_id = self.next_process_id.fetch_add(1, Ordering::Relaxed);
        let secret = SecretKey::I32(rand::random());
        wire.feed(Reply::Authentication(Authentication::Ok)).await.ok()?;
        wire.feed(Reply::BackendKeyData(BackendKeyData::new(process_id, secret.clone())))
            .await
            .ok()?;
        wire.send(ready_for_query()).await.ok()?;
        Some((process_id, secret))
    }

    fn cancel(&self, process_id: i32, secret: &SecretKey) {
        let cancels = self.lock_cancels();
        if let Some((known, cancel)) = cancels.get(&process_id)
            && secret == known
        {
            cancel.notify_waiters();
        }
    }

    /// Serves the requests for connections to members, one at a time.
    async fn serve_requests(&self, wire: &mut Wire, cancel: &Notify) -> Option<()> {
        loop {
            let Request::Query(query) = wire.next().await?.ok()? else {
                return None;
            };
            let Some(RelayCommand::Acquire(request)) = RelayCommand::parse(&query.query) else {
                return None;
            };
            let outcome = self.grant(request.request, cancel).await;
            wire.feed(answered_message(request.number)).await.ok()?;
            match outcome {
                Ok((connection, grant)) => {
                    self.lent_connections.fetch_add(1, Ordering::SeqCst);
                    let served = relay_messages(wire, connection, grant, cancel).await;
                    self.lent_connections.fetch_sub(1, Ordering::SeqCst);
                    served?;
                }
                Err(error) => {
                    wire.feed(error.into_message()).await.ok()?;
                    wire.send(ready_for_query()).await.ok()?;
                }
            }
        }
    }

    async fn grant(
        &self,
        request: ConnectionRequest,
        cancel: &Notify,
    ) -> Result<(Box<dyn ExclusiveConnection>, RelayGrant), SqlError> {
        let home = self.homes.load().get(&request.group).cloned();
        let Some(home) = home else {
            let message =
                format!("not run: this daemon has no connections to group {}", request.group);
            return Err(SqlError::new(sql_state::CANNOT_CONNECT, message));
        };
        let provider = LocalProvider(home);
        let granted = tokio::select! {
            granted = provider.acquire(request) => granted?,
            () = cancel.notified() => {
                let message = "not run: cancelled while it waited for a connection";
                return Err(SqlError::new(sql_state::CANCELLED, message));
            }
        };
        let grant = RelayGrant { floor: granted.floor, is_replica: granted.is_replica };
        Ok((granted.connection, grant))
    }
}

fn ready_for_query() -> Reply {
    Reply::ReadyForQuery(ReadyForQuery::new(TransactionStatus::Idle))
}

/// Relays messages in both directions until the other daemon releases the connection to the member.
/// Returns `None` when the relay connection is over.
async fn relay_messages(
    wire: &mut Wire,
    mut connection: Box<dyn ExclusiveConnection>,
    grant: RelayGrant,
    cancel: &Notify,
) -> Option<()> {
    wire.feed(grant.to_message()).await.ok()?;
    wire.send(ready_for_query()).await.ok()?;
    loop {
        tokio::select! {
            request = wire.next() => {
                let mut messages = Vec::new();
                let mut next = Some(request?.ok()?);
                while let Some(message) = next {
                    if let Some(is_clean) = release_command(&message) {
                        connection.release(is_clean && messages.is_empty()).await;
                        wire.send(ready_for_query()).await.ok()?;
                        return Some(());
                    }
                    messages.push(message);
                    next = wire.next().now_or_never().flatten().and_then(Result::ok);
                }
                // A lost connection is reported by the next receive.
                let _ = connection.send(messages).await;
            }
            reply = connection.receive() => {
                forward_reply(wire, reply).await?;
                while let Some(more) = connection.receive().now_or_never() {
                    forward_reply(wire, more).await?;
                }
                wire.flush().await.ok()?;
            }
            () = cancel.notified() => connection.cancel().await,
        }
    }
}

/// Returns whether the connection to the member may be reused when a message releases it, and
/// `None` for any other message.
fn release_command(message: &Request) -> Option<bool> {
    let Request::Query(query) = message else {
        return None;
    };
    match RelayCommand::parse(&query.query) {
        Some(RelayCommand::Release { is_clean }) => Some(is_clean),
        _ => None,
    }
}

/// Passes on one reply of the member; returns `None` when the relay connection must be closed.
async fn forward_reply(wire: &mut Wire, reply: Result<Reply, ConnectionError>) -> Option<()> {
    match reply {
        Ok(reply) => wire.feed(reply).await.ok(),
        Err(ConnectionError::NotAcknowledged) => {
            let name = NOT_ACKNOWLEDGED_PARAMETER.to_owned();
            let status = ParameterStatus::new(name, String::new());
            wire.send(Reply::ParameterStatus(status)).await.ok()?;
            None
        }
        Err(ConnectionError::Lost(_)) => None,
    }
}
