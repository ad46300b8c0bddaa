//! Cache of rate-limit tokens for tenants whose operations another node counts. Performs no input
//! or output.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::name::Name;
use crate::token_bucket::TokenBucket;
use crate::token_grant::TokenGrant;

/// Time for which the tokens of one fetch should last at the average demand, in milliseconds.
const PREFETCH_MS: u64 = 200;

/// Most tokens that are fetched at once, and that another node is granted at once.
pub const MAX_FETCH: u32 = 32;

/// Burst of the fallback bucket: small enough that all nodes together stay within the tolerated
/// excess over the rate.
const MAX_FALLBACK_TOKENS: f64 = 2.0;

/// Time constant of the average of demand, in milliseconds.
const DEMAND_WINDOW_MS: f64 = 1_000.0;

/// Time for which tokens are kept apart by level after the node that counts the tenant was short of
/// them, in milliseconds.
const SCARCE_MS: u64 = 1_000;

#[derive(Clone, Debug, Default)]
struct LevelTokens {
    tokens: u32,
    demand_per_s: f64,
    last_request_at_ms: u64,
    refused_until_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct TenantTokens {
    levels: BTreeMap<u32, LevelTokens>,
    scarce_until_ms: u64,
    fallback: Option<TokenBucket>,
}

/// Whether an operation may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenDecision {
    /// It may start.
    Granted,
    /// No token is available for this many milliseconds.
    Refused(u64),
    /// This many tokens must be fetched first.
    Fetch(u32),
}

/// Cached tokens, by tenant.
#[derive(Clone, Debug, Default)]
pub struct TokenCache {
    tenants: HashMap<Name, TenantTokens>,
}

impl LevelTokens {
    /// Adds a request to the average of the demand.
    fn record_request(&mut self, now_ms: u64) {
        let gap_ms = now_ms.saturating_sub(self.last_request_at_ms) as f64;
        self.last_request_at_ms = now_ms;
        // Exponentially weighted average.
        let decay = (-gap_ms / DEMAND_WINDOW_MS).exp();
        self.demand_per_s = self.demand_per_s * decay + 1_000.0 / DEMAND_WINDOW_MS;
    }

    fn demand_per_s(&self, now_ms: u64) -> f64 {
        let gap_ms = now_ms.saturating_sub(self.last_request_at_ms) as f64;
        self.demand_per_s * (-gap_ms / DEMAND_WINDOW_MS).exp()
    }
}

impl TenantTokens {
    /// Uses a cached token for a statement of a level: one of its own level, of a less urgent one, or,
    /// unless tokens are scarce, of any level.
    fn use_token(&mut self, level: u32, is_scarce: bool) -> bool {
        let usable = |other: u32| !is_scarce || other >= level;
        let nearest = self
            .levels
            .iter_mut()
            .filter(|(other, entry)| entry.tokens > 0 && usable(**other))
            .min_by_key(|(other, _)| other.abs_diff(level));
        let Some((_, entry)) = nearest else { return false };
        entry.tokens -= 1;
        true
    }
}

impl TokenCache {
    /// Takes a token for one operation of a level. If none is cached, tells whether to fetch tokens or
    /// to refuse the operation.
    pub fn take(&mut self, now_ms: u64, tenant: &Name, level: u32) -> TokenDecision {
        let entry = self.tenants.entry(tenant.clone()).or_default();
        entry.levels.entry(level).or_default().record_request(now_ms);
        let is_scarce = now_ms < entry.scarce_until_ms;
        if entry.use_token(level, is_scarce) {
            return TokenDecision::Granted;
        }
        let own = entry.levels.entry(level).or_default();
        if now_ms < own.refused_until_ms {
            return TokenDecision::Refused(own.refused_until_ms - now_ms);
        }
        let counts = |other: &u32| !is_scarce || *other == level;
        let levels = entry.levels.iter().filter(|(other, _)| counts(other));
        let demand_per_s: f64 = levels.map(|(_, tokens)| tokens.demand_per_s(now_ms)).sum();
        let ahead = (demand_per_s * PREFETCH_MS as f64 / 1_000.0) as u32;
        TokenDecision::Fetch(ahead.saturating_add(1).min(MAX_FETCH))
    }

    /// Adds fetched tokens, one of which is used at once. Returns false if none were granted, and
    /// refuses operations of that level for the retry delay then.
    pub fn add_fetched(
        &mut self,
        now_ms: u64,
        tenant: &Name,
        level: u32,
        grant: &TokenGrant,
    ) -> bool {
        let entry = self.tenants.entry(tenant.clone()).or_default();
        if grant.is_scarce {
            entry.scarce_until_ms = now_ms.saturating_add(SCARCE_MS);
        }
        let own = entry.levels.entry(level).or_default();
        if grant.granted == 0 {
            own.refused_until_ms = now_ms.saturating_add(grant.retry_after_ms);
            return false;
        }
        own.tokens = own.tokens.saturating_add(grant.granted - 1);
        true
    }

    /// Takes a token from the fallback bucket, for use while the node that counts the tenant does
    /// not answer.
    pub fn take_fallback(&mut self, now_ms: u64, tenant: &Name, per_s: f64) -> bool {
        let entry = self.tenants.entry(tenant.clone()).or_default();
        let fallback = entry.fallback.get_or_insert_with(|| TokenBucket::new(now_ms));
        fallback.configure(now_ms, per_s, MAX_FALLBACK_TOKENS);
        fallback.take(now_ms, 1.0).is_ok()
    }
}
