//! Tests of the core crate without the protocols of callers, members and the platform.

mod commit_histories;
mod commit_protections;
mod configurations;
mod connection_counts;
mod extreme_values;
mod failovers;
mod forged_lines;
mod leases;
mod member_lists;
mod metadata_sources;
mod nodes;
mod placements;
mod pools;
mod primaries;
mod rates;
mod relay_formats;
mod session_rules;
mod soak;
mod stand_in;
mod stand_in_store;
mod store_clocks;
mod successions;
mod test_cluster;
mod transaction_tables;
mod write_permits;
