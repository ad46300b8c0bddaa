//! A node, the process on an entry host: its state, and how it routes statements to the owners of
//! services.

mod back_pressure;

use std::collections::HashMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::clock::now_ms;
use crate::configuration_watch::ConfigurationWatch;
use crate::configuration_watch::KnownConfiguration;
use crate::lease_table::Identity;
use crate::lease_table::LEASE_MS;
use crate::lease_table::LeaseTable;
use crate::limits::ClientLimits;
use crate::member::MemberConnector;
use crate::member::MemberPromoter;
use crate::member_directory::MemberDirectory;
use crate::metadata_source::SyncStep;
use crate::metrics::Metrics;
use crate::name::Name;
use crate::node::back_pressure::BackPressure;
use crate::node_directory::NodeDirectory;
use crate::node_record::NodeRecord;
use crate::outcome::Failure;
use crate::outcome::Refusal;
use crate::owner_directory::OwnerDirectory;
use crate::placement::Placement;
use crate::relay::Call;
use crate::relay::CallAction;
use crate::relay::CallReply;
use crate::relay::PeerPool;
use crate::relay::PeerReport;
use crate::relay::RelayError;
use crate::service::OwnedService;
use crate::statement::Access;
use crate::store::MetadataStore;
use crate::sync::lock;
use crate::token_cache::TokenCache;
use crate::transaction_id::TransactionId;
use crate::unanswered_work::UnansweredWork;
use crate::usage::Usage;
use crate::usage::UsageSettings;
use crate::usage::sink::UsageSink;

/// Delay before a call that found no owner is retried, unless an owner becomes known earlier.
const OWNER_RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Longest time until the lease of an unresponsive owner expires for which statements wait, in
/// milliseconds: about as long as callers wait for an answer.
const MAX_TAKEOVER_WAIT_MS: u64 = 800;

/// Age of the last confirmation of the configuration beyond which the store counts as
/// unreachable, in milliseconds: several reads have failed by then.
const STORE_UNREACHABLE_MS: u64 = 2_500;

/// How much earlier than `revoke_limit_ms` a configuration is too old to act on, in milliseconds:
/// covers the transit time of a request.
const FRESHNESS_MARGIN_MS: u64 = 400;

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name and address of the node, and identity of its process.
    pub identity: Identity,
    /// Data centre of the node.
    pub zone: Name,
    /// How much work the node can carry, as in [`NodeRecord::capacity`].
    pub capacity: u32,
    /// Addresses of nodes to ask for metadata after a start.
    pub seeds: Vec<SocketAddr>,
    /// Time after which a withdrawn key must be rejected, in milliseconds.
    pub revoke_limit_ms: u64,
    /// Time after which a new configuration must be in force, in milliseconds.
    pub apply_limit_ms: u64,
    /// Time from the stop signal until the process is killed, in milliseconds.
    pub grace_ms: u64,
    /// Longest wait, while a primary is lost, for a successor that has every acknowledged commit, in
    /// milliseconds.
    pub promotion_wait_ms: u64,
    /// Times of usage reports; without them, usage is not reported.
    pub usage: Option<UsageSettings>,
}

/// External systems that a node uses.
#[derive(Clone)]
pub struct NodeDependencies {
    /// Store of the configuration, the leases and the other records.
    pub store: Arc<dyn MetadataStore>,
    /// Opens connections to members.
    pub connector: Arc<dyn MemberConnector>,
    /// Orders promotions of members.
    pub promoter: Arc<dyn MemberPromoter>,
    /// Receives usage reports; without it, usage is not reported.
    pub usage_sink: Option<Arc<dyn UsageSink>>,
    /// Limits on clients, and what counts against them.
    pub limits: Arc<ClientLimits>,
}

