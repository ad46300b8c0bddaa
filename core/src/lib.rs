//! Sessions, ownership of services, routing, limits and recovery, neutral to any caller's or
//! member's protocol.
//!
//! An entry host takes callers' sessions ([`session`]). One node at a time owns a service
//! ([`ownership`]); it alone talks to the service's members ([`service`]) and other nodes relay
//! statements to it ([`relay`]). Protocols meet this crate through the traits in [`member`] and
//! [`store`].

pub mod clock;
pub mod commit_history;
pub mod configuration;
pub mod configuration_watch;
pub mod failover;
mod lease_records;
pub mod lease_table;
pub mod log_line;
pub mod log_position;
pub mod member;
pub mod member_directory;
pub mod metadata_sync;
pub mod metrics;
pub mod name;
pub mod node;
pub mod node_record;
pub mod outcome;
pub mod owner_directory;
pub mod ownership;
mod rate_admission;
pub mod rebalance_policy;
mod rebalancer;
pub mod relay;
pub mod service;
pub mod session;
pub mod session_positions;
pub mod statement;
pub mod store;
pub mod store_clock;
pub mod sync;
pub mod tenant_rates;
pub mod token_bucket;
pub mod token_cache;
pub mod unanswered_work;
