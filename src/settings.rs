//! Loads and checks a daemon's settings and the fleet document.

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod daemon_settings;
pub mod load;
pub mod schema_check;