/// The process on an entry host, with everything that its tasks share.
pub struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) dependencies: NodeDependencies,
    pub(crate) configuration: Arc<ConfigurationWatch>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) owner_directory: OwnerDirectory,
    pub(crate) peers: PeerPool,
    pub(crate) limits: Arc<ClientLimits>,
    pub(crate) lease_table: Mutex<LeaseTable>,
    pub(crate) services: Mutex<HashMap<Name, Arc<OwnedService>>>,
    pub(crate) members: Arc<MemberDirectory>,
    pub(crate) token_cache: Mutex<TokenCache>,
    pub(crate) back_pressure: BackPressure,
    pub(crate) nodes: Arc<Mutex<NodeDirectory>>,
    pub(crate) usage: Usage,
    pub(crate) records_version: Mutex<Option<(u64, u64)>>,
    pub(crate) synced: watch::Sender<u64>,
    pub(crate) metadata_source: Mutex<Option<SyncStep>>,
    pub(crate) refresh: Notify,
    pub(crate) lease_wakeup: Notify,
    pub(crate) tasks: TaskTracker,
    pub(crate) stop: CancellationToken,
    pub(crate) session_drain: CancellationToken,
    pub(crate) transaction_drain: CancellationToken,
    is_stopping: AtomicBool,
    started_at_ms: u64,
}

impl Node {
    /// Creates a node that owns no service and has read no configuration.
    pub fn new(settings: NodeSettings, dependencies: NodeDependencies) -> Arc<Self> {
        let record = NodeRecord {
            name: settings.identity.node.clone(),
            address: settings.identity.address,
            zone: settings.zone.clone(),
            capacity: settings.capacity,
        };
        let nodes = Arc::new(Mutex::new(NodeDirectory::new(record)));
        let sink = dependencies.usage_sink.clone();
        let usage = Usage::new(settings.usage, sink, settings.identity.incarnation);
        let limits = dependencies.limits.clone();
        Arc::new(Self {
            lease_table: Mutex::new(LeaseTable::new(settings.identity.clone())),
            settings,
            dependencies,
            configuration: Arc::default(),
            metrics: Arc::default(),
            owner_directory: OwnerDirectory::default(),
            peers: PeerPool::new(nodes.clone(), limits.clone()),
            limits,
            services: Mutex::default(),
            members: Arc::default(),
            token_cache: Mutex::default(),
            back_pressure: BackPressure::default(),
            nodes,
            usage,
            records_version: Mutex::default(),
            synced: watch::Sender::new(0),
            metadata_source: Mutex::default(),
            refresh: Notify::new(),
            lease_wakeup: Notify::new(),
            tasks: TaskTracker::new(),
            stop: CancellationToken::new(),
            session_drain: CancellationToken::new(),
            transaction_drain: CancellationToken::new(),
            is_stopping: AtomicBool::new(false),
            started_at_ms: now_ms(),
        })
    }

