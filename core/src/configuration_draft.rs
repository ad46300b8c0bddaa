//! A configuration as it is written, before equal names are merged.

use crate::configuration::Route;
use crate::configuration::ServiceLimits;
use crate::configuration::Tenant;
use crate::name::Name;

/// An entry with its place in the document.
#[derive(Clone, Debug, PartialEq)]
pub struct Placed<Entry> {
    /// Place in words that its author understands.
    pub place: String,
    /// The entry.
    pub entry: Entry,
}

/// All entries of a configuration in their order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigurationDraft {
    /// Version number.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Placed<Route>>,
    /// Services.
    pub services: Vec<Placed<ServiceLimits>>,
    /// Tenants with their keys.
    pub tenants: Vec<Placed<(Tenant, Vec<Name>)>>,
    /// Idle time after which an open transaction is aborted, in milliseconds.
    pub transaction_idle_ms: u64,
}
