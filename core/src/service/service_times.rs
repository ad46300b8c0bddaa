//! Measured times that members take for statements. It does no I/O.
//!
//! Routes differ in cost and members in speed, and a member may get another mix of routes than its
//! peers. So each sample is divided by the average of its route, and the ratio is averaged for the
//! member. Ratios tend to 1.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::member::MemberKey;
use crate::name::Name;
use crate::service::sample_average::SampleAverage;

/// Expected time of a statement of a service without any samples, in milliseconds.
pub const DEFAULT_SERVICE_MS: f64 = 10.0;

/// Weight of a sample in the average of a member: a member that becomes several times slower shows
/// within about 16 statements.
const MEMBER_WEIGHT: f64 = 1.0 / 16.0;

/// Part of its distance from 1 that a ratio loses at each sample. Samples determine only the product of
/// a route's average and a ratio; without this both drift away within seconds, most of all where one
/// member serves a route alone.
const SHRINKAGE: f64 = 0.012;

/// Time constant with which the ratio of a member without samples returns to 1, in milliseconds:
/// what was measured seconds ago may no longer hold.
const RATIO_MEMORY_MS: f64 = 2_000.0;

/// Bounds of a single ratio, so that one stuck statement does not exclude a member for long.
const MIN_RATIO: f64 = 0.1;
const MAX_RATIO: f64 = 20.0;

/// Shortest time that counts, in milliseconds.
const MIN_SAMPLE_MS: f64 = 0.05;

#[derive(Clone, Copy, Debug)]
struct MemberRatio {
    ratio: f64,
    updated_at_ms: u64,
}

/// Service times of one service, by route and by member.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    routes: BTreeMap<Name, SampleAverage>,
    members: HashMap<MemberKey, MemberRatio>,
    overall: Option<SampleAverage>,
}

impl ServiceTimes {
    /// Records the time that a member took for a statement of a route, in milliseconds.
    pub fn record(&mut self, now_ms: u64, member: &MemberKey, route: &Name, took_ms: f64) {
        let took_ms = took_ms.max(MIN_SAMPLE_MS);
        let average = self.routes.entry(route.clone()).or_default();
        average.prepare(took_ms);
        let expected_ms = average.mean_ms();
        let ratio = (took_ms / expected_ms).clamp(MIN_RATIO, MAX_RATIO);
        // A stuck statement must not raise the averages by more than a slow member would.
        let took_ms = took_ms.min(expected_ms * MAX_RATIO);
        let before = self.member_ratio(now_ms, member);
        let averaged = before + (ratio - before) * MEMBER_WEIGHT - (before - 1.0) * SHRINKAGE;
        self.members.insert(member.clone(), MemberRatio { ratio: averaged, updated_at_ms: now_ms });
        // The route's average is that of a member of average speed.
        let adjusted_ms = took_ms / averaged.max(MIN_RATIO);
        if let Some(average) = self.routes.get_mut(route) {
            average.add(adjusted_ms);
        }
        let overall = self.overall.get_or_insert_default();
        overall.prepare(took_ms);
        overall.add(took_ms);
    }

    /// Returns whether there are any samples.
    pub fn has_samples(&self) -> bool {
        self.overall.is_some()
    }

    /// Returns the average over all statements, in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.overall.map_or(DEFAULT_SERVICE_MS, |average| average.mean_ms())
    }

    /// Returns the time that a statement of a route takes at a member of average speed, in
    /// milliseconds.
    pub fn route_ms(&self, route: &str) -> f64 {
        self.routes.get(route).map_or_else(|| self.mean_ms(), SampleAverage::mean_ms)
    }

    /// Returns the times of a member divided by those of an average one; 1 for an unknown member.
    pub fn member_ratio(&self, now_ms: u64, member: &MemberKey) -> f64 {
        let Some(known) = self.members.get(member) else { return 1.0 };
        let age_ms = now_ms.saturating_sub(known.updated_at_ms) as f64;
        1.0 + (known.ratio - 1.0) * (-age_ms / RATIO_MEMORY_MS).exp()
    }

    /// Returns the time that a statement of a route takes at a member, in milliseconds.
    pub fn expected_ms(&self, now_ms: u64, member: &MemberKey, route: &str) -> f64 {
        self.route_ms(route) * self.member_ratio(now_ms, member)
    }

    /// Forgets the members that are not listed.
    pub fn retain_members(&mut self, listed: &BTreeSet<MemberKey>) {
        self.members.retain(|key, _| listed.contains(key));
    }
}
