//! This daemon's shares of the workspaces' rates, free of input and output.
//!
//! Within a generation the shares of all daemons sum to at most the whole. A transfer is
//! subtracted by the giver before it is sent and added by the receiver on arrival, and only within
//! the same generation: a lost message loses share and never makes any. What was lost comes back
//! with the next generation.

use std::collections::BTreeMap;

use crate::peer::rate_share::Demand;
use crate::peer::rate_share::Gift;

/// A whole rate, in millionths.
pub const FULL_SHARE_PPM: u64 = 1_000_000;

/// Demand beyond this part of a share asks for more, in hundredths.
const BUSY_PERCENT: f64 = 0.8;

/// Share kept beyond the demand.
const HEADROOM: f64 = 1.25;

/// Part of an even share that is never given away, so that a first request finds some.
const KEPT_PART: u64 = 5;

#[derive(Clone, Copy, Debug, Default)]
struct Share {
    held_ppm: u64,
    /// Share of the generation before, until the present one is in force everywhere.
    cap_ppm: Option<u64>,
    demand_per_s: f64,
}

/// This daemon's shares.
#[derive(Clone, Debug, Default)]
pub struct ShareLedger {
    generation: u64,
    members: u64,
    shares: BTreeMap<String, Share>,
}

impl ShareLedger {
    /// Returns the generation to which the shares belong.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Starts a generation with an even share, or none for a daemon outside it.
    ///
    /// Until the generation is in force, at most the share of the one before is spent; a daemon
    /// that does not keep that (`keeps_share`) spends nothing.
    pub fn start_generation(
        &mut self,
        generation: u64,
        members: u64,
        is_member: bool,
        keeps_share: bool,
    ) {
        if generation <= self.generation {
            return;
        }
        let even_ppm = match is_member && members > 0 {
            true => FULL_SHARE_PPM / members,
            false => 0,
        };
        for share in self.shares.values_mut() {
            let before_ppm = match keeps_share {
                true => share.effective_ppm(),
                false => 0,
            };
            share.held_ppm = even_ppm;
            share.cap_ppm = Some(before_ppm);
        }
        self.generation = generation;
        self.members = members;
    }

    /// Lifts the bounds of the generation before, once no daemon uses it any more.
    pub fn generation_in_force(&mut self) {
        for share in self.shares.values_mut() {
            share.cap_ppm = None;
        }
    }

    /// Takes the list of workspaces; a new one starts with an even share.
    pub fn set_workspaces(&mut self, names: &[&str], is_member: bool) {
        self.shares.retain(|name, _| names.contains(&name.as_str()));
        for name in names {
            if !self.shares.contains_key(*name) {
                let held_ppm = match is_member && self.members > 0 {
                    true => FULL_SHARE_PPM / self.members,
                    false => 0,
                };
                let share = Share {
                    held_ppm,
                    // What others hold of it is not known before the generation is in force.
                    cap_ppm: Some(0),
                    demand_per_s: 0.0,
                };
                self.shares.insert((*name).to_owned(), share);
            }
        }
    }

    /// Notes the demand of callers here. A rise counts at once, a fall by halves.
    pub fn note_demand(&mut self, workspace: &str, demand_per_s: f64) {
        if let Some(share) = self.shares.get_mut(workspace) {
            let smoothed = (share.demand_per_s + demand_per_s) / 2.0;
            share.demand_per_s = smoothed.max(demand_per_s);
        }
    }

    /// Returns the share that may be spent, in millionths.
    pub fn effective_ppm(&self, workspace: &str) -> u64 {
        self.shares.get(workspace).map_or(0, Share::effective_ppm)
    }

    /// Returns demands that the shares do not carry, given each workspace's rate.
    pub fn demands<Rate>(&self, rate_of: Rate) -> Vec<Demand>
    where
        Rate: Fn(&str) -> f64,
    {
        let is_busy = |(name, share): &(&String, &Share)| {
            share.demand_per_s > BUSY_PERCENT * share.rate(rate_of(name))
        };
        let demand = |(name, share): (&String, &Share)| Demand {
            workspace: name.clone(),
            demand_per_s: share.demand_per_s,
            share_ppm: share.held_ppm,
        };
        self.shares.iter().filter(is_busy).map(demand).collect()
    }

    /// Gives what is not needed here to a daemon that asks. The gifts are subtracted at once.
    pub fn give<Rate>(&mut self, generation: u64, demands: &[Demand], rate_of: Rate) -> Vec<Gift>
    where
        Rate: Fn(&str) -> f64,
    {
        if generation != self.generation {
            return Vec::new();
        }
        let kept_ppm = FULL_SHARE_PPM / self.members.max(1) / KEPT_PART;
        let mut gifts = Vec::new();
        for demand in demands {
            let rate = rate_of(&demand.workspace);
            let Some(share) = self.shares.get_mut(&demand.workspace) else {
                continue;
            };
            let needed_here_ppm = to_ppm(share.demand_per_s * HEADROOM, rate).max(kept_ppm);
            let needed_there_ppm = to_ppm(demand.demand_per_s * HEADROOM, rate);
            let spare_ppm = share.held_ppm.saturating_sub(needed_here_ppm);
            let lacking_ppm = needed_there_ppm.saturating_sub(demand.share_ppm);
            let share_ppm = spare_ppm.min(lacking_ppm);
            if share_ppm > 0 {
                share.held_ppm -= share_ppm;
                gifts.push(Gift { workspace: demand.workspace.clone(), share_ppm });
            }
        }
        gifts
    }

    /// Adds gifts of the same generation; others are lost until the next one.
    pub fn receive(&mut self, generation: u64, gifts: &[Gift]) {
        if generation != self.generation {
            return;
        }
        for gift in gifts {
            if let Some(share) = self.shares.get_mut(&gift.workspace) {
                share.held_ppm = (share.held_ppm + gift.share_ppm).min(FULL_SHARE_PPM);
            }
        }
    }
}

impl Share {
    fn effective_ppm(&self) -> u64 {
        self.held_ppm.min(self.cap_ppm.unwrap_or(FULL_SHARE_PPM))
    }

    fn rate(&self, rate_per_s: f64) -> f64 {
        rate_per_s * self.held_ppm as f64 / FULL_SHARE_PPM as f64
    }
}

fn to_ppm(statements_per_s: f64, rate_per_s: f64) -> u64 {
    match rate_per_s > 0.0 {
        true => (statements_per_s / rate_per_s * FULL_SHARE_PPM as f64).ceil() as u64,
        false => 0,
    }
}
