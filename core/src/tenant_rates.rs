//! Rate limits of tenants, each counted on a single node. Performs no input or output.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::Configuration;
use crate::name::Name;
use crate::token_bucket::TokenBucket;

/// Returns the service whose owner counts a tenant's operations, chosen by rendezvous hashing.
///
/// Each service has at most one owner at a time, so each tenant is counted on a single node. When
/// the set of services changes, the count may move to another service.
pub fn home_service(configuration: &Configuration, tenant: &str) -> Option<Name> {
    let weight = |service: &&Name| xxh3_64(format!("{tenant}/{service}").as_bytes());
    configuration.services.keys().max_by_key(weight).cloned()
}

/// Result of a request for rate-limit tokens of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// Number of tokens granted.
    pub granted: u32,
    /// Time until a token is available, in milliseconds, if none was granted.
    pub retry_after_ms: u64,
}

/// Token buckets of the tenants that one owner counts.
///
/// A new owner starts with nearly empty buckets, because its predecessor may have spent the burst.
#[derive(Debug, Default)]
pub struct TenantRates {
    buckets: HashMap<Name, TokenBucket>,
    version: Option<u64>,
}

impl TenantRates {
    /// Applies the limits in a configuration to the tenants whose home service is `service`.
    pub fn apply(&mut self, now_ms: u64, service: &Name, configuration: &Configuration) {
        if self.version == Some(configuration.version) {
            return;
        }
        self.version = Some(configuration.version);
        let mut tenants = configuration.tenants();
        tenants.retain(|name, _| home_service(configuration, name).as_ref() == Some(service));
        self.buckets.retain(|name, _| tenants.contains_key(name));
        for (name, tenant) in tenants {
            let bucket = self.buckets.entry(name).or_insert_with(|| {
                let mut bucket = TokenBucket::new(now_ms);
                bucket.configure(now_ms, tenant.rate_per_s, tenant.burst);
                bucket.add(INITIAL_TOKENS.min(tenant.burst / 2.0));
                bucket
            });
            bucket.configure(now_ms, tenant.rate_per_s, tenant.burst);
        }
    }

    /// Takes up to `count` tokens. Returns `None` if the tenant is not counted here.
    pub fn take(&mut self, now_ms: u64, tenant: &str, count: u32) -> Option<TokenGrant> {
        let bucket = self.buckets.get_mut(tenant)?;
        let mut granted = 0;
        while granted < count {
            match bucket.take(now_ms, 1.0) {
                Ok(()) => granted += 1,
                Err(wait_ms) if granted == 0 => {
                    let retry_after_ms = wait_ms.unwrap_or(NO_RATE_RETRY_MS);
                    return Some(TokenGrant { granted, retry_after_ms });
                }
                Err(_) => break,
            }
        }
        Some(TokenGrant { granted, retry_after_ms: 0 })
    }
}

/// Most tokens that a tenant's bucket starts with at a new owner: small enough that several changes
/// of owner stay within the tolerance of a rate, which is 20 operations.
const INITIAL_TOKENS: f64 = 6.0;

/// Retry delay for a tenant whose rate is zero, in milliseconds.
const NO_RATE_RETRY_MS: u64 = 1_000;
