//! Limits of workspaces: token buckets for this daemon's share of each rate.

pub mod rate_limiter;
pub mod standing_clock;
pub use snipehead_core::token_bucket;
pub mod workspace_meter;
