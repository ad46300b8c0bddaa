//! Relays requests from one daemon to another, over the PostgreSQL protocol.
//!
//! A daemon that is no home of a group has no connections to the group's members and uses those of
//! a home. It connects to the home's relay address with the fleet's secret and requests a
//! connection to a member. The home then relays messages in both directions until the daemon
//! releases the connection.

pub mod relay_message;
pub mod relay_pool;
pub mod relay_provider;
pub mod relay_server;
pub mod relayed_connection;
