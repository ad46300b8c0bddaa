//! Control state: one thread decides, and publishes what the traffic threads need.

pub mod allotment;
pub mod change_request;
pub mod core;
pub mod daemon_life;
pub mod driver;
pub mod failover;
pub mod failover_driver;
pub mod handle;
pub mod home_manager;
pub mod home_plan;
pub mod lease;
pub mod majority_history;
pub mod share_ledger;
