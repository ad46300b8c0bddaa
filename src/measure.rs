//! Measurements of callers' latencies, of refusals and replica reads, and of the control plane's
//! cost. Each one starts its own deployments and prints its results.

pub mod arguments;
pub mod command;
pub mod control_cost;
pub mod data_centre;
pub mod failover_gap;
pub mod noisy_neighbour;
pub mod rate_refusals;
pub mod replica_reads;
pub mod testbed;
