//! Acquires, renews and hands over the ownership of services, and starts and stops the node's
//! tasks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;

use crate::clock::now_ms;
use crate::lease_records::LEASE_PREFIX;
use crate::lease_records::apply_lease;
use crate::lease_records::configured_services;
use crate::lease_records::lease_partition;
use crate::lease_table::LeaseRecord;
use crate::lease_table::LeaseWrite;
use crate::member::MemberEntry;
use crate::member::MemberError;
use crate::member::MemberKey;
use crate::metadata_sync;
use crate::name::Name;
use crate::node::Node;
use crate::node_record::NodeRecord;
use crate::outcome::Failure;
use crate::owner_directory::Owner;
use crate::placement::NodeLoad;
use crate::placement::handover_order;
use crate::placement::share_with_one_more;
use crate::rebalancer;
use crate::relay::LeaseOffer;
use crate::relay::PeerReport;
use crate::service::NodeHandle;
use crate::service::OwnedService;
use crate::service::ServiceContext;
use crate::store::StoreError;
use crate::store::WriteOutcome;
use crate::succession::Leadership;
use crate::sync::lock;
use crate::usage;

/// Interval at which the lease table is checked for due writes.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Longest wait for open transactions to end before a service is handed over. Most transactions
/// end within it, and new statements have to wait meanwhile.
const HANDOVER_DRAIN_LIMIT: Duration = Duration::from_millis(700);

/// Longest wait for a connection to a member, or for another node to tell whether it can connect.
const MEMBER_CHECK_TIMEOUT: Duration = Duration::from_millis(350);

/// Number of nodes that are asked whether they reach a member that this node does not reach.
const MAX_MEMBER_CHECKS: usize = 8;

/// Remaining lease at which a service is offered to other nodes although the store is not known to
/// be unreachable, in milliseconds: leaves time to finish running statements.
const OFFER_THRESHOLD_MS: u64 = 1_200;

/// Number of candidates for ownership that are asked whether they reach the store: two of them may
/// fail to answer or not reach it.
const NEW_OWNER_CANDIDATES: usize = 3;

/// Longest wait for the store to answer a check of whether it is reachable.
const STORE_CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which an unanswered write of a lease leads to a check of the store by a read: longer
/// than a write usually takes, shorter than a write to a slow store.
const SLOW_WRITE_THRESHOLD: Duration = Duration::from_millis(500);

/// Number of attempts to record a change of primary in a lease. Renewals that are on their way can
/// make an attempt fail.
const RECORD_ATTEMPTS: u32 = 3;

/// Returns a random identity for a new process.
pub fn new_incarnation() -> u64 {
    rand::random()
}

/// Starts the background tasks of a node.
pub fn start(node: &Arc<Node>) {
    node.tasks.spawn(metadata_sync::sync_metadata(node.clone()));
    node.tasks.spawn(maintain_leases(node.clone()));
    node.tasks.spawn(rebalancer::rebalance_services(node.clone()));
    usage::tasks::start(node);
}

/// Acquires, renews and releases leases, and hands services over, until the node stops.
async fn maintain_leases(node: Arc<Node>) {
    loop {
        tokio::select! {
            () = node.stop.cancelled() => return,
            () = tokio::time::sleep(LEASE_POLL_INTERVAL) => {}
            () = node.lease_wakeup.notified() => {}
        }
        node.record_store_clock();
        let services = configured_services(&node);
        let placement = node.placement();
        let me = &node.settings.identity.node;
        let is_stopping = node.is_stopping();
        let rank = |service: &Name| (!is_stopping).then(|| placement.rank(me, service));
        let writes = lock(&node.lease_table).due_writes(now_ms(), &services, rank);
        for write in writes {
            let node = node.clone();
            node.tasks.clone().spawn(async move { write_lease(&node, write).await });
        }
        apply_lease_state(&node);
        start_requested_handovers(&node);
        offer_services_without_store(&node);
    }
}

