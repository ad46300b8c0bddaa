//! The exchange between daemons.

pub mod pool;
pub mod rate_share;
pub mod rpc;
pub mod server;
