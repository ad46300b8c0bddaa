//! Test harness: daemons run as processes, and stand-ins for their surroundings run in the test.

pub mod cluster;
pub mod daemon_process;
pub mod history;
pub mod sql_client;