/// Writes a lease and applies the result. Returns whether the lease was written.
async fn write_lease(node: &Arc<Node>, write: LeaseWrite) -> bool {
    let key = format!("{LEASE_PREFIX}{}", write.service);
    let Ok(value) = serde_json::to_vec(&write.record) else { return false };
    let partition = lease_partition(&write.service);
    let writing = node.dependencies.store.write_record(&partition, &key, &value, write.expected);
    tokio::pin!(writing);
    let outcome = tokio::select! {
        outcome = &mut writing => outcome,
        () = tokio::time::sleep(SLOW_WRITE_THRESHOLD) => {
            record_store_reachability(node, &write.service, false).await;
            writing.await
        }
    };
    record_store_reachability(node, &write.service, outcome.is_ok()).await;
    if matches!(outcome, Err(StoreError::NotDone(_))) {
        lock(&node.lease_table).schedule_retry(now_ms(), &write.service);
    }
    let written = apply_write_outcome(node, write, outcome) == LeaseWriteResult::Written;
    apply_lease_state(node);
    written
}

/// Result of a write of a lease, applied to the lease table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaseWriteResult {
    /// The record is stored.
    Written,
    /// The store had another version, which this node now knows.
    Conflict,
    /// The record is not known to be stored.
    Failed,
}

/// Applies the outcome of a write of a lease to the lease table.
fn apply_write_outcome(
    node: &Node,
    write: LeaseWrite,
    outcome: Result<WriteOutcome, StoreError>,
) -> LeaseWriteResult {
    let now_ms = now_ms();
    match outcome {
        Ok(WriteOutcome::Written(version)) => {
            apply_lease(node, now_ms, &write.service, write.record, version);
            LeaseWriteResult::Written
        }
        Ok(WriteOutcome::Conflict(Some(record))) => {
            match serde_json::from_slice::<LeaseRecord>(&record.value) {
                Ok(lease) => apply_lease(node, now_ms, &write.service, lease, record.version),
                Err(error) => {
                    log::warn!(
                        event = "lease_record_unreadable", service = &*write.service,
                        error = error.to_string();
                        "the lease record that the store holds cannot be decoded and is ignored"
                    );
                }
            }
            LeaseWriteResult::Conflict
        }
        Ok(WriteOutcome::Conflict(None)) => LeaseWriteResult::Failed,
        Err(error) => {
            log::info!(
                event = "lease_write_failed", service = &*write.service,
                renewal = write.record.renewal, error = error.to_string();
                "the lease is not known to be written; the write is repeated if it is still due"
            );
            node.refresh.notify_one();
            LeaseWriteResult::Failed
        }
    }
}

/// Records whether this node reaches the store. A store that answers a read but no write counts as
/// slow, not as unreachable.
async fn record_store_reachability(node: &Node, service: &Name, is_write_answered: bool) {
    let Some(owned) = node.owned(service) else { return };
    match is_write_answered || node.reaches_store().await {
        true => owned.mark_store_reachable(),
        false => owned.mark_store_unreachable(),
    }
}

/// Starts, extends and stops owned services according to the lease table.
fn apply_lease_state(node: &Arc<Node>) {
    let now_ms = now_ms();
    let leases = lock(&node.lease_table);
    let held: Vec<(Name, u64, u64, Leadership)> = leases
        .held_services()
        .into_iter()
        .filter_map(|service| {
            let (valid_until_ms, token) = leases.active_lease(now_ms, &service)?;
            let leadership = leases.leadership(&service);
            Some((service, valid_until_ms, token, leadership))
        })
        .collect();
    drop(leases);
    let mut services = lock(&node.services);
    let mut ended = Vec::new();
    services.retain(|name, service| {
        let is_held = held
            .iter()
            .any(|(held, _, token, _)| held == name && *token == service.fencing_token());
        // The handover itself stops the service.
        if !is_held && !service.is_handing_over() {
            ended.push((name.clone(), service.clone()));
        }
        is_held || service.is_handing_over()
    });
    for (name, valid_until_ms, token, leadership) in held {
        if let Some(service) = services.get(&name) {
            // A former ownership that is still being handed over keeps its own lease.
            if service.fencing_token() == token {
                service.extend_lease(valid_until_ms);
            }
            continue;
        }
        let context = ServiceContext {
            zone: node.settings.zone.clone(),
            connector: node.dependencies.connector.clone(),
            promoter: node.dependencies.promoter.clone(),
            members: node.members.clone(),
            configuration: node.configuration.clone(),
            metrics: node.metrics.clone(),
            usage: node.usage.meter.clone(),
            promotion_wait_ms: node.settings.promotion_wait_ms,
            apply_limit_ms: node.settings.apply_limit_ms,
            node: node.clone(),
        };
        log::info!(event = "ownership_started", service = &*name, token = token; "");
        let service = OwnedService::start(name.clone(), context, token, valid_until_ms, leadership);
        services.insert(name, service);
        let node = node.clone();
        node.tasks.clone().spawn(async move { metadata_sync::refresh_members(&node).await });
    }
    drop(services);
    for (name, service) in ended {
        log::warn!(
            event = "ownership_ended", service = &*name, token = service.fencing_token();
            "this process no longer holds the lease"
        );
        node.tasks.spawn(async move { service.stop().await });
    }
}

