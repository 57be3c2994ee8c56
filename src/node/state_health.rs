//! Whether the state service answers this node.

use std::sync::Mutex;

use tokio::time::{Duration, Instant};

use crate::state::lock;

/// How the latest request went, of those that tell whether the state service is there.
pub(super) struct StateServiceHealth {
    latest: Mutex<LatestRequest>,
}

#[derive(Clone, Copy)]
struct LatestRequest {
    ended_at: Instant,
    answered: bool,
}

impl StateServiceHealth {
    /// Nothing was asked yet: the service counts as not answering.
    pub(super) fn new() -> Self {
        Self { latest: Mutex::new(LatestRequest { ended_at: Instant::now(), answered: false }) }
    }

    /// Records that a request ended just now.
    pub(super) fn record(&self, answered: bool) {
        *lock(&self.latest) = LatestRequest { ended_at: Instant::now(), answered };
    }

    /// Whether the latest request was answered, and that within this time.
    pub(super) fn is_ok(&self, within: Duration) -> bool {
        let latest = *lock(&self.latest);
        latest.answered && latest.ended_at.elapsed() < within
    }
}
