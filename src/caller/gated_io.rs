//! The byte stream of a caller, whose large messages are read only when there is memory for them. What
//! is reserved is held by the session until the message has been run.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::Instant;
use tokio::time::Sleep;

use super::session_bytes::COPIES;
use super::session_bytes::SessionBytes;
use snipehead_core::clock::now_ms;
use snipehead_core::limits::FREE_BYTES;
use snipehead_core::limits::byte_budget::Reservation;
use snipehead_core::limits::frame_progress::FrameLayout;
use snipehead_core::limits::frame_progress::FrameProgress;
use snipehead_core::limits::pace::Pace;
use snipehead_core::limits::report::Applied;

/// Most bytes of a large message that are read at once.
const STEP_BYTES: usize = 64 << 10;

/// Interval of the checks whether a message is received too slowly.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Longest wait for memory, in milliseconds.
const MEMORY_WAIT_MS: u64 = 10_000;

/// Time in which a caller may read nothing of its replies, in milliseconds.
const UNREAD_MS: u64 = 60_000;

/// A message's type, and a length that counts itself.
const LAYOUT: FrameLayout = FrameLayout { type_bytes: 1, counts_itself: true };

/// A byte stream from a caller, encrypted or not.
pub trait CallerIo: AsyncRead + AsyncWrite + Unpin + Send {}

impl<Stream> CallerIo for Stream where Stream: AsyncRead + AsyncWrite + Unpin + Send {}

/// The byte stream of an authenticated caller.
pub struct GatedIo {
    inner: Box<dyn CallerIo>,
    bytes: Arc<SessionBytes>,
    frame: FrameProgress,
    is_reserved: bool,
    reserving: Option<BoxFuture<'static, Reservation>>,
    waiting_since_ms: u64,
    pace: Pace,
    check: Pin<Box<Sleep>>,
    /// Pace of the output that is blocked, if it is.
    write_pace: Option<Pace>,
    write_check: Pin<Box<Sleep>>,
}

impl GatedIo {
    /// Wraps a stream of which `buffered` has been read ahead.
    pub fn new(inner: Box<dyn CallerIo>, bytes: Arc<SessionBytes>, buffered: &[u8]) -> Self {
        let mut frame = FrameProgress::new(LAYOUT);
        frame.record(buffered);
        let pace = Pace::new(now_ms(), bytes.limits().stall_ms);
        let check = Box::pin(tokio::time::sleep(CHECK_INTERVAL));
        let write_check = Box::pin(tokio::time::sleep(CHECK_INTERVAL));
        let (is_reserved, reserving, waiting_since_ms) = (false, None, 0);
        Self {
            inner,
            bytes,
            frame,
            is_reserved,
            reserving,
            waiting_since_ms,
            pace,
            check,
            write_pace: None,
            write_check,
        }
    }

    fn fail(&self, applied: Applied, reason: &str) -> Poll<io::Result<()>> {
        self.bytes.limits().report.record(applied);
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, reason)))
    }

    fn poll_check(&mut self, context: &mut Context<'_>) -> bool {
        poll_timer(&mut self.check, context)
    }

    fn poll_reserve(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let frame_bytes = self.frame.frame_bytes();
        if frame_bytes <= FREE_BYTES {
            self.is_reserved = false;
            return Poll::Ready(Ok(()));
        }
        if self.is_reserved {
            return Poll::Ready(Ok(()));
        }
        if self.reserving.is_none() {
            self.waiting_since_ms = now_ms();
            let budget = self.bytes.limits().messages.clone();
            self.reserving = Some(Box::pin(budget.reserve(frame_bytes * COPIES)));
        }
        let Some(reserving) = &mut self.reserving else { return Poll::Pending };
        if let Poll::Ready(reservation) = reserving.as_mut().poll(context) {
            self.reserving = None;
            self.bytes.hold(reservation);
            self.is_reserved = true;
            self.pace.resume(now_ms());
            return Poll::Ready(Ok(()));
        }
        let waited_ms = now_ms().saturating_sub(self.waiting_since_ms);
        match self.poll_check(context) && waited_ms > MEMORY_WAIT_MS {
            true => self.fail(Applied::LineMemory, "no memory for the message in time"),
            false => Poll::Pending,
        }
    }

    fn poll_step(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let limit =
            if self.is_reserved { self.frame.left_bytes().min(STEP_BYTES) } else { usize::MAX };
        let length = buffer.remaining().min(limit);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        match Pin::new(&mut self.inner).poll_read(context, &mut part) {
            Poll::Ready(Ok(())) => {
                let filled = part.filled().len();
                if !self.frame.has_begun() {
                    self.pace.resume(now_ms());
                }
                self.frame.record(part.filled());
                self.pace.record(now_ms(), filled);
                buffer.advance(filled);
                if self.frame.left_bytes() == 0 {
                    self.is_reserved = false;
                }
                Poll::Ready(Ok(()))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                let is_slow = self.frame.has_begun() && self.poll_check(context) && {
                    let is_short = self.is_reserved && self.bytes.limits().messages.is_short();
                    self.pace.check(now_ms(), is_short).is_err()
                };
                match is_slow {
                    true => self.fail(Applied::SlowLine, "the message arrived too slowly"),
                    false => Poll::Pending,
                }
            }
        }
    }
}

/// Returns whether a timer is due, and waits for its next interval.
fn poll_timer(timer: &mut Pin<Box<Sleep>>, context: &mut Context<'_>) -> bool {
    let is_due = timer.as_mut().poll(context).is_ready();
    if is_due {
        timer.as_mut().reset(Instant::now() + CHECK_INTERVAL);
        let _ = timer.as_mut().poll(context);
    }
    is_due
}

impl AsyncRead for GatedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.poll_reserve(context) {
            Poll::Ready(Ok(())) => self.poll_step(context, buffer),
            other => other,
        }
    }
}

impl AsyncWrite for GatedIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        match &written {
            Poll::Ready(Ok(length)) => {
                if let Some(pace) = &mut self.write_pace {
                    pace.record(now_ms(), *length);
                }
            }
            Poll::Ready(Err(_)) => {}
            Poll::Pending => {
                let pace = *self.write_pace.get_or_insert_with(|| Pace::new(now_ms(), UNREAD_MS));
                if poll_timer(&mut self.write_check, context) {
                    let limits = self.bytes.limits();
                    let is_short = self.bytes.is_holding() && limits.messages.is_short();
                    if pace.check(now_ms(), is_short).is_err() {
                        limits.report.record(Applied::SlowReader);
                        let reason = "the caller does not read its replies";
                        return Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, reason)));
                    }
                }
            }
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.inner).poll_flush(context);
        if flushed.is_ready() {
            self.write_pace = None;
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
