//! Hands services over while this node owns more of them than other nodes.
//!
//! Services accumulate on the nodes that took them over after failures, and a restarted node takes
//! its former services back. An owner of several busy services answers late, so that other nodes
//! consider it failed.

use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::clock::now_ms;
use crate::name::Name;
use crate::node::Node;
use crate::rebalance_policy::candidates;
use crate::rebalance_policy::is_imbalanced;
use crate::service::OwnedService;
use crate::sync::lock;

/// Shortest time between two checks, in milliseconds: other nodes know of a handover by then.
const CHECK_INTERVAL_MS: u64 = 1_000;

/// Varying part of the time between two checks, in milliseconds, so that two nodes seldom choose
/// the same target at the same time.
const JITTER_MS: u64 = 1_000;

/// Periodically hands a service over to a node that owns fewer services.
pub(crate) async fn rebalance_services(node: Arc<Node>) {
    let me = node.settings.identity.node.clone();
    for round in 0_u64.. {
        let jitter_ms = xxh3_64(format!("{me}/{round}").as_bytes()) % JITTER_MS;
        tokio::select! {
            () = node.stop.cancelled() => return,
            () = tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS + jitter_ms)) => {}
        }
        let report = node.report();
        if report.is_stopping || !report.has_recent_confirmation() {
            continue;
        }
        if let Some(service) = movable_service(&node)
            && let Some(new_owner) = find_less_loaded_node(&node, round).await
        {
            service.request_handover(Some(new_owner), "this node owns more services than others");
        }
    }
}

/// Returns the stable service with the fewest open transactions, if this node owns several.
fn movable_service(node: &Node) -> Option<Arc<OwnedService>> {
    let now_ms = now_ms();
    let services = lock(&node.services);
    if services.len() < 2 {
        return None;
    }
    let movable = services.values().filter(|service| service.is_stable(now_ms));
    movable.min_by_key(|service| service.open_transactions()).cloned()
}

/// Returns a node that owns fewer services, has recently confirmed its configuration and reaches
/// the store.
async fn find_less_loaded_node(node: &Node, round: u64) -> Option<Name> {
    let me = &node.settings.identity.node;
    let mine = lock(&node.services).len() as u64;
    let names: Vec<Name> = lock(&node.nodes).keys().cloned().collect();
    let mut loads = lock(&node.lease_table).services_per_node();
    loads.insert(me.clone(), mine);
    for name in candidates(me, &names, &loads, round) {
        let Some(address) = lock(&node.nodes).get(&name).map(|record| record.address) else {
            continue;
        };
        let Ok(report) = node.peers.report(address).await else { continue };
        let is_fit = report.has_recent_confirmation()
            && !report.is_stopping
            && is_imbalanced(mine, report.owned);
        if is_fit && node.peers.reaches_store(address).await == Ok(true) {
            return Some(name);
        }
    }
    None
}
