//! Rate limits of tenants across owners.

use std::sync::Arc;

use proptest::prelude::*;

use snipehead_core::configuration::Configuration;
use snipehead_core::configuration::ServiceLimits;
use snipehead_core::configuration::Tenant;
use snipehead_core::name::Name;
use snipehead_core::tenant_rates::TenantRates;
use snipehead_core::tenant_rates::home_service;
use snipehead_core::token_cache::TokenCache;
use snipehead_core::token_cache::TokenDecision;

const RATE_PER_S: f64 = 20.0;
const BURST: f64 = 20.0;
const WINDOW_MS: u64 = 5_000;

fn configuration(services: &[&str]) -> Configuration {
    let tenant = Tenant { name: "families".into(), rate_per_s: RATE_PER_S, burst: BURST };
    let limits =
        |name: &str| ServiceLimits { name: name.into(), max_connections: 10, cold_per_s: 0.0 };
    Configuration {
        version: 1,
        services: services.iter().map(|name| ((*name).into(), Arc::new(limits(name)))).collect(),
        tenants_by_key: [("key".into(), Arc::new(tenant))].into(),
        ..Configuration::default()
    }
}

#[test]
fn a_tenant_is_counted_by_the_owner_of_one_service() {
    let configuration = configuration(&["a", "b", "c"]);
    let home = home_service(&configuration, "families").expect("the tenant has a home service");
    let mut counting = 0;
    for service in configuration.service_names() {
        let mut rates = TenantRates::default();
        rates.apply(0, &service, &configuration);
        counting += usize::from(rates.take(0, "families", 1).is_some());
        assert_eq!(rates.take(0, "families", 1).is_some(), service == home);
    }
    assert_eq!(counting, 1);
}

#[test]
fn a_new_owner_does_not_grant_a_full_burst() {
    let configuration = configuration(&["a"]);
    let mut rates = TenantRates::default();
    rates.apply(0, &"a".into(), &configuration);
    let grant = rates.take(0, "families", 100).expect("the tenant is counted here");
    assert!(grant.granted <= 6, "granted {}", grant.granted);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// No window has more operations than the tolerance allows, whatever the demand at three nodes,
    /// even if another node starts to count the tenant.
    #[test]
    fn no_window_exceeds_the_tolerance(
        demand in prop::collection::vec((0_usize..3, 0_u64..30), 200..900),
        change_at in 0_usize..600,
    ) {
        let configuration = configuration(&["a"]);
        let tenant: Name = "families".into();
        let mut rates = TenantRates::default();
        rates.apply(0, &"a".into(), &configuration);
        let mut caches = [TokenCache::default(), TokenCache::default(), TokenCache::default()];
        let mut now_ms = 0;
        let mut admitted_at_ms: Vec<u64> = Vec::new();
        for (index, (node, gap_ms)) in demand.into_iter().enumerate() {
            now_ms += gap_ms;
            if index == change_at {
                rates = TenantRates::default();
                rates.apply(now_ms, &"a".into(), &configuration);
            }
            let is_admitted = match caches[node].take(now_ms, &tenant) {
                TokenDecision::Granted => true,
                TokenDecision::Refused(_) => false,
                TokenDecision::Fetch(count) => {
                    let grant = rates
                        .take(now_ms, &tenant, count)
                        .expect("the tenant is counted here");
                    caches[node].add_fetched(now_ms, &tenant, grant.granted, grant.retry_after_ms)
                }
            };
            if is_admitted {
                admitted_at_ms.push(now_ms);
            }
        }
        let limit = (RATE_PER_S * WINDOW_MS as f64 / 1_000.0 + BURST) * 1.1 + 20.0;
        for (index, start_ms) in admitted_at_ms.iter().enumerate() {
            let within = admitted_at_ms[index..]
                .iter()
                .take_while(|at| **at < start_ms + WINDOW_MS)
                .count();
            prop_assert!(within as f64 <= limit, "{within} operations from {start_ms}");
        }
    }
}