/// Starts the handovers that owned services have requested.
fn start_requested_handovers(node: &Arc<Node>) {
    let owned: Vec<(Name, Arc<OwnedService>)> =
        lock(&node.services).iter().map(|(name, owned)| (name.clone(), owned.clone())).collect();
    for (service, owned) in owned {
        let Some(request) = owned.take_handover_request() else { continue };
        let node = node.clone();
        node.tasks.clone().spawn(async move {
            hand_over(&node, &service, request.preferred_owner, &request.reason).await;
        });
    }
}

/// Hands services over when this node does not reach the store or their leases are about to expire,
/// in case other nodes still reach it.
fn offer_services_without_store(node: &Arc<Node>) {
    if node.is_stopping() {
        return;
    }
    let now_ms = now_ms();
    let services: Vec<Name> = lock(&node.services)
        .iter()
        .filter(|(_, service)| {
            let is_due = service.is_store_unreachable()
                || service.lease_left_ms(now_ms) < OFFER_THRESHOLD_MS;
            service.is_open() && is_due
        })
        .filter(|(_, service)| service.begin_offer_if_due(now_ms))
        .map(|(name, _)| name.clone())
        .collect();
    for service in services {
        let node = node.clone();
        node.tasks.clone().spawn(async move {
            // If no node reaches the store, the service stays here.
            if let Some(new_owner) = find_new_owner(&node).await {
                hand_over(&node, &service, Some(new_owner), "the lease cannot be renewed").await;
            }
        });
    }
}

/// Returns the node that should take over a service, if one is found: it reaches the store and
/// carries little for its capacity. A stopping node chooses the least loaded one, and among equals
/// the one that started last, because a rolling restart does not stop that one next. Other owners
/// choose by [`handover_order`], so that owners that lose the store at the same moment do not all
/// choose the same node.
async fn find_new_owner(node: &Node) -> Option<Name> {
    let me = node.settings.identity.node.clone();
    let placement = node.placement();
    let others: Vec<NodeRecord> =
        placement.candidates.iter().filter(|record| record.name != me).cloned().collect();
    let status_requests = others.into_iter().map(|record| async move {
        let report = node.peers.report(record.address).await.ok()?;
        Some((record, report))
    });
    let reports: Vec<(NodeRecord, PeerReport)> =
        join_all(status_requests).await.into_iter().flatten().collect();
    let mut eligible: Vec<(NodeRecord, PeerReport)> =
        reports.into_iter().filter(|(_, report)| !report.is_stopping).collect();
    let known = |record: &NodeRecord| placement.loads.get(&record.name).copied().unwrap_or(0);
    if node.is_stopping() {
        eligible.sort_by_key(|(record, report)| {
            let share = share_with_one_more(known(record).max(report.owned), record.capacity);
            (!report.has_recent_confirmation(), share, report.uptime_ms)
        });
        eligible.truncate(NEW_OWNER_CANDIDATES);
    } else {
        let (confirmed, others): (Vec<_>, Vec<_>) =
            eligible.into_iter().partition(|(_, report)| report.has_recent_confirmation());
        eligible = Vec::new();
        for group in [confirmed, others] {
            let load = |(record, report): &(NodeRecord, PeerReport)| NodeLoad {
                capacity: record.capacity,
                reported: report.owned,
                known: known(record).max(report.owned),
            };
            let loads: Vec<NodeLoad> = group.iter().map(load).collect();
            let missing = NEW_OWNER_CANDIDATES - eligible.len();
            let chosen = handover_order(&loads, missing, &mut rand::rng());
            eligible.extend(chosen.into_iter().map(|index| group[index].clone()));
        }
    }
    let store_checks = eligible.into_iter().map(|(record, _)| async move {
        let answer = node.peers.reaches_store(record.address).await;
        (record.name, answer == Ok(true))
    });
    let answers = join_all(store_checks).await;
    answers.into_iter().find_map(|(name, reaches)| reaches.then_some(name))
}

