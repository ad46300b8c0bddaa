//! Which groups this daemon is a home of, and with how many connections.

use std::collections::BTreeMap;

use super::allotment::Allotment;
use crate::fleet::homes::homes_of;
use crate::fleet::state::Fleet;

/// This daemon's parts of the groups' connections.
#[derive(Clone, Debug, Default)]
pub struct HomePlans {
    parts: BTreeMap<String, Allotment>,
}

impl HomePlans {
    /// Takes a new configuration. Parts shrink at once; a daemon that does not keep its parts
    /// (`keeps_parts`) gets them only once the configuration is in force.
    pub fn set(&mut self, fleet: &Fleet, host: &str, is_member: bool, keeps_parts: bool) {
        if !keeps_parts {
            self.parts.clear();
        }
        for (name, part) in &mut self.parts {
            if fleet.group(name).is_none() {
                part.set(fleet.version, 0);
            }
        }
        for group in fleet.groups() {
            let homes = homes_of(fleet, &group.name);
            let is_home = is_member && homes.iter().any(|home| home == host);
            let slots = match is_home {
                true => slots_per_home(fleet, &group.name, homes.len(), group.members.len()),
                false => 0,
            };
            let part = self.parts.entry(group.name.clone()).or_default();
            part.set(fleet.version, slots);
        }
    }

    /// Lets parts grow; returns whether any did.
    pub fn grow<InForce>(&mut self, is_in_force: InForce) -> bool
    where
        InForce: Fn(u64) -> bool + Copy,
    {
        let before = self.slots();
        self.parts.values_mut().for_each(|part| part.grow(is_in_force));
        before != self.slots()
    }

    /// Returns the connections that may be used for requests now, by group.
    pub fn slots(&self) -> BTreeMap<String, u64> {
        let held = self.parts.iter().filter(|(_, part)| part.held() > 0);
        held.map(|(name, part)| (name.clone(), part.held())).collect()
    }
}

/// Returns a home's connections for requests: an even part of the group's, less one to each
/// member for watching.
fn slots_per_home(fleet: &Fleet, group: &str, homes: usize, members: usize) -> u64 {
    let all = fleet.limits_of_group(group).connections_per_group;
    let part = all / homes.max(1) as u64;
    part.saturating_sub(members as u64).max(1)
}
