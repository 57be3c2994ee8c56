//! When a job's end became known, and the time limit that follows for its tasks.

use tokio::time::{Duration, Instant};

/// When a job ended, as far as this controller knows.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownEnd {
    /// When this leader learned of it.
    pub(super) learned_at: Instant,
    /// The earliest time at which its user may have been told.
    pub(super) confirmed_at: Instant,
}

impl KnownEnd {
    /// An end that this leader learns of now.
    pub(super) fn learned(now: Instant) -> Self {
        Self { learned_at: now, confirmed_at: now }
    }

    /// When machines that still hold its tasks are returned. All of them must be
    /// gone `limit` after the confirmation. Half of that is left for stopping
    /// them; what was learned late gets half a lease, but not beyond three
    /// quarters of the limit.
    pub(super) fn machine_return_deadline(&self, limit: Duration, lease: Duration) -> Instant {
        let late = (self.learned_at + lease / 2).min(self.confirmed_at + limit * 3 / 4);
        late.max(self.confirmed_at + limit / 2)
    }
}
