//! The token bucket of one tenant, shared by the levels of its statements. Performs no input or
//! output.
//!
//! A tenant that asks for several times its rate is refused most of its operations. Without an order
//! its most urgent statements are refused as often as the least urgent ones. So a less urgent level
//! leaves tokens in the bucket for what the more urgent ones have lately asked for, and gets a
//! small part of the rate in any case.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use crate::token_bucket::TokenBucket;
use crate::token_grant::TokenGrant;

/// Time for which the tokens that are left to more urgent levels last at their recent demand, in
/// milliseconds: as long as other nodes fetch tokens ahead.
const RESERVE_MS: f64 = 200.0;

/// Largest part of the burst that is left to more urgent levels.
const MAX_RESERVE_FRACTION: f64 = 0.25;

/// Part of the rate that each level gets although more urgent ones ask for all of it.
const MIN_SHARE: f64 = 0.1;

/// Burst of that part, in tokens.
const MIN_SHARE_BURST: f64 = 2.0;

/// Demand below which nothing is left for the minimum share of a level, in operations per second.
const MIN_DEMAND_PER_S: f64 = 0.5;

/// Time constant of the average of demand, in milliseconds.
const DEMAND_WINDOW_MS: f64 = 1_000.0;

/// Time after its last operation for which a level is kept, in milliseconds. Its part of the rate fills
/// in a few seconds unless the rate is tiny, and its demand has no weight any more.
const LEVEL_RETENTION_MS: u64 = 60_000;

/// Retry delay for a tenant whose rate is zero, in milliseconds.
const NO_RATE_RETRY_MS: u64 = 1_000;

/// Demand of one level.
#[derive(Debug)]
struct LevelDemand {
    per_s: f64,
    updated_at_ms: u64,
    min_share: TokenBucket,
}

/// Bucket of one tenant.
#[derive(Debug)]
pub struct TenantBucket {
    bucket: TokenBucket,
    rate_per_s: f64,
    burst: f64,
    levels: BTreeMap<u32, LevelDemand>,
}

impl TenantBucket {
    /// Creates an empty bucket with a rate of zero.
    pub fn new(now_ms: u64) -> Self {
        let bucket = TokenBucket::new(now_ms);
        Self { bucket, rate_per_s: 0.0, burst: 0.0, levels: BTreeMap::new() }
    }

    /// Changes rate and burst. Tokens beyond the new burst are discarded; none are added.
    pub fn configure(&mut self, now_ms: u64, rate_per_s: f64, burst: f64) {
        self.bucket.configure(now_ms, rate_per_s, burst);
        (self.rate_per_s, self.burst) = (rate_per_s, burst);
        for level in self.levels.values_mut() {
            level.min_share.configure(now_ms, rate_per_s * MIN_SHARE, MIN_SHARE_BURST);
        }
    }

    /// Adds tokens, up to the burst.
    pub fn add(&mut self, count: f64) {
        self.bucket.add(count);
    }

    /// Takes up to `count` tokens for a level.
    pub fn take(&mut self, now_ms: u64, level: u32, count: u32) -> TokenGrant {
        self.record_demand(now_ms, level, count);
        let reserve = self.reserve(now_ms, level);
        let mut granted = 0;
        while granted < count && self.take_one(now_ms, level, reserve) {
            granted += 1;
        }
        let has_other_levels = self.levels.len() > 1;
        let is_scarce = has_other_levels && granted < count;
        let retry_after_ms = match granted {
            0 => self.retry_after_ms(now_ms, level, reserve),
            _ => 0,
        };
        TokenGrant { granted, retry_after_ms, is_scarce }
    }

    fn take_one(&mut self, now_ms: u64, level: u32, reserve: f64) -> bool {
        let available = self.bucket.level(now_ms);
        if available < 1.0 {
            return false;
        }
        let has_share = available >= 1.0 + reserve
            || self
                .levels
                .get_mut(&level)
                .is_some_and(|demand| demand.min_share.take(now_ms, 1.0).is_ok());
        has_share && self.bucket.take(now_ms, 1.0).is_ok()
    }

    /// Returns the time until a token may be available for a level, in milliseconds.
    fn retry_after_ms(&mut self, now_ms: u64, level: u32, reserve: f64) -> u64 {
        let by_reserve_ms = self.bucket.wait_ms(now_ms, 1.0 + reserve);
        let token_ms = self.bucket.wait_ms(now_ms, 1.0);
        let demand = self.levels.get_mut(&level);
        let share_ms = demand.and_then(|demand| demand.min_share.wait_ms(now_ms, 1.0));
        let by_share_ms = token_ms.zip(share_ms).map(|(token_ms, share_ms)| token_ms.max(share_ms));
        by_reserve_ms.into_iter().chain(by_share_ms).min().unwrap_or(NO_RATE_RETRY_MS).max(1)
    }

    fn record_demand(&mut self, now_ms: u64, level: u32, count: u32) {
        self.levels.retain(|other, demand| {
            *other == level || now_ms.saturating_sub(demand.updated_at_ms) <= LEVEL_RETENTION_MS
        });
        let min_share_per_s = self.rate_per_s * MIN_SHARE;
        let demand = self.levels.entry(level).or_insert_with(|| {
            let mut min_share = TokenBucket::new(now_ms);
            min_share.configure(now_ms, min_share_per_s, MIN_SHARE_BURST);
            LevelDemand { per_s: 0.0, updated_at_ms: now_ms, min_share }
        });
        let before_per_s = demand.decayed_per_s(now_ms);
        demand.per_s = before_per_s + f64::from(count) * 1_000.0 / DEMAND_WINDOW_MS;
        demand.updated_at_ms = demand.updated_at_ms.max(now_ms);
    }

    /// Returns the number of tokens that a level leaves to the others: what the more urgent ones ask
    /// for, and the minimum shares of the less urgent ones.
    fn reserve(&mut self, now_ms: u64, level: u32) -> f64 {
        let mut reserve = 0.0;
        for (other, demand) in &mut self.levels {
            let per_s = demand.decayed_per_s(now_ms);
            reserve += match (*other).cmp(&level) {
                Ordering::Less => per_s * RESERVE_MS / 1_000.0,
                Ordering::Greater if per_s >= MIN_DEMAND_PER_S => demand.min_share.level(now_ms),
                _ => 0.0,
            };
        }
        // The bucket must be able to hold one token more than the reserve.
        let limit = (self.burst * MAX_RESERVE_FRACTION).min(self.burst - 1.0).max(0.0);
        reserve.min(limit)
    }
}

impl LevelDemand {
    fn decayed_per_s(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_at_ms) as f64;
        self.per_s * (-age_ms / DEMAND_WINDOW_MS).exp()
    }
}
