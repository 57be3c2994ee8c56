//! The changes that an update of the watch cache reports to the controller.

use crate::{dependencies::Effects, protocol::JobId};

/// A change to the watch cache that the controller's other components react to.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The job was accepted.
    Arrived(JobId),
    /// All jobs that the job depends on are done, so it may start.
    Ready(JobId),
    /// The job ended, or counts as cancelled because a job that it depends on was
    /// cancelled.
    Ended(JobId),
    /// The job's effective priority changed.
    PriorityChanged(JobId),
    /// The leader record was written or removed. Also reported after a full read of
    /// the records, which may have missed such a write.
    Leader,
    /// A controller recorded that it rejected worker heartbeats while it could not
    /// reach the leader.
    HeartbeatsRejected,
}

/// Returns the changes to dependent jobs that an update of the dependency graph caused.
pub(super) fn changes_from_effects(effects: Effects) -> impl Iterator<Item = Change> {
    let cancelled = effects.cancelled.into_iter().map(Change::Ended);
    let ready = effects.ready.into_iter().map(Change::Ready);
    let priority_changed = effects.priority_changed.into_iter().map(Change::PriorityChanged);
    cancelled.chain(ready).chain(priority_changed)
}
