//! Hands services over while this node carries more of them, for its capacity, than other nodes.
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
use crate::placement::should_move;
use crate::service::OwnedService;
use crate::sync::lock;

/// Shortest time between two checks, in milliseconds: other nodes know of a handover by then.
const CHECK_INTERVAL_MS: u64 = 1_000;

/// Varying part of the time between two checks, in milliseconds, so that two nodes seldom choose
/// the same target at the same time.
const JITTER_MS: u64 = 1_000;

/// Periodically hands a service over to a node that carries less.
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
            service.request_handover(Some(new_owner), "this node carries more than others");
        }
    }
}

/// Returns the stable service with the fewest open transactions.
fn movable_service(node: &Node) -> Option<Arc<OwnedService>> {
    let now_ms = now_ms();
    let services = lock(&node.services);
    let movable = services.values().filter(|service| service.is_stable(now_ms));
    movable.min_by_key(|service| service.open_transactions()).cloned()
}

/// Returns a node that carries less, has recently confirmed its configuration and reaches the store.
async fn find_less_loaded_node(node: &Node, round: u64) -> Option<Name> {
    let me = lock(&node.nodes).me().clone();
    let mine = lock(&node.services).len() as u64;
    let mut placement = node.placement();
    placement.loads.insert(me.name.clone(), mine);
    for target in placement.move_targets(&me, round) {
        let Ok(report) = node.peers.report(target.address).await else { continue };
        let is_fit = report.has_recent_confirmation()
            && !report.is_stopping
            && should_move(mine, me.capacity, report.owned, target.capacity);
        if is_fit && node.peers.reaches_store(target.address).await == Ok(true) {
            return Some(target.name);
        }
    }
    None
}
