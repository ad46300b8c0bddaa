//! Locks.

use std::sync::Mutex;
use std::sync::MutexGuard;

/// Locks a mutex, also after another holder panicked: what it guards is changed in single steps.
pub fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
