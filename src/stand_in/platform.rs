//! A stand-in for the platform, with faults that can be set at run time.

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

/// Faults that the platform applies to calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformFaults {
    /// Whether every call is refused.
    pub is_down: bool,
    /// Delay of every call, in milliseconds.
    pub delay_ms: u64,
    /// Number of following writes that take effect but return an error, as if their responses were
    /// lost.
    pub lost_responses: u32,
}

#[derive(Default)]
struct PlatformState {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, String>,
    hosts: Vec<HostEntry>,
    reads: u64,
    writes: u64,
}

/// A running platform, which keeps its data in memory.
#[derive(Clone)]
pub struct PlatformStandIn {
    state: Arc<Mutex<PlatformState>>,
    faults: Arc<Mutex<PlatformFaults>>,
    stop: CancellationToken,
    tasks: TaskTracker,
    address: SocketAddr,
}

impl PlatformStandIn {
    /// Starts the platform on an address. Port 0 selects any free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let mut listener = tarpc::serde_transport::tcp::listen(address, Bincode::default).await?;
        let platform = Self {
            state: Arc::default(),
            faults: Arc::default(),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
            address: listener.local_addr(),
        };
        let acceptor = platform.clone();
        platform.tasks.spawn(async move {
            loop {
                let next = tokio::select! {
                    () = acceptor.stop.cancelled() => return,
                    next = listener.next() => next,
                };
                let Some(Ok(transport)) = next else { continue };
                let server = acceptor.clone();
                let stop = acceptor.stop.clone();
                acceptor.tasks.spawn(async move {
                    let calls = BaseChannel::with_defaults(transport).execute(server.serve());
                    let handling = calls.for_each_concurrent(None, |response| response);
                    tokio::select! {
                        () = stop.cancelled() => {}
                        () = handling => {}
                    }
                });
            }
        });
        Ok(platform)
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the faults for calls from now on.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *lock(&self.faults) = faults;
    }

    /// Sets the list of hosts that it returns.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        lock(&self.state).hosts = hosts;
    }

    /// Returns the numbers of reads and writes served so far.
    pub fn call_counts(&self) -> (u64, u64) {
        let state = lock(&self.state);
        (state.reads, state.writes)
    }

    /// Stops the platform and waits for its tasks.
    pub async fn stop(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Delays or refuses a call as the faults say.
    async fn apply_call_faults(&self) -> Result<(), String> {
        let faults = *lock(&self.faults);
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        match faults.is_down {
            true => Err("the platform is down".to_owned()),
            false => Ok(()),
        }
    }

    /// Returns whether the response of this write is to be lost, and counts it.
    fn consume_lost_response(&self) -> bool {
        let mut faults = lock(&self.faults);
        let is_lost = faults.lost_responses > 0;
        faults.lost_responses = faults.lost_responses.saturating_sub(1);
        is_lost
    }
}

impl PlatformRpc for PlatformStandIn {
    async fn read(self, _: context::Context, key: String) -> Result<Option<Row>, String> {
        self.apply_call_faults().await?;
        let mut state = lock(&self.state);
        state.reads += 1;
        Ok(state.rows.get(&key).cloned())
    }

    async fn read_after(
        self,
        _: context::Context,
        prefix: String,
        after: String,
        limit: u32,
    ) -> Result<Vec<Row>, String> {
        self.apply_call_faults().await?;
        let mut state = lock(&self.state);
        state.reads += 1;
        let start = match after.as_str() >= prefix.as_str() {
            true => Bound::Excluded(after),
            false => Bound::Included(prefix.clone()),
        };
        let rows = state.rows.range((start, Bound::Unbounded));
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
        self.apply_call_faults().await?;
        let outcome = {
            let mut state = lock(&self.state);
            state.writes += 1;
            let current = state.rows.get(&key).cloned();
            let version = current.as_ref().map_or(0, |row| row.version);
            if version != expected_version {
                return Ok(WriteOutcome::Conflict(current));
            }
            let version = version + 1;
            let row = Row { key: key.clone(), version, value };
            state.rows.insert(key, row);
            WriteOutcome::Written(version)
        };
        match self.consume_lost_response() {
            true => Err("the response was lost".to_owned()),
            false => Ok(outcome),
        }
    }

    async fn put_object(
        self,
        _: context::Context,
        name: String,
        content: String,
    ) -> Result<(), String> {
        self.apply_call_faults().await?;
        lock(&self.state).objects.insert(name, content);
        Ok(())
    }

    async fn get_object(self, _: context::Context, name: String) -> Result<Option<String>, String> {
        self.apply_call_faults().await?;
        Ok(lock(&self.state).objects.get(&name).cloned())
    }

    async fn hosts(self, _: context::Context) -> Result<Vec<HostEntry>, String> {
        self.apply_call_faults().await?;
        Ok(lock(&self.state).hosts.clone())
    }
}
