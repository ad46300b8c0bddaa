//! Decides which nodes should own services, by their capacity and by what they own already.
//! Performs no input or output.

use std::collections::HashMap;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::name::Name;
use crate::node_record::NodeRecord;

/// Number by which the shares of capacity in use are scaled to integers.
const SHARE_SCALE: u64 = 1_000_000;

/// Spread of the ranks of nodes that are no candidates, so that they seldom act at the same moment
/// when all candidates have failed.
const OUTSIDER_SPREAD: u64 = 16;

/// Most nodes that are asked whether they take a service: two of them may have stopped since they
/// were last heard of.
const MAX_TARGETS: usize = 3;

/// The candidates for ownership and the number of services that each node owns.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Nodes that may own services.
    pub candidates: Arc<Vec<NodeRecord>>,
    /// Number of services that each node owns.
    pub loads: HashMap<Name, u64>,
}

/// Returns a hash that orders the nodes differently for each service.
pub(crate) fn ordering_hash(service: &str, node: &str) -> u64 {
    xxh3_64(format!("{service}/{node}").as_bytes())
}

/// Returns the share of a node's capacity that its services and one more take; the smaller the
/// better.
pub fn share_with_one_more(owned: u64, capacity: u32) -> u64 {
    owned.saturating_add(1).saturating_mul(SHARE_SCALE) / u64::from(capacity.max(1))
}

/// Returns whether a service should move from a node that owns `mine` services to one that owns
/// `theirs`: the other one must be less loaded after the move than this one was before it, so that the
/// service does not move back.
pub fn should_move(mine: u64, my_capacity: u32, theirs: u64, their_capacity: u32) -> bool {
    scaled(theirs.saturating_add(1), my_capacity) < scaled(mine, their_capacity)
}

/// Returns whether a service may move to another node for the sake of its data centre: the other
/// one must be no more loaded after the move than this one was before it.
pub fn may_move_for_zone(mine: u64, my_capacity: u32, theirs: u64, their_capacity: u32) -> bool {
    scaled(theirs.saturating_add(1), my_capacity) <= scaled(mine, their_capacity)
}

/// Returns a number of services, scaled by the capacity of the node that it is compared with.
fn scaled(services: u64, other_capacity: u32) -> u128 {
    u128::from(services) * u128::from(other_capacity)
}

impl Placement {
    fn load(&self, name: &str) -> u64 {
        self.loads.get(name).copied().unwrap_or(0)
    }

    fn score(&self, service: &str, record: &NodeRecord) -> (u64, u64) {
        let share = share_with_one_more(self.load(&record.name), record.capacity);
        (share, ordering_hash(service, &record.name))
    }

    /// Returns the candidates in the order in which they may take a service over.
    pub fn takeover_order(&self, service: &str) -> Vec<&NodeRecord> {
        let mut order: Vec<&NodeRecord> = self.candidates.iter().collect();
        order.sort_by_key(|record| self.score(service, record));
        order
    }

    /// Returns the place of a node in the order in which nodes may take a service over; 0 for the
    /// first. Nodes that are no candidates come after all candidates.
    pub fn rank(&self, me: &str, service: &str) -> u64 {
        match self.candidates.iter().find(|record| *record.name == *me) {
            Some(record) => {
                let mine = self.score(service, record);
                self.candidates.iter().filter(|other| self.score(service, other) < mine).count()
                    as u64
            }
            None => self.candidates.len() as u64 + ordering_hash(service, me) % OUTSIDER_SPREAD,
        }
    }

    /// Returns the nodes to ask whether they take a service from `me`, the least loaded first. The
    /// order among equals changes with `round`.
    pub fn move_targets(&self, me: &NodeRecord, round: u64) -> Vec<NodeRecord> {
        self.targets(me, round, |mine, record, theirs| {
            should_move(mine, me.capacity, theirs, record.capacity)
        })
    }

    /// Returns the nodes of a data centre to ask whether they take a service from `me`, which is in
    /// another one, in the same order.
    pub fn zone_targets(&self, me: &NodeRecord, zone: &str, round: u64) -> Vec<NodeRecord> {
        self.targets(me, round, |mine, record, theirs| {
            *record.zone == *zone && may_move_for_zone(mine, me.capacity, theirs, record.capacity)
        })
    }

    fn targets<Accepts>(&self, me: &NodeRecord, round: u64, accepts: Accepts) -> Vec<NodeRecord>
    where
        Accepts: Fn(u64, &NodeRecord, u64) -> bool,
    {
        let mine = self.load(&me.name);
        let others = self.candidates.iter().filter(|record| record.name != me.name);
        let mut targets: Vec<&NodeRecord> =
            others.filter(|record| accepts(mine, record, self.load(&record.name))).collect();
        targets.sort_by_key(|record| {
            let share = share_with_one_more(self.load(&record.name), record.capacity);
            (share, xxh3_64(format!("{}/{}/{round}", me.name, record.name).as_bytes()))
        });
        targets.into_iter().take(MAX_TARGETS).cloned().collect()
    }
}
