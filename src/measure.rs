//! Measurements of what callers see. Each one runs in its own deployment and prints a small table.

pub mod arguments;
pub mod command;
pub mod control_cost;
pub mod data_centre;
pub mod failover_gap;
pub mod noisy_neighbour;
pub mod rate_refusals;
pub mod replica_reads;
pub mod testbed;
