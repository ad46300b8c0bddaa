//! Rate limits, statistics and the lease check that apply to callers' requests on this daemon.

pub mod lease_clock;
pub mod rate_limiter;
pub use snipehead_core::token_bucket;
pub mod workspace_meter;
