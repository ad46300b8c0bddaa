//! A service that this node owns: its members, connections, transactions and primary.

pub mod connection;
pub mod pool;

mod lanes;
mod lent;
mod monitor;
mod probe;
mod runner;
mod transactions;

use std::collections::HashMap;
use std::fmt::Write;
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

use crate::clock::now_ms;
use crate::commit_history::CommitHistory;
use crate::configuration_watch::ConfigurationWatch;
use crate::member::MemberConnector;
use crate::member::MemberKey;
use crate::member::MemberPromoter;
use crate::member_directory::MemberDirectory;
use crate::metrics::Metrics;
use crate::name::Name;
use crate::service::connection::PooledConnection;
use crate::service::lanes::Lane;
use crate::service::lent::SlotGuard;
use crate::service::pool::Grant;
use crate::service::pool::Pool;
use crate::service::pool::SlotRequest;
pub(crate) use crate::service::probe::SYSTEM_TENANT;
use crate::sync::lock;
use crate::tenant_rates::TenantRates;
use crate::tenant_rates::TokenGrant;

/// Time for which a service is owned before it may be moved without need, in milliseconds: members
/// are probed and connections are open by then.
const SETTLE_MS: u64 = 1_000;

/// Time between two attempts to give a service away, in milliseconds.
const OFFER_INTERVAL_MS: u64 = 500;

/// What the owner of a service needs from its node.
pub struct ServiceContext {
    /// Data centre of the node.
    pub zone: Name,
    /// Opens connections to members.
    pub connector: Arc<dyn MemberConnector>,
    /// Carries out promotions.
    pub promoter: Arc<dyn MemberPromoter>,
    /// The newest list of the members of all services.
    pub members: Arc<MemberDirectory>,
    /// The newest configuration.
    pub configuration: Arc<ConfigurationWatch>,
    /// Counters and latencies.
    pub metrics: Arc<Metrics>,
    /// What the owner asks of its node.
    pub node: Arc<dyn NodeHandle>,
}

/// What an owner asks of its node.
#[async_trait::async_trait]
pub trait NodeHandle: Send + Sync {
    /// Takes the right to one operation of a tenant.
    ///
    /// # Errors
    ///
    /// Returns in how many milliseconds there will be one.
    async fn admit_operation(&self, tenant: &Name) -> Result<(), u64>;

    /// Records which member's promotion is under way. Returns whether the store has it.
    async fn record_promotion(&self, service: &Name, member: Option<Name>) -> bool;

    /// Asks other nodes whether they reach a member. Returns a node that does.
    async fn find_node_reaching(
        &self,
        service: &Name,
        member: std::net::SocketAddr,
    ) -> Option<Name>;

    /// Gives the service away, to a node if one is named.
    fn request_handover(&self, service: &Name, preferred_owner: Option<Name>, reason: &str);
}

/// A wish of the owner to give the service away.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverRequest {
    /// Node that should take it.
    pub preferred_owner: Option<Name>,
    /// Why.
    pub reason: String,
}

/// Log, primary and rates, beside the pool of members.
#[derive(Default)]
struct Standing {
    history: Option<CommitHistory>,
    rates: TenantRates,
}

/// A service that this node owns, or has owned.
pub struct OwnedService {
    name: Name,
    border: ServiceContext,
    fencing_token: u64,
    started_at_ms: u64,
    valid_until_ms: AtomicU64,
    is_closing: AtomicBool,
    is_handing_over: AtomicBool,
    offered_at_ms: AtomicU64,
    is_store_unreachable: AtomicBool,
    handover_request: Mutex<Option<HandoverRequest>>,
    pool: Mutex<Pool<PooledConnection>>,
    tickets: Mutex<HashMap<u64, oneshot::Sender<Granted>>>,
    standing: Mutex<Standing>,
    lanes: Mutex<HashMap<u64, Lane>>,
    busy_lanes: AtomicU64,
    next_lane: AtomicU64,
    attention: Notify,
    stop: CancellationToken,
    tasks: TaskTracker,
}

/// A slot that ends when it is dropped, and perhaps a connection.
struct Granted {
    slot: SlotGuard,
    grant: Grant<PooledConnection>,
}

