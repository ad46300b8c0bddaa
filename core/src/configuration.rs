//! The configuration that operators put in force, in the product's terms.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;

/// What a route promises about reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Consistency {
    /// Every statement runs at the primary.
    Primary,
    /// Reads may miss commits of the last `max_staleness_ms`.
    Bounded {
        /// Greatest accepted age, in milliseconds.
        max_staleness_ms: u64,
    },
    /// As bounded, and reads see all commits of their own session.
    ReadOwnWrites {
        /// Greatest accepted age of others' commits, in milliseconds.
        max_staleness_ms: u64,
    },
}

/// Where a database's statements go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Database name that callers ask for.
    pub database: Name,
    /// Service that runs the statements.
    pub service: Name,
    /// What reads may miss.
    pub consistency: Consistency,
    /// Longest time of one statement, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective of a whole operation, in milliseconds.
    pub objective_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// A customer, with its rate over all nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name that members are told.
    pub name: Name,
    /// Operations a second.
    pub rate_per_s: f64,
    /// Operations at once.
    pub burst: f64,
}

/// Limits of a service's members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceLimits {
    /// Name of the service.
    pub name: Name,
    /// Most connections of one member, over all callers.
    pub max_connections: usize,
    /// Most statements a second that a cold member may get; 0 for no limit.
    pub cold_per_s: f64,
}

/// One version of the configuration, with the data centres that operators have taken out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version of the configuration; it only grows.
    pub version: u64,
    /// Routes by database name.
    pub routes: BTreeMap<Name, Arc<Route>>,
    /// Tenants by key.
    pub tenants_by_key: BTreeMap<Name, Arc<Tenant>>,
    /// Services by name.
    pub services: BTreeMap<Name, Arc<ServiceLimits>>,
    /// Longest pause inside a transaction, in milliseconds.
    pub transaction_idle_ms: u64,
    /// Data centres whose members get nothing more.
    pub evacuated: BTreeSet<Name>,
}

impl Configuration {
    /// Returns the distinct tenants, by name.
    pub fn tenants(&self) -> BTreeMap<Name, Arc<Tenant>> {
        self.tenants_by_key.values().map(|tenant| (tenant.name.clone(), tenant.clone())).collect()
    }

    /// Returns the names of services in ascending order.
    pub fn service_names(&self) -> Vec<Name> {
        self.services.keys().cloned().collect()
    }
}
