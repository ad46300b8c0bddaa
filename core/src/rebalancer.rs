//! Hands services over while this node carries more of them, for its capacity, than other nodes, or
//! while their primaries are in other data centres.
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
use crate::node_record::NodeRecord;
use crate::placement::may_move_for_zone;
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
        move_one_service(&node, round).await;
    }
}

/// Hands over a service to a node that carries less, or else one to the data centre of its primary.
async fn move_one_service(node: &Node, round: u64) {
    let me = lock(&node.nodes).me().clone();
    let mine = lock(&node.services).len() as u64;
    let mut placement = node.placement();
    placement.loads.insert(me.name.clone(), mine);
    if let Some(service) = movable_service(node) {
        let accepts = |owned, capacity| should_move(mine, me.capacity, owned, capacity);
        let targets = placement.move_targets(&me, round);
        if let Some(target) = find_fit(node, targets, accepts).await {
            service.request_handover(Some(target), "this node carries more than others");
            return;
        }
    }
    if let Some((service, zone)) = misplaced_service(node) {
        let accepts = |owned, capacity| may_move_for_zone(mine, me.capacity, owned, capacity);
        let targets = placement.zone_targets(&me, &zone, round);
        if let Some(target) = find_fit(node, targets, accepts).await {
            service.request_handover(Some(target), "its primary is in another data centre");
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

/// Returns a settled service whose primary is in another data centre, with that data centre.
fn misplaced_service(node: &Node) -> Option<(Arc<OwnedService>, Name)> {
    let now_ms = now_ms();
    let services = lock(&node.services);
    services.values().find_map(|service| {
        let zone = service.settled_primary_zone(now_ms)?;
        (zone != node.settings.zone).then(|| (service.clone(), zone))
    })
}

/// Returns the first of the nodes that accepts another service, has recently confirmed its
/// configuration and reaches the store.
async fn find_fit<Accepts>(node: &Node, targets: Vec<NodeRecord>, accepts: Accepts) -> Option<Name>
where
    Accepts: Fn(u64, u32) -> bool,
{
    for target in targets {
        let Ok(report) = node.peers.report(target.address).await else { continue };
        let is_fit = report.has_recent_confirmation()
            && !report.is_stopping
            && accepts(report.owned, target.capacity);
        if is_fit && node.peers.reaches_store(target.address).await == Ok(true) {
            return Some(target.name);
        }
    }
    None
}