/// Hands a service over to another node. The new owner acquires the lease first and becomes active
/// when this node has closed the service, so that callers do not wait for a slow store. If no node
/// acquires the lease, a node that is stopping releases it, and any other node keeps the service.
pub async fn hand_over(node: &Arc<Node>, service: &Name, new_owner: Option<Name>, reason: &str) {
    let Some(owned) = node.owned(service) else { return };
    if !owned.start_handing_over() {
        return;
    }
    let new_owner = match new_owner {
        Some(new_owner) => Some(new_owner),
        None => find_new_owner(node).await,
    };
    log::info!(
        event = "handover_started", service = &**service, reason = reason,
        new_owner = new_owner.as_deref().unwrap_or("-"),
        transactions = owned.open_transactions(); ""
    );
    lock(&node.lease_table).set_renewal_paused(service, true);
    let accepted_by = match &new_owner {
        Some(new_owner) => offer_lease(node, service, new_owner).await,
        None => None,
    };
    if accepted_by.is_none() && !node.is_stopping() {
        log::info!(
            event = "handover_failed", service = &**service;
            "no node took the service over; this node renews the lease again"
        );
        lock(&node.lease_table).set_renewal_paused(service, false);
        owned.stop_handing_over();
        return;
    }
    let lease_left = Duration::from_millis(owned.lease_left_ms(now_ms()));
    owned.close(HANDOVER_DRAIN_LIMIT.min(lease_left)).await;
    match &accepted_by {
        Some(owner) => {
            node.owner_directory.update(service, owner.clone());
            if let Err(error) =
                node.peers.activate(owner.address, service.clone(), owner.version).await
            {
                log::info!(
                    event = "new_owner_activation_failed", service = &**service,
                    new_owner = &*owner.node, error = error.to_string();
                    "the new owner becomes active when the lease of this node would have expired"
                );
            }
        }
        None => {
            let write = lock(&node.lease_table).release(now_ms(), service, new_owner.clone());
            if let Some(write) = write {
                write_lease(node, write).await;
            }
        }
    }
    log::info!(
        event = "handover_ended", service = &**service,
        owner = accepted_by.as_ref().map_or("-", |owner| &*owner.node); ""
    );
    lock(&node.services).remove(service);
    owned.stop().await;
    node.refresh.notify_one();
}

/// Offers a lease to another node. Returns that node as owner if it acquired the lease.
async fn offer_lease(node: &Node, service: &Name, new_owner: &Name) -> Option<Owner> {
    let address = lock(&node.nodes).get(new_owner)?.address;
    let (record, version) = {
        let leases = lock(&node.lease_table);
        let (record, version) = leases.record(service)?;
        (record.clone(), version)
    };
    let offer = LeaseOffer { service: service.clone(), record, version };
    match node.peers.offer_lease(address, offer).await {
        Ok(owner) => owner,
        Err(error) => {
            log::info!(
                event = "lease_offer_failed", service = &**service,
                new_owner = &**new_owner, error = error.to_string();
                "the chosen new owner did not tell whether it acquired the lease"
            );
            None
        }
    }
}

impl Node {
    /// Activates this node's ownership of a service after the previous owner has closed it. `version` is
    /// that of the lease record by which this node accepted the offer.
    pub(crate) fn activate_ownership(self: &Arc<Self>, service: &Name, version: u64) {
        lock(&self.lease_table).activate(service, version);
        apply_lease_state(self);
    }

    /// Acquires a lease that its holder hands over. Returns this node as owner if it succeeded.
    pub async fn accept_offer(self: &Arc<Self>, offer: LeaseOffer) -> Option<Owner> {
        if self.is_stopping() {
            return None;
        }
        let write = {
            let mut leases = lock(&self.lease_table);
            let now_ms = now_ms();
            leases.accept_offer(now_ms, &offer.service, offer.record, offer.version);
            leases.due_writes(now_ms, std::slice::from_ref(&offer.service), |_| Some(0)).pop()?
        };
        write_lease(self, write).await;
        let me = self.settings.identity.address;
        self.owner_directory.owner(&offer.service).filter(|owner| owner.address == me)
    }

