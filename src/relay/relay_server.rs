//! Lends lanes of this daemon's groups to other daemons.

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
use crate::group::exclusive_connection::ConnectionError;
use crate::group::exclusive_connection::ConnectionProvider;
use crate::group::exclusive_connection::ConnectionRequest;
use crate::group::exclusive_connection::Lane;
use crate::group::group_home::GroupHome;
use crate::group::local_provider::LocalProvider;
use crate::sync::lock;
use crate::wire::frontend_codec::FrontendCodec;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;

/// Longest time from connecting to being admitted.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest message that another daemon may pass on, in bytes.
const MAX_MESSAGE_BYTES: usize = (1 << 30) - 1;

type Wire = Framed<TcpStream, FrontendCodec>;

/// Lends lanes to other daemons.
pub struct RelayServer {
    secret: String,
    homes: ArcSwap<HashMap<String, Arc<GroupHome>>>,
    cancels: Mutex<HashMap<i32, (i32, Arc<Notify>)>>,
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

    /// Sets the groups whose lanes may be lent.
    pub fn set_homes(&self, homes: HashMap<String, Arc<GroupHome>>) {
        self.homes.store(Arc::new(homes));
    }

    /// Returns how many lanes are lent now.
    pub fn lent_connections(&self) -> usize {
        self.lent_connections.load(Ordering::SeqCst)
    }

    /// Serves other daemons until the daemon stops.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                () = self.stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else { continue };
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

    async fn serve_connection(self: Arc<Self>, stream: TcpStream) -> Option<()> {
        let mut wire = Framed::new(stream, FrontendCodec::new(MAX_MESSAGE_BYTES));
        let starting = self.admit(&mut wire);
        let process_id = tokio::time::timeout(STARTUP_TIMEOUT, starting).await.ok()??;
        let cancel = Arc::new(Notify::new());
        self.lock_cancels().insert(process_id, (secret_of(process_id), cancel.clone()));
        let served = self.serve_lanes(&mut wire, &cancel).await;
        self.lock_cancels().remove(&process_id);
        served
    }

    fn lock_cancels(&self) -> std::sync::MutexGuard<'_, HashMap<i32, (i32, Arc<Notify>)>> {
        lock(&self.cancels)
    }

    async fn admit(&self, wire: &mut Wire) -> Option<i32> {
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
        let ask = Reply::Authentication(Authentication::CleartextPassword);
        wire.send(ask).await.ok()?;
        let Request::PasswordMessageFamily(password) = wire.next().await?.ok()? else {
            return None;
        };
        let password = password.into_password().ok()?.password;
        let is_secret: bool = password.as_bytes().ct_eq(self.secret.as_bytes()).into();
        let is_relay = startup.parameters.get("user").is_some_and(|user| user == RELAY_USER);
        if !is_secret || !is_relay {
            let error = SqlError::fatal(sql_state::INVALID_KEY, "only daemons may connect here");
            wire.send(error.into_message()).await.ok()?;
            return None;
        }
        let process_id = self.next_process_id.fetch_add(1, Ordering::Relaxed);
        let secret = SecretKey::I32(secret_of(process_id));
        wire.feed(Reply::Authentication(Authentication::Ok)).await.ok()?;
        wire.feed(Reply::BackendKeyData(BackendKeyData::new(process_id, secret))).await.ok()?;
        wire.send(ready()).await.ok()?;
        Some(process_id)
    }

    fn cancel(&self, process_id: i32, secret: &SecretKey) {
        let cancels = self.lock_cancels();
        if let Some((known, cancel)) = cancels.get(&process_id)
            && *secret == SecretKey::I32(*known)
        {
            cancel.notify_waiters();
        }
    }

    async fn serve_lanes(&self, wire: &mut Wire, cancel: &Notify) -> Option<()> {
        loop {
            let Request::Query(query) = wire.next().await?.ok()? else {
                return None;
            };
            let Some(RelayCommand::Ask(request)) = RelayCommand::parse(&query.query) else {
                return None;
            };
            match self.grant(request, cancel).await {
                Ok((lane, grant)) => {
                    self.lent_connections.fetch_add(1, Ordering::SeqCst);
                    let served = lend(wire, lane, grant, cancel).await;
                    self.lent_connections.fetch_sub(1, Ordering::SeqCst);
                    served?;
                }
                Err(error) => {
                    wire.feed(error.into_message()).await.ok()?;
                    wire.send(ready()).await.ok()?;
                }
            }
        }
    }

    async fn grant(
        &self,
        request: ConnectionRequest,
        cancel: &Notify,
    ) -> Result<(Box<dyn Lane>, RelayGrant), SqlError> {
        let home = self.homes.load().get(&request.group).cloned();
        let Some(home) = home else {
            let message = format!("not run: this daemon is no home of group {}", request.group);
            return Err(SqlError::new(sql_state::CANNOT_CONNECT, message));
        };
        let access = LocalProvider(home);
        let granted = tokio::select! {
            granted = access.acquire(request) => granted?,
            () = cancel.notified() => {
                let message = "not run: cancelled while it waited for a connection";
                return Err(SqlError::new(sql_state::CANCELLED, message));
            }
        };
        let grant = RelayGrant { floor: granted.floor, is_replica: granted.is_replica };
        Ok((granted.lane, grant))
    }
}

fn secret_of(process_id: i32) -> i32 {
    // The other side proved itself; this tells connections apart, no more.
    process_id ^ 0x2f6e_2b15
}

fn ready() -> Reply {
    Reply::ReadyForQuery(ReadyForQuery::new(TransactionStatus::Idle))
}

/// Passes messages both ways until the lane is given back; `None` when the connection is over.
async fn lend(
    wire: &mut Wire,
    mut lane: Box<dyn Lane>,
    grant: RelayGrant,
    cancel: &Notify,
) -> Option<()> {
    wire.feed(grant.to_message()).await.ok()?;
    wire.send(ready()).await.ok()?;
    loop {
        tokio::select! {
            request = wire.next() => {
                let mut messages = Vec::new();
                let mut next = Some(request?.ok()?);
                while let Some(message) = next {
                    if let Some(is_clean) = release_command(&message) {
                        lane.release(is_clean && messages.is_empty()).await;
                        wire.send(ready()).await.ok()?;
                        return Some(());
                    }
                    messages.push(message);
                    next = wire.next().now_or_never().flatten().and_then(Result::ok);
                }
                // A lost lane shows in the next receive.
                let _ = lane.send(messages).await;
            }
            reply = lane.receive() => {
                pass_on(wire, reply).await?;
                while let Some(more) = lane.receive().now_or_never() {
                    pass_on(wire, more).await?;
                }
                wire.flush().await.ok()?;
            }
            () = cancel.notified() => lane.cancel().await,
        }
    }
}

/// Returns whether a message gives the lane back, and if so, whether for reuse.
fn release_command(message: &Request) -> Option<bool> {
    let Request::Query(query) = message else {
        return None;
    };
    match RelayCommand::parse(&query.query) {
        Some(RelayCommand::Release { is_clean }) => Some(is_clean),
        _ => None,
    }
}

async fn pass_on(wire: &mut Wire, reply: Result<Reply, ConnectionError>) -> Option<()> {
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
