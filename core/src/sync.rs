//! Locking helpers.

use std::sync::Mutex;
use std::sync::MutexGuard;

/// Locks a mutex and ignores poisoning: the guarded data stays consistent when a holder panics,
/// because it is changed in single steps.
pub fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
