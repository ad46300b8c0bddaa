//! The platform's calls as they go over the wire.

use serde::Deserialize;
use serde::Serialize;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Counts the writes of the row, from 1.
    pub version: u64,
    /// Content.
    pub value: String,
}

/// What became of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WriteOutcome {
    /// The row was written and has this version.
    Written(u64),
    /// The row has another version than expected; nothing was written.
    Conflict(Option<Row>),
}

/// A host on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub name: String,
    /// Whether the platform is about to take the host away.
    pub is_leaving: bool,
}

/// Calls of the platform. A refused call returns the reason.
#[tarpc::service]
pub trait PlatformRpc {
    /// Reads one row.
    async fn read(key: String) -> Result<Option<Row>, String>;
    /// Reads rows in key order.
    async fn read_after(prefix: String, after: String, limit: u32) -> Result<Vec<Row>, String>;
    /// Writes a row if its version is the expected one.
    async fn write(
        key: String,
        expected_version: u64,
        value: String,
    ) -> Result<WriteOutcome, String>;
    /// Stores an object.
    async fn put_object(name: String, content: String) -> Result<(), String>;
    /// Reads an object.
    async fn get_object(name: String) -> Result<Option<String>, String>;
    /// Lists hosts, late.
    async fn hosts() -> Result<Vec<HostEntry>, String>;
}
