//! Load generator that measures latency and failures as callers see them.

pub mod arguments;
pub mod command;
pub mod plot;
pub mod runner;
