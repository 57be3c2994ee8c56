//! Reachability of the state service, as this node observes it.

use std::sync::Mutex;

use tokio::time::{Duration, Instant};

use crate::state::lock;

/// The outcome of the latest read, which decides whether the state service counts as
/// reachable.
pub(super) struct StateServiceHealth {
    latest: Mutex<LatestRead>,
}

#[derive(Clone, Copy)]
struct LatestRead {
    ended_at: Instant,
    answered: bool,
}

impl StateServiceHealth {
    /// Creates the state of a process before its first read: the state service counts as
    /// unreachable.
    pub(super) fn new() -> Self {
        Self { latest: Mutex::new(LatestRead { ended_at: Instant::now(), answered: false }) }
    }

    /// Records that a read was answered now.
    pub(super) fn record_answer(&self) {
        *lock(&self.latest) = LatestRead { ended_at: Instant::now(), answered: true };
    }

    /// Records that a read failed now.
    pub(super) fn record_failure(&self) {
        *lock(&self.latest) = LatestRead { ended_at: Instant::now(), answered: false };
    }

    /// Whether the latest read succeeded and ended less than `within` ago.
    pub(super) fn answered_within(&self, within: Duration) -> bool {
        let latest = *lock(&self.latest);
        latest.answered && latest.ended_at.elapsed() < within
    }
}
