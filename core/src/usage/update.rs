//! The messages by which owners send their counts to the nodes that collect them.

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;

/// One ownership of a service. Counts are kept apart for each, so that a sum counts nothing twice.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ownership {
    /// The service.
    pub service: Name,
    /// Fencing token of the ownership.
    pub token: u64,
}

/// Cumulative counts of one ownership in one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The ownership under which they were counted.
    pub ownership: Ownership,
    /// The window.
    pub window: u64,
    /// Number of requests of each tenant.
    pub counts: Vec<(Name, u64)>,
}

/// Counts that an owner sends to a collector.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageUpdate {
    /// Node of the owner.
    pub sender: Name,
    /// Process of the collector that has all counts which are not in this update; `None` if the
    /// update contains all counts.
    pub collector: Option<u64>,
    /// First window of which the owner may still send more counts.
    pub complete_before: u64,
    /// The owner's counts that changed.
    pub counts: Vec<WindowCounts>,
    /// Revision of the owner's counts; used by the owner only.
    pub revision: u64,
}

/// A collector's answer to an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReceipt {
    /// Process of the collector.
    pub collector: u64,
    /// First window that is not recorded yet, if the collector is the reporter.
    pub recorded_before: Option<u64>,
}
