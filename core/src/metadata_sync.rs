//! Synchronizes a node with the configuration, the leases, the list of nodes and the members.
//!
//! [`MetadataSource`] chooses whom to ask: the node that reads the store, another node that asks
//! that one, or the store itself. An answer tells how old its data is, counted from the read of the
//! store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::now_ms;
use crate::clock::unix_ms;
use crate::configuration::Configuration;
use crate::lease_records::LEASE_PREFIX;
use crate::lease_records::apply_lease;
use crate::lease_records::configured_services;
use crate::lease_records::lease_partition;
use crate::lease_table::LeaseRecord;
use crate::member_directory::MEMBERS_AGE_LIMIT_MS;
use crate::metadata_source::MetadataSource;
use crate::metadata_source::MetadataTopology;
use crate::metadata_source::SyncOutcome;
use crate::metadata_source::SyncStep;
use crate::name::Name;
use crate::node::Node;
use crate::node_directory::CANDIDATES_PER_ZONE;
use crate::node_record::HeardNode;
use crate::owner_directory::Owner;
use crate::relay::MetadataRequest;
use crate::relay::MetadataUpdate;
use crate::store::Record;
use crate::store::StoreError;
use crate::store_clock::ClockBounds;
use crate::store_clock::ClockReading;
use crate::sync::lock;

/// Interval of reads of the store. A change must be in force within a few seconds, and the
/// configuration must be confirmed again before it is too old to act on.
const READ_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval after a failed read of the store, and while the reader sees a lease that is overdue.
const URGENT_INTERVAL: Duration = Duration::from_millis(200);

/// Interval after a node had no recent metadata, before another one is asked.
const NEXT_SOURCE_INTERVAL: Duration = Duration::from_millis(30);

/// Shortest time between two requests for metadata. The asked node holds its answer back while it
/// has nothing new.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(300);

/// Divisor of the time within which a configuration must be in force, or a withdrawn key out of
/// use, that yields the greatest age of accepted metadata, and the lower bound of that age in
/// milliseconds. The other half of the time is left to find another source.
const METADATA_AGE_DIVISOR: u64 = 2;
const MIN_METADATA_AGE_LIMIT_MS: u64 = 1_500;

/// Percentage of the time within which a configuration must be in force after which a node that got
/// none from others reads the store itself.
const OWN_READ_PERCENT: u64 = 60;

/// Number of first candidates for a service that follow its lease, so that they notice at once when
/// it expires: the owner and one candidate may fail at once.
const FOLLOWER_COUNT: u64 = 3;

/// Number of successors of the reader that other nodes ask when it fails.
const DEPUTY_COUNT: usize = 3;

/// Number of deputies that read all records when they stand in for the reader.
const READING_DEPUTIES: u64 = 2;

/// Time between two reads of all records, in milliseconds: the store keeps as much history.
const WHOLE_READ_INTERVAL_MS: u64 = 20_000;

/// Time between two requests for the whole list of candidates, with the times at which they were
/// heard from, in milliseconds: several within the time after which a node is forgotten.
const CANDIDATE_REFRESH_MS: u64 = 8_000;

