//! Mutex locking that ignores poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, whether it is poisoned or not. Only a panic poisons a mutex, and the
/// process ends with any panic, so no caller continues with the data of a poisoned one.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
