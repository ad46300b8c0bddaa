//! Open sessions of a member, for cancel requests and counting.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use pgwire::messages::startup::SecretKey;

use crate::sync::lock;

/// Sessions that can be cancelled, with their count.
#[derive(Default)]
pub struct SessionRegistry {
    state: Mutex<RegistryState>,
}

#[derive(Default)]
struct RegistryState {
    cancels: HashMap<i32, CancelHandle>,
    peak: usize,
}

/// What a cancel request needs.
pub(super) struct CancelHandle {
    pub(super) secret: i32,
    pub(super) is_cancelled: Arc<AtomicBool>,
    pub(super) interrupt: rusqlite::InterruptHandle,
}

impl SessionRegistry {
    /// Returns how many sessions are open.
    pub fn len(&self) -> usize {
        lock(&self.state).cancels.len()
    }

    /// Returns whether no session is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the most sessions that were ever open at one time.
    pub fn peak(&self) -> usize {
        lock(&self.state).peak
    }

    /// Adds a session.
    pub(super) fn add(&self, process_id: i32, handle: CancelHandle) {
        let mut state = lock(&self.state);
        state.cancels.insert(process_id, handle);
        state.peak = state.peak.max(state.cancels.len());
    }

    /// Removes a session.
    pub(super) fn remove(&self, process_id: i32) {
        lock(&self.state).cancels.remove(&process_id);
    }

    /// Cancels what runs in a session.
    pub(super) fn cancel(&self, process_id: i32, secret: &SecretKey) {
        let state = lock(&self.state);
        let Some(handle) = state.cancels.get(&process_id) else {
            return;
        };
        if *secret == SecretKey::I32(handle.secret) {
            handle.is_cancelled.store(true, Ordering::SeqCst);
            handle.interrupt.interrupt();
        }
    }
}
