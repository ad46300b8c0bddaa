//! JSON-RPC interface for operators.

pub mod api;
pub mod auth_layer;
pub mod server;
pub mod status;
