//! The record in the store that names the holder of the duty to report, and holds what was or is about
//! to be reported.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;

/// Number of requests by tenant.
pub type TenantCounts = BTreeMap<Name, u64>;

/// Partition and key of the record. The partition is its own, because a partition serializes its
/// writes.
pub(crate) const USAGE_PARTITION: &str = "usage";
pub(crate) const USAGE_KEY: &str = "usage";

/// A window whose report may not have been accepted. Its counts never change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedWindow {
    /// The window.
    pub window: u64,
    /// The exact counts of its report.
    pub counts: TenantCounts,
}

/// The record as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// Node that holds the duty.
    pub holder: Name,
    /// Identity of the holder's process.
    pub incarnation: u64,
    /// Sequence number of the holder's write.
    pub sequence: u64,
    /// Length of the windows, in milliseconds. Windows of another length have other numbers.
    pub window_ms: u64,
    /// First window that was never recorded, and so never reported.
    pub next_window: u64,
    /// Windows whose reports may not have been accepted, in order.
    pub windows: Vec<RecordedWindow>,
}

/// The record as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredUsage {
    /// The record, or `None` if it is missing or cannot be decoded.
    pub record: Option<UsageRecord>,
    /// Its version; 0 if it is missing.
    pub version: u64,
}
