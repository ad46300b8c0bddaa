//! Synchronizes a node with the configuration, the leases, the list of nodes and the members.
//!
//! One node, the reader, reads the store: the owner of the first service, by name, that has a known
//! owner. All other nodes ask the reader, which tells how old its data is. A node reads the store
//! itself while the reader does not answer or has only old data.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::now_ms;
use crate::configuration::Configuration;
use crate::lease_records::LEASE_PREFIX;
use crate::lease_records::apply_lease;
use crate::lease_records::configured_services;
use crate::lease_records::lease_partition;
use crate::lease_records::takeover_rank;
use crate::lease_table::LeaseRecord;
use crate::name::Name;
use crate::node::Node;
use crate::node_record::NodeRecord;
use crate::owner_directory::Owner;
use crate::relay::MetadataRequest;
use crate::relay::MetadataUpdate;
use crate::store::Record;
use crate::store::StoreError;
use crate::store::WriteOutcome;
use crate::store_clock::ClockBounds;
use crate::store_clock::ClockReading;
use crate::sync::lock;

/// Interval of synchronization. A change must be in force within a few seconds, and the
/// configuration must be confirmed again before it is too old to act on.
const ROUND_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval of synchronization after a failed round, and while this node is among the first
/// candidates for a service whose lease is free or overdue.
const URGENT_INTERVAL: Duration = Duration::from_millis(200);

/// Delay before a node that is not the reader reads the store again after a failure, in
/// milliseconds. The reader tries in each round, and the others get the data from it. If all nodes
/// tried that often, the load would keep the store from recovering.
const STORE_RETRY_MS: u64 = 1_000;

/// Age of the reader's data up to which other nodes accept it, in milliseconds. Older data means
/// that the reader no longer reaches the store.
const MAX_METADATA_AGE_MS: u64 = 1_500;

/// Number of first candidates for a service that follow its lease, so that they notice at once when
/// it expires: the owner and one candidate may fail at once.
const FOLLOWER_COUNT: u64 = 3;

/// Time between two reads of all records, in milliseconds: the store keeps as much history.
const WHOLE_READ_INTERVAL_MS: u64 = 20_000;

/// Rounds for which a node that has just started waits for the reader before it reads all records
/// itself. When all nodes start at once, the reader needs about two rounds.
const STARTUP_ROUNDS: u32 = 3;

/// Store partition that holds the records of nodes.
const NODE_PARTITION: &str = "nodes";

/// Key prefix of the records of nodes.
const NODE_PREFIX: &str = "node/";

/// Synchronizes the node periodically, with the reader or else with the store.
pub(crate) async fn sync_metadata(node: Arc<Node>) {
    let mut is_published = false;
    let mut has_failed = false;
    let mut startup_rounds = STARTUP_ROUNDS;
    let mut retry_at_ms = 0;
    loop {
        let started_at_ms = now_ms();
        if !is_published && startup_rounds > 0 && !locate_reader(&node).await {
            startup_rounds = 0;
        }
        if !is_published && startup_rounds > 0 {
            is_published = publish_node_record(&node, &[]).await;
        }
        let mut is_synced = is_published && sync_from_reader(&node).await;
        startup_rounds = if is_synced { 0 } else { startup_rounds.saturating_sub(1) };
        let may_read = reader_address(&node).is_none() || started_at_ms >= retry_at_ms;
        if !is_synced && startup_rounds == 0 && may_read {
            match sync_from_store(&node, &mut is_published).await {
                Ok(()) => {
                    is_synced = is_published;
                    if std::mem::take(&mut has_failed) {
                        log::info!(
                            event = "store_reachable_again";
                            "synchronization with the store succeeded after it had failed"
                        );
                    }
                }
                Err(error) => {
                    retry_at_ms = now_ms() + STORE_RETRY_MS;
                    if !std::mem::replace(&mut has_failed, true) {
                        log::warn!(
                            event = "store_unreachable", error = error.to_string();
                            "synchronization with the store failed; logged once until it succeeds"
                        );
                    }
                }
            }
        }
        node.lease_wakeup.notify_one();
        let is_current = is_synced && !has_overdue_lease(&node);
        let interval = if is_current { ROUND_INTERVAL } else { URGENT_INTERVAL };
        tokio::select! {
            () = node.stop.cancelled() => return,
            () = wait_for_round(&node, started_at_ms, interval) => {}
        }
    }
}

/// Waits until `interval` after the start of a round, or until a refresh is requested, but at least
/// until [`URGENT_INTERVAL`] after that start.
async fn wait_for_round(node: &Node, started_at_ms: u64, interval: Duration) {
    let spent = Duration::from_millis(now_ms().saturating_sub(started_at_ms));
    tokio::time::sleep(URGENT_INTERVAL.saturating_sub(spent)).await;
    tokio::select! {
        () = tokio::time::sleep(interval.saturating_sub(spent.max(URGENT_INTERVAL))) => {}
        () = node.refresh.notified() => {}
    }
}

