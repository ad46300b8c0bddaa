//! The fleet's configuration: a log of changes, and the state that results from applying them.

pub mod change;
pub mod change_log;
pub mod check;
pub mod finding;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod fleet_document;
pub mod generation;
pub mod homes;
pub mod key;
pub mod limits;
pub mod state;
