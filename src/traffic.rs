//! What the threads that serve callers share.

pub mod cancel_registry;
pub mod context;
pub mod snapshot;
pub mod token;
