//! Relays requests from one daemon to another, over the PostgreSQL protocol.
//!
//! The homes of a group are the daemons that keep connections to its members. Any other daemon uses
//! the connections of a home: it connects to the home's relay address with the fleet's secret and
//! requests a connection to a member. The home then relays messages in both directions until the
//! daemon releases the connection.

pub mod relay_message;
pub mod relay_pool;
pub mod relay_provider;
pub mod relay_server;
pub mod relayed_connection;
