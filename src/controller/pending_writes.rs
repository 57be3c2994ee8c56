//! Which records are to be written, and which writes are in flight.

use std::{collections::BTreeSet, ops::RangeInclusive};

use crate::{fleet::TaskKey, protocol::JobId};

/// The identity of a page, the record of the placements of a range of a job's tasks;
/// ordered by job, then by number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PageKey {
    pub(super) job: JobId,
    pub(super) page: u32,
}

impl PageKey {
    /// The keys of all pages that a job may have.
    fn all_of(job: &JobId) -> RangeInclusive<Self> {
        let key = |page| Self { job: job.clone(), page };
        key(0)..=key(u32::MAX)
    }
}

/// Writes that are due or in flight. Invariant: a page is in flight only once at a time,
/// so what it says of a task is never overtaken by an older version.
#[derive(Default)]
pub(super) struct PendingWrites {
    /// Pages that have to be written.
    dirty: BTreeSet<PageKey>,
    /// Pages that are being written.
    in_flight: BTreeSet<PageKey>,
    /// Pages that are too large to be written, until a task leaves them.
    oversized: BTreeSet<PageKey>,
    /// Tasks to stop so that such a page can be written.
    tasks_to_stop: BTreeSet<TaskKey>,
    /// Jobs that may be over: their end, or the dropping of their records, is checked.
    ending: BTreeSet<JobId>,
    /// Jobs cancelled with another one whose own end records are in flight.
    cancelling: BTreeSet<JobId>,
}

impl PendingWrites {
    /// The content of a page changed.
    pub(super) fn mark_changed(&mut self, page: PageKey) {
        self.oversized.remove(&page);
        self.dirty.insert(page);
    }

    /// A page has to be written, again or for its width; its placements are the same.
    pub(super) fn mark_dirty(&mut self, page: PageKey) {
        self.dirty.insert(page);
    }

    /// The page can't be written until a task leaves it; these are stopped for that.
    pub(super) fn mark_oversized(
        &mut self,
        page: PageKey,
        tasks_to_stop: impl Iterator<Item = TaskKey>,
    ) {
        self.oversized.insert(page);
        self.tasks_to_stop.extend(tasks_to_stop);
    }

    /// The tasks to stop so that oversized pages can be written.
    pub(super) fn take_tasks_to_stop(&mut self) -> BTreeSet<TaskKey> {
        std::mem::take(&mut self.tasks_to_stop)
    }

    /// The write of a page is decided on now.
    pub(super) fn clear_dirty(&mut self, page: &PageKey) {
        self.dirty.remove(page);
    }

    /// The write of a page begins.
    pub(super) fn begin(&mut self, page: PageKey) {
        self.in_flight.insert(page);
    }

    /// The write of a page is over, whatever its outcome.
    pub(super) fn finish(&mut self, page: &PageKey) {
        self.in_flight.remove(page);
    }

    /// A job's records are gone: none of its pages has to be written any more,
    /// and workers may forget its exits.
    pub(super) fn forget_job(&mut self, job: &JobId) {
        for pages in [&mut self.dirty, &mut self.oversized] {
            let of_job: Vec<PageKey> = pages.range(PageKey::all_of(job)).cloned().collect();
            for page in of_job {
                pages.remove(&page);
            }
        }
    }

    /// Whether the record of a page may not hold all that is known.
    pub(super) fn has_unwritten_changes(&self, page: &PageKey) -> bool {
        self.dirty.contains(page) || self.in_flight.contains(page) || self.oversized.contains(page)
    }

    /// Whether a page of a job is in flight.
    pub(super) fn is_job_in_flight(&self, job: &JobId) -> bool {
        self.in_flight.range(PageKey::all_of(job)).next().is_some()
    }

    /// The number of pages in flight.
    pub(super) fn pages_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// The pages that have to be written and are not in flight, in order.
    pub(super) fn due(&self) -> impl Iterator<Item = &PageKey> {
        self.dirty.iter().filter(|page| !self.in_flight.contains(*page))
    }

    /// A job may be over: its end is checked when writes are next taken.
    pub(super) fn schedule_end_check(&mut self, job: JobId) {
        self.ending.insert(job);
    }

    /// The jobs whose end has to be checked.
    pub(super) fn take_end_checks(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.ending)
    }

    /// Whether the end of a job that is cancelled with another one may be written now.
    /// Its users are told without that record, so thousands of these must not hold up
    /// other writes: at most `limit` are in flight.
    pub(super) fn begin_cancellation(&mut self, job: &JobId, limit: usize) -> bool {
        let allowed = self.cancelling.len() < limit;
        if allowed {
            self.cancelling.insert(job.clone());
        }
        allowed
    }

    /// The end of a cancelled job is no longer in flight.
    pub(super) fn finish_cancellation(&mut self, job: &JobId) {
        self.cancelling.remove(job);
    }

    /// Whether anything may have to be written.
    pub(super) fn is_empty(&self) -> bool {
        self.dirty.is_empty() && self.ending.is_empty()
    }
}

#[cfg(test)]
mod tests;
