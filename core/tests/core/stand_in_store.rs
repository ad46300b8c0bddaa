//! A stand-in for the store, all calls to which can be made to fail.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_trait::async_trait;

use snipehead_core::clock::now_ms;
use snipehead_core::configuration::Configuration;
use snipehead_core::lease_table::LeaseRecord;
use snipehead_core::member::MemberEntry;
use snipehead_core::store::MetadataStore;
use snipehead_core::store::Record;
use snipehead_core::store::StoreError;
use snipehead_core::store::WriteOutcome;
use snipehead_core::store_clock::ClockReading;

/// Offset of the store's clock from the clock of the nodes, in milliseconds.
const STORE_AHEAD_MS: u64 = 9_000;

#[derive(Default)]
struct StoreState {
    configuration: Configuration,
    members: Vec<MemberEntry>,
    records: HashMap<String, Record>,
    version: u64,
}

/// A store in memory.
#[derive(Default)]
pub struct StandInStore {
    state: Mutex<StoreState>,
    /// Whether all calls fail.
    pub is_down: AtomicBool,
    /// Whether all writes are refused.
    pub are_writes_refused: AtomicBool,
    /// Number of reads of all records.
    pub whole_reads: AtomicU64,
    /// Number of reads of the configuration, answered or not.
    pub configuration_reads: AtomicU64,
}

impl StandInStore {
    pub fn change<Change>(&self, change: Change)
    where
        Change: FnOnce(&mut Configuration),
    {
        let mut state = self.state.lock().expect("the mutex is not poisoned");
        change(&mut state.configuration);
        state.configuration.version += 1;
    }

    pub fn set_members(&self, members: Vec<MemberEntry>) {
        self.state.lock().expect("the mutex is not poisoned").members = members;
    }

    /// Returns the host that holds the lease of a service.
    pub fn lease_holder(&self, service: &str) -> Option<String> {
        let state = self.state.lock().expect("the mutex is not poisoned");
        let record = state.records.get(&format!("lease/{service}"))?;
        let lease: LeaseRecord =
            serde_json::from_slice(&record.value).expect("the lease can be decoded");
        Some(lease.holder.to_string())
    }

    fn state(&self) -> Result<std::sync::MutexGuard<'_, StoreState>, StoreError> {
        match self.is_down.load(Ordering::Acquire) {
            true => Err(StoreError::NotDone("the store is down".to_owned())),
            false => Ok(self.state.lock().expect("the mutex is not poisoned")),
        }
    }
}

#[async_trait]
impl MetadataStore for StandInStore {
    fn clock_reading(&self) -> Option<ClockReading> {
        if self.is_down.load(Ordering::Acquire) {
            return None;
        }
        let now_ms = now_ms();
        let store_ms = now_ms + STORE_AHEAD_MS;
        Some(ClockReading {
            sent_at_ms: now_ms,
            received_at_ms: now_ms,
            at_most_ms: store_ms,
            at_least_ms: store_ms,
        })
    }

    async fn read_configuration(&self) -> Result<Option<Configuration>, StoreError> {
        self.configuration_reads.fetch_add(1, Ordering::AcqRel);
        Ok(Some(self.state()?.configuration.clone()))
    }

    async fn read_members(&self) -> Result<Vec<MemberEntry>, StoreError> {
        Ok(self.state()?.members.clone())
    }

    async fn read_records(&self) -> Result<(Vec<Record>, u64), StoreError> {
        self.whole_reads.fetch_add(1, Ordering::AcqRel);
        let state = self.state()?;
        Ok((state.records.values().cloned().collect(), state.version))
    }

    async fn read_partition(&self, partition: &str) -> Result<Vec<Record>, StoreError> {
        let state = self.state()?;
        let held = state.records.values().filter(|record| &*record.partition == partition);
        Ok(held.cloned().collect())
    }

    async fn read_changes(&self, after: u64) -> Result<Option<(Vec<Record>, u64)>, StoreError> {
        let state = self.state()?;
        let changed = state.records.values().filter(|record| record.version > after);
        Ok(Some((changed.cloned().collect(), state.version)))
    }

    async fn write_record(
        &self,
        partition: &str,
        key: &str,
        value: &[u8],
        expected: u64,
    ) -> Result<WriteOutcome, StoreError> {
        if self.are_writes_refused.load(Ordering::Acquire) {
            return Err(StoreError::NotDone("writes are refused".to_owned()));
        }
        let mut state = self.state()?;
        let present = state.records.get(key).cloned();
        if present.as_ref().map_or(0, |record| record.version) != expected {
            return Ok(WriteOutcome::Conflict(present));
        }
        state.version += 1;
        let version = state.version;
        let record =
            Record { partition: partition.into(), key: key.into(), value: value.to_vec(), version };
        state.records.insert(key.to_owned(), record);
        Ok(WriteOutcome::Written(version))
    }
}
