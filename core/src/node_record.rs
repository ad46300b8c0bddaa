//! Nodes, as they announce themselves.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;

/// A node, as it announces itself in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Its name.
    pub name: Name,
    /// Where other nodes reach it.
    pub address: SocketAddr,
}
