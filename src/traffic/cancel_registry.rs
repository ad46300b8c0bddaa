//! Running requests that callers may cancel.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;
use std::sync::Mutex;

use rand::Rng;
use tokio::sync::Notify;

use crate::sync::lock;

/// Identity of a caller's connection for cancel requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CancelKey {
    /// Process id as the caller knows it.
    pub process_id: i32,
    /// Secret that proves the right to cancel.
    pub secret: i32,
}

/// Connections of callers by their cancel keys.
#[derive(Default)]
pub struct CancelRegistry {
    handles: Mutex<HashMap<CancelKey, Arc<Notify>>>,
}

impl CancelRegistry {
    /// Adds a connection. Returns its key and the signal that a cancel request gives.
    pub fn add(&self) -> (CancelKey, Arc<Notify>) {
        let mut handles = lock(&self.handles);
        let mut random = rand::rng();
        loop {
            let key =
                CancelKey { process_id: random.random_range(1..i32::MAX), secret: random.random() };
            if let Entry::Vacant(vacant) = handles.entry(key) {
                let handle = Arc::new(Notify::new());
                vacant.insert(handle.clone());
                return (key, handle);
            }
        }
    }

    /// Removes a connection.
    pub fn remove(&self, key: CancelKey) {
        lock(&self.handles).remove(&key);
    }

    /// Cancels what runs on a connection; returns whether it is known here.
    pub fn cancel(&self, key: CancelKey) -> bool {
        let handles = lock(&self.handles);
        let handle = handles.get(&key);
        if let Some(handle) = handle {
            handle.notify_waiters();
        }
        handle.is_some()
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        lock(&self.handles).len()
    }

    /// Returns whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
