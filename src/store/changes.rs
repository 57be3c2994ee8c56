//! What an update of the watch cache means to those who follow it.

use crate::{dependencies::Effects, protocol::JobId};

/// What a change to the watch cache means to a leader.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The job was accepted.
    Arrived(JobId),
    /// All that the job depends on is done.
    Ready(JobId),
    /// The job ended, or is cancelled with one that it depends on.
    Ended(JobId),
    /// The job's effective priority changed.
    PriorityChanged(JobId),
    /// The leader record was written or removed, or may have been.
    Leader,
    /// A controller rejected worker heartbeats and cannot reach the leader.
    HeartbeatsRejected,
}

/// The changes to other jobs that an update of the dependency graph brought.
pub(super) fn changes_of(effects: Effects) -> impl Iterator<Item = Change> {
    let cancelled = effects.cancelled.into_iter().map(Change::Ended);
    let ready = effects.ready.into_iter().map(Change::Ready);
    let priority_changed = effects.priority_changed.into_iter().map(Change::PriorityChanged);
    cancelled.chain(ready).chain(priority_changed)
}
