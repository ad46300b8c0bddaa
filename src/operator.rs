//! What operators ask of a daemon, over JSON-RPC.

pub mod api;
pub mod auth_layer;
pub mod server;
pub mod status;
