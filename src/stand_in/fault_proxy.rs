//! A TCP proxy that injects faults between two processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::sync::lock;

const CHUNK_BYTES: usize = 16 << 10;

/// What the proxy does to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// Breaks every connection and refuses new ones.
    pub is_cut: bool,
    /// Holds bytes on their way to the target until the fault ends.
    pub holds_requests: bool,
    /// Holds bytes on their way back until the fault ends.
    pub holds_answers: bool,
    /// Delays each chunk in both directions, in milliseconds.
    pub delay_ms: u64,
    /// Breaks the connection once this many more answer bytes have passed.
    pub reset_after_answer_bytes: Option<u64>,
    /// Breaks the connection once this many more request bytes have passed.
    pub reset_after_request_bytes: Option<u64>,
}

impl Fault {
    /// A cut in both directions.
    pub fn cut() -> Self {
        Self { is_cut: true, ..Self::default() }
    }

    /// A freeze in both directions.
    pub fn freeze() -> Self {
        Self { holds_requests: true, holds_answers: true, ..Self::default() }
    }
}

/// A running proxy.
pub struct FaultProxy {
    address: SocketAddr,
    fault: watch::Sender<Fault>,
    passed_request_bytes: AtomicU64,
    passed_answer_bytes: AtomicU64,
    /// Bytes that passed towards the target, while recording is on.
    recorded_requests: Mutex<Option<Vec<u8>>>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Requests,
    Answers,
}

impl FaultProxy {
    /// Starts a proxy on a free port in front of `target`.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be bound.
    pub async fn start(target: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let proxy = Arc::new(Self {
            address: listener.local_addr()?,
            fault: watch::Sender::new(Fault::default()),
            passed_request_bytes: AtomicU64::new(0),
            passed_answer_bytes: AtomicU64::new(0),
            recorded_requests: Mutex::new(None),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        });
        proxy.tasks.spawn(accept(proxy.clone(), listener, target));
        Ok(proxy)
    }

    /// Returns the address to connect to in place of the target's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault, also for connections that are open.
    pub fn set(&self, fault: Fault) {
        self.passed_request_bytes.store(0, Ordering::SeqCst);
        self.passed_answer_bytes.store(0, Ordering::SeqCst);
        self.fault.send_replace(fault);
    }

    /// Ends all faults.
    pub fn heal(&self) {
        self.set(Fault::default());
    }

    /// Starts to record the bytes sent to the target.
    pub fn record(&self) {
        *lock(&self.recorded_requests) = Some(Vec::new());
    }

    /// Returns whether the recorded bytes contain `needle`.
    pub fn has_recorded(&self, needle: &[u8]) -> bool {
        let recorded = lock(&self.recorded_requests);
        let bytes = recorded.as_deref().unwrap_or_default();
        bytes.windows(needle.len()).any(|window| window == needle)
    }

    /// Stops the proxy and waits for its tasks.
    pub async fn stop(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    fn is_spent(&self, direction: Direction, fault: Fault) -> bool {
        let (limit, passed) = match direction {
            Direction::Requests => (fault.reset_after_request_bytes, &self.passed_request_bytes),
            Direction::Answers => (fault.reset_after_answer_bytes, &self.passed_answer_bytes),
        };
        limit.is_some_and(|limit| passed.load(Ordering::SeqCst) >= limit)
    }

    /// Counts bytes as passed and returns how many of them may pass.
    fn pass(&self, direction: Direction, fault: Fault, bytes: &[u8]) -> usize {
        let (limit, passed) = match direction {
            Direction::Requests => (fault.reset_after_request_bytes, &self.passed_request_bytes),
            Direction::Answers => (fault.reset_after_answer_bytes, &self.passed_answer_bytes),
        };
        let before = passed.load(Ordering::SeqCst);
        let room = limit.map_or(u64::MAX, |limit| limit.saturating_sub(before));
        let count = bytes.len().min(usize::try_from(room).unwrap_or(usize::MAX));
        passed.fetch_add(count as u64, Ordering::SeqCst);
        if direction == Direction::Requests
            && let Some(recorded) = lock(&self.recorded_requests).as_mut()
        {
            recorded.extend_from_slice(&bytes[..count]);
        }
        count
    }
}

async fn accept(proxy: Arc<FaultProxy>, listener: TcpListener, target: SocketAddr) {
    loop {
        let accepted = tokio::select! {
            () = proxy.stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((caller, _)) = accepted else { continue };
        let connection = carry(proxy.clone(), caller, target);
        let stop = proxy.stop.clone();
        proxy.tasks.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = connection => {}
            }
        });
    }
}

async fn carry(proxy: Arc<FaultProxy>, caller: TcpStream, target: SocketAddr) {
    if proxy.fault.borrow().is_cut {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (caller_reader, caller_writer) = caller.into_split();
    let (server_reader, server_writer) = server.into_split();
    let mut faults = proxy.fault.subscribe();
    tokio::select! {
        () = copy(&proxy, Direction::Requests, caller_reader, server_writer) => {}
        () = copy(&proxy, Direction::Answers, server_reader, caller_writer) => {}
        _ = faults.wait_for(|fault| fault.is_cut) => {}
    }
}

async fn copy(
    proxy: &FaultProxy,
    direction: Direction,
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
) {
    let mut faults = proxy.fault.subscribe();
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let Ok(count) = reader.read(&mut buffer).await else {
            return;
        };
        if count == 0 {
            return;
        }
        let holds = |fault: &Fault| match direction {
            Direction::Requests => fault.holds_requests,
            Direction::Answers => fault.holds_answers,
        };
        let Ok(fault) = faults.wait_for(|fault| !holds(fault)).await.map(|fault| *fault) else {
            return;
        };
        if fault.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(fault.delay_ms)).await;
        }
        let allowed = proxy.pass(direction, fault, &buffer[..count]);
        if writer.write_all(&buffer[..allowed]).await.is_err() {
            return;
        }
        if proxy.is_spent(direction, fault) {
            return;
        }
    }
}
