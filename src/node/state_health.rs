//! Whether the state service answers this node.

use std::sync::Mutex;

use tokio::time::{Duration, Instant};

use crate::state::lock;

/// The outcome of the latest read, by which the state service counts as reachable.
pub(super) struct StateServiceHealth {
    latest: Mutex<LatestRead>,
}

#[derive(Clone, Copy)]
struct LatestRead {
    ended_at: Instant,
    answered: bool,
}

impl StateServiceHealth {
    /// No request was made yet: the service counts as not answering.
    pub(super) fn new() -> Self {
        Self { latest: Mutex::new(LatestRead { ended_at: Instant::now(), answered: false }) }
    }

    /// Records that a read was answered just now.
    pub(super) fn record_answer(&self) {
        *lock(&self.latest) = LatestRead { ended_at: Instant::now(), answered: true };
    }

    /// Records that a read failed just now.
    pub(super) fn record_failure(&self) {
        *lock(&self.latest) = LatestRead { ended_at: Instant::now(), answered: false };
    }

    /// Whether the latest read was answered, and that within this time.
    pub(super) fn is_ok(&self, within: Duration) -> bool {
        let latest = *lock(&self.latest);
        latest.answered && latest.ended_at.elapsed() < within
    }
}
