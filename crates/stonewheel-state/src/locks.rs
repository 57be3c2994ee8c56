//! Mutex locking that ignores poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, whether it is poisoned or not. A mutex is poisoned only if a holder of the
/// lock panicked. A panic is expected to end the process, so callers don't handle poisoning.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
