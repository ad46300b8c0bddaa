//! Decides which tenants keep their idle connections at a member, and how many connections are
//! opened at a time. It does no I/O.
//!
//! A connection belongs to one tenant, and opening one occupies a slot of the member for about 12 ms.
//! A member accepts fewer connections than there are tenants, so those are kept that are most likely
//! to be needed again soon.

use std::collections::HashMap;

use crate::name::Name;

/// Time constant of the demand, in milliseconds: long enough that a tenant with one statement in some
/// seconds is told apart from one with several, and short enough to follow demand that moves.
const DEMAND_MEMORY_MS: f64 = 6_000.0;

/// Number of tenants with known demand above which those with hardly any are forgotten.
const MAX_TENANTS: usize = 512;

/// Demand below which a tenant is forgotten then: its last statement was many time constants ago.
const MIN_DEMAND: f64 = 0.01;

/// Time after which a connection counts as open if nobody said so, in milliseconds: several times
/// as long as opening one usually takes.
const OPENING_LIMIT_MS: u64 = 50;

/// Share of the connection limit that is at most left for the next owner.
const MAX_LEFT_SHARE: usize = 3;

/// A count that decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    count: f64,
    at_ms: u64,
}

impl Demand {
    fn at(self, now_ms: u64) -> f64 {
        self.count * (-(now_ms.saturating_sub(self.at_ms) as f64) / DEMAND_MEMORY_MS).exp()
    }

    fn add_one(&mut self, now_ms: u64) {
        *self = Self { count: self.at(now_ms) + 1.0, at_ms: now_ms.max(self.at_ms) };
    }
}

/// Recent demand of each tenant at one member, and the connections that are being opened to it.
#[derive(Clone, Debug, Default)]
pub struct ConnectionRetention {
    tenants: HashMap<Name, Demand>,
    total: Demand,
    opening_since_ms: Vec<u64>,
}

impl ConnectionRetention {
    /// Records that a tenant used a connection.
    pub fn record_use(&mut self, now_ms: u64, tenant: &Name) {
        self.total.add_one(now_ms);
        match self.tenants.get_mut(tenant) {
            Some(demand) => demand.add_one(now_ms),
            None => {
                if self.tenants.len() >= MAX_TENANTS {
                    self.tenants.retain(|_, demand| demand.at(now_ms) >= MIN_DEMAND);
                }
                self.tenants.insert(tenant.clone(), Demand { count: 1.0, at_ms: now_ms });
            }
        }
    }

    /// Returns the index of the connection to close among idle ones, given by their tenants from the
    /// oldest to the newest; `None` if there are none.
    ///
    /// A connection is worth the demand of its tenant. A further one of the same tenant is needed only
    /// while the first one is in use, which is as likely as the tenant's share of all demand.
    pub fn victim<'a, Tenants>(&self, idle: Tenants) -> Option<usize>
    where
        Tenants: DoubleEndedIterator<Item = &'a Name> + ExactSizeIterator,
    {
        // All demand decays alike, so the comparison does not depend on the time.
        let now_ms = self.total.at_ms;
        let total = self.total.at(now_ms).max(1.0);
        let mut values: HashMap<&Name, (f64, f64)> = HashMap::new();
        let mut least: Option<(f64, usize)> = None;
        for (index, tenant) in idle.enumerate().rev() {
            let (value, share) = values.entry(tenant).or_insert_with(|| {
                let demand = self.tenants.get(tenant).map_or(0.0, |demand| demand.at(now_ms));
                (demand, demand / total)
            });
            if least.is_none_or(|(least, _)| *value <= least) {
                least = Some((*value, index));
            }
            *value *= *share;
        }
        least.map(|(_, index)| index)
    }

    /// Counts a connection that is being opened.
    pub fn begin_opening(&mut self, now_ms: u64) {
        self.opening_since_ms.retain(|since_ms| now_ms < since_ms + OPENING_LIMIT_MS);
        self.opening_since_ms.push(now_ms);
    }

    /// Stops counting a connection that is being opened.
    pub fn end_opening(&mut self) {
        if !self.opening_since_ms.is_empty() {
            self.opening_since_ms.remove(0);
        }
    }

    /// Returns the number of connections that are being opened.
    pub fn opening(&self, now_ms: u64) -> usize {
        let since = self.opening_since_ms.iter();
        since.filter(|since_ms| now_ms < **since_ms + OPENING_LIMIT_MS).count()
    }
}

/// Returns whether another connection to a member may be opened while `opening` are: at most half of
/// its slots are used for that, so that tenants with connections are served meanwhile.
pub fn may_open(opening: usize, slots: usize) -> bool {
    opening < slots.div_ceil(2).max(1)
}

/// Returns the number of open connections to a member above which one is closed each time that one is
/// returned, if `limit` may be open. The rest is left for the next owner, because members keep the
/// connections of an unreachable owner open for seconds. With one for each slot it can use all slots.
pub fn retained_limit(limit: usize, slots: usize) -> usize {
    let left = slots.min(limit / MAX_LEFT_SHARE);
    limit.saturating_sub(left).max(1)
}
