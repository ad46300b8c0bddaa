//! A bound on bytes that are held at the same time. Holders reserve before they read on and wait in
//! order of arrival while nothing is left. What is held already can be charged without waiting;
//! reservations then wait until the excess is gone.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;

use tokio::sync::oneshot;

use crate::sync::lock;

#[derive(Default)]
struct State {
    used_bytes: usize,
    /// Reservations in order of arrival: bytes, and where to send the grant.
    waiting: VecDeque<(usize, oneshot::Sender<Reservation>)>,
}

/// A bound on bytes.
pub struct ByteBudget {
    limit_bytes: usize,
    state: Mutex<State>,
}

/// Bytes that count against a budget until this is dropped.
pub struct Reservation {
    budget: Arc<ByteBudget>,
    bytes: usize,
}

impl ByteBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(limit_bytes: usize) -> Arc<Self> {
        Arc::new(Self { limit_bytes, state: Mutex::default() })
    }

    /// Returns the bound in bytes.
    pub fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// Returns the bytes that are reserved or charged.
    pub fn used_bytes(&self) -> usize {
        lock(&self.state).used_bytes
    }

    /// Returns the number of reservations that wait.
    pub fn waiting(&self) -> usize {
        let mut state = lock(&self.state);
        state.waiting.retain(|(_, waiter)| !waiter.is_closed());
        state.waiting.len()
    }

    /// Returns whether something waits, or more is charged than the bound.
    pub fn is_short(&self) -> bool {
        let state = lock(&self.state);
        state.used_bytes > self.limit_bytes || !state.waiting.is_empty()
    }

    /// Reserves bytes if they are left and nothing waits. More than the bound counts as the bound, so
    /// that it is granted when nothing else is held.
    pub fn try_reserve(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        let bytes = bytes.min(self.limit_bytes);
        let mut state = lock(&self.state);
        state.waiting.retain(|(_, waiter)| !waiter.is_closed());
        let is_left = state.waiting.is_empty() && state.used_bytes + bytes <= self.limit_bytes;
        is_left.then(|| self.take(&mut state, bytes))
    }

    /// Reserves bytes and waits until they are left.
    pub async fn reserve(self: Arc<Self>, bytes: usize) -> Reservation {
        loop {
            if let Some(reservation) = self.try_reserve(bytes) {
                return reservation;
            }
            let (sender, receiver) = oneshot::channel();
            let bytes = bytes.min(self.limit_bytes);
            lock(&self.state).waiting.push_back((bytes, sender));
            self.grant_waiting();
            // The sender is dropped only with the budget, which this call holds.
            if let Ok(reservation) = receiver.await {
                return reservation;
            }
        }
    }

    /// Counts bytes that are held already, also beyond the bound.
    pub fn charge(self: &Arc<Self>, bytes: usize) -> Reservation {
        self.take(&mut lock(&self.state), bytes)
    }

    fn take(self: &Arc<Self>, state: &mut State, bytes: usize) -> Reservation {
        state.used_bytes += bytes;
        Reservation { budget: self.clone(), bytes }
    }

    fn release(self: &Arc<Self>, bytes: usize) {
        lock(&self.state).used_bytes -= bytes;
        self.grant_waiting();
    }

    /// Grants what is left to those that wait, in order. A waiter that is gone is passed over.
    fn grant_waiting(self: &Arc<Self>) {
        loop {
            let mut state = lock(&self.state);
            let Some((bytes, waiter)) = state.waiting.pop_front() else { return };
            if waiter.is_closed() {
                continue;
            }
            if state.used_bytes + bytes > self.limit_bytes {
                state.waiting.push_front((bytes, waiter));
                return;
            }
            let reservation = self.take(&mut state, bytes);
            drop(state);
            // A reservation that nobody takes is dropped here, and given back.
            drop(waiter.send(reservation));
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}
