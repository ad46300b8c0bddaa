//! Answers other nodes' requests for metadata.

use std::time::Duration;

use crate::clock::now_ms;
use crate::member_directory::MEMBERS_AGE_LIMIT_MS;
use crate::name::Name;
use crate::node::Node;
use crate::relay::MetadataRequest;
use crate::relay::MetadataUpdate;
use crate::sync::lock;

/// Longest time for which an answer without anything new is held back, in milliseconds: about the
/// time between two reads of the store.
pub(crate) const METADATA_HOLD_MS: u64 = 1_000;

/// Age of this node's metadata beyond which an answer is not held back, in milliseconds: this node
/// has missed a read of the store, and the requesting node may find another source.
const STALE_MS: u64 = 1_300;

/// Smallest difference in age by which a confirmation counts as another one, in milliseconds: more
/// than the transit time of a request.
const NEWER_BY_MS: u64 = 100;

impl Node {
    /// Returns the metadata that the requesting node lacks, or `None` if this node knows no
    /// configuration. An answer without anything new is held back until there is something, so that
    /// all nodes learn of a change soon after the store was read.
    pub async fn metadata_for(&self, request: MetadataRequest) -> Option<MetadataUpdate> {
        let received_at_ms = now_ms();
        lock(&self.nodes).observe(received_at_ms, request.sender.clone(), 0);
        let offsets_ms = &request.clock_offsets_ms;
        self.usage.observe_offsets(received_at_ms, &request.sender.name, offsets_ms);
        let mut synced = self.synced.subscribe();
        let mut owners = self.owner_directory.changes();
        loop {
            let held_ms = now_ms().saturating_sub(received_at_ms);
            let update = self.update_for(&request);
            let is_new = update.as_ref().is_some_and(|update| has_news(&request, update, held_ms));
            let is_old =
                update.as_ref().is_some_and(|update| update.confirmation_age_ms > STALE_MS);
            if is_new || is_old || held_ms >= METADATA_HOLD_MS || self.is_stopping() {
                return update;
            }
            let left = Duration::from_millis(METADATA_HOLD_MS - held_ms);
            tokio::select! {
                _ = synced.changed() => {}
                _ = owners.changed() => {}
                () = tokio::time::sleep(left) => {}
            }
        }
    }

    /// Returns the digests of the configuration and of the owners, with which a request for
    /// metadata tells what the requesting node has.
    pub fn metadata_digests(&self) -> (u64, u64) {
        let configuration = self.configuration.known().map_or(0, |known| known.digest);
        (configuration, self.owner_directory.digest())
    }

    fn update_for(&self, request: &MetadataRequest) -> Option<MetadataUpdate> {
        let now_ms = now_ms();
        let known = self.configuration.known()?;
        // A node that owns no service any more does not follow the list.
        let members_age_ms =
            self.members.age_ms(now_ms).filter(|age_ms| *age_ms <= MEMBERS_AGE_LIMIT_MS);
        let new_members = match (request.members, members_age_ms) {
            (Some(theirs), Some(_)) if theirs != self.members.digest() => self.members.entries(),
            _ => None,
        };
        let nodes = lock(&self.nodes);
        let candidates =
            (request.candidates != Some(nodes.digest())).then(|| nodes.heard_candidates(now_ms));
        drop(nodes);
        // A node that has just started does not know which services its former process owned.
        let owners = self.owner_directory.owners();
        let owned = owners.iter().filter(|(_, owner)| owner.address == request.sender.address);
        let mut needed: Vec<Name> = owned.map(|(service, _)| service.clone()).collect();
        needed.extend(request.leases.iter().cloned());
        needed.sort();
        needed.dedup();
        let leases = lock(&self.lease_table);
        Some(MetadataUpdate {
            confirmation_age_ms: now_ms.saturating_sub(known.confirmed_at_ms),
            configuration: (request.configuration != known.digest)
                .then(|| (*known.configuration).clone()),
            owners: (request.owners != self.owner_directory.digest()).then_some(owners),
            candidates,
            members: new_members.map(|entries| entries.to_vec()),
            members_age_ms: members_age_ms.filter(|_| request.members.is_some()),
            store_clock: leases.store_clock(now_ms),
            fleet_offset_ms: self.usage.fleet_offset_ms(),
            leases: leases.observed_leases(now_ms, &needed),
        })
    }
}

/// Returns whether an update contains something that the requesting node lacked when it sent the request
/// `held_ms` ago.
fn has_news(request: &MetadataRequest, update: &MetadataUpdate, held_ms: u64) -> bool {
    let is_newer = request.confirmation_age_ms.is_none_or(|theirs_ms| {
        update.confirmation_age_ms.saturating_add(NEWER_BY_MS) < theirs_ms.saturating_add(held_ms)
    });
    is_newer
        || update.configuration.is_some()
        || update.owners.is_some()
        || update.members.is_some()
        || (update.candidates.is_some() && request.candidates.is_some())
}
