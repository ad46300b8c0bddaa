//! The budget of callers' lines. A line of unknown length takes a step that fits what has arrived, and
//! a larger one as it grows. Only the last step, which fits the longest line, is waited for, and half
//! of the budget is kept for it: a line that has it needs nothing else, so the lines that wait cannot
//! keep each other from ending.

use std::sync::Arc;

use crate::limits::byte_budget::ByteBudget;
use crate::limits::byte_budget::Reservation;

/// Copies of a line that exist at the same time: the read buffer, the parsed statement, the encoded
/// message and the write buffer of the connection that it is sent over.
pub const COPIES: usize = 4;

/// Steps of a line's reservation, in bytes of the line. The last one is beyond the longest line.
const STEPS_BYTES: [usize; 4] = [16 << 10, 64 << 10, 256 << 10, (1 << 20) + 2];

/// The budget of callers' lines.
pub struct LineBudget {
    steps: Arc<ByteBudget>,
    longest: Arc<ByteBudget>,
}

/// What a line has reserved.
pub struct LineReservation {
    /// Length that the reservation permits, in bytes.
    pub line_bytes: usize,
    _reservation: Reservation,
}

impl LineBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(limit_bytes: usize) -> Self {
        let half_bytes = limit_bytes / 2;
        Self { steps: ByteBudget::new(half_bytes), longest: ByteBudget::new(half_bytes) }
    }

    /// Returns the bytes that are reserved.
    pub fn used_bytes(&self) -> usize {
        self.steps.used_bytes() + self.longest.used_bytes()
    }

    /// Returns the number of lines that wait.
    pub fn waiting(&self) -> usize {
        self.longest.waiting()
    }

    /// Reserves the step for a line that has at least `line_bytes`, without waiting. Returns `None`
    /// if it is the last one, or none is left.
    pub fn try_reserve(&self, line_bytes: usize) -> Option<LineReservation> {
        let last = STEPS_BYTES.len() - 1;
        let step = STEPS_BYTES[..last].iter().copied().find(|step| *step >= line_bytes)?;
        let reservation = self.steps.try_reserve(step * COPIES)?;
        Some(LineReservation { line_bytes: step, _reservation: reservation })
    }

    /// Reserves the step for a line of any length, and waits until it is left.
    pub async fn reserve_longest(&self) -> LineReservation {
        let step = STEPS_BYTES[STEPS_BYTES.len() - 1];
        let reservation = self.longest.clone().reserve(step * COPIES).await;
        LineReservation { line_bytes: step, _reservation: reservation }
    }

    /// Reserves what a line of at least `line_bytes` needs, and waits if necessary. A line that holds the
    /// last step must not reserve again, since it would wait for itself.
    pub async fn reserve(&self, line_bytes: usize) -> LineReservation {
        match self.try_reserve(line_bytes) {
            Some(reservation) => reservation,
            None => self.reserve_longest().await,
        }
    }
}
