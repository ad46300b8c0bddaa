//! The exchange between daemons.

pub mod pool;
pub mod rpc;
pub mod server;