    /// Returns the counters and latencies of this node.
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.metrics
    }

    /// Returns the limits on clients.
    pub fn limits(&self) -> &Arc<ClientLimits> {
        &self.limits
    }

    /// Returns the identity of this process.
    pub fn incarnation(&self) -> u64 {
        self.settings.identity.incarnation
    }

    /// Renders the metrics of the node, its services and their members as text, one per line.
    pub fn render_metrics(&self) -> String {
        let mut text = String::new();
        self.metrics.render(&mut text);
        self.limits.render_metrics(&mut text);
        let known = self.configuration.known();
        let version = known.map_or(0, |known| known.configuration.version);
        let _ = writeln!(text, "configuration_version {version}");
        if let Some(age_ms) = self.configuration_age_ms() {
            let _ = writeln!(text, "configuration_age_ms {age_ms}");
        }
        let _ = writeln!(text, "is_ready {}", u8::from(self.is_ready()));
        let is_candidate = lock(&self.nodes).is_candidate();
        let _ = writeln!(text, "is_candidate {}", u8::from(is_candidate));
        let _ = writeln!(text, "metadata_source{{from=\"{}\"}} 1", self.metadata_source_name());
        self.usage.render_metrics(&mut text);
        let services: Vec<Arc<OwnedService>> = lock(&self.services).values().cloned().collect();
        for service in services {
            service.summary().render_metrics(&mut text);
        }
        self.render_pressure_metrics(&mut text);
        text
    }

    /// Returns whether the node is healthy, and a report in words for operators.
    pub fn health_report(&self) -> (bool, String) {
        let mut problems = Vec::new();
        if self.is_stopping() {
            problems.push("the node is stopping".to_owned());
        }
        match self.configuration_age_ms() {
            None => problems.push("the node has read no configuration yet".to_owned()),
            Some(age_ms) if age_ms > STORE_UNREACHABLE_MS => {
                problems.push(format!("the configuration has not been confirmed for {age_ms} ms"));
            }
            Some(_) => {}
        }
        let known = self.configuration.known();
        let services = known.map_or_else(Vec::new, |known| known.configuration.service_names());
        for service in services {
            let owner = self.owner_directory.owner(&service);
            let service = service.escape_debug();
            match owner {
                None => problems.push(format!("service {service} has no owner")),
                Some(owner) => {
                    if let Some(unresponsive_ms) = self.peers.unresponsive_for_ms(owner.address) {
                        let node = owner.node.escape_debug();
                        problems.push(format!(
                            "{node}, owner of {service}, has not answered for {unresponsive_ms} ms"
                        ));
                    }
                }
            }
        }
        let owned: Vec<Arc<OwnedService>> = lock(&self.services).values().cloned().collect();
        let mut losses = Vec::new();
        for service in owned {
            let summary = service.summary();
            problems.extend(summary.problems());
            losses.extend(summary.loss_report());
        }
        let mut role = self.pressure_report();
        role.push_str(&self.role_report());
        for loss in losses {
            let _ = writeln!(role, "{loss}");
        }
        match problems.is_empty() {
            true => (true, format!("All is well.\n{role}")),
            false => (false, format!("Not all is well:\n- {}\n{role}", problems.join("\n- "))),
        }
    }

    /// Describes, in words for operators, what this node owns and where its metadata comes from.
    fn role_report(&self) -> String {
        let mut text = String::new();
        let mut owned: Vec<String> =
            lock(&self.services).keys().map(|service| service.escape_debug().to_string()).collect();
        owned.sort();
        let owned = if owned.is_empty() { "nothing".to_owned() } else { owned.join(", ") };
        let is_candidate = lock(&self.nodes).is_candidate();
        let role = if is_candidate { "candidate for ownership" } else { "no candidate" };
        let _ = writeln!(text, "owns: {owned}; {role}");
        let source = self.metadata_source_name();
        match self.configuration_age_ms() {
            Some(age_ms) => {
                let _ = writeln!(text, "metadata: from {source}, {age_ms} ms old");
            }
            None => {
                let _ = writeln!(text, "metadata: none yet");
            }
        }
        let placement = self.placement();
        let me = &self.settings.zone;
        let relays: Vec<&str> = placement
            .candidates
            .iter()
            .filter(|record| record.zone == *me)
            .map(|record| &*record.name)
            .collect();
        let _ = writeln!(text, "relays of data centre {me}, in order: {}", relays.join(", "));
        text
    }

    /// Returns the address of the node that metadata came from last, `store` or `none`.
    fn metadata_source_name(&self) -> String {
        match *lock(&self.metadata_source) {
            Some(SyncStep::Ask(address)) => address.to_string(),
            Some(SyncStep::ReadStore) => "store".to_owned(),
            Some(SyncStep::Wait) | None => "none".to_owned(),
        }
    }

    /// Returns the newest configuration if it was confirmed recently enough to act on.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no configuration is known, or if its last confirmation is so old that a
    /// key may have been withdrawn since.
    pub fn fresh_configuration(&self) -> Result<KnownConfiguration, Refusal> {
        let Some(known) = self.configuration.known() else {
            return Err(Refusal::new(Failure::Busy, "the node has read no configuration yet"));
        };
        let age_ms = now_ms().saturating_sub(known.confirmed_at_ms);
        match age_ms < self.settings.revoke_limit_ms.saturating_sub(FRESHNESS_MARGIN_MS) {
            true => Ok(known),
            false => {
                let detail = format!("the configuration has not been confirmed for {age_ms} ms");
                Err(Refusal::new(Failure::Busy, &detail))
            }
        }
    }

    /// Returns the time since the configuration was last confirmed, in milliseconds.
    pub fn configuration_age_ms(&self) -> Option<u64> {
        Some(now_ms().saturating_sub(self.configuration.known()?.confirmed_at_ms))
    }

    /// Returns whether the process is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Returns a token that is cancelled when idle sessions must be closed.
    pub fn session_drain(&self) -> &CancellationToken {
        &self.session_drain
    }

    /// Returns a token that is cancelled when open transactions must be rolled back.
    pub fn transaction_drain(&self) -> &CancellationToken {
        &self.transaction_drain
    }

    /// Returns how long a caller may be silent after its transaction was rolled back at a stop, in
    /// milliseconds: it can learn of it well before the grace period ends.
    pub(crate) fn aborted_idle_ms(&self) -> u64 {
        self.settings.grace_ms / 6
    }

    pub(crate) fn set_stopping(&self) {
        self.is_stopping.store(true, Ordering::Release);
    }

    /// Returns whether the node should receive new sessions.
    pub fn is_ready(&self) -> bool {
        // Half of the limit: if the store is lost, a session that arrives now is still served for
        // the other half, less the freshness margin.
        let limit_ms = self.settings.revoke_limit_ms / 2;
        !self.is_stopping() && self.configuration_age_ms().is_some_and(|age_ms| age_ms < limit_ms)
    }

    /// Returns the status that other nodes ask for.
    pub fn report(&self) -> PeerReport {
        let known = self.configuration.known();
        PeerReport {
            configuration_version: known.as_ref().map_or(0, |known| known.configuration.version),
            confirmation_age_ms: self.configuration_age_ms(),
            uptime_ms: now_ms().saturating_sub(self.started_at_ms),
            is_stopping: self.is_stopping(),
            owned: lock(&self.lease_table).held_services().len() as u64,
        }
    }

    /// Records the reading of the store's clock that came with the last answered call.
    pub(crate) fn record_store_clock(&self) {
        if let Some(reading) = self.dependencies.store.clock_reading() {
            lock(&self.lease_table).record_store_clock(&reading);
        }
    }

    /// Returns the candidates for ownership that are not known to be unresponsive, with the number
    /// of services that each node owns.
    pub(crate) fn placement(&self) -> Placement {
        let all = lock(&self.nodes).candidates();
        let is_unresponsive =
            |record: &NodeRecord| self.peers.unresponsive_for_ms(record.address).is_some();
        let candidates = match all.iter().any(is_unresponsive) {
            true => {
                Arc::new(all.iter().filter(|record| !is_unresponsive(record)).cloned().collect())
            }
            false => all,
        };
        Placement { candidates, loads: self.owner_directory.services_per_node() }
    }

    pub(crate) fn owned(&self, service: &str) -> Option<Arc<OwnedService>> {
        lock(&self.services).get(service).cloned()
    }

    /// Runs a statement if this node owns the service. Otherwise names the owner, if it is known.
    pub async fn run_owned(&self, call: Call) -> CallReply {
        let name = call.service.clone();
        let reply = match self.owned(&name) {
            Some(service) => service.run(call).await,
            None => CallReply::NotOwner { owner: None },
        };
        match reply {
            CallReply::NotOwner { owner: None } => {
                let me = self.settings.identity.address;
                let owner = self.owner_directory.owner(&name).filter(|owner| owner.address != me);
                CallReply::NotOwner { owner }
            }
            reply => reply,
        }
    }

    /// Aborts a transaction that another node opened, after the connection to that node has ended.
    pub fn abort_transaction(&self, service: &str, transaction: TransactionId) {
        if let Some(service) = self.owned(service) {
            service.abort_transaction(transaction);
        }
    }

    /// Runs a statement at the owner of its service, on this node or another. Returns the reply,
    /// and the address of the owner that gave it, where any open transaction is kept. The address
    /// is `None` if no owner answered.
    pub async fn call(&self, mut call: Call) -> (CallReply, Option<SocketAddr>) {
        let started_at_ms = now_ms();
        let queue_until_ms = started_at_ms.saturating_add(call.max_queue_ms);
        let deadline_at_ms = started_at_ms.saturating_add(call.deadline_ms);
        let objective_at_ms = started_at_ms.saturating_add(call.objective_ms);
        let mut changes = self.owner_directory.changes();
        let is_retry = self.is_retry(&call);
        let mut may_have_run = false;
        loop {
            let now_ms = now_ms();
            call.max_queue_ms = queue_until_ms.saturating_sub(now_ms);
            call.deadline_ms = deadline_at_ms.saturating_sub(now_ms);
            call.objective_ms = objective_at_ms.saturating_sub(now_ms);
            changes.mark_unchanged();
            if let Some(owner) = self.owner_directory.owner(&call.service) {
                // A refusal that says that the statement was not run must be true.
                if !may_have_run && let Some(refusal) = self.refuse_locally(&call, &owner, is_retry)
                {
                    return (CallReply::Refused(refusal), None);
                }
                let reply = self.call_at(owner.address, call.clone()).await;
                match reply {
                    Ok(CallReply::NotOwner { .. }) | Err(RelayError::NotSent(_)) => {}
                    Ok(reply) => {
                        self.record_owner_refusal(&call, owner.address, &reply);
                        return (reply, Some(owner.address));
                    }
                    Err(RelayError::NoAnswer(reason)) => {
                        may_have_run = true;
                        if let Some(refusal) = refusal_for_unanswered(&call, &reason) {
                            return (CallReply::Refused(refusal), None);
                        }
                    }
                }
            }
            self.refresh.notify_one();
            if let Some(wait_ms) = self.long_takeover_wait_ms(&call.service) {
                let detail =
                    format!("the owner of the service does not answer; retry after {wait_ms} ms");
                return (CallReply::Refused(Refusal::new(Failure::Busy, &detail)), None);
            }
            // No node can become owner while the store is unreachable.
            if self.configuration_age_ms().is_some_and(|age_ms| age_ms > STORE_UNREACHABLE_MS) {
                let detail = "no owner answers and the store is unreachable; retry after 1000 ms";
                return (CallReply::Refused(Refusal::new(Failure::Busy, detail)), None);
            }
            if crate::clock::now_ms() + OWNER_RETRY_INTERVAL.as_millis() as u64 >= queue_until_ms {
                let refusal = Refusal::new(Failure::Busy, "no node is known to own the service");
                return (CallReply::Refused(refusal), None);
            }
            tokio::select! {
                _ = changes.changed() => {}
                () = tokio::time::sleep(OWNER_RETRY_INTERVAL) => {}
            }
        }
    }

    /// Estimates the time until the lease of an unresponsive owner expires, in milliseconds, as if
    /// the owner had renewed it when it was found unresponsive. Returns `None` if the owner is not
    /// known to be unresponsive, or if the time is short enough for a statement to wait.
    fn long_takeover_wait_ms(&self, service: &str) -> Option<u64> {
        let owner = self.owner_directory.owner(service)?;
        let unresponsive_ms = self.peers.unresponsive_for_ms(owner.address)?;
        let lease_left_ms = LEASE_MS.saturating_sub(unresponsive_ms);
        (lease_left_ms > MAX_TAKEOVER_WAIT_MS).then_some(lease_left_ms)
    }

    /// Runs a statement at the node with this address.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the statement may have run.
    pub async fn call_at(&self, address: SocketAddr, call: Call) -> Result<CallReply, RelayError> {
        if address == self.settings.identity.address {
            let service = call.service.clone();
            let reply = self.run_owned(call).await;
            self.record_own_pressure(&service);
            return Ok(reply);
        }
        let service = call.service.clone();
        let may_abandon = !call.may_take_effect();
        let relayed = self.peers.run(address, call, may_abandon).await;
        let reply = relayed.map(|relayed| {
            self.record_pressure(&service, address, relayed.pressure);
            relayed.reply
        });
        match &reply {
            Ok(CallReply::NotOwner { owner: Some(owner) }) => {
                self.owner_directory.update(&service, owner.clone());
            }
            Ok(_) => {}
            Err(error) => {
                log::info!(
                    event = "relay_failed", service = &*service, peer = address.to_string(),
                    error = error.to_string();
                    "a statement could not be sent to another node, or was not answered"
                );
            }
        }
        reply
    }
}

/// Returns the refusal for a call that was sent and not answered; `None` if it may be retried.
pub(crate) fn refusal_for_unanswered(call: &Call, reason: &str) -> Option<Refusal> {
    let work = UnansweredWork {
        is_in_transaction: call.transaction.is_some() || call.begin.is_some(),
        may_write: match &call.action {
            CallAction::Run(work) => work.access == Access::Write,
            CallAction::Commit { .. } => true,
            CallAction::Rollback => false,
        },
        may_end_transaction: matches!(call.action, CallAction::Commit { .. }),
    };
    if work.may_be_retried() {
        return None;
    }
    Some(match work.may_have_taken_effect() {
        true => Refusal::new(Failure::InDoubt, &format!("may have taken effect: {reason}")),
        false => Refusal::new(Failure::Aborted, &format!("never committed: {reason}")),
    })
}
