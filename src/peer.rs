//! The exchange between daemons.

pub mod rpc;
pub mod server;
pub mod pool;
