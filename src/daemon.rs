//! The daemon: assembles and runs the servers, the control thread and the caller sessions.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::caller::listener::accept_callers;
use crate::clock;
use crate::control::driver;
use crate::control::driver::ControlContext;
use crate::control::handle;
use crate::control::handle::ControlHandle;
use crate::control::home_manager::map_address;
use crate::fleet::change_log::ChangeLog;
use crate::group::provider_table::ProviderTable;
use crate::limit::lease_clock::LeaseClock;
use crate::limit::rate_limiter::RateLimiter;
use crate::metrics::MetricsSender;
use crate::operator::server::OperatorServer;
use crate::peer::pool::PeerPool;
use crate::peer::server::PeerContext;
use crate::peer::server::serve_peers;
use crate::platform::rpc_client::RpcPlatform;
use crate::relay::relay_server::RelayServer;
use crate::settings::daemon_settings::DaemonSettings;
use crate::tls::load_acceptor;
use crate::traffic::caller_limits::CallerLimits;
use crate::traffic::cancel_registry::CancelKey;
use crate::traffic::cancel_registry::CancelRegistry;
use crate::traffic::context::CancelForwarder;
use crate::traffic::context::TrafficContext;
use crate::traffic::snapshot::Snapshot;
use crate::traffic::token::TokenSigner;

/// Timeout of a call to another daemon.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A running daemon.
pub struct Daemon {
    control: ControlHandle,
    control_thread: Option<std::thread::JoinHandle<()>>,
    stop: CancellationToken,
    tasks: TaskTracker,
    sessions: TaskTracker,
    caller_address: SocketAddr,
}

/// Forwards cancel requests to all other daemons.
struct PeerCancelForwarder {
    settings: Arc<DaemonSettings>,
    peers: Arc<PeerPool>,
    snapshot: watch::Receiver<Arc<Snapshot>>,
}

#[async_trait]
impl CancelForwarder for PeerCancelForwarder {
    async fn forward(&self, key: CancelKey) {
        let fleet = self.snapshot.borrow().fleet.clone();
        let others = fleet.hosts().iter().filter(|host| host.name != self.settings.name);
        let addresses = others.filter_map(|host| map_address(&self.settings, &host.peer_address));
        let calls = addresses.map(|address| {
            self.peers.call(address, move |client, context| async move {
                client.cancel(context, key.process_id, key.secret).await
            })
        });
        futures::future::join_all(calls).await;
    }
}

