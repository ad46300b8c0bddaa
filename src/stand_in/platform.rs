//! A stand-in for the platform, with faults that can be set while it runs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use futures::StreamExt;
use tarpc::context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tarpc::tokio_serde::formats::Bincode;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::platform::rpc::HostEntry;
use crate::platform::rpc::PlatformRpc;
use crate::platform::rpc::Row;
use crate::platform::rpc::WriteOutcome;
use crate::sync::lock;

/// What the platform does to calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformFaults {
    /// Refuses every call.
    pub is_down: bool,
    /// Delays every call, in milliseconds.
    pub delay_ms: u64,
    /// Number of coming writes that take effect and whose answers are lost.
    pub lost_answers: u32,
}

#[derive(Default)]
struct Content {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, String>,
    hosts: Vec<HostEntry>,
    reads: u64,
    writes: u64,
}

/// A running platform.
#[derive(Clone)]
pub struct PlatformStandIn {
    content: Arc<Mutex<Content>>,
    faults: Arc<Mutex<PlatformFaults>>,
    stop: CancellationToken,
    tasks: TaskTracker,
    address: SocketAddr,
}

impl PlatformStandIn {
    /// Starts the platform on an address; port 0 takes any free one.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let mut listener = tarpc::serde_transport::tcp::listen(address, Bincode::default).await?;
        let platform = Self {
            content: Arc::default(),
            faults: Arc::default(),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
            address: listener.local_addr(),
        };
        let serving = platform.clone();
        platform.tasks.spawn(async move {
            loop {
                let next = tokio::select! {
                    () = serving.stop.cancelled() => return,
                    next = listener.next() => next,
                };
                let Some(Ok(transport)) = next else { continue };
                let server = serving.clone();
                let stop = serving.stop.clone();
                serving.tasks.spawn(async move {
                    let calls = BaseChannel::with_defaults(transport).execute(server.serve());
                    let answering = calls.for_each_concurrent(None, |answer| answer);
                    tokio::select! {
                        () = stop.cancelled() => {}
                        () = answering => {}
                    }
                });
            }
        });
        Ok(platform)
    }

    /// Returns the address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what it does to calls from now on.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *lock(&self.faults) = faults;
    }

    /// Sets the list of hosts that it tells.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        lock(&self.content).hosts = hosts;
    }

    /// Returns the reads and writes answered so far.
    pub fn call_counts(&self) -> (u64, u64) {
        let content = lock(&self.content);
        (content.reads, content.writes)
    }

    /// Stops the platform and waits for its tasks.
    pub async fn stop(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    async fn admit(&self) -> Result<(), String> {
        let faults = *lock(&self.faults);
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        match faults.is_down {
            true => Err("the platform is down".to_owned()),
            false => Ok(()),
        }
    }

    fn takes_lost_answer(&self) -> bool {
        let mut faults = lock(&self.faults);
        let is_lost = faults.lost_answers > 0;
        faults.lost_answers = faults.lost_answers.saturating_sub(1);
        is_lost
    }
}

impl PlatformRpc for PlatformStandIn {
    async fn read(self, _: context::Context, key: String) -> Result<Option<Row>, String> {
        self.admit().await?;
        let mut content = lock(&self.content);
        content.reads += 1;
        Ok(content.rows.get(&key).cloned())
    }

    async fn read_after(
        self,
        _: context::Context,
        prefix: String,
        after: String,
        limit: u32,
    ) -> Result<Vec<Row>, String> {
        self.admit().await?;
        let mut content = lock(&self.content);
        content.reads += 1;
        let start = match after.as_str() >= prefix.as_str() {
            true => Bound::Excluded(after),
            false => Bound::Included(prefix.clone()),
        };
        let rows = content.rows.range((start, Bound::Unbounded));
        let matching = rows.take_while(|(key, _)| key.starts_with(&prefix));
        Ok(matching.take(limit as usize).map(|(_, row)| row.clone()).collect())
    }

    async fn write(
        self,
        _: context::Context,
        key: String,
        expected_version: u64,
        value: String,
    ) -> Result<WriteOutcome, String> {
        self.admit().await?;
        let outcome = {
            let mut content = lock(&self.content);
            content.writes += 1;
            let present = content.rows.get(&key).cloned();
            let version = present.as_ref().map_or(0, |row| row.version);
            if version != expected_version {
                return Ok(WriteOutcome::Conflict(present));
            }
            let version = version + 1;
            let row = Row { key: key.clone(), version, value };
            content.rows.insert(key, row);
            WriteOutcome::Written(version)
        };
        match self.takes_lost_answer() {
            true => Err("the answer was lost".to_owned()),
            false => Ok(outcome),
        }
    }

    async fn put_object(
        self,
        _: context::Context,
        name: String,
        content: String,
    ) -> Result<(), String> {
        self.admit().await?;
        lock(&self.content).objects.insert(name, content);
        Ok(())
    }

    async fn get_object(self, _: context::Context, name: String) -> Result<Option<String>, String> {
        self.admit().await?;
        Ok(lock(&self.content).objects.get(&name).cloned())
    }

    async fn hosts(self, _: context::Context) -> Result<Vec<HostEntry>, String> {
        self.admit().await?;
        Ok(lock(&self.content).hosts.clone())
    }
}
