//! Rate limits of tenants, each counted on a single node. Performs no input or output.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::Configuration;
use crate::name::Name;
use crate::tenant_bucket::TenantBucket;
use crate::token_grant::TokenGrant;

/// Returns the service whose owner counts a tenant's operations, chosen by rendezvous hashing.
///
/// Each service has at most one owner at a time, so each tenant is counted on a single node. When
/// the set of services changes, the count may move to another service.
pub fn home_service(configuration: &Configuration, tenant: &str) -> Option<Name> {
    let weight = |service: &&Name| xxh3_64(format!("{tenant}/{service}").as_bytes());
    configuration.services.keys().max_by_key(weight).cloned()
}

/// Token buckets of the tenants that one owner counts.
///
/// A new owner starts with nearly empty buckets, because its predecessor may have spent the burst.
#[derive(Debug, Default)]
pub struct TenantRates {
    buckets: HashMap<Name, TenantBucket>,
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
                let mut bucket = TenantBucket::new(now_ms);
                bucket.configure(now_ms, tenant.rate_per_s, tenant.burst);
                bucket.add(INITIAL_TOKENS.min(tenant.burst / 2.0));
                bucket
            });
            bucket.configure(now_ms, tenant.rate_per_s, tenant.burst);
        }
    }

    /// Takes up to `count` tokens for statements of a level, 0 being the most urgent. Returns `None`
    /// if the tenant is not counted here.
    pub fn take(
        &mut self,
        now_ms: u64,
        tenant: &str,
        level: u32,
        count: u32,
    ) -> Option<TokenGrant> {
        Some(self.buckets.get_mut(tenant)?.take(now_ms, level, count))
    }
}

/// Most tokens that a tenant's bucket starts with at a new owner: small enough that several changes
/// of owner stay within the tolerance of a rate, which is 20 operations.
const INITIAL_TOKENS: f64 = 6.0;