/// Returns whether a followed service has a lease that is free or not renewed in time.
fn has_overdue_lease(node: &Node) -> bool {
    let now_ms = now_ms();
    let followed = followed_services(node);
    let leases = lock(&node.lease_table);
    followed.iter().any(|service| leases.is_overdue(now_ms, service))
}

/// Returns the services for which this node is among the first candidates to take over.
fn followed_services(node: &Node) -> Vec<Name> {
    let loads = lock(&node.lease_table).services_per_node();
    let services = configured_services(node);
    let follows =
        |service: &Name| takeover_rank(node, service, &loads).is_some_and(|r| r < FOLLOWER_COUNT);
    services.into_iter().filter(|service| follows(service)).collect()
}

fn is_owner_missing(node: &Node, service: &str) -> bool {
    let owner = node.owner_directory.owner(service);
    owner.is_none_or(|owner| node.peers.unresponsive_for_ms(owner.address).is_some())
}

/// Returns the address of the reader, or `None` if this node is the reader or no owner is known.
fn reader_address(node: &Node) -> Option<SocketAddr> {
    let services = configured_services(node);
    let owner = services.iter().find_map(|service| node.owner_directory.owner(service))?;
    (owner.address != node.settings.identity.address).then_some(owner.address)
}

/// Reads from the store only what identifies the reader. Returns whether that is another node.
async fn locate_reader(node: &Node) -> bool {
    let sent_at_ms = now_ms();
    let lookup = async {
        if let Some(configuration) = node.dependencies.store.read_configuration().await? {
            apply_configuration(node, configuration, sent_at_ms);
        }
        if let Some(first) = configured_services(node).first() {
            let records = node.dependencies.store.read_partition(&lease_partition(first)).await?;
            node.record_store_clock();
            records.iter().for_each(|record| apply_record(node, record, now_ms()));
        }
        Ok::<(), StoreError>(())
    };
    if let Err(error) = lookup.await {
        log::info!(
            event = "reader_lookup_failed", error = error.to_string();
            "the store did not tell which node reads it for the others"
        );
    }
    reader_address(node).is_some()
}

/// Synchronizes with the reader. Returns whether its data was recent enough.
async fn sync_from_reader(node: &Node) -> bool {
    let Some(address) = reader_address(node) else { return false };
    let Some(known) = node.configuration.known() else { return false };
    let owns_some = !lock(&node.services).is_empty();
    let members = node.members.entries();
    let request = MetadataRequest {
        configuration: digest(&*known.configuration),
        owners: owners_digest(node),
        members: owns_some.then(|| members.map_or(0, |entries| digest(&*entries))),
        wants_leases: owns_some
            || !followed_services(node).is_empty()
            || configured_services(node).iter().any(|service| is_owner_missing(node, service)),
    };
    let wants_members = request.members.is_some();
    let sent_at_ms = now_ms();
    match node.peers.fetch_metadata(address, request).await {
        Ok(Some(update)) if update.confirmation_age_ms <= MAX_METADATA_AGE_MS => {
            apply_update(node, update, known.configuration.version, sent_at_ms, wants_members);
            !wants_members || node.members.entries().is_some()
        }
        Ok(update) => {
            log::info!(
                event = "reader_metadata_unusable", reader = address.to_string(),
                age_ms = update.map_or(0, |update| update.confirmation_age_ms);
                "the reader returned no metadata, or metadata that is too old"
            );
            false
        }
        Err(error) => {
            log::info!(
                event = "reader_unreachable", reader = address.to_string(),
                error = error.to_string();
                "the node that reads the store did not answer a request for metadata"
            );
            false
        }
    }
}

