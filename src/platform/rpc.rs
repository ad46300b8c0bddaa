//! RPC interface of the platform.

use serde::Deserialize;
use serde::Serialize;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Number of writes to the row so far.
    pub version: u64,
    /// Value of the row.
    pub value: String,
}

/// Outcome of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WriteOutcome {
    /// The row was written and now has this version.
    Written(u64),
    /// The row's version is not the expected one, so nothing was written. Holds the current row, if
    /// there is one.
    Conflict(Option<Row>),
}

/// A host in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub name: String,
    /// Whether the platform is about to remove the host.
    pub is_leaving: bool,
}

/// Calls to the platform. A call that is refused returns the reason.
#[tarpc::service]
pub trait PlatformRpc {
    /// Reads one row.
    async fn read(key: String) -> Result<Option<Row>, String>;
    /// Reads rows in key order, starting after a key.
    async fn read_after(prefix: String, after: String, limit: u32) -> Result<Vec<Row>, String>;
    /// Writes a row if its current version is the expected one.
    async fn write(
        key: String,
        expected_version: u64,
        value: String,
    ) -> Result<WriteOutcome, String>;
    /// Stores an object.
    async fn put_object(name: String, content: String) -> Result<(), String>;
    /// Reads an object.
    async fn get_object(name: String) -> Result<Option<String>, String>;
    /// Lists hosts. The list may be out of date.
    async fn hosts() -> Result<Vec<HostEntry>, String>;
}