    /// Returns whether this node reaches a member of a service at an address. A member that refuses
    /// the connection counts as reached, unless it refuses as not being the expected one.
    pub async fn reaches_member(&self, service: &str, address: SocketAddr) -> bool {
        let member = MemberEntry {
            key: MemberKey { id: "".into(), incarnation: 0 },
            service: service.into(),
            address,
            zone: "".into(),
            slots: 1,
            is_draining: false,
            cold_ms: 0,
            claims_primary: false,
        };
        let connecting =
            self.dependencies.connector.connect(&member, crate::service::SYSTEM_TENANT);
        match tokio::time::timeout(MEMBER_CHECK_TIMEOUT, connecting).await {
            Ok(Ok(_)) => true,
            Ok(Err(MemberError::Refused(refusal))) => refusal.failure != Failure::WrongMember,
            _ => false,
        }
    }

    /// Returns whether the store answers a read by this node in time.
    pub async fn reaches_store(&self) -> bool {
        let newest = lock(&self.lease_table).newest_version();
        let after = lock(&self.records_version).map_or(newest, |(version, _)| version);
        let reading = self.dependencies.store.read_changes(after);
        matches!(tokio::time::timeout(STORE_CHECK_TIMEOUT, reading).await, Ok(Ok(_)))
    }

    /// Shuts down: hands all services over, asks idle sessions to close once load balancers see the
    /// node as unready, and has open transactions rolled back after half of the grace period.
    pub async fn shut_down(self: &Arc<Self>) {
        self.set_stopping();
        log::info!(event = "node_stopping", grace_ms = self.settings.grace_ms; "");
        let services: Vec<Name> = lock(&self.services).keys().cloned().collect();
        let handovers =
            join_all(services.iter().map(|service| hand_over(self, service, None, "stopping")));
        // The load balancer has seen two readiness checks fail by then.
        let unready_ms = self.settings.grace_ms * 2 / 5;
        let drains = async {
            tokio::time::sleep(Duration::from_millis(unready_ms)).await;
            self.session_drain.cancel();
            let half_ms = self.settings.grace_ms / 2;
            tokio::time::sleep(Duration::from_millis(half_ms - unready_ms)).await;
            self.transaction_drain.cancel();
        };
        futures::join!(handovers, drains);
        usage::tasks::flush(self).await;
    }

    /// Stops all services and tasks of the node at once.
    pub async fn terminate(&self) {
        self.stop.cancel();
        let services: Vec<Arc<OwnedService>> =
            lock(&self.services).drain().map(|(_, service)| service).collect();
        join_all(services.iter().map(|service| service.stop())).await;
        self.tasks.close();
        self.tasks.wait().await;
    }
}

#[async_trait::async_trait]
impl NodeHandle for Node {
    async fn admit_operation(&self, tenant: &Name, level: u32) -> Result<(), u64> {
        Node::admit_operation(self, tenant, level).await
    }

    async fn record_leadership(&self, service: &Name, leadership: Leadership) -> bool {
        let former = lock(&self.lease_table).leadership(service);
        for _ in 0..RECORD_ATTEMPTS {
            let write =
                lock(&self.lease_table).set_leadership(now_ms(), service, leadership.clone());
            let Some(write) = write else { return false };
            let key = format!("{LEASE_PREFIX}{service}");
            let Ok(value) = serde_json::to_vec(&write.record) else { return false };
            let partition = lease_partition(service);
            let store = &self.dependencies.store;
            let outcome = store.write_record(&partition, &key, &value, write.expected).await;
            match apply_write_outcome(self, write, outcome) {
                LeaseWriteResult::Written => return true,
                // A renewal was on its way.
                LeaseWriteResult::Conflict => {}
                LeaseWriteResult::Failed => break,
            }
        }
        let mut leases = lock(&self.lease_table);
        leases.restore_leadership(service, former);
        leases.schedule_retry(now_ms(), service);
        false
    }

    async fn find_node_reaching(&self, service: &Name, member: SocketAddr) -> Option<Name> {
        let me = &self.settings.identity.node;
        let placement = self.placement();
        let mut others = placement.takeover_order(service);
        others.retain(|record| record.name != *me);
        others.truncate(MAX_MEMBER_CHECKS);
        let checks = others.into_iter().map(|record| async move {
            let check = self.peers.reaches_member(record.address, service.clone(), member);
            let reached = tokio::time::timeout(MEMBER_CHECK_TIMEOUT, check).await;
            matches!(reached, Ok(Ok(true))).then(|| record.name.clone())
        });
        join_all(checks).await.into_iter().flatten().next()
    }

    fn request_handover(&self, service: &Name, new_owner: Option<Name>, reason: &str) {
        let Some(owned) = self.owned(service) else { return };
        owned.request_handover(new_owner, reason);
    }
}
