//! Which node should take a service of one that owns more than others, free of input and output.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::name::Name;

/// Difference between the services of two nodes from which one moves: with one less it would be
/// moved back.
const MIN_IMBALANCE: u64 = 2;

/// Nodes that are asked whether they take a service: two may have ended since they were heard of.
const MAX_CANDIDATES: usize = 3;

/// Returns whether a node that owns `theirs` services should take one of a node that owns `mine`.
pub fn is_imbalanced(mine: u64, theirs: u64) -> bool {
    mine >= theirs + MIN_IMBALANCE
}

/// Returns the nodes that should be asked to take a service, the best one first. Each `round` asks
/// others among those that own the same number.
pub fn candidates(me: &Name, nodes: &[Name], loads: &HashMap<Name, u64>, round: u64) -> Vec<Name> {
    let load = |name: &Name| loads.get(name).copied().unwrap_or(0);
    let mine = load(me);
    let mut others: Vec<&Name> =
        nodes.iter().filter(|name| *name != me && is_imbalanced(mine, load(name))).collect();
    others.sort_by_key(|name| (load(name), xxh3_64(format!("{me}/{name}/{round}").as_bytes())));
    others.into_iter().take(MAX_CANDIDATES).cloned().collect()
}
