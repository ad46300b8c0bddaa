//! State shared by the caller sessions.

pub mod caller_limits;
pub mod cancel_registry;
pub mod context;
pub mod snapshot;
pub mod token;
