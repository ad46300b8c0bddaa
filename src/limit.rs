//! Limits of workspaces: token buckets for this daemon's share of each rate.

pub mod rate_limiter;
pub mod token_bucket;
pub mod workspace_meter;
