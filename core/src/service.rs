//! A service that this node owns: connection pool, open transactions and choice of primary.

pub mod connection;
pub mod connection_retention;
pub mod matched_connection;
pub mod member_load;
pub mod pool;
pub mod service_times;
pub mod transaction_table;
pub mod usable_slots;

mod admission_control;
mod borrowed;
mod commit_records;
mod exchange;
mod idle_transactions;
mod monitor;
mod probe;
mod promotion;
mod runner;
mod sample_average;
mod summary;
mod transactions;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::admission::refusal_log::RefusalLog;
use crate::admission::waiting_statement::KeptPlace;
use crate::clock::now_ms;
use crate::commit_history::CommitHistory;
use crate::commit_protection::CommitLoss;
use crate::commit_protection::CommitProtection;
use crate::configuration_watch::ConfigurationWatch;
use crate::known_members::KnownMembers;
use crate::member::MemberConnector;
use crate::member::MemberKey;
use crate::member::MemberPromoter;
use crate::member_directory::MemberDirectory;
use crate::metrics::Metrics;
use crate::name::Name;
use crate::pressure::ServicePressure;
use crate::service::admission_control::AcquireError;
use crate::service::borrowed::GrantGuard;
use crate::service::borrowed::SlotGuard;
use crate::service::connection::PooledConnection;
use crate::service::idle_transactions::MemberTransaction;
use crate::service::pool::Pool;
use crate::service::pool::SlotRequest;
use crate::service::pool::admission::Arrival;
pub(crate) use crate::service::probe::SYSTEM_TENANT;
pub use crate::service::summary::MemberSummary;
pub use crate::service::summary::ServiceSummary;
use crate::service::transaction_table::TransactionTable;
use crate::succession::Leadership;
use crate::succession::Succession;
use crate::sync::lock;
use crate::sync_replicas::SyncReplicas;
use crate::tenant_rates::TenantRates;
use crate::token_grant::TokenGrant;
use crate::usage::meter::UsageMeter;

/// Shortest ownership after which a service may be moved to balance the load, in milliseconds. By
/// then its members have been probed and connections are open.
const MIN_OWNERSHIP_MS: u64 = 1_000;

/// Shortest ownership with the same primary after which a service may be moved to the data centre
/// of that primary, in milliseconds. The move saves bandwidth and is not urgent.
const ZONE_SETTLE_MS: u64 = 4_000;

/// Shortest time between two offers of a service to other nodes while the store is unreachable or
/// the lease is about to expire, in milliseconds.
const OFFER_INTERVAL_MS: u64 = 500;

/// Time for which a computed pressure is used, in milliseconds: each reply to another node carries
/// it, and it takes a look at all waiting statements.
const PRESSURE_INTERVAL_MS: u64 = 5;

/// Dependencies that a node passes to a service that it owns.
pub struct ServiceContext {
    /// Data centre of the node.
    pub zone: Name,
    /// Opens connections to members.
    pub connector: Arc<dyn MemberConnector>,
    /// Orders promotions from the platform.
    pub promoter: Arc<dyn MemberPromoter>,
    /// Latest list of the members of all services.
    pub members: Arc<MemberDirectory>,
    /// Latest configuration.
    pub configuration: Arc<ConfigurationWatch>,
    /// Counters and latency histograms.
    pub metrics: Arc<Metrics>,
    /// Counts requests for usage reports.
    pub usage: Arc<UsageMeter>,
    /// Longest wait for a successor that has every acknowledged commit, in milliseconds.
    pub promotion_wait_ms: u64,
    /// Time within which a configuration is in force, in milliseconds.
    pub apply_limit_ms: u64,
    /// The node itself.
    pub node: Arc<dyn NodeHandle>,
}

