//! The control plane of a daemon. A single thread keeps the configuration, the lease and the
//! failover of groups, and publishes snapshots to the threads that serve callers.

pub mod change_request;
pub mod connection_quota;
pub mod core;
pub mod daemon_lifecycle;
pub mod driver;
pub mod failover;
pub mod failover_driver;
pub mod handle;
pub mod home_manager;
pub mod home_quotas;
pub mod lease;
pub mod majority_history;
pub mod share_ledger;
