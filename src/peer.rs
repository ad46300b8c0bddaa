//! Communication between the daemons of a fleet.

pub mod pool;
pub mod rate_share;
pub mod rpc;
pub mod server;
