//! The configuration that operators put in force, independent of how the platform stores it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;

/// Consistency that a route guarantees for reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Consistency {
    /// Every statement runs at the primary.
    Primary,
    /// Reads may miss commits of the last `max_staleness_ms`.
    Bounded {
        /// Greatest accepted staleness, in milliseconds.
        max_staleness_ms: u64,
    },
    /// As `Bounded`, and reads see all commits of their own session.
    ReadOwnWrites {
        /// Greatest accepted staleness regarding other sessions' commits, in milliseconds.
        max_staleness_ms: u64,
    },
}

/// Maps a database name to the service that runs its statements.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Database name that callers connect to.
    pub database: Name,
    /// Service that runs the statements.
    pub service: Name,
    /// Consistency of reads.
    pub consistency: Consistency,
    /// Time limit of one statement, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective of a complete operation, in milliseconds.
    pub objective_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Whether callers may connect without a key.
    pub is_public: bool,
}

/// A customer with its rate limit, which applies to all nodes together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name that is sent to members.
    pub name: Name,
    /// Operations per second.
    pub rate_per_s: f64,
    /// Operations that may start at once.
    pub burst: f64,
}

/// Limits for the members of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceLimits {
    /// Name of the service.
    pub name: Name,
    /// Most connections to one member, over all callers.
    pub max_connections: usize,
    /// Most statements per second that a member gets during its warm-up; 0 for no limit.
    pub cold_per_s: f64,
    /// Number of replicas that receive a commit before the primary acknowledges it.
    pub sync_replicas: usize,
}

/// One version of the configuration, with the data centres that operators have evacuated.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version number, which only increases.
    pub version: u64,
    /// Routes by database name.
    pub routes: BTreeMap<Name, Arc<Route>>,
    /// Tenants by key.
    pub tenants_by_key: BTreeMap<Name, Arc<Tenant>>,
    /// Services by name.
    pub services: BTreeMap<Name, Arc<ServiceLimits>>,
    /// Idle time after which an open transaction is aborted, in milliseconds.
    pub transaction_idle_ms: u64,
    /// Data centres whose members get no new work.
    pub evacuated: BTreeSet<Name>,
}

impl Configuration {
    /// Returns the distinct tenants, by name.
    pub fn tenants(&self) -> BTreeMap<Name, Arc<Tenant>> {
        self.tenants_by_key.values().map(|tenant| (tenant.name.clone(), tenant.clone())).collect()
    }

    /// Returns the names of the services, sorted.
    pub fn service_names(&self) -> Vec<Name> {
        self.services.keys().cloned().collect()
    }
}