/// Operations of the node that an owned service calls.
#[async_trait::async_trait]
pub trait NodeHandle: Send + Sync {
    /// Takes one operation, which starts with a statement of `level`, from a tenant's rate limit.
    ///
    /// # Errors
    ///
    /// Returns the time until the next operation is allowed, in milliseconds.
    async fn admit_operation(&self, tenant: &Name, level: u32) -> Result<(), u64>;

    /// Stores in the lease what the next owner must know about the primary of a service. Returns
    /// whether the store has it. If not, a later owner may find it or the former one.
    async fn record_leadership(&self, service: &Name, leadership: Leadership) -> bool;

    /// Asks other nodes whether they can connect to a member. Returns one that can.
    async fn find_node_reaching(
        &self,
        service: &Name,
        member: std::net::SocketAddr,
    ) -> Option<Name>;

    /// Requests that the node hand the service over, to `preferred_owner` if it is given.
    fn request_handover(&self, service: &Name, preferred_owner: Option<Name>, reason: &str);
}

/// A pending request to hand a service over to another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverRequest {
    /// Node that should become the owner; `None` lets the node choose one.
    pub preferred_owner: Option<Name>,
    /// Reason, for the log.
    pub reason: String,
}

/// What is known of the commits and of the members that have them, and the rate limits that this owner
/// counts.
#[derive(Default)]
struct ServiceState {
    history: Option<CommitHistory>,
    commit_protection: CommitProtection,
    /// Commits that the member lacks whose promotion is ordered.
    pending_loss: Option<CommitLoss>,
    /// Commits that the last promotion which lost any has lost.
    last_loss: Option<CommitLoss>,
    known_members: KnownMembers,
    sync_replicas: SyncReplicas,
    /// Time from which on a checkpoint is recorded, after it could not be.
    record_checkpoint_from_ms: u64,
    rates: TenantRates,
}

/// A service that this node owns, or owned until its lease ended.
pub struct OwnedService {
    name: Name,
    context: ServiceContext,
    fencing_token: u64,
    started_at_ms: u64,
    valid_until_ms: AtomicU64,
    is_closing: AtomicBool,
    is_handing_over: AtomicBool,
    offered_at_ms: AtomicU64,
    is_store_unreachable: AtomicBool,
    handover_request: Mutex<Option<HandoverRequest>>,
    pool: Mutex<Pool<PooledConnection>>,
    grant_senders: Mutex<HashMap<u64, oneshot::Sender<Result<AcquiredSlot, AcquireError>>>>,
    refusal_log: Mutex<RefusalLog>,
    /// Last computed pressure, and the time at which it is computed again.
    pressure: Mutex<(u64, ServicePressure)>,
    state: Mutex<ServiceState>,
    succession: Mutex<Succession>,
    idle_transactions: Mutex<TransactionTable<MemberTransaction>>,
    running_transactions: AtomicU64,
    monitor_wakeup: Notify,
    stop: CancellationToken,
    tasks: TaskTracker,
}

/// A granted slot, released when it is dropped, and the right to a connection.
struct AcquiredSlot {
    slot: SlotGuard,
    grant: GrantGuard,
    /// Place that the statement keeps if it is repeated.
    place: Option<KeptPlace>,
}

