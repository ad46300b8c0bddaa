//! Which daemons hold a group's connections.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

use super::state::Fleet;

/// Returns the hosts that are homes of a group, the first one leading.
///
/// Every daemon computes the same homes from the same version. Hosts are ranked by rendezvous
/// hashing, so that one that leaves moves only its own groups, and the first homes lie in
/// different data centres.
pub fn homes_of(fleet: &Fleet, group: &str) -> Vec<String> {
    let wanted = fleet.limits_of_group(group).homes_per_group as usize;
    let mut ranked: Vec<&String> = fleet.generation.hosts.keys().collect();
    ranked.sort_by_key(|host| Reverse(score(group, host)));
    let (serving, out): (Vec<_>, Vec<_>) =
        ranked.into_iter().partition(|host| !fleet.is_host_out(host));
    let candidates = if serving.is_empty() { out } else { serving };
    spread(fleet, candidates, wanted)
}

/// Ranks hosts for a purpose; the highest score comes first.
pub fn score(purpose: &str, host: &str) -> u64 {
    xxh3_64(format!("{purpose}/{host}").as_bytes())
}

fn spread(fleet: &Fleet, candidates: Vec<&String>, wanted: usize) -> Vec<String> {
    let mut seen = BTreeSet::new();
    let (first, rest): (Vec<_>, Vec<_>) =
        candidates.into_iter().partition(|host| seen.insert(fleet.data_centre_of_host(host)));
    first.into_iter().chain(rest).take(wanted).cloned().collect()
}