/// Synchronizes the node periodically, with another node or with the store.
pub(crate) async fn sync_metadata(node: Arc<Node>) {
    let jitter = xxh3_64(node.settings.identity.node.as_bytes());
    let mut source = MetadataSource::new(now_ms(), jitter);
    let mut has_failed = false;
    let mut refresh_at_ms = 0;
    loop {
        let started_at_ms = now_ms();
        lock(&node.nodes).expire(started_at_ms);
        let topology = topology(&node);
        let step = source.next(started_at_ms, &topology);
        let outcome = match step {
            SyncStep::ReadStore => {
                let synced = sync_from_store(&node, &topology).await;
                log_store_access(&mut has_failed, synced.as_ref().err());
                match synced {
                    Ok(true) => SyncOutcome::Recent,
                    Ok(false) => SyncOutcome::Outdated,
                    Err(_) => SyncOutcome::Failed,
                }
            }
            SyncStep::Ask(address) => {
                let wants_all = started_at_ms >= refresh_at_ms;
                // The answer may be held back for long.
                let outcome = tokio::select! {
                    () = node.stop.cancelled() => return,
                    outcome = sync_from_node(&node, address, wants_all) => outcome,
                };
                if wants_all && outcome == SyncOutcome::Recent {
                    refresh_at_ms = started_at_ms + CANDIDATE_REFRESH_MS;
                }
                outcome
            }
            SyncStep::Wait => SyncOutcome::Outdated,
        };
        source.record(now_ms(), step, outcome);
        node.record_sync(step, outcome);
        node.lease_wakeup.notify_one();
        let is_reader = topology.is_reader();
        let interval = match (step, outcome) {
            (SyncStep::Ask(_), SyncOutcome::Recent) => MIN_ASK_INTERVAL,
            (SyncStep::Ask(_) | SyncStep::Wait, _) => NEXT_SOURCE_INTERVAL,
            (SyncStep::ReadStore, SyncOutcome::Recent) if !is_reader => NEXT_SOURCE_INTERVAL,
            (SyncStep::ReadStore, SyncOutcome::Recent) if !has_overdue_lease(&node) => {
                READ_INTERVAL
            }
            (SyncStep::ReadStore, _) => URGENT_INTERVAL,
        };
        tokio::select! {
            () = node.stop.cancelled() => return,
            () = wait_for_round(&node, started_at_ms, interval) => {}
        }
    }
}

fn log_store_access(has_failed: &mut bool, error: Option<&StoreError>) {
    match error {
        None => {
            if std::mem::take(has_failed) {
                log::info!(
                    event = "store_reachable_again";
                    "synchronization with the store succeeded after it had failed"
                );
            }
        }
        Some(error) => {
            if !std::mem::replace(has_failed, true) {
                log::warn!(
                    event = "store_unreachable", error = error.to_string();
                    "synchronization with the store failed; logged once until it succeeds"
                );
            }
        }
    }
}

/// Waits until `interval` after the start of a round, or until a refresh is requested, but at least
/// until [`URGENT_INTERVAL`] after that start if the interval is longer.
async fn wait_for_round(node: &Node, started_at_ms: u64, interval: Duration) {
    let spent = Duration::from_millis(now_ms().saturating_sub(started_at_ms));
    let least = interval.min(URGENT_INTERVAL);
    tokio::time::sleep(least.saturating_sub(spent)).await;
    tokio::select! {
        () = tokio::time::sleep(interval.saturating_sub(spent.max(least))) => {}
        () = node.refresh.notified() => {}
    }
}

/// Returns whether any service has a lease that is free or not renewed in time.
fn has_overdue_lease(node: &Node) -> bool {
    let now_ms = now_ms();
    let services = configured_services(node);
    let leases = lock(&node.lease_table);
    services.iter().any(|service| leases.is_overdue(now_ms, service))
}

/// Returns the services whose leases this node needs: those that it owns, and those for which it is
/// among the first candidates.
fn followed_services(node: &Node) -> Vec<Name> {
    let me = &node.settings.identity.node;
    let placement = node.placement();
    let held = lock(&node.lease_table).held_services();
    let follows =
        |service: &Name| held.contains(service) || placement.rank(me, service) < FOLLOWER_COUNT;
    configured_services(node).into_iter().filter(follows).collect()
}

/// Returns the owner of the first service, by name, that has a known owner: the reader.
pub(crate) fn reader_address(node: &Node) -> Option<SocketAddr> {
    let services = configured_services(node);
    let owner = services.iter().find_map(|service| node.owner_directory.owner(service))?;
    Some(owner.address)
}

