//! Sessions, service ownership, routing, rate limits and failover, independent of the protocols
//! that callers and members speak.
//!
//! A service is a group of replicated database servers, its members. Each entry host runs one node,
//! which accepts callers' sessions ([`session`]). Each service has at most one owner node at a time
//! ([`ownership`]). Only the owner connects to the members of the service ([`service`]); all other
//! nodes relay statements to it ([`relay`]). Protocol implementations plug in through the traits in
//! [`member`] and [`store`].

pub mod admission;
pub mod clock;
pub mod commit_checkpoint;
pub mod commit_history;
pub mod commit_protection;
pub mod configuration;
pub mod configuration_check;
pub mod configuration_difference;
pub mod configuration_draft;
pub mod configuration_finding;
pub mod configuration_watch;
mod digest;
pub mod failover;
pub mod known_members;
mod lease_records;
pub mod lease_table;
pub mod limits;
pub mod load_balance;
pub mod log_line;
pub mod log_position;
pub mod member;
pub mod member_directory;
mod metadata_server;
pub mod metadata_source;
pub mod metadata_sync;
pub mod metrics;
pub mod name;
pub mod node;
pub mod node_directory;
pub mod node_record;
pub mod outcome;
pub mod owner_directory;
pub mod owner_pressure;
pub mod ownership;
pub mod placement;
pub mod pressure;
pub mod pressure_table;
pub mod pressure_teller;
pub mod promotion_order;
mod rate_admission;
mod rebalancer;
pub mod refusal_history;
pub mod relay;
pub mod reply_matcher;
pub mod reply_mismatch;
pub mod retry_budget;
pub mod service;
pub mod session;
pub mod session_positions;
pub mod statement;
pub mod store;
pub mod store_clock;
pub mod succession;
pub mod sync;
pub mod sync_replicas;
pub mod tenant_bucket;
pub mod tenant_rates;
pub mod term_start;
pub mod token_bucket;
pub mod token_cache;
pub mod token_grant;
pub mod transaction_id;
pub mod unanswered_work;
pub mod usage;
