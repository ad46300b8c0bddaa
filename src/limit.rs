//! Limits of workspaces: token buckets for this daemon's share of each rate.

pub mod lease_clock;
pub mod rate_limiter;
pub use snipehead_core::token_bucket;
pub mod workspace_meter;
