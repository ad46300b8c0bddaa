//! The groups that this daemon is a home of, and its connection quota for each.

use std::collections::BTreeMap;

use super::connection_quota::ConnectionQuota;
use crate::fleet::homes::homes_of;
use crate::fleet::state::Fleet;

/// This daemon's connection quotas by group.
#[derive(Clone, Debug, Default)]
pub struct HomeQuotas {
    quotas: BTreeMap<String, ConnectionQuota>,
}

impl HomeQuotas {
    /// Applies a new configuration. Quotas are lowered at once. With `keeps_quotas` false all
    /// quotas start again at zero, to be raised once the configuration is in force.
    pub fn update(
        &mut self,
        fleet: &Fleet,
        host: &str,
        is_in_generation: bool,
        keeps_quotas: bool,
    ) {
        if !keeps_quotas {
            self.quotas.clear();
        }
        for (name, quota) in &mut self.quotas {
            if fleet.group(name).is_none() {
                quota.update(fleet.version, 0);
            }
        }
        for group in fleet.groups() {
            let homes = homes_of(fleet, &group.name);
            let is_home = is_in_generation && homes.iter().any(|home| home == host);
            let slots = match is_home {
                true => slots_per_home(fleet, &group.name, homes.len(), group.members.len()),
                false => 0,
            };
            let quota = self.quotas.entry(group.name.clone()).or_default();
            quota.update(fleet.version, slots);
        }
    }

    /// Raises the quotas whose versions are in force. Returns whether any quota changed.
    pub fn raise<InForce>(&mut self, is_in_force: InForce) -> bool
    where
        InForce: Fn(u64) -> bool + Copy,
    {
        let before = self.slots();
        self.quotas.values_mut().for_each(|quota| quota.raise(is_in_force));
        before != self.slots()
    }

    /// Returns the number of connections that may be used for requests, by group.
    pub fn slots(&self) -> BTreeMap<String, u64> {
        let usable = self.quotas.iter().filter(|(_, quota)| quota.current() > 0);
        usable.map(|(name, quota)| (name.clone(), quota.current())).collect()
    }
}

/// Returns the quota of one home for requests: an equal part of the group's connections, less one
/// connection per member, which the prober uses, but at least one.
fn slots_per_home(fleet: &Fleet, group: &str, homes: usize, members: usize) -> u64 {
    let total = fleet.limits_of_group(group).connections_per_group;
    let per_home = total / homes.max(1) as u64;
    per_home.saturating_sub(members as u64).max(1)
}
