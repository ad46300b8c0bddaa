//! In-process stand-ins for the systems that daemons depend on, for tests, the demo and
//! measurements.
//!
//! Daemons do not use this module. A production build leaves it out, by omitting the feature
//! `stand-ins`.

pub mod deployment;
pub mod fault_proxy;
pub mod member;
pub mod platform;
