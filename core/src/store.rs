//! Interface to the platform's metadata store.

use async_trait::async_trait;

use crate::configuration::Configuration;
use crate::member::MemberEntry;
use crate::name::Name;
use crate::store_clock::ClockReading;

/// A record that this system keeps in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Partition of the store that holds it. A partition serializes its writes.
    pub partition: Name,
    /// Its key, unique over all partitions.
    pub key: Name,
    /// Its value.
    pub value: Vec<u8>,
    /// Version of the store's transaction that wrote it.
    pub version: u64,
}

/// Why a call to the store did not succeed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The call had no effect.
    NotDone(String),
    /// The call may have taken effect, or may still do so if its condition holds.
    Unknown(String),
    /// The answer cannot be decoded.
    Unreadable(String),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotDone(reason) => write!(formatter, "not done: {reason}"),
            Self::Unknown(reason) => write!(formatter, "unknown: {reason}"),
            Self::Unreadable(reason) => write!(formatter, "unreadable: {reason}"),
        }
    }
}

/// Result of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The record was written at this version.
    Written(u64),
    /// The condition does not hold. Carries the current record, if there is one.
    Conflict(Option<Record>),
}

/// The platform's store. It is linearizable, but it may be slow or unreachable, and may fail to
/// answer a call that it carries out.
#[async_trait]
pub trait MetadataStore: Send + Sync {
    /// Returns the reading of the store's clock from the last answered call.
    fn clock_reading(&self) -> Option<ClockReading>;

    /// Reads a consistent snapshot of the configuration. Returns `None` if there is none yet.
    ///
    /// # Errors
    ///
    /// Returns an error when it cannot be read.
    async fn read_configuration(&self) -> Result<Option<Configuration>, StoreError>;

    /// Reads the members of all services, without entries that cannot be decoded.
    ///
    /// # Errors
    ///
    /// Returns an error when they cannot be read.
    async fn read_members(&self) -> Result<Vec<MemberEntry>, StoreError>;

    /// Reads all records, and the version from which to read later changes.
    ///
    /// # Errors
    ///
    /// Returns an error when they cannot be read.
    async fn read_records(&self) -> Result<(Vec<Record>, u64), StoreError>;

    /// Reads the records of one partition.
    ///
    /// # Errors
    ///
    /// Returns an error when they cannot be read.
    async fn read_partition(&self, partition: &str) -> Result<Vec<Record>, StoreError>;

    /// Reads the records that changed after a version, and the version from which to read later
    /// changes. Returns `None` if the store no longer has that history.
    ///
    /// # Errors
    ///
    /// Returns an error when they cannot be read.
    async fn read_changes(&self, after: u64) -> Result<Option<(Vec<Record>, u64)>, StoreError>;

    /// Writes a record if its current version is `expected`; 0 stands for a missing record.
    ///
    /// # Errors
    ///
    /// Returns an error when the record is not known to be written.
    async fn write_record(
        &self,
        partition: &str,
        key: &str,
        value: &[u8],
        expected: u64,
    ) -> Result<WriteOutcome, StoreError>;
}
