//! Decides which nodes should take over a service from a node that owns more. Performs no input or
//! output.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::name::Name;

/// Smallest difference in service counts at which a service moves. With a difference of one the
/// service would move back.
const MIN_IMBALANCE: u64 = 2;

/// Largest number of nodes that are asked whether they take a service: two of them may have stopped
/// since they were last heard of.
const MAX_CANDIDATES: usize = 3;

/// Returns whether a node that owns `theirs` services should take one from a node that owns `mine`.
pub fn is_imbalanced(mine: u64, theirs: u64) -> bool {
    mine >= theirs + MIN_IMBALANCE
}

/// Returns the nodes to ask whether they take a service, those with the fewest services first. The
/// order among nodes with the same number changes with `round`.
pub fn candidates(me: &Name, nodes: &[Name], loads: &HashMap<Name, u64>, round: u64) -> Vec<Name> {
    let load = |name: &Name| loads.get(name).copied().unwrap_or(0);
    let mine = load(me);
    let mut others: Vec<&Name> =
        nodes.iter().filter(|name| *name != me && is_imbalanced(mine, load(name))).collect();
    others.sort_by_key(|name| (load(name), xxh3_64(format!("{me}/{name}/{round}").as_bytes())));
    others.into_iter().take(MAX_CANDIDATES).cloned().collect()
}