/// Returns the nodes among which this node chooses its source of metadata.
fn topology(node: &Node) -> MetadataTopology {
    let me = node.settings.identity.address;
    let reader = reader_address(node);
    let placement = node.placement();
    let first_service = configured_services(node).into_iter().next();
    let is_responsive = |address: &SocketAddr| node.peers.unresponsive_for_ms(*address).is_none();
    let successors: Vec<SocketAddr> = first_service
        .iter()
        .flat_map(|service| placement.takeover_order(service))
        .map(|record| record.address)
        .filter(|address| Some(*address) != reader && is_responsive(address))
        .collect();
    let is_candidate = lock(&node.nodes).is_candidate();
    let zone = &node.settings.zone;
    let relays: Vec<SocketAddr> = placement
        .candidates
        .iter()
        .filter(|record| !is_candidate && record.zone == *zone)
        .map(|record| record.address)
        // The reader has enough to answer already.
        .filter(|address| Some(*address) != reader && is_responsive(address))
        .collect();
    let rank = successors.iter().position(|address| *address == me);
    MetadataTopology {
        me: Some(me),
        reader,
        // The node may be too new for the others to know that it is no candidate.
        relays: if relays.len() < CANDIDATES_PER_ZONE / 2 { Vec::new() } else { relays },
        deputies: successors.into_iter().take(DEPUTY_COUNT).collect(),
        deputy_rank: rank.map(|rank| rank as u64),
        seeds: node.settings.seeds.clone(),
        age_ms: node.configuration_age_ms(),
        own_read_age_ms: node.settings.apply_limit_ms * OWN_READ_PERCENT / 100,
    }
}

/// Reads from the store the configuration, and the lease that names the reader.
async fn look_up_reader(node: &Node) -> Result<(), StoreError> {
    let sent_at_ms = now_ms();
    if let Some(configuration) = node.dependencies.store.read_configuration().await? {
        apply_configuration(node, configuration, sent_at_ms);
    }
    if let Some(first) = configured_services(node).first() {
        let records = node.dependencies.store.read_partition(&lease_partition(first)).await?;
        node.record_store_clock();
        records.iter().for_each(|record| apply_record(node, record, now_ms()));
    }
    Ok(())
}

/// Synchronizes with another node.
async fn sync_from_node(node: &Node, address: SocketAddr, wants_all: bool) -> SyncOutcome {
    let known = node.configuration.known();
    let members_digest = node.members.digest();
    let owns_some = !lock(&node.services).is_empty();
    let (sender, candidates) = {
        let nodes = lock(&node.nodes);
        (nodes.me().clone(), (!wants_all).then(|| nodes.digest()))
    };
    let (configuration, owners) = node.metadata_digests();
    let request = MetadataRequest {
        sender,
        confirmation_age_ms: node.configuration_age_ms(),
        configuration,
        owners,
        candidates,
        members: owns_some.then_some(members_digest),
        leases: followed_services(node),
        clock_offsets_ms: node.usage_offset_sample(),
    };
    let version = known.map_or(0, |known| known.configuration.version);
    let limit_ms = node.metadata_age_limit_ms();
    let sent_at_ms = now_ms();
    match node.peers.fetch_metadata(address, request).await {
        Ok(Some(update)) if update.confirmation_age_ms <= limit_ms => {
            apply_update(node, update, version, members_digest, sent_at_ms);
            let is_old = |age_ms: u64| age_ms > MEMBERS_AGE_LIMIT_MS;
            if owns_some && node.members.age_ms(now_ms()).is_none_or(is_old) {
                refresh_members(node).await;
            }
            SyncOutcome::Recent
        }
        Ok(update) => {
            if let Some(candidates) = update.as_ref().and_then(|update| update.candidates.clone()) {
                apply_candidates(node, candidates);
            }
            log::info!(
                event = "metadata_unusable", peer = address.to_string(),
                age_ms = update.map_or(0, |update| update.confirmation_age_ms);
                "the asked node returned no metadata, or metadata that is too old"
            );
            SyncOutcome::Outdated
        }
        Err(error) => {
            log::info!(
                event = "metadata_unanswered", peer = address.to_string(),
                error = error.to_string();
                "the asked node did not answer a request for metadata"
            );
            SyncOutcome::Failed
        }
    }
}