/// Applies the reader's answer to a request that was sent at `sent_at_ms`, when this node had
/// `version` of the configuration.
fn apply_update(
    node: &Node,
    update: MetadataUpdate,
    version: u64,
    sent_at_ms: u64,
    wants_members: bool,
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
    for record in update.nodes.unwrap_or_default() {
        lock(&node.nodes).insert(record.name.clone(), record);
    }
    for (service, owner) in update.owners.unwrap_or_default() {
        apply_owner(node, &service, owner);
    }
    match update.members {
        Some(members) => node.members.update(members),
        None if wants_members => node.members.confirm(),
        None => {}
    }
    for lease in update.leases {
        let observed_at_ms = answered_at_ms.saturating_sub(lease.unchanged_for_ms);
        apply_lease(node, observed_at_ms, &lease.service, lease.record, lease.version);
        lock(&node.lease_table).confirm(confirmed_at_ms, &lease.service);
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

/// Synchronizes with the store, and publishes the node's record if it is not published yet.
async fn sync_from_store(node: &Node, is_published: &mut bool) -> Result<(), StoreError> {
    let store = &node.dependencies.store;
    let sent_at_ms = now_ms();
    let owns_some = !lock(&node.services).is_empty();
    let reading_members = async {
        match owns_some {
            true => store.read_members().await.map(Some),
            false => Ok(None),
        }
    };
    let configuration = store.read_configuration().await;
    if let Err(StoreError::NotDone(reason)) = configuration {
        return Err(StoreError::NotDone(reason));
    }
    let (records, members) = futures::join!(read_changed_records(node), reading_members);
    if let Ok(Some(configuration)) = &configuration {
        apply_configuration(node, configuration.clone(), sent_at_ms);
    }
    if let Ok(Some(members)) = members {
        node.members.update(members);
    }
    let records = records?;
    apply_records(node, &records, sent_at_ms);
    if !*is_published {
        *is_published = publish_node_record(node, &records).await;
    }
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

/// Reads the list of members at once, for a service that this node has just acquired.
pub(crate) async fn refresh_members(node: &Node) {
    match node.dependencies.store.read_members().await {
        Ok(members) => node.members.update(members),
        Err(error) => {
            log::info!(
                event = "member_list_read_failed", error = error.to_string();
                "the list of members is read again in the next round of synchronization"
            );
            node.refresh.notify_one();
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
    } else if record.key.starts_with(NODE_PREFIX) {
        match serde_json::from_slice::<NodeRecord>(&record.value) {
            Ok(known) => drop(lock(&node.nodes).insert(known.name.clone(), known)),
            Err(error) => {
                log::warn!(
                    event = "node_record_unreadable", key = &*record.key,
                    error = error.to_string();
                    "the record of a node cannot be decoded and is ignored"
                );
            }
        }
    }
}

/// Writes this node's record to the store unless `records` contains it. Returns whether the store
/// is known to hold it.
async fn publish_node_record(node: &Node, records: &[Record]) -> bool {
    let identity = &node.settings.identity;
    let key = format!("{NODE_PREFIX}{}", identity.node);
    let present = records.iter().rev().find(|record| *record.key == *key);
    let record = NodeRecord { name: identity.node.clone(), address: identity.address };
    lock(&node.nodes).insert(record.name.clone(), record.clone());
    let Ok(value) = serde_json::to_vec(&record) else { return false };
    if present.is_some_and(|present| present.value == value) {
        return true;
    }
    let expected = present.map_or(0, |present| present.version);
    let store = &node.dependencies.store;
    match store.write_record(NODE_PARTITION, &key, &value, expected).await {
        Ok(WriteOutcome::Written(_)) => true,
        Ok(WriteOutcome::Conflict(Some(present))) if present.value == value => true,
        Ok(WriteOutcome::Conflict(Some(present))) => {
            let written = store.write_record(NODE_PARTITION, &key, &value, present.version).await;
            matches!(written, Ok(WriteOutcome::Written(_)))
        }
        Ok(WriteOutcome::Conflict(None)) => false,
        Err(error) => {
            log::info!(
                event = "node_record_write_failed", error = error.to_string();
                "this node's record is not known to be written; a later round repeats the write"
            );
            false
        }
    }
}

fn digest<Content>(content: &Content) -> u64
where
    Content: Serialize + ?Sized,
{
    serde_json::to_vec(content).map_or(0, |bytes| xxh3_64(&bytes))
}

/// Returns a digest of owners and nodes. Lease renewals do not change it.
fn owners_digest(node: &Node) -> u64 {
    let owners: Vec<(Name, SocketAddr, bool)> = node
        .owner_directory
        .owners()
        .into_iter()
        .map(|(service, owner)| (service, owner.address, owner.is_released))
        .collect();
    digest(&(owners, node_records(node)))
}

fn node_records(node: &Node) -> Vec<NodeRecord> {
    let mut nodes: Vec<NodeRecord> = lock(&node.nodes).values().cloned().collect();
    nodes.sort_by(|left, right| left.name.cmp(&right.name));
    nodes
}

impl Node {
    /// Returns the metadata that the requesting node lacks, or `None` if this node is not the
    /// reader or knows no configuration.
    pub fn metadata_for(&self, request: &MetadataRequest) -> Option<MetadataUpdate> {
        if reader_address(self).is_some() {
            return None;
        }
        let known = self.configuration.known()?;
        let has_new_owners = request.owners != owners_digest(self);
        let members = self.members.entries();
        let new_members = match (request.members, members) {
            (Some(theirs), Some(entries)) if theirs != digest(&*entries) => Some(entries.to_vec()),
            _ => None,
        };
        let store_clock = lock(&self.lease_table).store_clock(now_ms());
        let has_new_configuration = request.configuration != digest(&*known.configuration);
        Some(MetadataUpdate {
            confirmation_age_ms: now_ms().saturating_sub(known.confirmed_at_ms),
            configuration: has_new_configuration.then(|| (*known.configuration).clone()),
            owners: has_new_owners.then(|| self.owner_directory.owners()),
            nodes: has_new_owners.then(|| node_records(self)),
            members: new_members,
            store_clock,
            leases: match request.wants_leases {
                true => lock(&self.lease_table).observed_leases(now_ms()),
                false => Vec::new(),
            },
        })
    }
}
