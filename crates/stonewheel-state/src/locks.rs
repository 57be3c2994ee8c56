//! Locks that outlive a panic.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, whether it is poisoned or not: that takes a panic of a holder,
/// and the process ends with it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
