//! Selection of a group's homes, the daemons that hold connections to its members.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64;

use super::state::Fleet;

/// Returns the hosts that are homes of a group, by rank.
///
/// Every daemon computes the same homes from the same configuration version. Hosts are ranked by
/// rendezvous hashing, so that when a host leaves, only the groups that it was a home of get
/// another home. The highest-ranked host of each data centre comes before all other hosts. Hosts
/// in data centres that are out of service are chosen only if there are no others.
pub fn homes_of(fleet: &Fleet, group: &str) -> Vec<String> {
    let count = fleet.limits_of_group(group).homes_per_group as usize;
    let mut hosts_by_score: Vec<&String> = fleet.generation.hosts.keys().collect();
    hosts_by_score.sort_by_key(|host| Reverse(score(group, host)));
    let (serving, out): (Vec<_>, Vec<_>) =
        hosts_by_score.into_iter().partition(|host| !fleet.is_host_out(host));
    let candidates = if serving.is_empty() { out } else { serving };
    spread_over_data_centres(fleet, candidates, count)
}

/// Returns the score of a host for a group. Hosts are ranked by descending score.
pub fn score(group: &str, host: &str) -> u64 {
    xxh3_64(format!("{group}/{host}").as_bytes())
}

fn spread_over_data_centres(fleet: &Fleet, candidates: Vec<&String>, count: usize) -> Vec<String> {
    let mut used_data_centres = BTreeSet::new();
    let (first, others): (Vec<_>, Vec<_>) = candidates
        .into_iter()
        .partition(|host| used_data_centres.insert(fleet.data_centre_of_host(host)));
    first.into_iter().chain(others).take(count).cloned().collect()
}
