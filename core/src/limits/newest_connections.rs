//! The connections of a listener whose requests are short: when there are too many, the oldest is
//! closed for the next one.

use std::collections::VecDeque;
use std::sync::Mutex;

use tokio_util::sync::CancellationToken;

use crate::sync::lock;

/// The newest connections of a listener.
pub struct NewestConnections {
    limit: usize,
    open: Mutex<VecDeque<CancellationToken>>,
}

impl NewestConnections {
    /// Creates an empty set that holds up to `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self { limit: limit.max(1), open: Mutex::default() }
    }

    /// Adds a connection. Returns the signal that closes it, and whether another one was closed.
    pub fn add(&self) -> (CancellationToken, bool) {
        let mut open = lock(&self.open);
        open.retain(|signal| !signal.is_cancelled());
        let oldest = if open.len() >= self.limit { open.pop_front() } else { None };
        if let Some(oldest) = &oldest {
            oldest.cancel();
        }
        let signal = CancellationToken::new();
        open.push_back(signal.clone());
        (signal, oldest.is_some())
    }
}
