//! Interface to the platform: a table with conditional writes, an object store and a list of hosts.

pub mod error;
pub mod rpc;
pub mod rpc_client;

use async_trait::async_trait;

use self::error::PlatformError;
use self::rpc::HostEntry;
use self::rpc::Row;
use self::rpc::WriteOutcome;

/// The platform's services that snipehead uses.
///
/// Any call may fail with [`PlatformError::Unavailable`], even after it has taken effect.
#[async_trait]
pub trait Platform: Send + Sync {
    /// Reads one row.
    async fn read(&self, key: &str) -> Result<Option<Row>, PlatformError>;

    /// Reads up to `limit` rows in key order whose keys start with `prefix` and sort after `after`.
    async fn read_after(
        &self,
        prefix: &str,
        after: &str,
        limit: u32,
    ) -> Result<Vec<Row>, PlatformError>;

    /// Writes a row if its current version is `expected_version`. Version 0 means that the row must
    /// not exist.
    async fn write(
        &self,
        key: &str,
        expected_version: u64,
        value: String,
    ) -> Result<WriteOutcome, PlatformError>;

    /// Stores an object, replacing an existing one of the same name.
    async fn put_object(&self, name: &str, content: String) -> Result<(), PlatformError>;

    /// Reads an object.
    async fn get_object(&self, name: &str) -> Result<Option<String>, PlatformError>;

    /// Lists hosts. The list may be out of date: it suggests candidates, but does not prove that a
    /// host exists or is gone.
    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError>;
}
