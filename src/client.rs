//! Command line for operators.

pub mod arguments;
pub mod commands;
pub mod connection;