impl Daemon {
    /// Starts a daemon. Callers are served on the current runtime, control runs on its own thread.
    ///
    /// # Errors
    ///
    /// Returns an error if an address is not valid or cannot be bound, or if a TLS file cannot be
    /// read.
    pub async fn start(settings: DaemonSettings) -> std::io::Result<Self> {
        let settings = Arc::new(settings);
        let stop = CancellationToken::new();
        let tasks = TaskTracker::new();
        let caller_listener = TcpListener::bind(settings.caller_address.as_str()).await?;
        let caller_address = caller_listener.local_addr()?;
        let relay_listener = TcpListener::bind(settings.relay_address.as_str()).await?;
        let (publisher, snapshot) = watch::channel(Arc::new(Snapshot::default()));
        let peers = Arc::new(PeerPool::new(&settings.shared_secret, PEER_TIMEOUT));
        let traffic = Arc::new(traffic_context(&settings, snapshot, &peers, &stop)?);
        let relay = RelayServer::new(&settings.shared_secret, stop.clone(), tasks.clone());
        tasks.spawn(relay.clone().serve(relay_listener));
        let (control, commands) = handle::channel();
        let peer_context = PeerContext {
            secret: settings.shared_secret.to_string(),
            control: Arc::new(control.clone()),
            traffic: traffic.clone(),
        };
        let peer_address = parse_address(&settings.peer_address)?;
        serve_peers(peer_context, peer_address, stop.clone(), tasks.clone()).await?;
        let operators = OperatorServer::start(
            control.clone(),
            traffic.clone(),
            &settings.shared_secret,
            parse_address(&settings.operator_address)?,
        )
        .await?;
        let operators_stop = stop.clone();
        tasks.spawn(async move {
            operators_stop.cancelled().await;
            let _ = operators.stop();
            operators.stopped().await;
        });
        if let Some(address) = &settings.statsd_address {
            let sender = MetricsSender::new(parse_address(address)?, &settings.name)?;
            tasks.spawn(sender.run(control.clone(), stop.clone()));
        }
        tasks.spawn(accept_callers(traffic.clone(), caller_listener));
        let context = control_context(&settings, &traffic, publisher, relay, peers, &stop)?;
        let control_thread = std::thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || driver::run(context, commands))?;
        log::info!(
            event = "daemon_started",
            host = settings.name,
            caller_address = caller_address.to_string();
            ""
        );
        Ok(Self {
            control,
            control_thread: Some(control_thread),
            stop,
            tasks,
            sessions: traffic.sessions.clone(),
            caller_address,
        })
    }

    /// Returns the address that callers connect to.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the handle of the control thread.
    pub fn control(&self) -> &ControlHandle {
        &self.control
    }

    /// Starts a graceful shutdown: after the notice period, each session is closed once it has no
    /// open transaction. The daemon stops when no session and no relayed connection is left, or
    /// after the drain timeout.
    pub async fn drain(&self) {
        self.control.drain().await;
    }

    /// Waits until the daemon has stopped and all its tasks and threads have ended.
    pub async fn stopped(mut self) {
        self.stop.cancelled().await;
        self.sessions.close();
        self.sessions.wait().await;
        self.tasks.close();
        self.tasks.wait().await;
        if let Some(thread) = self.control_thread.take() {
            let _ = tokio::task::spawn_blocking(move || thread.join()).await;
        }
        log::info!(event = "daemon_stopped"; "");
    }

    /// Stops the daemon at once and aborts running requests.
    pub fn abort(&self) {
        self.stop.cancel();
    }
}

fn parse_address(address: &str) -> std::io::Result<SocketAddr> {
    address.parse().map_err(std::io::Error::other)
}

fn traffic_context(
    settings: &Arc<DaemonSettings>,
    snapshot: watch::Receiver<Arc<Snapshot>>,
    peers: &Arc<PeerPool>,
    stop: &CancellationToken,
) -> std::io::Result<TrafficContext> {
    let lease = Arc::new(LeaseClock::default());
    let forwarder = PeerCancelForwarder {
        settings: settings.clone(),
        peers: peers.clone(),
        snapshot: snapshot.clone(),
    };
    let tls = match &settings.caller_tls {
        Some(files) => {
            let certificate = Path::new(&files.certificate_file);
            Some(load_acceptor(certificate, Path::new(&files.key_file))?)
        }
        None => None,
    };
    Ok(TrafficContext {
        providers: ProviderTable::default(),
        snapshot,
        limiter: RateLimiter::new(lease.clone()),
        lease,
        cancels: CancelRegistry::default(),
        cancel_forwarder: Box::new(forwarder),
        signer: TokenSigner::new(&settings.shared_secret),
        tls,
        max_message_bytes: settings.max_message_bytes as usize,
        max_connections: settings.max_connections.get() as usize,
        limits: Arc::new(CallerLimits::new(
            settings.memory_mb,
            settings.max_connections.get() as usize,
        )),
        startup_timeout: Duration::from_millis(settings.startup_timeout_ms),
        stop: stop.clone(),
        sessions: TaskTracker::new(),
    })
}

fn control_context(
    settings: &Arc<DaemonSettings>,
    traffic: &Arc<TrafficContext>,
    publisher: watch::Sender<Arc<Snapshot>>,
    relay: Arc<RelayServer>,
    peers: Arc<PeerPool>,
    stop: &CancellationToken,
) -> std::io::Result<ControlContext> {
    let timeout = Duration::from_millis(settings.platform_timeout_ms);
    let platform = RpcPlatform::new(parse_address(&settings.platform_address)?, timeout);
    Ok(ControlContext {
        settings: settings.clone(),
        incarnation: clock::unix_ms(),
        log: ChangeLog::new(Arc::new(platform)),
        peers,
        traffic: traffic.clone(),
        publisher,
        relay,
        runtime: tokio::runtime::Handle::current(),
        stop: stop.clone(),
    })
}
