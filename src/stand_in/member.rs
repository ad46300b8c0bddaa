//! A member of a database group: PostgreSQL wire, real transactions, terms and log positions.
//!
//! The member executes statements in an embedded SQL library. A primary appends each committed
//! transaction to its log and sends it to the other members, which hold it at once and apply it
//! after a settable lag.

pub mod control_call;
pub mod core;
mod parameter;
pub mod replication;
pub mod result_set;
pub mod session;
pub mod session_registry;
pub mod statement;
pub mod store;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicI32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use self::core::MemberCore;
use self::session::Session;
use self::session_registry::SessionRegistry;
use self::store::Store;
use crate::sync::lock;
use crate::wire::sql_error::SqlError;
use crate::wire::sql_state;

/// How long a promotion waits for held transactions to be applied.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// What a member needs to start.
#[derive(Clone, Debug)]
pub struct MemberOptions {
    /// Name, unique in its group.
    pub name: String,
    /// Address on which it speaks PostgreSQL.
    pub sql_address: SocketAddr,
    /// Address on which it receives log entries.
    pub replication_address: SocketAddr,
    /// Names and replication addresses of the other members.
    pub others: Vec<(String, SocketAddr)>,
    /// User that may connect.
    pub user: String,
    /// Password of that user.
    pub password: String,
    /// Most connections at one time.
    pub max_connections: usize,
    /// Whether the member starts as the primary of term 1.
    pub starts_as_primary: bool,
}

/// A running member.
pub struct Member {
    options: MemberOptions,
    core: Mutex<MemberCore>,
    store: Mutex<Store>,
    /// Signals that the log grew or that the role changed.
    changed: Notify,
    receive_lag_ms: AtomicU64,
    apply_lag_ms: AtomicU64,
    next_process_id: AtomicI32,
    registry: SessionRegistry,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Member {
    /// Starts a member on its addresses.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be bound or the data file cannot be made.
    pub async fn start(options: MemberOptions) -> std::io::Result<Arc<Self>> {
        let sql_listener = TcpListener::bind(options.sql_address).await?;
        let store = Store::create().map_err(std::io::Error::other)?;
        let core = MemberCore::new(options.starts_as_primary);
        let member = Arc::new(Self {
            core: Mutex::new(core),
            store: Mutex::new(store),
            changed: Notify::new(),
            receive_lag_ms: AtomicU64::new(0),
            apply_lag_ms: AtomicU64::new(0),
            next_process_id: AtomicI32::new(1),
            registry: SessionRegistry::default(),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
            options,
        });
        replication::start(&member).await?;
        member.tasks.spawn(accept_sessions(member.clone(), sql_listener));
        member.tasks.spawn(apply_held_entries(member.clone()));
        Ok(member)
    }

    /// Stops the member and waits for its tasks.
    pub async fn stop(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Returns the name of the member.
    pub fn name(&self) -> &str {
        &self.options.name
    }

    /// Sets how long after its commit a transaction reaches this member, in milliseconds.
    pub fn set_receive_lag_ms(&self, lag_ms: u64) {
        self.receive_lag_ms.store(lag_ms, Ordering::Relaxed);
    }

    /// Sets how long after it is held a transaction becomes visible here, in milliseconds.
    pub fn set_apply_lag_ms(&self, lag_ms: u64) {
        self.apply_lag_ms.store(lag_ms, Ordering::Relaxed);
    }

    /// Returns how many SQL sessions are open.
    pub fn open_sessions(&self) -> usize {
        self.registry.len()
    }

    /// Returns the most SQL sessions that were ever open at one time.
    pub fn peak_sessions(&self) -> usize {
        self.registry.peak()
    }

    /// Runs a query on the applied data, past the wire, for a test's own count.
    ///
    /// # Errors
    ///
    /// Returns the library's error when the query is not valid.
    pub fn query_i64(&self, sql: &str) -> rusqlite::Result<i64> {
        let connection = lock(&self.store).connect()?;
        connection.query_row(sql, [], |row| row.get(0))
    }

    /// Returns the present state as the status call reports it.
    pub fn status(&self) -> core::MemberStatus {
        lock(&self.core).status(Instant::now())
    }

    fn apply_next(&self, ignore_lag: bool) -> bool {
        let mut core = lock(&self.core);
        let mut store = lock(&self.store);
        if core.needs_rebuild {
            match Store::create() {
                Ok(fresh) => *store = fresh,
                Err(_) => return false,
            }
            core.applied_position = 0;
            core.needs_rebuild = false;
            core.data_generation += 1;
        }
        let lag_ms = self.apply_lag_ms.load(Ordering::Relaxed);
        let min_age = Duration::from_millis(if ignore_lag { 0 } else { lag_ms });
        let Some(entry) = core.next_to_apply(Instant::now(), min_age) else {
            return false;
        };
        if store.apply(&entry.statements).is_err() {
            return false;
        }
        core.applied_position += 1;
        true
    }

    /// Becomes primary of `term` once every held transaction is applied.
    fn promote(&self, term: u64, promoter: &str) -> Result<(), SqlError> {
        let started_at = Instant::now();
        loop {
            while self.apply_next(true) {}
            let mut core = lock(&self.core);
            if core.is_applied() {
                core.promote(term, promoter)?;
                drop(core);
                self.changed.notify_waiters();
                return Ok(());
            }
            drop(core);
            if started_at.elapsed() > APPLY_TIMEOUT {
                return Err(SqlError::new(
                    sql_state::CANNOT_CONNECT,
                    "held transactions could not be applied in time",
                ));
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

async fn accept_sessions(member: Arc<Member>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = member.stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        let process_id = member.next_process_id.fetch_add(1, Ordering::Relaxed);
        let member = member.clone();
        let tasks = member.tasks.clone();
        tasks.spawn(async move {
            let stop = member.stop.clone();
            tokio::select! {
                () = stop.cancelled() => {}
                () = Session::serve(member, stream, process_id) => {}
            }
        });
    }
}

async fn apply_held_entries(member: Arc<Member>) {
    while !member.stop.is_cancelled() {
        let is_replica = !lock(&member.core).is_primary();
        let applied = is_replica && tokio::task::block_in_place(|| member.apply_next(false));
        if applied {
            continue;
        }
        tokio::select! {
            () = member.stop.cancelled() => return,
            () = member.changed.notified() => {}
            () = tokio::time::sleep(Duration::from_millis(2)) => {}
        }
    }
}
