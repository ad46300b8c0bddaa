//! A stand-in for a member of a database group. It speaks the PostgreSQL protocol and implements
//! transactions, terms and a replicated log.
//!
//! Statements run in SQLite. A primary appends each committed transaction that wrote to its log and
//! replicates it to the other members, which append it on receipt and apply it after a configurable
//! lag.

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

/// Timeout for applying all received log entries before a promotion.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// Options of a member.
#[derive(Clone, Debug)]
pub struct MemberOptions {
    /// Name of the member, unique in its group.
    pub name: String,
    /// Address on which it listens for PostgreSQL connections.
    pub sql_address: SocketAddr,
    /// Address on which it listens for log entries.
    pub replication_address: SocketAddr,
    /// Names and replication addresses of the other members.
    pub replication_peers: Vec<(String, SocketAddr)>,
    /// User that may connect.
    pub user: String,
    /// Password of that user.
    pub password: String,
    /// Maximum number of concurrent SQL sessions.
    pub max_connections: usize,
    /// Whether the member starts as the primary of term 1.
    pub starts_as_primary: bool,
}

/// A running member.
pub struct Member {
    options: MemberOptions,
    core: Mutex<MemberCore>,
    store: Mutex<Store>,
    /// Signals that the log, the term or the role may have changed.
    state_changed: Notify,
    send_lag_ms: AtomicU64,
    apply_lag_ms: AtomicU64,
    next_process_id: AtomicI32,
    registry: SessionRegistry,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Member {
    /// Starts a member.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound or the data file cannot be created.
    pub async fn start(options: MemberOptions) -> std::io::Result<Arc<Self>> {
        let sql_listener = TcpListener::bind(options.sql_address).await?;
        let store = Store::create().map_err(std::io::Error::other)?;
        let core = MemberCore::new(options.starts_as_primary);
        let member = Arc::new(Self {
            core: Mutex::new(core),
            store: Mutex::new(store),
            state_changed: Notify::new(),
            send_lag_ms: AtomicU64::new(0),
            apply_lag_ms: AtomicU64::new(0),
            next_process_id: AtomicI32::new(1),
            registry: SessionRegistry::default(),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
            options,
        });
        replication::start(&member).await?;
        member.tasks.spawn(accept_sessions(member.clone(), sql_listener));
        member.tasks.spawn(apply_log_entries(member.clone()));
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

    /// Sets how long this member waits, as primary, before it sends a log entry to the others, in
    /// milliseconds.
    pub fn set_send_lag_ms(&self, lag_ms: u64) {
        self.send_lag_ms.store(lag_ms, Ordering::Relaxed);
    }

    /// Sets how long after its receipt this member, as replica, applies a log entry, in
    /// milliseconds.
    pub fn set_apply_lag_ms(&self, lag_ms: u64) {
        self.apply_lag_ms.store(lag_ms, Ordering::Relaxed);
    }

    /// Returns the number of open SQL sessions.
    pub fn open_sessions(&self) -> usize {
        self.registry.len()
    }

    /// Returns the highest number of SQL sessions that were open at the same time.
    pub fn peak_sessions(&self) -> usize {
        self.registry.peak()
    }

    /// Runs a query on the applied data without a session, and returns the first column of the
    /// first row. Tests check the state of the database with it.
    ///
    /// # Errors
    ///
    /// Returns SQLite's error if the query is invalid or returns no integer.
    pub fn query_i64(&self, sql: &str) -> rusqlite::Result<i64> {
        let connection = lock(&self.store).connect()?;
        connection.query_row(sql, [], |row| row.get(0))
    }

    /// Returns the current status, as `CALL group_status()` reports it.
    pub fn status(&self) -> core::MemberStatus {
        lock(&self.core).status(Instant::now())
    }

    /// Applies the next log entry if it is due, and returns whether it did. Recreates the data file
    /// first if applied entries were removed from the log.
    fn apply_next_entry(&self, ignores_lag: bool) -> bool {
        let mut core = lock(&self.core);
        let mut store = lock(&self.store);
        if core.needs_rebuild {
            match Store::create() {
                Ok(rebuilt) => *store = rebuilt,
                Err(_) => return false,
            }
            core.applied_position = 0;
            core.needs_rebuild = false;
            core.data_generation += 1;
        }
        let lag_ms = self.apply_lag_ms.load(Ordering::Relaxed);
        let min_age = Duration::from_millis(if ignores_lag { 0 } else { lag_ms });
        let Some(entry) = core.next_to_apply(Instant::now(), min_age) else {
            return false;
        };
        if store.apply(&entry.statements).is_err() {
            return false;
        }
        core.applied_position += 1;
        true
    }

    /// Applies all received log entries, regardless of the lag, and becomes primary of `term`.
    fn promote(&self, term: u64, promoter: &str) -> Result<(), SqlError> {
        let started_at = Instant::now();
        loop {
            while self.apply_next_entry(true) {}
            let mut core = lock(&self.core);
            if core.is_fully_applied() {
                core.promote(term, promoter)?;
                drop(core);
                self.state_changed.notify_waiters();
                return Ok(());
            }
            drop(core);
            if started_at.elapsed() > APPLY_TIMEOUT {
                return Err(SqlError::new(
                    sql_state::CANNOT_CONNECT,
                    "received log entries could not be applied in time",
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

async fn apply_log_entries(member: Arc<Member>) {
    while !member.stop.is_cancelled() {
        let is_replica = !lock(&member.core).is_primary();
        let has_applied =
            is_replica && tokio::task::block_in_place(|| member.apply_next_entry(false));
        if has_applied {
            continue;
        }
        tokio::select! {
            () = member.stop.cancelled() => return,
            () = member.state_changed.notified() => {}
            () = tokio::time::sleep(Duration::from_millis(2)) => {}
        }
    }
}
