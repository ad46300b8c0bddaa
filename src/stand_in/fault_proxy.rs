//! A TCP proxy that injects faults into connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
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
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::sync::lock;

const CHUNK_BYTES: usize = 16 << 10;

/// Fault that the proxy applies to its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// Closes all connections, and closes new ones at once.
    pub is_disconnected: bool,
    /// Holds bytes on their way to the target back until the fault is cleared.
    pub holds_requests: bool,
    /// Holds bytes on their way from the target back until the fault is cleared.
    pub holds_responses: bool,
    /// Delay of each chunk in both directions, in milliseconds.
    pub delay_ms: u64,
    /// Closes connections once this many response bytes have passed, over all connections since the
    /// fault was set.
    pub reset_after_response_bytes: Option<u64>,
    /// Closes connections once this many request bytes have passed, over all connections since the
    /// fault was set.
    pub reset_after_request_bytes: Option<u64>,
    /// Sends the next chunk of a response once more after this many milliseconds.
    pub repeats_response_after_ms: Option<u64>,
}

impl Fault {
    /// Returns a fault that closes all connections.
    pub fn disconnect() -> Self {
        Self { is_disconnected: true, ..Self::default() }
    }

    /// Returns a fault that holds bytes back in both directions.
    pub fn stall() -> Self {
        Self { holds_requests: true, holds_responses: true, ..Self::default() }
    }
}

/// A running proxy.
pub struct FaultProxy {
    address: SocketAddr,
    fault: watch::Sender<Fault>,
    passed_request_bytes: AtomicU64,
    passed_response_bytes: AtomicU64,
    /// Whether a response has been repeated since the fault was set.
    has_repeated: AtomicBool,
    /// Bytes sent to the target since recording started, if it has.
    recorded_requests: Mutex<Option<Vec<u8>>>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Requests,
    Responses,
}

impl FaultProxy {
    /// Starts a proxy on a free port in front of `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(target: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let proxy = Arc::new(Self {
            address: listener.local_addr()?,
            fault: watch::Sender::new(Fault::default()),
            passed_request_bytes: AtomicU64::new(0),
            passed_response_bytes: AtomicU64::new(0),
            has_repeated: AtomicBool::new(false),
            recorded_requests: Mutex::new(None),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        });
        proxy.tasks.spawn(accept_connections(proxy.clone(), listener, target));
        Ok(proxy)
    }

    /// Returns the address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault for open and new connections, and resets the byte counts.
    pub fn set_fault(&self, fault: Fault) {
        self.passed_request_bytes.store(0, Ordering::SeqCst);
        self.passed_response_bytes.store(0, Ordering::SeqCst);
        self.has_repeated.store(false, Ordering::SeqCst);
        self.fault.send_replace(fault);
    }

    /// Clears the fault.
    pub fn clear_fault(&self) {
        self.set_fault(Fault::default());
    }

    /// Starts recording the bytes sent to the target.
    pub fn start_recording(&self) {
        *lock(&self.recorded_requests) = Some(Vec::new());
    }

    /// Returns whether the recorded bytes contain `pattern`.
    pub fn has_recorded(&self, pattern: &[u8]) -> bool {
        let recorded = lock(&self.recorded_requests);
        let bytes = recorded.as_deref().unwrap_or_default();
        bytes.windows(pattern.len()).any(|window| window == pattern)
    }

    /// Stops the proxy and waits for its tasks.
    pub async fn stop(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    /// Returns whether as many bytes have passed in a direction as the fault allows.
    fn has_reached_limit(&self, direction: Direction, fault: Fault) -> bool {
        let (limit, passed) = match direction {
            Direction::Requests => (fault.reset_after_request_bytes, &self.passed_request_bytes),
            Direction::Responses => (fault.reset_after_response_bytes, &self.passed_response_bytes),
        };
        limit.is_some_and(|limit| passed.load(Ordering::SeqCst) >= limit)
    }

    /// Returns how many of the bytes the fault allows to pass. Counts these, and records those of
    /// requests if recording has started.
    fn consume_allowance(&self, direction: Direction, fault: Fault, bytes: &[u8]) -> usize {
        let (limit, passed) = match direction {
            Direction::Requests => (fault.reset_after_request_bytes, &self.passed_request_bytes),
            Direction::Responses => (fault.reset_after_response_bytes, &self.passed_response_bytes),
        };
        let before = passed.load(Ordering::SeqCst);
        let remaining = limit.map_or(u64::MAX, |limit| limit.saturating_sub(before));
        let count = bytes.len().min(usize::try_from(remaining).unwrap_or(usize::MAX));
        passed.fetch_add(count as u64, Ordering::SeqCst);
        if direction == Direction::Requests
            && let Some(recorded) = lock(&self.recorded_requests).as_mut()
        {
            recorded.extend_from_slice(&bytes[..count]);
        }
        count
    }
}

async fn accept_connections(proxy: Arc<FaultProxy>, listener: TcpListener, target: SocketAddr) {
    loop {
        let accepted = tokio::select! {
            () = proxy.stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((client, _)) = accepted else { continue };
        let connection = forward_connection(proxy.clone(), client, target);
        let stop = proxy.stop.clone();
        proxy.tasks.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = connection => {}
            }
        });
    }
}

async fn forward_connection(proxy: Arc<FaultProxy>, client: TcpStream, target: SocketAddr) {
    if proxy.fault.borrow().is_disconnected {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let mut faults = proxy.fault.subscribe();
    tokio::select! {
        () = forward_direction(&proxy, Direction::Requests, client_reader, server_writer) => {}
        () = forward_direction(&proxy, Direction::Responses, server_reader, client_writer) => {}
        _ = faults.wait_for(|fault| fault.is_disconnected) => {}
    }
}

async fn forward_direction(
    proxy: &FaultProxy,
    direction: Direction,
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
) {
    let mut faults = proxy.fault.subscribe();
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut repeat: Option<(Instant, Vec<u8>)> = None;
    loop {
        let due_at = repeat.as_ref().map(|(due_at, _)| *due_at);
        let read = tokio::select! {
            read = reader.read(&mut buffer) => read,
            () = tokio::time::sleep_until(due_at.unwrap_or_else(Instant::now)), if due_at.is_some() => {
                let bytes = repeat.take().map(|(_, bytes)| bytes).unwrap_or_default();
                if writer.write_all(&bytes).await.is_err() {
                    return;
                }
                continue;
            }
        };
        let Ok(count) = read else {
            return;
        };
        if count == 0 {
            return;
        }
        let is_held = |fault: &Fault| match direction {
            Direction::Requests => fault.holds_requests,
            Direction::Responses => fault.holds_responses,
        };
        let Ok(fault) = faults.wait_for(|fault| !is_held(fault)).await.map(|fault| *fault) else {
            return;
        };
        if fault.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(fault.delay_ms)).await;
        }
        let allowed = proxy.consume_allowance(direction, fault, &buffer[..count]);
        if writer.write_all(&buffer[..allowed]).await.is_err() {
            return;
        }
        if proxy.has_reached_limit(direction, fault) {
            return;
        }
        if direction == Direction::Responses
            && let Some(after_ms) = fault.repeats_response_after_ms
            && !proxy.has_repeated.swap(true, Ordering::SeqCst)
        {
            let due_at = Instant::now() + Duration::from_millis(after_ms);
            repeat = Some((due_at, buffer[..allowed].to_vec()));
        }
    }
}
