//! Cache of rate-limit tokens for tenants whose operations another node counts. Performs no input
//! or output.

use std::collections::HashMap;

use crate::name::Name;
use crate::token_bucket::TokenBucket;

/// Time for which the tokens of one fetch should last at the average demand, in milliseconds.
const PREFETCH_MS: u64 = 200;

/// Most tokens that are fetched at once.
const MAX_FETCH: u32 = 32;

/// Burst of the fallback bucket: small enough that all nodes together stay within the tolerated
/// excess over the rate.
const MAX_FALLBACK_TOKENS: f64 = 2.0;

/// Time constant of the average of demand, in milliseconds.
const DEMAND_WINDOW_MS: f64 = 1_000.0;

#[derive(Clone, Debug, Default)]
struct TenantTokens {
    tokens: u32,
    demand_per_s: f64,
    last_request_at_ms: u64,
    refused_until_ms: u64,
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

impl TokenCache {
    /// Takes a token for one operation. If none is cached, tells whether to fetch tokens or to
    /// refuse the operation.
    pub fn take(&mut self, now_ms: u64, tenant: &Name) -> TokenDecision {
        let entry = self.tenants.entry(tenant.clone()).or_default();
        let gap_ms = now_ms.saturating_sub(entry.last_request_at_ms) as f64;
        entry.last_request_at_ms = now_ms;
        // Exponentially weighted average of the demand.
        let decay = (-gap_ms / DEMAND_WINDOW_MS).exp();
        entry.demand_per_s = entry.demand_per_s * decay + 1_000.0 / DEMAND_WINDOW_MS;
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

    /// Adds fetched tokens, one of which is used at once. Returns false if none were granted, and
    /// refuses operations for `retry_ms` then.
    pub fn add_fetched(&mut self, now_ms: u64, tenant: &Name, granted: u32, retry_ms: u64) -> bool {
        let entry = self.tenants.entry(tenant.clone()).or_default();
        if granted == 0 {
            entry.refused_until_ms = now_ms.saturating_add(retry_ms);
            return false;
        }
        entry.tokens = entry.tokens.saturating_add(granted - 1);
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
