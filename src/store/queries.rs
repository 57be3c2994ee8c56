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
        let cancelled_job = |c: &Cancellation| self.cancelled_job(&c.job, c.revision);
        let jobs = recent.cancellations.into_iter().map(cancelled_job).collect();
        CancellationNotice { since: revision, complete: recent.complete, jobs }
    }

    /// Returns the notice for another controller with the jobs that were cancelled after
    /// `revision` and may still have tasks, at most `limit` of them. Jobs whose records were
    /// deleted have none, so the notice is short however many jobs were cancelled before.
    pub fn unfinished_cancellations_since(
        &self,
        revision: u64,
        limit: usize,
    ) -> CancellationNotice {
        let recent = &self.recent_cancellations;
        let mut jobs: Vec<CancelledJob> = recent
            .after(revision)
            .filter(|cancellation| self.may_have_tasks(cancellation))
            .take(limit + 1)
            .map(|cancellation| self.cancelled_job(&cancellation.job, cancellation.revision))
            .collect();
        if recent.last_dropped_revision() > revision {
            jobs.extend(self.cancelled_jobs_with_records());
        }
        let complete = jobs.len() <= limit && recent.last_dropped_revision() <= self.revision;
        jobs.truncate(limit);
        CancellationNotice { since: revision, complete, jobs }
    }

    /// Whether a cancelled job may still have tasks. The leader deletes a job's records only once
    /// all its tasks are gone, but this cache may lack the records of a job that another
    /// controller told about.
    fn may_have_tasks(&self, cancellation: &Cancellation) -> bool {
        cancellation.revision > self.revision || self.jobs.contains_key(&cancellation.job)
    }

    /// Whether an ended job certainly has no tasks left, since its records were deleted.
    pub fn has_no_tasks(&self, id: &str) -> bool {
        let told_by_others = self.recent_cancellations.after(self.revision).next().is_some();
        self.loaded && !told_by_others && !self.jobs.contains_key(id)
    }

    fn cancelled_job(&self, id: &JobId, version: u64) -> CancelledJob {
        let done = self.ended_jobs.get(id).map_or(0, |end| end.done);
        CancelledJob { id: id.to_string(), version, done }
    }

    /// The cancelled jobs whose records still exist. The revisions of their ends may have been
    /// dropped, so they are given the highest that is possible.
    fn cancelled_jobs_with_records(&self) -> impl Iterator<Item = CancelledJob> {
        let is_cancelled = |id: &&JobId| {
            self.ended_jobs.get(id).is_some_and(|end| end.state == JobState::Cancelled)
        };
        self.jobs.keys().filter(is_cancelled).map(|id| self.cancelled_job(id, self.revision))
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
