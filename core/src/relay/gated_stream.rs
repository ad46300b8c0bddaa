//! The connection to another node, whose large messages are read only when there is memory for them.
//! The memory is reserved before the rest of such a message is read. It is given back after the
//! message was decoded and its receiver, which charges what it holds, has run.

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
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::clock::now_ms;
use crate::limits::ClientLimits;
use crate::limits::FREE_BYTES;
use crate::limits::byte_budget::ByteBudget;
use crate::limits::byte_budget::Reservation;
use crate::limits::frame_progress::FrameProgress;
use crate::limits::pace::Pace;
use crate::limits::report::Applied;

/// Copies of a message while it is received: its frame, and what is decoded of it.
const COPIES: usize = 2;

/// Most bytes of a large message that are read at once.
const STEP_BYTES: usize = 64 << 10;

/// Interval of the checks whether a message is received too slowly.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Longest wait for memory, in milliseconds. Other messages wait behind this one.
const MEMORY_WAIT_MS: u64 = 5_000;

/// A connection to another node.
pub(super) struct GatedStream {
    stream: TcpStream,
    limits: Arc<ClientLimits>,
    budget: Arc<ByteBudget>,
    frame: FrameProgress,
    reserving: Option<BoxFuture<'static, Reservation>>,
    reservation: Option<Reservation>,
    waiting_since_ms: u64,
    pace: Pace,
    has_yielded: bool,
    check: Pin<Box<Sleep>>,
}

impl GatedStream {
    /// Wraps a new connection. Large messages that are received count against `budget`.
    pub(super) fn new(
        stream: TcpStream,
        limits: Arc<ClientLimits>,
        budget: Arc<ByteBudget>,
    ) -> Self {
        let pace = Pace::new(0, limits.host.stall_ms);
        Self {
            stream,
            limits,
            budget,
            frame: FrameProgress::default(),
            reserving: None,
            reservation: None,
            waiting_since_ms: 0,
            pace,
            has_yielded: false,
            check: Box::pin(tokio::time::sleep(CHECK_INTERVAL)),
        }
    }

    fn fail(&self, reason: &str) -> Poll<io::Result<()>> {
        self.limits.report.record(Applied::RelayMemory);
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, reason)))
    }

    /// Waits for the next check, and returns whether it is due.
    fn poll_check(&mut self, context: &mut Context<'_>) -> bool {
        let is_due = self.check.as_mut().poll(context).is_ready();
        if is_due {
            self.check.as_mut().reset(Instant::now() + CHECK_INTERVAL);
            let _ = self.check.as_mut().poll(context);
        }
        is_due
    }

    /// Gives back what a message that was read has reserved, after its receiver has run once.
    fn poll_release(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.frame.left_bytes() == 0 && self.reservation.is_some() {
            if !self.has_yielded {
                self.has_yielded = true;
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            self.has_yielded = false;
            self.reservation = None;
        }
        Poll::Ready(())
    }

    fn poll_reserve(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let frame_bytes = self.frame.frame_bytes();
        if frame_bytes <= FREE_BYTES || self.reservation.is_some() {
            return Poll::Ready(Ok(()));
        }
        if self.reserving.is_none() {
            self.waiting_since_ms = now_ms();
            self.reserving = Some(Box::pin(self.budget.clone().reserve(frame_bytes * COPIES)));
        }
        let Some(reserving) = &mut self.reserving else { return Poll::Pending };
        if let Poll::Ready(reservation) = reserving.as_mut().poll(context) {
            self.reserving = None;
            self.reservation = Some(reservation);
            self.pace.resume(now_ms());
            return Poll::Ready(Ok(()));
        }
        let waited_ms = now_ms().saturating_sub(self.waiting_since_ms);
        match self.poll_check(context) && waited_ms > MEMORY_WAIT_MS {
            true => self.fail("no memory for the message in time"),
            false => Poll::Pending,
        }
    }

    fn poll_step(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let is_large = self.reservation.is_some();
        let limit = if is_large { self.frame.left_bytes().min(STEP_BYTES) } else { usize::MAX };
        let length = buffer.remaining().min(limit);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        match Pin::new(&mut self.stream).poll_read(context, &mut part) {
            Poll::Ready(Ok(())) => {
                let filled = part.filled().len();
                self.frame.record(part.filled());
                self.pace.record(now_ms(), filled);
                buffer.advance(filled);
                Poll::Ready(Ok(()))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                let is_slow = is_large
                    && self.poll_check(context)
                    && self.pace.check(now_ms(), self.budget.is_short()).is_err();
                match is_slow {
                    true => self.fail("the message arrived too slowly"),
                    false => Poll::Pending,
                }
            }
        }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.poll_release(context).is_pending() {
            return Poll::Pending;
        }
        match self.poll_reserve(context) {
            Poll::Ready(Ok(())) => self.poll_step(context, buffer),
            other => other,
        }
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
