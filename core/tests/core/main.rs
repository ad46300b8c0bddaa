//! Tests of the core, without any protocol of callers, members or the platform.

mod balances;
mod commit_histories;
mod configurations;
mod failovers;
mod leases;
mod nodes;
mod pools;
mod rates;
mod scene;
mod session_rules;
mod soak;
mod stand_in;
mod stand_in_store;
mod store_clocks;
