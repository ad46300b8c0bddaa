//! Waiting statements of one level.

use std::collections::BTreeSet;

use crate::admission::capacity::MIN_SHARE;
use crate::admission::fair_shares::FairShares;
use crate::admission::rank::Rank;
use crate::admission::slot_class::SlotClass;
use crate::admission::work::Work;
use crate::admission::work_rate::WorkRate;

/// Most slot time that a level can be owed, in microseconds: what it was owed longer ago must not
/// delay more urgent levels at once.
const MAX_OWED_US: i64 = 200_000;

/// Waiting statements of one level. Those that can still meet their objective go first.
#[derive(Clone, Debug, Default)]
pub struct LevelQueue {
    on_time: BTreeSet<Rank>,
    late: BTreeSet<Rank>,
    /// Latest times of a start that meets the objective, of the statements that are on time.
    latest_starts: BTreeSet<(u64, Rank)>,
    work: Work,
    /// Slot time that the level is owed. Negative after a statement that cost more than was owed.
    owed_us: i64,
    /// Start tags of the tenants.
    pub shares: FairShares,
    /// Slot time that admitted statements ask for.
    pub rate: WorkRate,
    /// Part of it that goes before the waiting statements of other tenants, since their own tenants
    /// have none waiting.
    pub light_rate: WorkRate,
    /// Time at which the callers of the refused statements will all have come back.
    pub returned_at_ms: f64,
}

impl LevelQueue {
    /// Adds a statement.
    pub fn insert(&mut self, rank: Rank, latest_start_ms: u64, class: SlotClass, cost_us: u64) {
        self.work.add(class, cost_us);
        self.on_time.insert(rank);
        self.latest_starts.insert((latest_start_ms, rank));
    }

    /// Removes a statement.
    pub fn remove(&mut self, rank: Rank, latest_start_ms: u64, class: SlotClass, cost_us: u64) {
        self.work.remove(class, cost_us);
        self.on_time.remove(&rank);
        self.late.remove(&rank);
        self.latest_starts.remove(&(latest_start_ms, rank));
        if self.is_empty() {
            self.shares.clear();
            self.owed_us = 0;
        }
    }

    /// Sorts out the statements that can no longer meet their objective.
    pub fn sort_out_late(&mut self, now_ms: u64) {
        while let Some(&(latest_start_ms, rank)) = self.latest_starts.first()
            && latest_start_ms < now_ms
        {
            self.latest_starts.pop_first();
            self.on_time.remove(&rank);
            self.late.insert(rank);
        }
    }

    /// Returns the statements in the order in which they are served.
    pub fn ranks(&self) -> impl Iterator<Item = &Rank> {
        self.on_time.iter().chain(&self.late)
    }

    /// Returns the statements that are on time, in order.
    pub fn on_time(&self) -> impl Iterator<Item = &Rank> {
        self.on_time.iter()
    }

    /// Returns the statements that are on time and go before one with `rank`.
    pub fn before(&self, rank: Rank) -> impl Iterator<Item = &Rank> {
        self.on_time.range(..rank)
    }

    /// Returns whether no statement waits.
    pub fn is_empty(&self) -> bool {
        self.on_time.is_empty() && self.late.is_empty()
    }

    /// Returns the expected slot time of all statements.
    pub fn work(&self) -> Work {
        self.work
    }

    /// Records that slot time was granted, to any level, while this one waits.
    pub fn accrue(&mut self, cost_us: u64) {
        if !self.is_empty() {
            let owed_us = self.owed_us.saturating_add((cost_us as f64 * MIN_SHARE) as i64);
            self.owed_us = owed_us.min(MAX_OWED_US);
        }
    }

    /// Records that slot time was granted to this level because it was owed some. A statement that
    /// costs more than was owed leaves a debt.
    pub fn pay_owed(&mut self, cost_us: u64) {
        self.owed_us = self.owed_us.saturating_sub_unsigned(cost_us);
    }

    /// Records that slot time was granted to this level in its turn, which leaves no debt.
    pub fn pay_in_turn(&mut self, cost_us: u64) {
        let owed_us = self.owed_us.saturating_sub_unsigned(cost_us);
        self.owed_us = owed_us.max(self.owed_us.min(0));
    }

    /// Returns whether the level is owed the slot time of a statement.
    pub fn is_owed(&self, cost_us: u64) -> bool {
        self.owed_us >= MAX_OWED_US.min(cost_us.try_into().unwrap_or(i64::MAX))
    }
}
