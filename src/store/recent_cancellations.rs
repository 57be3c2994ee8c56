//! The latest cancellations by revision, for the notices in controller heartbeats.
//!
//! A heartbeat notifies a leader of the jobs that were cancelled after the revision
//! that the leader's watch cache has reached, up to a fixed number of jobs. Much
//! older cancellations are of no use to any receiver, and keeping them would let memory
//! grow without bound.

use std::collections::BTreeSet;

use crate::{protocol::JobId, settings::MIN_CANCELLATIONS_PER_HEARTBEAT};

/// How many cancellations are retained, as a multiple of the number that one heartbeat
/// carries.
const RETENTION_FACTOR: usize = 4;

/// The cancellation of a job. Ordered by revision, then by job id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cancellation {
    /// The revision of the job's end record.
    pub revision: u64,
    /// The cancelled job.
    pub job: JobId,
}

/// The cancellations after a revision.
#[derive(Debug)]
pub struct CancellationsSince<'a> {
    /// The cancellations in ascending order of revision.
    pub cancellations: Vec<&'a Cancellation>,
    /// Whether `cancellations` lists every cancellation after the revision. False if
    /// the requested limit cut the list or older ones were dropped.
    pub complete: bool,
}

/// The latest cancellations, up to a fixed number.
#[derive(Debug)]
pub struct RecentCancellations {
    retained: BTreeSet<Cancellation>,
    /// The maximum number of retained cancellations.
    limit: usize,
    /// The highest revision of any cancellation that was dropped.
    last_dropped_revision: u64,
}

impl Default for RecentCancellations {
    fn default() -> Self {
        Self::with_notice_limit(MIN_CANCELLATIONS_PER_HEARTBEAT)
    }
}

impl RecentCancellations {
    /// Returns an empty set that retains enough for heartbeats with up to
    /// `notice_limit` cancellations each.
    pub fn with_notice_limit(notice_limit: usize) -> Self {
        Self {
            retained: BTreeSet::new(),
            limit: notice_limit * RETENTION_FACTOR,
            last_dropped_revision: 0,
        }
    }

    /// Records that a job was cancelled at a revision. Calls may come in any order
    /// of revisions.
    pub fn insert(&mut self, revision: u64, job: JobId) {
        self.retained.insert(Cancellation { revision, job });
        while self.retained.len() > self.limit {
            if let Some(oldest) = self.retained.pop_first() {
                self.last_dropped_revision = self.last_dropped_revision.max(oldest.revision);
            }
        }
    }

    /// Returns the retained cancellations after `revision`, in ascending order of revision.
    pub fn after(&self, revision: u64) -> impl Iterator<Item = &Cancellation> {
        let first = Cancellation { revision: revision.saturating_add(1), job: JobId::from("") };
        self.retained.range(first..)
    }

    /// Returns the highest revision of any cancellation that was dropped, or 0.
    pub fn last_dropped_revision(&self) -> u64 {
        self.last_dropped_revision
    }

    /// Returns the retained cancellations after `revision`, the oldest `limit` of them.
    pub fn since(&self, revision: u64, limit: usize) -> CancellationsSince<'_> {
        let mut later = self.after(revision);
        let cancellations = later.by_ref().take(limit).collect();
        let complete = later.next().is_none() && revision >= self.last_dropped_revision;
        CancellationsSince { cancellations, complete }
    }
}
