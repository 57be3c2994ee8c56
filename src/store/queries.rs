//! Queries on the watch cache.

use std::collections::BTreeMap;

use super::{
    entries::PageEntry, recent_cancellations::Cancellation, records::Page, watch_cache::WatchCache,
};
use crate::protocol::{CancellationNotice, CancelledJob, JobId, JobState, JobStatus, MachineId};

impl WatchCache {
    /// Returns the notice for another controller with the jobs that were cancelled
    /// after `revision`, the oldest `limit` of them.
    pub fn cancelled_since(&self, revision: u64, limit: usize) -> CancellationNotice {
        let recent = self.recent_cancellations.since(revision, limit);
        let cancelled_job = |cancellation: &Cancellation| CancelledJob {
            id: cancellation.job.to_string(),
            version: cancellation.revision,
            done: self.ended_jobs.get(&cancellation.job).map_or(0, |end| end.done),
        };
        let jobs = recent.cancellations.into_iter().map(cancelled_job).collect();
        CancellationNotice { since: revision, complete: recent.complete, jobs }
    }

    /// Returns the machines that the job's tasks are bound to, one entry per task. Pages
    /// that cannot be decoded are skipped.
    pub fn machines_of(&self, id: &str) -> Vec<MachineId> {
        let pages = self
            .pages_of(id)
            .filter_map(|entry| serde_json::from_str::<Page>(entry.raw.get()).ok());
        pages.flat_map(|page| page.bound).map(|bound| bound.machine).collect()
    }

    /// Returns the first of these jobs that this watch cache does not know to have been
    /// accepted.
    pub fn first_unknown<'a>(&self, jobs: &'a [JobId]) -> Option<&'a JobId> {
        let known = |id: &JobId| {
            self.jobs.contains_key(id)
                || self.ended_jobs.contains(id)
                || self.unreadable_jobs.contains(id)
        };
        jobs.iter().find(|id| !known(id))
    }

    /// Returns a job's status according to this watch cache, or none for a job that is
    /// not known to have been accepted.
    pub fn status(&self, id: &str) -> Option<JobStatus> {
        let ended_status = |state, done| JobStatus { id: id.into(), state, done, running: 0 };
        if let Some(end) = self.ended_jobs.get(id) {
            return Some(ended_status(end.state, end.done));
        }
        let (id, _) = self.jobs.get_key_value(id)?;
        // The job was cancelled because a job that it depends on was cancelled. No task
        // of the job was ever bound, and its own end record may not be written yet.
        if self.dependencies.is_cancelled(id) {
            return Some(ended_status(JobState::Cancelled, 0));
        }
        let (mut done, mut running) = (0, 0);
        for page in self.pages_of(id) {
            done += page.done;
            running += page.running;
        }
        let state = if running > 0 { JobState::Running } else { JobState::Pending };
        Some(JobStatus { id: id.clone(), state, done, running })
    }

    fn pages_of(&self, id: &str) -> impl Iterator<Item = &PageEntry> {
        self.pages.get(id).into_iter().flat_map(BTreeMap::values)
    }
}
