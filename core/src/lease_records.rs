//! Storage of leases, and the order in which nodes take them over.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::lease_table::LeaseRecord;
use crate::name::Name;
use crate::node::Node;
use crate::owner_directory::Owner;
use crate::sync::lock;

/// Key prefix of lease records.
pub(crate) const LEASE_PREFIX: &str = "lease/";

/// Number of store partitions for leases. A partition serializes its writes, and completes only a
/// few per second while the store is slow.
const LEASE_PARTITIONS: u64 = 256;

/// Returns the store partition of a service's lease.
pub(crate) fn lease_partition(service: &str) -> String {
    format!("leases-{}", xxh3_64(service.as_bytes()) % LEASE_PARTITIONS)
}

/// Returns the services of the configuration, or none while no configuration is known.
pub(crate) fn configured_services(node: &Node) -> Vec<Name> {
    node.configuration.known().map_or_else(Vec::new, |known| known.configuration.service_names())
}

/// Applies a lease, whose version was first observed at `now_ms`, to the lease table and the owner
/// directory.
pub(crate) fn apply_lease(
    node: &Node,
    now_ms: u64,
    service: &Name,
    record: LeaseRecord,
    version: u64,
) {
    let owner = Owner {
        node: record.holder.clone(),
        address: record.address,
        version,
        is_released: record.is_released,
    };
    lock(&node.lease_table).observe(now_ms, service, Some(record), version);
    if node.owner_directory.update(service, owner.clone()) {
        log::info!(
            event = "owner_changed", service = &**service, owner = &*owner.node,
            version = version, released = owner.is_released; ""
        );
    }
}

/// Returns a hash that orders the nodes differently for each service.
pub(crate) fn ordering_hash(service: &str, node: &str) -> u64 {
    xxh3_64(format!("{service}/{node}").as_bytes())
}

/// Returns this node's rank among the candidates to own a service, or `None` if the node is
/// stopping. Nodes with fewer services come first; a hash that differs per service breaks ties.
pub(crate) fn takeover_rank(
    node: &Node,
    service: &Name,
    loads: &HashMap<Name, u64>,
) -> Option<u64> {
    if node.is_stopping() {
        return None;
    }
    let score = |name: &Name| {
        let load = loads.get(name).copied().unwrap_or(0);
        (load, ordering_hash(service, name))
    };
    let mine = score(&node.settings.identity.node);
    let nodes = lock(&node.nodes);
    Some(nodes.keys().filter(|name| score(name) < mine).count() as u64)
}
