//! This node's part of each tenant's rate, free of input and output.

use std::collections::HashMap;

use crate::configuration::Configuration;
use crate::name::Name;
use crate::token_bucket::TokenBucket;

/// Buckets of one owned service, a bucket for each tenant.
///
/// Operations pass through the owners of services, and each service has one owner at a time.
/// So the parts of a rate that the services have add up to the tenant's rate, whatever nodes do.
/// A new owner starts with empty buckets: its predecessor may have spent the burst.
#[derive(Debug, Default)]
pub struct TenantRates {
    buckets: HashMap<Name, TokenBucket>,
    version: Option<u64>,
}

impl TenantRates {
    /// Applies a configuration.
    pub fn apply(&mut self, now_ms: u64, configuration: &Configuration) {
        if self.version == Some(configuration.version) {
            return;
        }
        self.version = Some(configuration.version);
        let parts = configuration.services.len().max(1) as f64;
        let tenants = configuration.tenants();
        self.buckets.retain(|name, _| tenants.contains_key(name));
        for (name, tenant) in tenants {
            let bucket = self.buckets.entry(name).or_insert_with(|| TokenBucket::new(now_ms));
            bucket.set(now_ms, tenant.rate_per_s / parts, (tenant.burst / parts).max(1.0));
        }
    }

    /// Takes the right to one operation. Callers without a tenant have no rate to keep to.
    ///
    /// # Errors
    ///
    /// Returns in how many milliseconds there will be one, if ever.
    pub fn admit(&mut self, now_ms: u64, tenant: &str) -> Result<(), Option<u64>> {
        match self.buckets.get_mut(tenant) {
            Some(bucket) => bucket.take(now_ms, 1.0),
            None => Ok(()),
        }
    }
}
