//! Times of the latest rejected worker heartbeats.
//!
//! A rejected heartbeat proves that workers live although the leader may not receive their
//! heartbeats.

use std::sync::Mutex;

use tokio::time::{Duration, Instant};

use crate::state::lock;

/// When a controller last rejected a worker heartbeat, or renewed a worker's lease as a
/// follower.
#[derive(Default)]
pub(super) struct RejectedHeartbeats {
    last_local_at: Mutex<Option<Instant>>,
    last_remote_at: Mutex<Option<Instant>>,
}

impl RejectedHeartbeats {
    /// Records that this node rejected a heartbeat now.
    pub(super) fn record_local(&self) {
        *lock(&self.last_local_at) = Some(Instant::now());
    }

    /// Records that the watch reported a rejection by another node now.
    pub(super) fn record_remote(&self) {
        *lock(&self.last_remote_at) = Some(Instant::now());
    }

    /// Whether this node rejected a heartbeat less than `within` ago.
    pub(super) fn any_local(&self, within: Duration) -> bool {
        lock(&self.last_local_at).is_some_and(|at| at.elapsed() < within)
    }

    /// Whether the watch reported a rejection by another node less than `within` ago.
    pub(super) fn any_remote(&self, within: Duration) -> bool {
        lock(&self.last_remote_at).is_some_and(|at| at.elapsed() < within)
    }
}
