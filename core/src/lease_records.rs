//! Storage of leases.

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
