//! A database proxy with session consistency.
//!
//! Daemons on entry hosts accept PostgreSQL connections from callers, and forward each request to
//! a member of a database group. Sessions read their own writes, each write takes effect at most
//! once, and workspaces are limited to their configured rates. See `docs/ARCHITECTURE.md`.

pub mod caller;
pub use snipehead_core::clock;
pub mod control;
pub mod daemon;
pub mod fleet;
pub mod group;
pub mod limit;
pub mod logging;
pub mod metrics;
pub use snipehead_core::name;
pub mod operator;
pub mod peer;
pub mod platform;
pub mod relay;
pub mod settings;
pub mod state_chart;
pub use snipehead_core::sync;
pub mod tls;
pub mod traffic;
pub mod wire;

#[cfg(feature = "stand-ins")]
pub mod client;
#[cfg(feature = "stand-ins")]
pub mod demo;
#[cfg(feature = "stand-ins")]
pub mod load;
#[cfg(feature = "stand-ins")]
pub mod measure;
#[cfg(feature = "stand-ins")]
pub mod stand_in;
