//! A load tool: what callers experience, measured.

pub mod command;
pub mod plot;
pub mod runner;
