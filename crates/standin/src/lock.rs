//! Locking of mutexes.

use std::sync::Mutex;
use std::sync::MutexGuard;

/// Locks a mutex whose holders never panic, which therefore cannot be poisoned.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .expect("no thread panics while it holds a lock")
}
