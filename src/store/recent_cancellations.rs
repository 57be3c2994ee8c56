//! The latest cancellations by revision, for the notices that heartbeats carry.
//!
//! A heartbeat notifies a leader of what was cancelled after the revision that it
//! has reached, and only of so many jobs at once. Older ones are of no use to
//! anybody and would pile up for ever.

use std::collections::BTreeSet;

use crate::{protocol::JobId, settings::MIN_CANCELLATIONS_PER_HEARTBEAT};

/// Cancellations that are held for each one that a heartbeat carries.
const HELD_PARTS: usize = 4;

/// A cancelled job. Ordered by the revision, and within one by the job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cancellation {
    /// The revision of the job's end record.
    pub revision: u64,
    /// The job.
    pub job: JobId,
}

/// The cancellations after a revision.
#[derive(Debug)]
pub struct CancellationsSince<'a> {
    /// The oldest first.
    pub cancellations: Vec<&'a Cancellation>,
    /// Whether these are all that there were.
    pub complete: bool,
}

/// The latest cancellations, up to a fixed number.
#[derive(Debug)]
pub struct RecentCancellations {
    held: BTreeSet<Cancellation>,
    /// How many are held at most.
    limit: usize,
    /// The latest revision of those that are not held any more.
    dropped: u64,
}

impl Default for RecentCancellations {
    fn default() -> Self {
        Self::with_notice_limit(MIN_CANCELLATIONS_PER_HEARTBEAT)
    }
}

impl RecentCancellations {
    /// Holds what heartbeats need that carry up to `noticed` cancellations.
    pub fn with_notice_limit(noticed: usize) -> Self {
        Self { held: BTreeSet::new(), limit: noticed * HELD_PARTS, dropped: 0 }
    }

    /// Records that a job was cancelled at a revision. Revisions may come in any
    /// order.
    pub fn insert(&mut self, revision: u64, job: JobId) {
        self.held.insert(Cancellation { revision, job });
        while self.held.len() > self.limit {
            if let Some(oldest) = self.held.pop_first() {
                self.dropped = self.dropped.max(oldest.revision);
            }
        }
    }

    /// The first `limit` that are held of those after `revision`.
    pub fn since(&self, revision: u64, limit: usize) -> CancellationsSince<'_> {
        let first = Cancellation { revision: revision.saturating_add(1), job: JobId::from("") };
        let mut later = self.held.range(first..);
        let cancellations = later.by_ref().take(limit).collect();
        let complete = later.next().is_none() && revision >= self.dropped;
        CancellationsSince { cancellations, complete }
    }
}
