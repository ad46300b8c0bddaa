//! Requests that one daemon passes on to another, over the PostgreSQL protocol.
//!
//! A daemon that holds no connections to a group's members borrows a lane of one of the group's
//! homes: it connects to the home's relay address with the fleet's secret, asks for a lane, and
//! then speaks to the member through it until it gives the lane back.

pub mod relay_message;
pub mod relay_pool;
pub mod relay_provider;
pub mod relay_server;
pub mod relayed_connection;
