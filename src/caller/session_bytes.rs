//! What the messages of one session hold until they have been run.

use std::sync::Arc;
use std::sync::Mutex;

use crate::traffic::caller_limits::CallerLimits;
use snipehead_core::limits::FREE_BYTES;
use snipehead_core::limits::byte_budget::Reservation;
use snipehead_core::sync::lock;

/// Copies of a message while it runs: the read buffer, the decoded message, the tokens and the syntax tree
/// of its text, the batch, its encoded form and the write buffer of the connection to the member. With five,
/// 80 callers of queries of 1 MB exceeded the memory of their host in some runs.
pub const COPIES: usize = 8;

/// Small messages of a batch reserve this many bytes at once.
const STEP_BYTES: usize = 64 << 10;

#[derive(Default)]
struct Held {
    reservations: Vec<Reservation>,
    /// Bytes of small messages that wait for their Sync, and how many of them are reserved.
    small_bytes: usize,
    small_reserved_bytes: usize,
}

/// What the messages of one session hold.
pub struct SessionBytes {
    limits: Arc<CallerLimits>,
    held: Mutex<Held>,
}

impl SessionBytes {
    /// Creates the account of a session that holds nothing.
    pub fn new(limits: Arc<CallerLimits>) -> Arc<Self> {
        Arc::new(Self { limits, held: Mutex::default() })
    }

    /// Returns the limits that the session counts against.
    pub fn limits(&self) -> &Arc<CallerLimits> {
        &self.limits
    }

    /// Holds the reservation of a large message.
    pub fn hold(&self, reservation: Reservation) {
        lock(&self.held).reservations.push(reservation);
    }

    /// Counts a message that waits for its Sync. Returns whether there is memory for it.
    pub fn add_waiting(&self, bytes: usize) -> bool {
        // A large message has been reserved before it was read.
        if bytes > FREE_BYTES {
            return true;
        }
        let mut held = lock(&self.held);
        held.small_bytes += bytes;
        if held.small_bytes <= held.small_reserved_bytes + FREE_BYTES {
            return true;
        }
        let Some(reservation) = self.limits.messages.try_reserve(STEP_BYTES * COPIES) else {
            return false;
        };
        held.small_reserved_bytes += STEP_BYTES;
        held.reservations.push(reservation);
        true
    }

    /// Returns whether the session holds memory that others may wait for.
    pub fn is_holding(&self) -> bool {
        !lock(&self.held).reservations.is_empty()
    }

    /// Gives everything back after the messages have been run and their replies written.
    pub fn release(&self) {
        let released = std::mem::take(&mut *lock(&self.held));
        drop(released);
    }
}