impl OwnedService {
    /// Starts the background tasks of a service that this node has just acquired.
    pub fn start(
        name: Name,
        context: ServiceContext,
        fencing_token: u64,
        valid_until_ms: u64,
        leadership: Leadership,
    ) -> Arc<Self> {
        let state = ServiceState {
            known_members: KnownMembers::new(&leadership.possible_holders()),
            sync_replicas: SyncReplicas::new(
                leadership.checkpoint.as_ref().map_or(0, |checkpoint| checkpoint.sync_replicas),
            ),
            ..ServiceState::default()
        };
        let service = Arc::new(Self {
            name,
            fencing_token,
            started_at_ms: now_ms(),
            valid_until_ms: AtomicU64::new(valid_until_ms),
            is_closing: AtomicBool::new(false),
            is_handing_over: AtomicBool::new(false),
            offered_at_ms: AtomicU64::new(0),
            is_store_unreachable: AtomicBool::new(false),
            handover_request: Mutex::default(),
            pool: Mutex::new(Pool::with_seed(context.zone.clone(), rand::random())),
            context,
            grant_senders: Mutex::default(),
            refusal_log: Mutex::new(RefusalLog::new(now_ms())),
            pressure: Mutex::default(),
            state: Mutex::new(state),
            succession: Mutex::new(Succession::new(now_ms(), leadership)),
            idle_transactions: Mutex::new(TransactionTable::new(fencing_token)),
            running_transactions: AtomicU64::new(0),
            monitor_wakeup: Notify::new(),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        });
        service.tasks.spawn(service.clone().discover());
        service.tasks.spawn(service.clone().monitor());
        service.tasks.spawn(service.clone().drop_abandoned_transactions());
        service
    }

    /// Returns the fencing token of this ownership.
    pub fn fencing_token(&self) -> u64 {
        self.fencing_token
    }

    /// Extends the lease.
    pub fn extend_lease(&self, valid_until_ms: u64) {
        self.valid_until_ms.store(valid_until_ms, Ordering::Release);
    }

    /// Returns when the lease expires.
    pub(super) fn valid_until_ms(&self) -> u64 {
        self.valid_until_ms.load(Ordering::Acquire)
    }

    /// Returns whether the lease is valid now.
    pub fn has_valid_lease(&self) -> bool {
        now_ms() < self.valid_until_ms()
    }

    /// Returns the time until the lease expires, in milliseconds.
    pub fn lease_left_ms(&self, now_ms: u64) -> u64 {
        self.valid_until_ms().saturating_sub(now_ms)
    }

    /// Records that the store answers this node.
    pub fn mark_store_reachable(&self) {
        self.is_store_unreachable.store(false, Ordering::Release);
    }

    /// Records that the store answers neither writes nor reads of this node.
    pub fn mark_store_unreachable(&self) {
        self.is_store_unreachable.store(true, Ordering::Release);
    }

    /// Returns whether the last lease write failed or was slow, and the read after it failed as
    /// well.
    pub fn is_store_unreachable(&self) -> bool {
        self.is_store_unreachable.load(Ordering::Acquire)
    }

    /// Returns whether new operations are accepted.
    pub fn is_open(&self) -> bool {
        self.has_valid_lease() && !self.is_closing.load(Ordering::Acquire)
    }

    /// Returns whether the service may be moved to balance the load: it has been owned for
    /// `MIN_OWNERSHIP_MS`, is open, has a primary and is not being handed over.
    pub fn is_stable(&self, now_ms: u64) -> bool {
        let is_recent = now_ms < self.started_at_ms + MIN_OWNERSHIP_MS;
        !is_recent
            && self.is_open()
            && !self.is_handing_over()
            && lock(&self.pool).primary().is_some()
    }

    /// Returns the data centre of the primary once the service has been owned, with this primary, for
    /// `ZONE_SETTLE_MS` and may be moved.
    pub fn settled_primary_zone(&self, now_ms: u64) -> Option<Name> {
        if !self.is_stable(now_ms) {
            return None;
        }
        let pool = lock(&self.pool);
        let adopted_at_ms = pool.primary_since_ms().max(self.started_at_ms);
        let primary = pool.members().get(pool.primary()?)?;
        (now_ms >= adopted_at_ms + ZONE_SETTLE_MS).then(|| primary.entry.zone.clone())
    }

    /// Returns whether a handover is in progress.
    pub fn is_handing_over(&self) -> bool {
        self.is_handing_over.load(Ordering::Acquire)
    }

    /// Marks a handover as no longer in progress, after no node accepted the service.
    pub fn stop_handing_over(&self) {
        self.is_handing_over.store(false, Ordering::Release);
    }

