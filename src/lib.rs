//! A database proxy with session consistency.
//!
//! Daemons on entry hosts take PostgreSQL connections from callers, and give each request to a
//! member of a database group such that sessions see their own writes, each write lands at most
//! once, and workspaces keep to their rates. See `docs/ARCHITECTURE.md`.

pub mod caller;
pub mod clock;
pub mod fleet;
pub mod group;
pub mod limit;
pub mod name;
pub mod platform;
pub mod settings;
pub mod traffic;
pub mod wire;

#[cfg(feature = "stand-ins")]
pub mod stand_in;
