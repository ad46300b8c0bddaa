//! The platform: a transactional table, an object store and a list of hosts.

pub mod error;
pub mod rpc;
pub mod rpc_client;

use async_trait::async_trait;

use self::error::PlatformError;
use self::rpc::HostEntry;
use self::rpc::Row;
use self::rpc::WriteOutcome;

/// What the system uses of the platform.
///
/// Any call may fail with [`PlatformError::Unavailable`], also after it took effect.
#[async_trait]
pub trait Platform: Send + Sync {
    /// Reads one row.
    async fn read(&self, key: &str) -> Result<Option<Row>, PlatformError>;

    /// Reads at most `limit` rows whose keys start with `prefix` and follow `after`, in order.
    async fn read_after(
        &self,
        prefix: &str,
        after: &str,
        limit: u32,
    ) -> Result<Vec<Row>, PlatformError>;

    /// Writes a row if its present version is `expected_version`; 0 stands for an absent row.
    async fn write(
        &self,
        key: &str,
        expected_version: u64,
        value: String,
    ) -> Result<WriteOutcome, PlatformError>;

    /// Stores an object, replacing any of the same name.
    async fn put_object(&self, name: &str, content: String) -> Result<(), PlatformError>;

    /// Reads an object.
    async fn get_object(&self, name: &str) -> Result<Option<String>, PlatformError>;

    /// Lists hosts. The list lags; it names candidates and proves nothing.
    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError>;
}
