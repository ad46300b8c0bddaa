//! Decides which nodes should own services, by their capacity and by what they own already.
//! Performs no input or output.

use std::collections::HashMap;
use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use xxhash_rust::xxh3::xxh3_64;

use crate::load_balance::Candidate;
use crate::load_balance::order;
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

/// Time that a handover takes, in milliseconds: as old are the reports by which its target is chosen
/// when the load of the target changes.
const HANDOVER_MS: u64 = 700;

/// Time constant with which the numbers of services that nodes own change, in milliseconds.
const OWNERSHIP_MEMORY_MS: f64 = 5_000.0;

/// What is known of a node that may take a service over.
#[derive(Clone, Copy, Debug)]
pub struct NodeLoad {
    /// How much work it can carry.
    pub capacity: u32,
    /// Number of services that it reported to own.
    pub reported: u64,
    /// Number of services that it is known to own; more than it reported if some were handed to it
    /// since.
    pub known: u64,
}

/// Returns the indices of up to `count` nodes in the order in which they should be asked to take a
/// service over. Owners that hand services over at the same moment have the same reports, so each
/// compares random nodes only.
pub fn handover_order<Random>(nodes: &[NodeLoad], count: usize, random: &mut Random) -> Vec<usize>
where
    Random: Rng,
{
    order(&node_candidates(nodes, HANDOVER_MS), count, OWNERSHIP_MEMORY_MS, random)
}

/// Returns nodes as candidates for one more service; a unit of work is a service on the node of
/// greatest capacity.
fn node_candidates(nodes: &[NodeLoad], report_age_ms: u64) -> Vec<Candidate> {
    let greatest = nodes.iter().map(|node| node.capacity).max().unwrap_or(1).max(1);
    nodes
        .iter()
        .map(|node| Candidate {
            reported_load: node.reported as f64,
            report_age_ms,
            own_load: node.known.saturating_sub(node.reported) as f64 + 1.0,
            slots: f64::from(node.capacity.max(1)) / f64::from(greatest),
            unit_ms: 1.0,
            extra_ms: 0.0,
        })
        .collect()
}

/// The candidates for ownership and the number of services that each node owns.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Nodes that may own services.
    pub candidates: Arc<Vec<NodeRecord>>,
    /// Number of services that each node owns.
    pub loads: HashMap<Name, u64>,
}

/// Returns a hash that orders the nodes differently for each service.
fn ordering_hash(service: &str, node: &str) -> u64 {
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
        let targets: Vec<&NodeRecord> =
            others.filter(|record| accepts(mine, record, self.load(&record.name))).collect();
        let loads: Vec<NodeLoad> = targets
            .iter()
            .map(|record| {
                let known = self.load(&record.name);
                NodeLoad { capacity: record.capacity, reported: known, known }
            })
            .collect();
        // Each target reports its present load before it is chosen.
        let candidates = node_candidates(&loads, 0);
        let seed = xxh3_64(format!("{}/{round}", me.name).as_bytes());
        let mut random = SmallRng::seed_from_u64(seed);
        order(&candidates, MAX_TARGETS, OWNERSHIP_MEMORY_MS, &mut random)
            .into_iter()
            .map(|index| targets[index].clone())
            .collect()
    }
}
