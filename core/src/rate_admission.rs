//! Decides whether a tenant may start an operation, with tokens from the node that counts it.

use std::net::SocketAddr;

use crate::clock::now_ms;
use crate::name::Name;
use crate::node::Node;
use crate::sync::lock;
use crate::tenant_rates::home_service;
use crate::token_cache::MAX_FETCH;
use crate::token_cache::TokenDecision;
use crate::token_grant::TokenGrant;

/// Retry delay that callers get while the node that counts the tenant does not answer, in
/// milliseconds.
const UNREACHABLE_RETRY_MS: u64 = 100;

/// Fraction of a tenant's rate that is granted without the node that counts the tenant while that
/// node does not answer. It is divided by the number of services, whose owners admit operations, so
/// that all nodes together stay within the tolerance of the rate, which is a tenth.
const FALLBACK_RATE_FRACTION: f64 = 0.1;

impl Node {
    /// Takes a token for one operation of a tenant, which starts with a statement of `level`.
    /// Tenants without a rate limit need none.
    ///
    /// # Errors
    ///
    /// Returns the time after which to retry, in milliseconds, if no token is available.
    pub(crate) async fn admit_operation(&self, tenant: &Name, level: u32) -> Result<(), u64> {
        let Some(known) = self.configuration.known() else { return Ok(()) };
        let configuration = known.configuration;
        let Some(limits) = configuration.tenants_by_key.values().find(|t| t.name == *tenant) else {
            // Callers of public routes have no rate limit.
            return Ok(());
        };
        let Some(home) = home_service(&configuration, tenant) else { return Ok(()) };
        if let Some(grant) = self.grant_tokens_as_owner(&home, tenant, level, 1) {
            return if grant.granted > 0 { Ok(()) } else { Err(grant.retry_after_ms) };
        }
        let count = match lock(&self.token_cache).take(now_ms(), tenant, level) {
            TokenDecision::Granted => return Ok(()),
            TokenDecision::Refused(wait_ms) => return Err(wait_ms),
            TokenDecision::Fetch(count) => count,
        };
        let grant = match self.owner_directory.owner(&home) {
            Some(owner) => self.fetch_tokens(owner.address, tenant, level, count).await,
            None => None,
        };
        let services = configuration.services.len().max(1) as f64;
        let fallback_per_s = limits.rate_per_s * FALLBACK_RATE_FRACTION / services;
        let now_ms = now_ms();
        let mut cache = lock(&self.token_cache);
        match grant {
            Some(grant) if cache.add_fetched(now_ms, tenant, level, &grant) => Ok(()),
            Some(grant) => Err(grant.retry_after_ms),
            None if cache.take_fallback(now_ms, tenant, fallback_per_s) => Ok(()),
            None => {
                self.refresh.notify_one();
                Err(UNREACHABLE_RETRY_MS)
            }
        }
    }

    async fn fetch_tokens(
        &self,
        address: SocketAddr,
        tenant: &Name,
        level: u32,
        count: u32,
    ) -> Option<TokenGrant> {
        match self.peers.take_tokens(address, tenant.clone(), level, count).await {
            Ok(grant) => grant,
            Err(error) => {
                log::info!(
                    event = "token_fetch_failed", tenant = &**tenant, peer = address.to_string(),
                    error = error.to_string();
                    "the node that counts the tenant did not answer; the fallback rate applies"
                );
                None
            }
        }
    }

    /// Grants another node up to `count` tokens of a tenant for statements of a level, but no more than
    /// [`MAX_FETCH`], or returns `None` if this node does not count the tenant's operations.
    pub fn grant_tokens(&self, tenant: &Name, level: u32, count: u32) -> Option<TokenGrant> {
        let known = self.configuration.known()?;
        let home = home_service(&known.configuration, tenant)?;
        self.grant_tokens_as_owner(&home, tenant, level, count.min(MAX_FETCH))
    }

    fn grant_tokens_as_owner(
        &self,
        home: &Name,
        tenant: &Name,
        level: u32,
        count: u32,
    ) -> Option<TokenGrant> {
        let owned = self.owned(home).filter(|service| service.has_valid_lease())?;
        owned.take_tokens(tenant, level, count)
    }
}
