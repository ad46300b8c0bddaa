//! What nodes tell each other about themselves.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;

/// Capacity that one Mbit/s of link bandwidth is worth, in thousandths of a core: a statement that
/// is relayed takes about as long on such a link as on the processor.
const CAPACITY_PER_MBPS: f64 = 10.0;

/// A node as other nodes know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Name of the node.
    pub name: Name,
    /// Address of the node for other nodes.
    pub address: SocketAddr,
    /// Data centre of the node.
    pub zone: Name,
    /// How much work the node can carry: the smaller of its share of a processor, in thousandths of
    /// a core, and of what its link carries in the same unit.
    pub capacity: u32,
}

impl NodeRecord {
    /// Returns the capacity of a host with this processor, in cores, and this link, in Mbit/s.
    pub fn capacity_of(processor_cores: f64, link_mbps: f64) -> u32 {
        (processor_cores * 1_000.0).min(link_mbps * CAPACITY_PER_MBPS).max(1.0) as u32
    }
}

/// A node with the time since it was last heard from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeardNode {
    /// The node.
    pub record: NodeRecord,
    /// Time since some node last received a request from it, in milliseconds.
    pub heard_age_ms: u64,
}