impl OwnedService {
    /// Starts to own a service.
    pub fn start(
        name: Name,
        border: ServiceContext,
        fencing_token: u64,
        valid_until_ms: u64,
        pending_promotion: Option<Name>,
    ) -> Arc<Self> {
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
            pool: Mutex::new(Pool::new(border.zone.clone())),
            border,
            tickets: Mutex::default(),
            standing: Mutex::default(),
            lanes: Mutex::default(),
            busy_lanes: AtomicU64::new(0),
            next_lane: AtomicU64::new(1),
            attention: Notify::new(),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        });
        service.tasks.spawn(service.clone().discover());
        service.tasks.spawn(service.clone().monitor(pending_promotion));
        service.tasks.spawn(service.clone().sweep_lanes());
        service
    }

    /// Returns the fencing token of this ownership.
    pub fn fencing_token(&self) -> u64 {
        self.fencing_token
    }

    /// Prolongs the ownership.
    pub fn extend_lease(&self, valid_until_ms: u64) {
        self.valid_until_ms.store(valid_until_ms, Ordering::Release);
    }

    /// Returns whether the lease holds at this moment.
    pub fn has_valid_lease(&self) -> bool {
        now_ms() < self.valid_until_ms.load(Ordering::Acquire)
    }

    /// Returns for how much longer the lease holds, in milliseconds.
    pub fn lease_left_ms(&self, now_ms: u64) -> u64 {
        self.valid_until_ms.load(Ordering::Acquire).saturating_sub(now_ms)
    }

    /// Takes note that the store serves this node.
    pub fn mark_store_reachable(&self) {
        self.is_store_unreachable.store(false, Ordering::Release);
    }

    /// Takes note that the store answers neither a write nor a read.
    pub fn mark_store_unreachable(&self) {
        self.is_store_unreachable.store(true, Ordering::Release);
    }

    /// Returns whether the store does not serve this node.
    pub fn is_store_unreachable(&self) -> bool {
        self.is_store_unreachable.load(Ordering::Acquire)
    }

    /// Returns whether new operations are taken.
    pub fn is_open(&self) -> bool {
        self.has_valid_lease() && !self.is_closing.load(Ordering::Acquire)
    }

    /// Returns whether the service runs well here, so that it may be moved.
    pub fn is_stable(&self, now_ms: u64) -> bool {
        let is_young = now_ms < self.started_at_ms + SETTLE_MS;
        !is_young
            && self.is_open()
            && !self.is_handing_over()
            && lock(&self.pool).primary().is_some()
    }

    /// Returns whether the service is being given away.
    pub fn is_handing_over(&self) -> bool {
        self.is_handing_over.load(Ordering::Acquire)
    }

    /// Takes note that nobody took the service.
    pub fn stop_handing_over(&self) {
        self.is_handing_over.store(false, Ordering::Release);
    }

    /// Marks the service as being given away. Returns whether it was not yet.
    pub fn start_handing_over(&self) -> bool {
        !self.is_handing_over.swap(true, Ordering::AcqRel)
    }

    /// Returns whether it is time for another attempt to give the service away.
    pub fn begin_offer_if_due(&self, now_ms: u64) -> bool {
        let offered_at_ms = self.offered_at_ms.load(Ordering::Acquire);
        if now_ms < offered_at_ms + OFFER_INTERVAL_MS {
            return false;
        }
        self.offered_at_ms.store(now_ms, Ordering::Release);
        true
    }

    /// Notes that the owner would rather have another node own the service.
    pub fn request_handover(&self, preferred_owner: Option<Name>, reason: &str) {
        *lock(&self.handover_request) =
            Some(HandoverRequest { preferred_owner, reason: reason.to_owned() });
    }

    /// Takes the owner's wish to give the service away.
    pub fn take_handover_request(&self) -> Option<HandoverRequest> {
        lock(&self.handover_request).take()
    }

    /// Takes no new operations, and waits until open transactions have ended or `limit` is over.
    pub async fn close(&self, limit: Duration) {
        self.is_closing.store(true, Ordering::Release);
        lock(&self.tickets).clear();
        let quiet = async {
            while self.open_transactions() > 0 || self.running() > 0 {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        if tokio::time::timeout(limit, quiet).await.is_err() {
            log::info!(
                event = "owner_close_cut", service = &*self.name,
                transactions = self.open_transactions(), running = self.running();
                "open transactions are rolled back because the time to end them is over"
            );
        }
        self.valid_until_ms.store(0, Ordering::Release);
        lock(&self.lanes).clear();
    }

    /// Stops all tasks of the service and closes its connections.
    pub async fn stop(&self) {
        self.valid_until_ms.store(0, Ordering::Release);
        self.stop.cancel();
        lock(&self.tickets).clear();
        lock(&self.lanes).clear();
        self.tasks.close();
        self.tasks.wait().await;
        let surplus = lock(&self.pool).set_members(now_ms(), Vec::new(), &|_| false);
        drop(surplus);
    }

    /// Returns how many transactions are open.
    pub fn open_transactions(&self) -> usize {
        lock(&self.lanes).len() + self.busy_lanes.load(Ordering::Acquire) as usize
    }

    fn running(&self) -> usize {
        lock(&self.pool).members().values().map(|member| member.in_flight).sum()
    }

    /// Gives out rights to operations of a tenant that is counted here.
    pub fn take_tokens(&self, tenant: &str, count: u32) -> Option<TokenGrant> {
        let known = self.border.configuration.known()?;
        let now_ms = now_ms();
        let mut standing = lock(&self.standing);
        standing.rates.apply(now_ms, &self.name, &known.configuration);
        standing.rates.take(now_ms, tenant, count)
    }

    /// Waits for a slot until `deadline_ms`. `None` if there was none in time, or the service closes.
    async fn acquire(self: &Arc<Self>, request: SlotRequest, deadline_ms: u64) -> Option<Granted> {
        let (sender, receiver) = oneshot::channel();
        let ticket = {
            let ticket = lock(&self.pool).enqueue(request);
            lock(&self.tickets).insert(ticket, sender);
            TicketGuard { service: self, ticket }
        };
        self.pump();
        let wait = Duration::from_millis(deadline_ms.saturating_sub(now_ms()));
        let granted = tokio::time::timeout(wait, receiver).await;
        drop(ticket);
        granted.ok()?.ok()
    }

    /// Serves waiting statements.
    fn pump(self: &Arc<Self>) {
        let (grants, surplus) = lock(&self.pool).pump(now_ms());
        drop(surplus);
        for (ticket, grant) in grants {
            let slot = SlotGuard::new(self.clone(), grant.member.key.clone());
            let Some(sender) = lock(&self.tickets).remove(&ticket) else {
                self.undo(grant);
                continue;
            };
            if let Err(granted) = sender.send(Granted { slot, grant }) {
                self.undo(granted.grant);
            }
        }
    }

    fn undo(&self, grant: Grant<PooledConnection>) {
        let mut pool = lock(&self.pool);
        match grant.connection {
            Some(connection) => drop(pool.give_back(&grant.member.key, connection)),
            None => pool.connection_ended(&grant.member.key),
        }
    }

    /// Takes note that a member may not answer, and has it probed.
    fn doubt(&self, member: &MemberKey, reason: &str) {
        if lock(&self.pool).doubt(now_ms(), member) {
            log::info!(
                event = "member_doubted", service = &*self.name, member = &*member.id,
                reason = reason; ""
            );
        }
        self.attention.notify_one();
    }

    /// Describes the service for metrics and status.
    pub fn summary(&self) -> ServiceSummary {
        let pool = lock(&self.pool);
        let members = pool.members().iter().map(|(key, member)| MemberSummary {
            id: key.id.clone(),
            is_primary: pool.primary() == Some(key),
            is_failing: member.failing_since_ms.is_some(),
            in_flight: member.in_flight,
            connections: pool.connections(key).0,
        });
        ServiceSummary {
            name: self.name.clone(),
            is_open: self.is_open(),
            waiting: pool.waiting(),
            transactions: self.open_transactions(),
            members: members.collect(),
        }
    }
}

/// A service at one moment.
#[derive(Clone, Debug)]
pub struct ServiceSummary {
    /// Its name.
    pub name: Name,
    /// Whether new operations are taken.
    pub is_open: bool,
    /// Statements that wait for a slot.
    pub waiting: usize,
    /// Open transactions.
    pub transactions: usize,
    /// Its members.
    pub members: Vec<MemberSummary>,
}

impl ServiceSummary {
    /// Returns what is wrong with the service, in words.
    pub fn troubles(&self) -> Vec<String> {
        let service = &self.name;
        let mut troubles = Vec::new();
        if !self.members.iter().any(|member| member.is_primary) {
            troubles.push(format!("service {service} has no primary"));
        }
        let failing = self.members.iter().filter(|member| member.is_failing);
        troubles.extend(failing.map(|m| format!("member {} of {service} does not answer", m.id)));
        troubles
    }

    /// Writes the summary as text, a line each.
    pub fn render_metrics(&self, text: &mut String) {
        let service = &self.name;
        let open = u8::from(self.is_open);
        let _ = writeln!(text, "service_open{{service=\"{service}\"}} {open}");
        let _ = writeln!(text, "service_waiting{{service=\"{service}\"}} {}", self.waiting);
        let transactions = self.transactions;
        let _ = writeln!(text, "service_transactions{{service=\"{service}\"}} {transactions}");
        for member in &self.members {
            let labels = format!("service=\"{service}\",member=\"{}\"", member.id);
            let is_primary = u8::from(member.is_primary);
            let _ = writeln!(text, "member_is_primary{{{labels}}} {is_primary}");
            let is_failing = u8::from(member.is_failing);
            let _ = writeln!(text, "member_is_failing{{{labels}}} {is_failing}");
            let _ = writeln!(text, "member_slots_in_use{{{labels}}} {}", member.in_flight);
            let _ = writeln!(text, "member_connections{{{labels}}} {}", member.connections);
        }
    }
}

/// A member at one moment.
#[derive(Clone, Debug)]
pub struct MemberSummary {
    /// Its name.
    pub id: Name,
    /// Whether it is the primary in use.
    pub is_primary: bool,
    /// Whether it does not answer.
    pub is_failing: bool,
    /// Statements under way.
    pub in_flight: usize,
    /// Open connections.
    pub connections: usize,
}

struct TicketGuard<'a> {
    service: &'a OwnedService,
    ticket: u64,
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        lock(&self.service.pool).cancel(self.ticket);
        lock(&self.service.tickets).remove(&self.ticket);
    }
}
