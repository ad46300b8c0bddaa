//! Measures of what callers experience, each by one command that prints a small table.

pub mod arguments;
pub mod command;
pub mod control_cost;
pub mod data_centre;
pub mod failover_gap;
pub mod neighbour;
pub mod rate_refusals;
pub mod replica_reads;
pub mod scene;
