//! Settings of a daemon: read, checked, and merged with their defaults.

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod daemon_settings;
pub mod load;
pub mod schema_check;
