//! Rights to operations that this node holds for tenants whose rate another node counts, free of
//! input and output.

use std::collections::HashMap;

use crate::name::Name;
use crate::token_bucket::TokenBucket;

/// Time for which rights are fetched ahead, in milliseconds: one fetch serves this much demand.
const PREFETCH_MS: u64 = 200;

/// Most rights that are fetched at once.
const MAX_FETCH: u32 = 32;

/// Most rights that a reserve holds: all nodes together stay within the tolerated excess.
const MAX_FALLBACK_TOKENS: f64 = 2.0;

/// Time over which demand is averaged, in milliseconds.
const DEMAND_WINDOW_MS: f64 = 1_000.0;

#[derive(Clone, Debug, Default)]
struct TenantTokens {
    tokens: u32,
    demand_per_s: f64,
    last_request_at_ms: u64,
    refused_until_ms: u64,
    fallback: Option<TokenBucket>,
}

/// What an operation may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenDecision {
    /// Go on.
    Granted,
    /// Not now; there will be a right in so many milliseconds.
    Refused(u64),
    /// Fetch so many rights first.
    Fetch(u32),
}

/// Rights held for tenants.
#[derive(Clone, Debug, Default)]
pub struct TokenCache {
    tenants: HashMap<Name, TenantTokens>,
}

impl TokenCache {
    /// Asks for the right to one operation.
    pub fn take(&mut self, now_ms: u64, tenant: &Name) -> TokenDecision {
        let entry = self.tenants.entry(tenant.clone()).or_default();
        let gap_ms = now_ms.saturating_sub(entry.last_request_at_ms) as f64;
        entry.last_request_at_ms = now_ms;
        // An exponential average over the window.
        let kept = (-gap_ms / DEMAND_WINDOW_MS).exp();
        entry.demand_per_s = entry.demand_per_s * kept + 1_000.0 / DEMAND_WINDOW_MS;
        if entry.tokens > 0 {
            entry.tokens -= 1;
            return TokenDecision::Granted;
        }
        if now_ms < entry.refused_until_ms {
            return TokenDecision::Refused(entry.refused_until_ms - now_ms);
        }
        let ahead = (entry.demand_per_s * PREFETCH_MS as f64 / 1_000.0) as u32;
        TokenDecision::Fetch((ahead + 1).min(MAX_FETCH))
    }

    /// Takes note of rights that were fetched, of which one is used at once. Returns whether there
    /// was one.
    pub fn add_fetched(&mut self, now_ms: u64, tenant: &Name, granted: u32, retry_ms: u64) -> bool {
        let entry = self.tenants.entry(tenant.clone()).or_default();
        if granted == 0 {
            entry.refused_until_ms = now_ms + retry_ms;
            return false;
        }
        entry.tokens += granted - 1;
        true
    }

    /// Takes a right from the reserve for times in which the tenant's count is out of reach.
    pub fn take_fallback(&mut self, now_ms: u64, tenant: &Name, per_s: f64) -> bool {
        let entry = self.tenants.entry(tenant.clone()).or_default();
        let fallback = entry.fallback.get_or_insert_with(|| TokenBucket::new(now_ms));
        fallback.configure(now_ms, per_s, MAX_FALLBACK_TOKENS);
        fallback.take(now_ms, 1.0).is_ok()
    }
}
