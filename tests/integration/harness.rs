//! Starts daemons as processes, and the stand-ins around them within the test.

pub mod cluster;
pub mod daemon_process;
pub mod history;
pub mod sql;
