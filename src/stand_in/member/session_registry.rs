//! Registry of the open sessions of a member, for cancel requests and session counts.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use pgwire::messages::startup::SecretKey;

use crate::sync::lock;

/// Open sessions of a member, by process id.
#[derive(Default)]
pub struct SessionRegistry {
    state: Mutex<RegistryState>,
}

#[derive(Default)]
struct RegistryState {
    handles: HashMap<i32, CancelHandle>,
    peak: usize,
}

/// Handle with which a cancel request interrupts a session.
pub(super) struct CancelHandle {
    pub(super) secret: i32,
    pub(super) is_cancelled: Arc<AtomicBool>,
    pub(super) interrupt: rusqlite::InterruptHandle,
}

impl SessionRegistry {
    /// Returns the number of open sessions.
    pub fn len(&self) -> usize {
        lock(&self.state).handles.len()
    }

    /// Returns whether no session is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the highest number of sessions that were open at the same time.
    pub fn peak(&self) -> usize {
        lock(&self.state).peak
    }

    /// Adds a session.
    pub(super) fn add(&self, process_id: i32, handle: CancelHandle) {
        let mut state = lock(&self.state);
        state.handles.insert(process_id, handle);
        state.peak = state.peak.max(state.handles.len());
    }

    /// Removes a session.
    pub(super) fn remove(&self, process_id: i32) {
        lock(&self.state).handles.remove(&process_id);
    }

    /// Cancels the running request of a session, if the secret is that of the session.
    pub(super) fn cancel(&self, process_id: i32, secret: &SecretKey) {
        let state = lock(&self.state);
        let Some(handle) = state.handles.get(&process_id) else {
            return;
        };
        if *secret == SecretKey::I32(handle.secret) {
            handle.is_cancelled.store(true, Ordering::SeqCst);
            handle.interrupt.interrupt();
        }
    }
}
