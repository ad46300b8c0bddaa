//! A load tool: what callers experience, measured.

pub mod arguments;
pub mod command;
pub mod plot;
pub mod runner;
