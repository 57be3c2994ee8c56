//! The state service: its client behind a trait, the budget of requests and
//! writes, and the writer that packs changes into transactions.

mod api;
mod budget;
mod http;
mod versioned;
mod writer;

use std::sync::{Mutex, MutexGuard, PoisonError};

pub use api::{StateApi, StateError};
pub use budget::{Budget, Reserve};
pub use http::HttpState;
pub use versioned::Versioned;
pub use writer::{IN_FLIGHT, Writer, WriterLimits};

/// A lock is only poisoned when a holder panicked, and the process then ends.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
