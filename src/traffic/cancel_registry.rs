//! Registry of the caller connections on which requests can be cancelled.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;
use std::sync::Mutex;

use rand::Rng;
use tokio::sync::Notify;

use crate::sync::lock;

/// Key by which a cancel request identifies a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CancelKey {
    /// Process id that the caller received at start-up.
    pub process_id: i32,
    /// Secret that authorises the cancel request.
    pub secret: i32,
}

/// Caller connections by their cancel keys.
#[derive(Default)]
pub struct CancelRegistry {
    connections: Mutex<HashMap<CancelKey, Arc<Notify>>>,
}

impl CancelRegistry {
    /// Adds a connection. Returns its key, and the signal that is notified by a cancel request.
    pub fn add(&self) -> (CancelKey, Arc<Notify>) {
        let mut connections = lock(&self.connections);
        let mut rng = rand::rng();
        loop {
            let key = CancelKey { process_id: rng.random_range(1..i32::MAX), secret: rng.random() };
            if let Entry::Vacant(vacant) = connections.entry(key) {
                let cancel_signal = Arc::new(Notify::new());
                vacant.insert(cancel_signal.clone());
                return (key, cancel_signal);
            }
        }
    }

    /// Removes a connection.
    pub fn remove(&self, key: CancelKey) {
        lock(&self.connections).remove(&key);
    }

    /// Cancels the request that runs on a connection. Returns whether the connection is registered.
    pub fn cancel(&self, key: CancelKey) -> bool {
        let connections = lock(&self.connections);
        let cancel_signal = connections.get(&key);
        if let Some(cancel_signal) = cancel_signal {
            cancel_signal.notify_waiters();
        }
        cancel_signal.is_some()
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        lock(&self.connections).len()
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