/// Applies the answer to a request that was sent at `sent_at_ms`, when this node had `version` of
/// the configuration and the list of members with `members_digest`.
fn apply_update(
    node: &Node,
    update: MetadataUpdate,
    version: u64,
    members_digest: u64,
    sent_at_ms: u64,
) {
    let answered_at_ms = now_ms();
    let confirmed_at_ms = sent_at_ms.saturating_sub(update.confirmation_age_ms);
    match update.configuration {
        Some(configuration) => apply_configuration(node, configuration, confirmed_at_ms),
        None => node.configuration.confirm(version, confirmed_at_ms),
    }
    if let Some(ClockBounds { at_most_ms, at_least_ms }) = update.store_clock {
        let received_at_ms = answered_at_ms;
        let reading = ClockReading { sent_at_ms, received_at_ms, at_most_ms, at_least_ms };
        lock(&node.lease_table).record_store_clock(&reading);
    }
    node.usage.adopt_offset(update.fleet_offset_ms);
    apply_candidates(node, update.candidates.unwrap_or_default());
    for (service, owner) in update.owners.unwrap_or_default() {
        apply_owner(node, &service, owner);
    }
    if let Some(age_ms) = update.members_age_ms {
        let read_at_ms = sent_at_ms.saturating_sub(age_ms);
        match update.members {
            Some(members) => node.members.update(members, read_at_ms),
            None => node.members.confirm(members_digest, read_at_ms),
        }
    }
    for lease in update.leases {
        let observed_at_ms = answered_at_ms.saturating_sub(lease.unchanged_for_ms);
        match lease.record {
            Some(record) => {
                apply_lease(node, observed_at_ms, &lease.service, record, lease.version);
            }
            None => lock(&node.lease_table).observe(observed_at_ms, &lease.service, None, 0),
        }
        lock(&node.lease_table).confirm(confirmed_at_ms, &lease.service);
    }
}

fn apply_candidates(node: &Node, candidates: Vec<HeardNode>) {
    let now_ms = now_ms();
    let mut nodes = lock(&node.nodes);
    for heard in candidates {
        nodes.observe(now_ms, heard.record, heard.heard_age_ms);
    }
}

fn apply_owner(node: &Node, service: &Name, owner: Owner) {
    if node.owner_directory.update(service, owner.clone()) {
        log::info!(
            event = "owner_changed", service = &**service, owner = &*owner.node,
            version = owner.version, released = owner.is_released; ""
        );
    }
}

fn apply_configuration(node: &Node, configuration: Configuration, confirmed_at_ms: u64) {
    let version = configuration.version;
    let evacuated = configuration.evacuated.len();
    if node.configuration.update(configuration, confirmed_at_ms) {
        log::info!(
            event = "configuration_applied", version = version, zones_evacuated = evacuated,
            age_ms = now_ms().saturating_sub(confirmed_at_ms); ""
        );
    }
}

/// Synchronizes with the store. A node that is neither the reader nor one of its first deputies
/// reads no more than it needs to find the reader. Returns whether a configuration was found.
async fn sync_from_store(node: &Node, topology: &MetadataTopology) -> Result<bool, StoreError> {
    let stands_in = topology.deputy_rank.is_some_and(|rank| rank < READING_DEPUTIES);
    let starts = node.configuration.known().is_none();
    // All nodes may have started at once, and wait for the seeds.
    let reads_all = topology.is_reader() || if starts { topology.is_seed() } else { stands_in };
    if !reads_all {
        look_up_reader(node).await?;
        if reader_address(node).is_some() || node.configuration.known().is_none() {
            return Ok(node.configuration.known().is_some());
        }
    }
    read_store(node).await?;
    Ok(node.configuration.known().is_some())
}

