//! The records that have to be written, and the writes in flight.

use std::{collections::BTreeSet, ops::RangeInclusive};

use crate::{fleet::TaskKey, protocol::JobId};

/// The identity of a page, the record of the placements and progress of a range of a job's
/// tasks. Ordered by job, then by page number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PageKey {
    pub(super) job: JobId,
    pub(super) page: u32,
}

impl PageKey {
    /// Returns the range of the keys of all pages that a job may have.
    fn all_of(job: &JobId) -> RangeInclusive<Self> {
        let key = |page| Self { job: job.clone(), page };
        key(0)..=key(u32::MAX)
    }
}

/// Writes that are due or in flight. Invariant: at most one write of a page is in flight, so
/// an older version of a page never overwrites a newer one.
#[derive(Default)]
pub(super) struct PendingWrites {
    /// Pages that have to be written.
    dirty: BTreeSet<PageKey>,
    /// Pages with a write in flight.
    in_flight: BTreeSet<PageKey>,
    /// Pages that are too large to be written until one of their tasks terminates.
    oversized: BTreeSet<PageKey>,
    /// Tasks to stop so that oversized pages can be written.
    tasks_to_stop: BTreeSet<TaskKey>,
    /// Jobs that may have finished, for which it has to be checked whether an end record or the
    /// deletion of their records is due.
    end_checks: BTreeSet<JobId>,
    /// Jobs that were cancelled with a job they depend on and whose end records are in flight.
    cancellations_in_flight: BTreeSet<JobId>,
}

impl PendingWrites {
    /// Records that the content of a page has changed, so that the page has to be written. An
    /// oversized page may fit now.
    pub(super) fn mark_changed(&mut self, page: PageKey) {
        self.oversized.remove(&page);
        self.dirty.insert(page);
    }

    /// Records that a page has to be written although its placements are unchanged: its last
    /// write failed, or the job's width changed.
    pub(super) fn mark_dirty(&mut self, page: PageKey) {
        self.dirty.insert(page);
    }

    /// Records that a page can't be written before one of its tasks terminates, and the tasks
    /// to stop for that.
    pub(super) fn mark_oversized(
        &mut self,
        page: PageKey,
        tasks_to_stop: impl Iterator<Item = TaskKey>,
    ) {
        self.oversized.insert(page);
        self.tasks_to_stop.extend(tasks_to_stop);
    }

    /// Takes the tasks to stop so that oversized pages can be written.
    pub(super) fn take_tasks_to_stop(&mut self) -> BTreeSet<TaskKey> {
        std::mem::take(&mut self.tasks_to_stop)
    }

    /// Records that a page no longer has to be written, since its write is being prepared or
    /// is not needed.
    pub(super) fn clear_dirty(&mut self, page: &PageKey) {
        self.dirty.remove(page);
    }

    /// Records that a write of a page is in flight.
    pub(super) fn begin_write(&mut self, page: PageKey) {
        self.in_flight.insert(page);
    }

    /// Records that the write of a page has ended, with any outcome.
    pub(super) fn finish_write(&mut self, page: &PageKey) {
        self.in_flight.remove(page);
    }

    /// Forgets the pages of a job whose records are deleted. None of them has to be written any
    /// more, and workers may forget the job's exits.
    pub(super) fn forget_job(&mut self, job: &JobId) {
        for pages in [&mut self.dirty, &mut self.oversized] {
            let of_job: Vec<PageKey> = pages.range(PageKey::all_of(job)).cloned().collect();
            for page in of_job {
                pages.remove(&page);
            }
        }
    }

    /// Whether the record of a page may be older than the leader's state.
    pub(super) fn has_unwritten_changes(&self, page: &PageKey) -> bool {
        self.dirty.contains(page) || self.in_flight.contains(page) || self.oversized.contains(page)
    }

    /// Whether a write of any page of a job is in flight.
    pub(super) fn has_page_in_flight(&self, job: &JobId) -> bool {
        self.in_flight.range(PageKey::all_of(job)).next().is_some()
    }

    /// Returns the number of pages with a write in flight.
    pub(super) fn pages_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the pages that have to be written and have no write in flight, in order.
    pub(super) fn due(&self) -> impl Iterator<Item = &PageKey> {
        self.dirty.iter().filter(|page| !self.in_flight.contains(*page))
    }

    /// Schedules a check whether a job has finished, made when transactions are next taken.
    pub(super) fn schedule_end_check(&mut self, job: JobId) {
        self.end_checks.insert(job);
    }

    /// Takes the jobs whose end has to be checked.
    pub(super) fn take_end_checks(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.end_checks)
    }

    /// Whether the end record of a job that was cancelled with a job it depends on may be
    /// written now; if so, it counts as in flight. At most `limit` of these are in flight:
    /// users see the cancellation without them, so thousands must not delay other writes.
    pub(super) fn begin_cancellation(&mut self, job: &JobId, limit: usize) -> bool {
        let allowed = self.cancellations_in_flight.len() < limit;
        if allowed {
            self.cancellations_in_flight.insert(job.clone());
        }
        allowed
    }

    /// Records that the end record of a cancelled job is no longer in flight.
    pub(super) fn finish_cancellation(&mut self, job: &JobId) {
        self.cancellations_in_flight.remove(job);
    }

    /// Whether no page has to be written and no job's end has to be checked.
    pub(super) fn is_empty(&self) -> bool {
        self.dirty.is_empty() && self.end_checks.is_empty()
    }
}

#[cfg(test)]
mod tests;
