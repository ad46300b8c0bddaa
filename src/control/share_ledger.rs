//! This daemon's shares of the workspaces' rates. This module does no I/O.
//!
//! Within a generation, the shares that all daemons hold of a rate add up to at most the full
//! rate. The sender of a transfer subtracts it before sending, and the receiver adds it on arrival
//! if both are in the same generation. A lost message can therefore only lower the sum. The lost
//! share becomes available again with the next generation.

use std::collections::BTreeMap;

use crate::peer::rate_share::Demand;
use crate::peer::rate_share::ShareTransfer;

/// The full rate of a workspace, in parts per million.
pub const FULL_SHARE_PPM: u64 = 1_000_000;

/// Fraction of a share; a daemon whose demand exceeds it requests more.
const REQUEST_THRESHOLD: f64 = 0.8;

/// Factor by which a daemon's share should exceed its demand.
const HEADROOM_FACTOR: f64 = 1.25;

/// Divisor of an equal share that yields the reserve. The reserve is never transferred, so that a
/// first request finds some share.
const RESERVE_DIVISOR: u64 = 5;

/// Share of one workspace's rate.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    held_ppm: u64,
    /// Upper limit of the usable share until the current generation and list of workspaces are in
    /// force on all daemons: the usable share in the previous generation, or 0.
    cap_ppm: Option<u64>,
    demand_per_s: f64,
}

/// This daemon's shares of the rates, by workspace.
#[derive(Clone, Debug, Default)]
pub struct ShareLedger {
    generation: u64,
    daemon_count: u64,
    shares: BTreeMap<String, Share>,
}

impl ShareLedger {
    /// Returns the generation that the shares belong to.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Starts a generation of `daemon_count` daemons. This daemon gets an equal share if it belongs
    /// to the generation, and none otherwise.
    ///
    /// Until the generation is in force, the usable share is limited to that of the previous
    /// generation, or to zero if `keeps_shares` is false.
    pub fn start_generation(
        &mut self,
        generation: u64,
        daemon_count: u64,
        is_in_generation: bool,
        keeps_shares: bool,
    ) {
        if generation <= self.generation {
            return;
        }
        let equal_ppm = match is_in_generation && daemon_count > 0 {
            true => FULL_SHARE_PPM / daemon_count,
            false => 0,
        };
        for share in self.shares.values_mut() {
            let previous_ppm = match keeps_shares {
                true => share.effective_ppm(),
                false => 0,
            };
            share.held_ppm = equal_ppm;
            share.cap_ppm = Some(previous_ppm);
        }
        self.generation = generation;
        self.daemon_count = daemon_count;
    }

    /// Makes the held shares fully usable. Called once no daemon uses shares of the previous
    /// generation or an older list of workspaces.
    pub fn lift_caps(&mut self) {
        for share in self.shares.values_mut() {
            share.cap_ppm = None;
        }
    }

    /// Updates the list of workspaces. A new workspace starts with an equal share.
    pub fn set_workspaces(&mut self, names: &[&str], is_in_generation: bool) {
        self.shares.retain(|name, _| names.contains(&name.as_str()));
        for name in names {
            if !self.shares.contains_key(*name) {
                let held_ppm = match is_in_generation && self.daemon_count > 0 {
                    true => FULL_SHARE_PPM / self.daemon_count,
                    false => 0,
                };
                let share = Share {
                    held_ppm,
                    // Unusable until the change that added the workspace is in force, because the
                    // shares that other daemons hold are unknown before that.
                    cap_ppm: Some(0),
                    demand_per_s: 0.0,
                };
                self.shares.insert((*name).to_owned(), share);
            }
        }
    }

    /// Records the demand of this daemon's callers. An increase counts at once; a decrease is
    /// smoothed by averaging with the previous value.
    pub fn record_demand(&mut self, workspace: &str, demand_per_s: f64) {
        if let Some(share) = self.shares.get_mut(workspace) {
            let smoothed = (share.demand_per_s + demand_per_s) / 2.0;
            share.demand_per_s = smoothed.max(demand_per_s);
        }
    }

    /// Returns the usable share, in parts per million.
    pub fn effective_ppm(&self, workspace: &str) -> u64 {
        self.shares.get(workspace).map_or(0, Share::effective_ppm)
    }

    /// Returns the demands that approach or exceed their shares, given each workspace's rate.
    pub fn demands<Rate>(&self, rate_of: Rate) -> Vec<Demand>
    where
        Rate: Fn(&str) -> f64,
    {
        let exceeds_share = |(name, share): &(&String, &Share)| {
            share.demand_per_s > REQUEST_THRESHOLD * share.rate(rate_of(name))
        };
        let demand = |(name, share): (&String, &Share)| Demand {
            workspace: name.clone(),
            demand_per_s: share.demand_per_s,
            share_ppm: share.held_ppm,
        };
        self.shares.iter().filter(exceeds_share).map(demand).collect()
    }

    /// Transfers share that is not needed here to a daemon with the given demands. The transfers
    /// are subtracted at once.
    pub fn transfer_spare<Rate>(
        &mut self,
        generation: u64,
        demands: &[Demand],
        rate_of: Rate,
    ) -> Vec<ShareTransfer>
    where
        Rate: Fn(&str) -> f64,
    {
        if generation != self.generation {
            return Vec::new();
        }
        let reserve_ppm = FULL_SHARE_PPM / self.daemon_count.max(1) / RESERVE_DIVISOR;
        let mut transfers = Vec::new();
        for demand in demands {
            let rate = rate_of(&demand.workspace);
            let Some(share) = self.shares.get_mut(&demand.workspace) else {
                continue;
            };
            let needed_here_ppm =
                to_ppm(share.demand_per_s * HEADROOM_FACTOR, rate).max(reserve_ppm);
            let needed_there_ppm = to_ppm(demand.demand_per_s * HEADROOM_FACTOR, rate);
            let spare_ppm = share.held_ppm.saturating_sub(needed_here_ppm);
            let missing_ppm = needed_there_ppm.saturating_sub(demand.share_ppm);
            let share_ppm = spare_ppm.min(missing_ppm);
            if share_ppm > 0 {
                share.held_ppm -= share_ppm;
                transfers.push(ShareTransfer { workspace: demand.workspace.clone(), share_ppm });
            }
        }
        transfers
    }

    /// Adds received transfers. Those of another generation are discarded; their share is lost
    /// until the next generation.
    pub fn receive_transfers(&mut self, generation: u64, transfers: &[ShareTransfer]) {
        if generation != self.generation {
            return;
        }
        for transfer in transfers {
            if let Some(share) = self.shares.get_mut(&transfer.workspace) {
                share.held_ppm = (share.held_ppm + transfer.share_ppm).min(FULL_SHARE_PPM);
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
