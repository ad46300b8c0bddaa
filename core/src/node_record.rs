//! Records by which nodes register themselves in the store.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;

/// The record of a node in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Name of the node.
    pub name: Name,
    /// Address of the node for other nodes.
    pub address: SocketAddr,
}
