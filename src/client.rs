//! The operators' command line.

pub mod arguments;
pub mod commands;
pub mod connection;
