//! Updates of the leader's state after a write was committed or failed.

use tokio::time::Instant;
use tracing::info;

use super::{Leader, known_end::KnownEnd, pending_writes::PageKey, writes::CommitKind};
use crate::{
    protocol::JobId,
    store::{Page, WatchCache},
};

impl Leader {
    /// Records that a write is durable. The watch cache must include it already.
    pub fn committed(&mut self, kind: &CommitKind, watch_cache: &WatchCache, now: Instant) {
        match kind {
            CommitKind::Page { job, page, content } => {
                self.writes.finish_write(&PageKey { job: job.clone(), page: *page });
                self.page_committed(job, content);
            }
            CommitKind::End { job } => {
                self.writes.finish_cancellation(job);
                self.end_committed(job, watch_cache, now);
            }
            CommitKind::Types => {}
        }
    }

    /// Marks the placements of a page as durable, so that their start commands may be sent.
    fn page_committed(&mut self, id: &JobId, content: &Page) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        for bound in &content.bound {
            if let Some(binding) = job.bound.get_mut(&bound.task)
                && binding.attempt == bound.attempt
            {
                binding.durable = true;
                if !binding.observed {
                    self.direct_calls.push(binding.machine.clone());
                }
            }
        }
        if job.is_finished() {
            self.writes.schedule_end_check(id.clone());
        }
    }

    fn end_committed(&mut self, id: &JobId, watch_cache: &WatchCache, now: Instant) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.end_in_flight = false;
        if watch_cache.ended_jobs.contains(id) {
            job.ended.get_or_insert(KnownEnd::learned(now));
        }
        if watch_cache.jobs.contains_key(id) {
            // The job has more pages than one transaction can delete.
            self.writes.schedule_end_check(id.clone());
        } else {
            info!(job = %id, "job ended");
            self.jobs.remove(id);
            self.writes.forget_job(id);
        }
    }

    /// Records that a write was not committed, as the up-to-date watch cache shows, so that
    /// it is repeated if it is still needed.
    pub fn not_committed(&mut self, kind: CommitKind, watch_cache: &WatchCache, now: Instant) {
        match kind {
            CommitKind::Page { job, page, .. } => {
                let page = PageKey { job, page };
                self.writes.finish_write(&page);
                // If the job has finished in the meantime, its end record makes the page
                // unnecessary.
                self.writes.schedule_end_check(page.job.clone());
                self.writes.mark_dirty(page);
            }
            CommitKind::End { job: id } => {
                self.writes.finish_cancellation(&id);
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.end_in_flight = false;
                    // The job was cancelled in the meantime. The first end record is kept.
                    if watch_cache.ended_jobs.contains(&id) {
                        job.ended.get_or_insert(KnownEnd::learned(now));
                    }
                    self.writes.schedule_end_check(id);
                }
            }
            CommitKind::Types => self.types.mark_unstored(),
        }
    }
}
