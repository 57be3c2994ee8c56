//! When worker heartbeats were last rejected, which proves that workers live although
//! the leader may not receive their heartbeats.

use std::sync::Mutex;

use tokio::time::{Duration, Instant};

use crate::state::lock;

/// When a controller last rejected a worker heartbeat, or answered it in a leader's
/// stead.
#[derive(Default)]
pub(super) struct RejectedHeartbeats {
    here: Mutex<Option<Instant>>,
    elsewhere: Mutex<Option<Instant>>,
}

impl RejectedHeartbeats {
    /// This node rejected one just now.
    pub(super) fn record_here(&self) {
        *lock(&self.here) = Some(Instant::now());
    }

    /// The watch brought just now that another node rejected one.
    pub(super) fn record_elsewhere(&self) {
        *lock(&self.elsewhere) = Some(Instant::now());
    }

    /// Whether this node rejected one within this time.
    pub(super) fn any_here(&self, within: Duration) -> bool {
        lock(&self.here).is_some_and(|at| at.elapsed() < within)
    }

    /// Whether the watch brought within this time that another node rejected one.
    pub(super) fn any_elsewhere(&self, within: Duration) -> bool {
        lock(&self.elsewhere).is_some_and(|at| at.elapsed() < within)
    }
}
