//! When a job's end became known, and the deadline for its remaining tasks that follows.

use tokio::time::{Duration, Instant};

/// The instants that this controller knows of a job's end.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownEnd {
    /// When this leader learned of the end.
    pub(super) learned_at: Instant,
    /// The earliest instant at which the end may have been confirmed to the job's user.
    pub(super) confirmed_at: Instant,
}

impl KnownEnd {
    /// Returns an end that this leader learns of now, and that was not confirmed earlier as far
    /// as is known.
    pub(super) fn learned(now: Instant) -> Self {
        Self { learned_at: now, confirmed_at: now }
    }

    /// Returns when machines that still hold tasks of the job are returned to the cloud.
    ///
    /// All tasks must have terminated `limit` after the confirmation. Stop commands get half of
    /// that time. If the leader learned of the end late, they get half a worker lease from
    /// then, but no longer than three quarters of the limit.
    pub(super) fn machine_return_deadline(&self, limit: Duration, lease: Duration) -> Instant {
        let learned_late = (self.learned_at + lease / 2).min(self.confirmed_at + limit * 3 / 4);
        learned_late.max(self.confirmed_at + limit / 2)
    }
}
