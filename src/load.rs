//! A load tool: what callers experience, measured.

pub mod command;