/// Reads the configuration, the records that changed, and the members if this node owns a service.
async fn read_store(node: &Node) -> Result<(), StoreError> {
    let store = &node.dependencies.store;
    let sent_at_ms = now_ms();
    let owns_some = !lock(&node.services).is_empty();
    let reading_members = async {
        if owns_some {
            refresh_members(node).await;
        }
    };
    let configuration = store.read_configuration().await;
    if let Err(StoreError::NotDone(reason)) = configuration {
        return Err(StoreError::NotDone(reason));
    }
    if let Ok(Some(configuration)) = &configuration {
        apply_configuration(node, configuration.clone(), sent_at_ms);
        // Other nodes need not wait for the records, unless they would not learn of the reader.
        if reader_address(node).is_some() {
            node.notify_synced();
        }
    }
    let (records, ()) = futures::join!(read_changed_records(node), reading_members);
    apply_records(node, &records?, sent_at_ms);
    configuration.map(drop)
}

/// Reads the records that changed since the last read, or all records if there was no such read, if
/// the history since then is gone, or if the last read of all records is too long ago.
async fn read_changed_records(node: &Node) -> Result<Vec<Record>, StoreError> {
    let known = *lock(&node.records_version);
    // The store's history may lack changes; a periodic read of all records finds them.
    let known = known.filter(|(_, read_at_ms)| now_ms() < read_at_ms + WHOLE_READ_INTERVAL_MS);
    if let Some((after, read_at_ms)) = known
        && let Some((records, version)) = node.dependencies.store.read_changes(after).await?
    {
        *lock(&node.records_version) = Some((version, read_at_ms));
        return Ok(records);
    }
    let read_at_ms = now_ms();
    let (records, version) = node.dependencies.store.read_records().await?;
    *lock(&node.records_version) = Some((version, read_at_ms));
    Ok(records)
}

/// Reads the list of members from the store.
pub(crate) async fn refresh_members(node: &Node) {
    let sent_at_ms = now_ms();
    match node.dependencies.store.read_members().await {
        Ok(members) => node.members.update(members, sent_at_ms),
        Err(error) => {
            log::info!(
                event = "member_list_read_failed", error = error.to_string();
                "the list of members is read again in the next round of synchronization"
            );
        }
    }
}

fn apply_records(node: &Node, records: &[Record], sent_at_ms: u64) {
    let now_ms = now_ms();
    node.record_store_clock();
    for record in records {
        apply_record(node, record, now_ms);
    }
    let mut leases = lock(&node.lease_table);
    for service in configured_services(node) {
        if leases.record(&service).is_none() {
            leases.observe(now_ms, &service, None, 0);
        }
        leases.confirm(sent_at_ms, &service);
    }
}

fn apply_record(node: &Node, record: &Record, now_ms: u64) {
    if let Some(service) = record.key.strip_prefix(LEASE_PREFIX) {
        match serde_json::from_slice::<LeaseRecord>(&record.value) {
            Ok(lease) => apply_lease(node, now_ms, &service.into(), lease, record.version),
            Err(error) => {
                log::warn!(
                    event = "lease_record_unreadable", key = &*record.key,
                    error = error.to_string();
                    "the lease record cannot be decoded and is ignored"
                );
            }
        }
    }
}

impl Node {
    /// Returns the greatest age of metadata that this node accepts, in milliseconds.
    fn metadata_age_limit_ms(&self) -> u64 {
        let limit_ms = self.settings.revoke_limit_ms.min(self.settings.apply_limit_ms);
        (limit_ms / METADATA_AGE_DIVISOR).max(MIN_METADATA_AGE_LIMIT_MS)
    }

    /// Returns the offsets of clocks that this node reports with a request for metadata.
    fn usage_offset_sample(&self) -> Vec<i64> {
        let now_ms = now_ms();
        let bounds = lock(&self.lease_table).store_clock(now_ms);
        self.usage.offset_sample(now_ms, bounds, unix_ms())
    }

    /// Tells waiting requests of other nodes that the metadata was confirmed.
    fn notify_synced(&self) {
        self.synced.send_modify(|count| *count += 1);
    }

    /// Records the result of a round of synchronization.
    fn record_sync(&self, step: SyncStep, outcome: SyncOutcome) {
        if outcome == SyncOutcome::Recent {
            self.notify_synced();
            *lock(&self.metadata_source) = Some(step);
        }
    }
}
