//! The border to the platform's store.

use async_trait::async_trait;

use crate::configuration::Configuration;
use crate::member::MemberEntry;
use crate::name::Name;
use crate::store_clock::ClockReading;

/// A record of the system's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Partition of the store that holds it; each serves its writes one after the other.
    pub partition: Name,
    /// Its key, unique over all partitions.
    pub key: Name,
    /// Its value.
    pub value: Vec<u8>,
    /// Version of the transaction that wrote it.
    pub version: u64,
}

/// Why a call to the store did not succeed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// Nothing was done.
    NotDone(String),
    /// It may have been done, or may be done yet if its condition still holds.
    Unknown(String),
    /// The answer cannot be read.
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

/// How a conditional write ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Written at this version.
    Written(u64),
    /// The condition does not hold; the present record, if there is one.
    Conflict(Option<Record>),
}

/// The platform's store: linearizable, and at times slow, away or forgetful of answers.
#[async_trait]
pub trait MetadataStore: Send + Sync {
    /// Returns what the last answered call told of the store's clock.
    fn clock_reading(&self) -> Option<ClockReading>;

    /// Reads the configuration as of one moment. `None` if there is none yet.
    ///
    /// # Errors
    ///
    /// Returns why it could not be read.
    async fn read_configuration(&self) -> Result<Option<Configuration>, StoreError>;

    /// Reads the members of all services, leaving out entries that cannot be read.
    ///
    /// # Errors
    ///
    /// Returns why they could not be read.
    async fn read_members(&self) -> Result<Vec<MemberEntry>, StoreError>;

    /// Reads all records of the system's own, with a version from which changes go on.
    ///
    /// # Errors
    ///
    /// Returns why they could not be read.
    async fn read_records(&self) -> Result<(Vec<Record>, u64), StoreError>;

    /// Reads the records of one partition.
    ///
    /// # Errors
    ///
    /// Returns why they could not be read.
    async fn read_partition(&self, partition: &str) -> Result<Vec<Record>, StoreError>;

    /// Reads the records of the system's own that changed after a version, with the version from
    /// which changes go on. `None` if that history is gone.
    ///
    /// # Errors
    ///
    /// Returns why they could not be read.
    async fn read_changes(&self, after: u64) -> Result<Option<(Vec<Record>, u64)>, StoreError>;

    /// Writes a record if its present version is `expected`; 0 for a record that does not exist.
    ///
    /// # Errors
    ///
    /// Returns why it is not known to be written.
    async fn write_record(
        &self,
        partition: &str,
        key: &str,
        value: &[u8],
        expected: u64,
    ) -> Result<WriteOutcome, StoreError>;
}
