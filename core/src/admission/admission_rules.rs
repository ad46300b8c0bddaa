//! What the configuration says about the levels and tenants of a service.

use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::configuration::Configuration;
use crate::name::Name;

/// Smallest and greatest weight of a tenant, relative to the median: a rate that is configured as
/// nearly unlimited must not displace all other tenants, nor make their rates count as equal.
const MIN_WEIGHT: f64 = 0.1;
const MAX_WEIGHT: f64 = 10.0;

/// Levels of a service, and the weights of the tenants.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdmissionRules {
    levels: BTreeSet<u32>,
    weights: HashMap<Name, f64>,
}

impl AdmissionRules {
    /// Creates rules for levels, and the configured rates of tenants.
    pub fn new<Rates>(levels: BTreeSet<u32>, rates_per_s: Rates) -> Self
    where
        Rates: IntoIterator<Item = (Name, f64)>,
    {
        let mut weights: HashMap<Name, f64> = rates_per_s.into_iter().collect();
        let mut rates: Vec<f64> = weights.values().copied().collect();
        rates.sort_unstable_by(f64::total_cmp);
        let median = rates.get(rates.len() / 2).copied().unwrap_or_default();
        for weight in weights.values_mut() {
            let relative = if median > 0.0 { *weight / median } else { 1.0 };
            *weight = relative.clamp(MIN_WEIGHT, MAX_WEIGHT);
        }
        Self { levels, weights }
    }

    /// Returns the rules for a service.
    pub fn of_service(service: &Name, configuration: &Configuration) -> Self {
        let routes = configuration.routes.values().filter(|route| route.service == *service);
        let levels = routes.map(|route| route.priority).collect();
        let tenants = configuration.tenants();
        Self::new(levels, tenants.into_iter().map(|(name, tenant)| (name, tenant.rate_per_s)))
    }

    /// Returns whether the level of a statement decides: the routes have several priorities.
    pub fn has_levels(&self) -> bool {
        self.levels.len() > 1
    }

    /// Returns the weight of a tenant; 1 for one without a rate.
    pub(super) fn weight(&self, tenant: &Name) -> f64 {
        self.weights.get(tenant).copied().unwrap_or(1.0)
    }
}