    /// Marks a handover as in progress. Returns false if one already was.
    pub fn start_handing_over(&self) -> bool {
        !self.is_handing_over.swap(true, Ordering::AcqRel)
    }

    /// Returns whether another offer of the service is due, and if so restarts the interval.
    pub fn begin_offer_if_due(&self, now_ms: u64) -> bool {
        let offered_at_ms = self.offered_at_ms.load(Ordering::Acquire);
        if now_ms < offered_at_ms + OFFER_INTERVAL_MS {
            return false;
        }
        self.offered_at_ms.store(now_ms, Ordering::Release);
        true
    }

    /// Requests a handover. It replaces a request that has not been taken yet.
    pub fn request_handover(&self, preferred_owner: Option<Name>, reason: &str) {
        *lock(&self.handover_request) =
            Some(HandoverRequest { preferred_owner, reason: reason.to_owned() });
    }

    /// Takes the pending handover request, if there is one.
    pub fn take_handover_request(&self) -> Option<HandoverRequest> {
        lock(&self.handover_request).take()
    }

    /// Refuses new operations and those that wait for a slot, and waits up to `limit` for open
    /// transactions and running statements to end. Then it treats the lease as expired and rolls
    /// back the transactions that are idle.
    pub async fn close(&self, limit: Duration) {
        self.is_closing.store(true, Ordering::Release);
        lock(&self.grant_senders).clear();
        let drained = async {
            while self.open_transactions() > 0 || self.statements_in_flight() > 0 {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        if tokio::time::timeout(limit, drained).await.is_err() {
            log::info!(
                event = "service_close_timed_out", service = &*self.name,
                transactions = self.open_transactions(), running = self.statements_in_flight();
                "not everything ended before the close deadline; rolling back idle transactions"
            );
        }
        self.valid_until_ms.store(0, Ordering::Release);
        self.drop_idle_transactions();
    }

    /// Treats the lease as expired, stops all tasks, and closes all idle connections. Borrowed
    /// connections are closed when they are returned or dropped.
    pub async fn stop(&self) {
        self.valid_until_ms.store(0, Ordering::Release);
        self.stop.cancel();
        lock(&self.grant_senders).clear();
        self.drop_idle_transactions();
        self.tasks.close();
        self.tasks.wait().await;
        let surplus = lock(&self.pool).set_members(now_ms(), Vec::new(), &|_| false);
        drop(surplus);
    }

    /// Returns the number of open transactions.
    pub fn open_transactions(&self) -> usize {
        lock(&self.idle_transactions).len()
            + self.running_transactions.load(Ordering::Acquire) as usize
    }

    fn statements_in_flight(&self) -> usize {
        lock(&self.pool).members().values().map(|member| member.in_flight).sum()
    }

    /// Returns the wait that statements of each level can expect for a slot.
    pub fn pressure(&self) -> ServicePressure {
        let now_ms = now_ms();
        let mut known = lock(&self.pressure);
        if now_ms >= known.0 {
            *known = (now_ms + PRESSURE_INTERVAL_MS, lock(&self.pool).pressure(now_ms));
        }
        known.1.clone()
    }

    /// Takes up to `count` tokens for statements of a level from the rate limit of a tenant. Returns `None` if no
    /// configuration is known or this owner does not count the tenant's operations.
    pub fn take_tokens(&self, tenant: &str, level: u32, count: u32) -> Option<TokenGrant> {
        let known = self.context.configuration.known()?;
        let now_ms = now_ms();
        let mut state = lock(&self.state);
        state.rates.apply(now_ms, &self.name, &known.configuration);
        state.rates.take(now_ms, tenant, level, count)
    }

    /// Waits for a slot for as long as the statement may.
    ///
    /// # Errors
    ///
    /// Returns the refusal if no slot can become free in time, or did not.
    async fn acquire(
        self: &Arc<Self>,
        request: SlotRequest,
        arrival: Arrival,
    ) -> Result<AcquiredSlot, AcquireError> {
        let (sender, receiver) = oneshot::channel();
        let (ticket, place) = {
            let mut pool = lock(&self.pool);
            let ticket =
                pool.admit(now_ms(), request.clone(), arrival).map_err(AcquireError::Refused)?;
            lock(&self.grant_senders).insert(ticket, sender);
            (TicketGuard { service: self, ticket }, pool.place(ticket))
        };
        self.dispatch();
        let wait = Duration::from_millis(arrival.queue_until_ms.saturating_sub(now_ms()));
        let granted = tokio::time::timeout(wait, receiver).await;
        drop(ticket);
        match granted {
            Ok(granted) => {
                let acquired = granted.unwrap_or(Err(AcquireError::Closed))?;
                Ok(AcquiredSlot { place, ..acquired })
            }
            Err(_) => {
                let refusal = lock(&self.pool).expire(now_ms(), &request, arrival);
                Err(AcquireError::Refused(refusal))
            }
        }
    }

    /// Grants free slots to waiting statements.
    fn dispatch(self: &Arc<Self>) {
        let now_ms = now_ms();
        // Grants come first, so that no statement is refused that finds a free slot.
        let ((grants, surplus), overdue) = {
            let mut pool = lock(&self.pool);
            (pool.dispatch(now_ms), pool.take_overdue(now_ms))
        };
        drop(surplus);
        for (ticket, refusal) in overdue {
            let sender = lock(&self.grant_senders).remove(&ticket);
            let _ = sender.map(|sender| sender.send(Err(AcquireError::Refused(refusal))).is_ok());
        }
        for (ticket, grant) in grants {
            let slot = SlotGuard::new(self.clone(), grant.member.key.clone());
            let grant = GrantGuard::new(self.clone(), grant);
            let sender = lock(&self.grant_senders).remove(&ticket);
            // A grant that nobody waits for any more is dropped, which gives everything back.
            let acquired = AcquiredSlot { slot, grant, place: None };
            let _ = sender.map(|sender| sender.send(Ok(acquired)).is_ok());
        }
    }

    /// Marks a member as suspected of having failed, and wakes the monitor to probe it.
    fn suspect_member(&self, member: &MemberKey, reason: &str) {
        if lock(&self.pool).suspect(now_ms(), member) {
            log::info!(
                event = "member_suspected", service = &*self.name, member = &*member.id,
                reason = reason; ""
            );
        }
        self.monitor_wakeup.notify_one();
    }

    /// Returns a snapshot for metrics and status.
    pub fn summary(&self) -> ServiceSummary {
        let now_ms = now_ms();
        let pool = lock(&self.pool);
        let members = pool.members().iter().map(|(key, member)| MemberSummary {
            id: key.id.clone(),
            is_primary: pool.primary() == Some(key),
            is_failing: member.failing_since_ms.is_some(),
            in_flight: member.in_flight,
            usable_slots: member.usable_slots(now_ms),
            service_ratio: pool.service_times().member_ratio(now_ms, key),
            failure_share: pool.failure_share(now_ms, key),
            connections: pool.connections(key).0,
            evicted_connections: member.evicted_connections,
        });
        ServiceSummary {
            name: self.name.clone(),
            is_open: self.is_open(),
            waiting: pool.waiting(),
            transactions: self.open_transactions(),
            members: members.collect(),
            last_loss: lock(&self.state).last_loss.clone(),
            levels: pool.level_counters().clone(),
            pressure: pool.pressure(now_ms).levels,
        }
    }
}

/// Removes a waiting statement from the queue when its caller stops waiting.
struct TicketGuard<'a> {
    service: &'a OwnedService,
    ticket: u64,
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        lock(&self.service.pool).cancel(self.ticket);
        lock(&self.service.grant_senders).remove(&self.ticket);
    }
}
