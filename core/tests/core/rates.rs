//! Rate limits of tenants across owners.

use std::sync::Arc;

use proptest::prelude::*;

use snipehead_core::configuration::Configuration;
use snipehead_core::configuration::ServiceLimits;
use snipehead_core::configuration::Tenant;
use snipehead_core::name::Name;
use snipehead_core::tenant_bucket::TenantBucket;
use snipehead_core::tenant_rates::TenantRates;
use snipehead_core::tenant_rates::home_service;
use snipehead_core::token_cache::TokenCache;
use snipehead_core::token_cache::TokenDecision;

const RATE_PER_S: f64 = 20.0;
const BURST: f64 = 20.0;
const WINDOW_MS: u64 = 5_000;

fn configuration(services: &[&str]) -> Configuration {
    let tenant = Tenant { name: "families".into(), rate_per_s: RATE_PER_S, burst: BURST };
    let limits = |name: &str| ServiceLimits {
        name: name.into(),
        max_connections: 10,
        cold_per_s: 0.0,
        sync_replicas: 0,
    };
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
        counting += usize::from(rates.take(0, "families", 1, 1).is_some());
        assert_eq!(rates.take(0, "families", 1, 1).is_some(), service == home);
    }
    assert_eq!(counting, 1);
}

#[test]
fn a_new_owner_does_not_grant_a_full_burst() {
    let configuration = configuration(&["a"]);
    let mut rates = TenantRates::default();
    rates.apply(0, &"a".into(), &configuration);
    let grant = rates.take(0, "families", 1, 100).expect("the tenant is counted here");
    assert!(grant.granted <= 6, "granted {}", grant.granted);
}

/// Operations of one level that a tenant asked for, and those that were admitted.
#[derive(Clone, Copy, Debug, Default)]
struct Admitted {
    asked: u32,
    admitted: u32,
}

impl Admitted {
    fn share(self) -> f64 {
        f64::from(self.admitted) / f64::from(self.asked.max(1))
    }
}

/// Plays 10 s in which a tenant with a rate of 640/s asks for `per_s` operations of each level over
/// eight owners. One of them counts the tenant, the others fetch tokens.
fn play(per_s: [u32; 3]) -> [Admitted; 3] {
    let tenant: Name = "families".into();
    let mut bucket = TenantBucket::new(0);
    bucket.configure(0, 640.0, 640.0);
    bucket.add(6.0);
    let mut caches = vec![TokenCache::default(); 7];
    let mut counts = [Admitted::default(); 3];
    let mut due = [0.0; 3];
    let mut owner = 0_usize;
    for now_ms in 1..=10_000_u64 {
        for level in 0..3 {
            due[level] += f64::from(per_s[level]) / 1_000.0;
            while due[level] >= 1.0 {
                due[level] -= 1.0;
                owner = (owner + 3) % 8;
                let priority = level as u32;
                let is_admitted = match caches.get_mut(owner) {
                    None => bucket.take(now_ms, priority, 1).granted > 0,
                    Some(cache) => match cache.take(now_ms, &tenant, priority) {
                        TokenDecision::Granted => true,
                        TokenDecision::Refused(_) => false,
                        TokenDecision::Fetch(count) => {
                            let grant = bucket.take(now_ms, priority, count);
                            cache.add_fetched(now_ms, &tenant, priority, &grant)
                        }
                    },
                };
                counts[level].asked += 1;
                counts[level].admitted += u32::from(is_admitted);
            }
        }
    }
    counts
}

/// Guards against refusing a tenant's most urgent operations as often as the least urgent ones while
/// it sends six times its usual.
#[test]
fn a_tenant_beyond_its_rate_gets_its_most_urgent_operations() {
    let shares = play([380, 1_770, 380]).map(Admitted::share);
    assert!(shares[0] >= 0.97, "{shares:?}");
    assert!(shares[1] >= 0.05 && shares[2] >= 0.05, "{shares:?}");
}

/// Guards against a level that gets nothing while a more urgent one asks for more than the rate.
#[test]
fn a_less_urgent_level_keeps_a_part_of_the_rate() {
    let counts = play([2_000, 300, 300]);
    let per_s = counts.map(|count| f64::from(count.admitted) / 10.0);
    assert!(per_s[1] >= 50.0 && per_s[2] >= 50.0, "{per_s:?}");
    assert!(per_s.iter().sum::<f64>() >= 0.97 * 640.0, "{per_s:?}");
}

/// Guards against refusals of a tenant that stays within its rate.
#[test]
fn a_tenant_within_its_rate_is_not_refused() {
    let shares = play([60, 280, 60]).map(Admitted::share);
    assert!(shares.iter().all(|share| *share >= 0.99), "{shares:?}");
}

/// Guards against tokens that are kept apart by level for a tenant whose operations have had one
/// priority for minutes, and against levels that are remembered without end.
#[test]
fn levels_without_operations_are_forgotten() {
    let mut bucket = TenantBucket::new(0);
    bucket.configure(0, RATE_PER_S, BURST);
    for level in 0..1_000 {
        bucket.take(1_000, level, 100);
    }
    assert!(bucket.take(1_000, 0, 100).is_scarce, "the levels compete");
    bucket.take(10 * 60_000, 1, 1);
    assert!(!bucket.take(10 * 60_000, 1, 100).is_scarce, "no other level asks for tokens");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// No window has more operations than the tolerance allows, whatever the demand at three nodes,
    /// even if another node starts to count the tenant.
    #[test]
    fn no_window_exceeds_the_tolerance(
        demand in prop::collection::vec((0_usize..3, 0_u64..30, 0_u32..3), 200..900),
        change_at in 0_usize..600,
    ) {
        let configuration = configuration(&["a"]);
        let tenant: Name = "families".into();
        let mut rates = TenantRates::default();
        rates.apply(0, &"a".into(), &configuration);
        let mut caches = [TokenCache::default(), TokenCache::default(), TokenCache::default()];
        let mut now_ms = 0;
        let mut admitted_at_ms: Vec<u64> = Vec::new();
        for (index, (node, gap_ms, level)) in demand.into_iter().enumerate() {
            now_ms += gap_ms;
            if index == change_at {
                rates = TenantRates::default();
                rates.apply(now_ms, &"a".into(), &configuration);
            }
            let is_admitted = match caches[node].take(now_ms, &tenant, level) {
                TokenDecision::Granted => true,
                TokenDecision::Refused(_) => false,
                TokenDecision::Fetch(count) => {
                    let grant = rates
                        .take(now_ms, &tenant, level, count)
                        .expect("the tenant is counted here");
                    caches[node].add_fetched(now_ms, &tenant, level, &grant)
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
