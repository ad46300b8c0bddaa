//! Small stand-ins for the systems around the daemons, for tests and the demo.
//!
//! The daemon never uses this folder; a production build leaves it out.

pub mod deployment;
pub mod fault_proxy;
pub mod member;
pub mod platform;
