//! Questions that a watch cache answers.

use std::collections::BTreeMap;

use super::{
    entries::PageEntry, recent_cancellations::Cancellation, records::Page, watch_cache::WatchCache,
};
use crate::protocol::{CancellationNotice, CancelledJob, JobId, JobState, JobStatus, MachineId};

impl WatchCache {
    /// Jobs that were cancelled after `revision`, the first `limit` of them, as
    /// another controller is notified of them.
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

    /// The machines that hold tasks of a job.
    pub fn machines_of(&self, id: &str) -> Vec<MachineId> {
        let pages = self
            .pages_of(id)
            .filter_map(|entry| serde_json::from_str::<Page>(entry.raw.get()).ok());
        pages.flat_map(|page| page.bound).map(|bound| bound.machine).collect()
    }

    /// The first of these jobs that this watch cache doesn't know as accepted.
    pub fn first_unknown<'a>(&self, jobs: &'a [JobId]) -> Option<&'a JobId> {
        let known = |id: &JobId| {
            self.jobs.contains_key(id)
                || self.ended_jobs.contains(id)
                || self.unreadable_jobs.contains(id)
        };
        jobs.iter().find(|id| !known(id))
    }

    /// A job's state as this watch cache has it, or none for one never accepted.
    pub fn status(&self, id: &str) -> Option<JobStatus> {
        let ended = |state, done| JobStatus { id: id.into(), state, done, running: 0 };
        if let Some(end) = self.ended_jobs.get(id) {
            return Some(ended(end.state, end.done));
        }
        let (id, _) = self.jobs.get_key_value(id)?;
        // It has never had a task, and its own end record may come later.
        if self.dependencies.is_cancelled(id) {
            return Some(ended(JobState::Cancelled, 0));
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
