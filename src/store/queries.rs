//! Questions that a watch cache answers.

use std::collections::BTreeMap;

use super::{entries::PageEntry, records::Page, watch_cache::WatchCache};
use crate::protocol::{JobId, JobState, JobStatus, MachineId};

impl WatchCache {
    /// Jobs that were cancelled after `revision`, the first `limit` of them, and
    /// whether these are all.
    pub fn cancelled_since(&self, revision: u64, limit: usize) -> (Vec<(String, u64, u32)>, bool) {
        let (later, all) = self.cancelled.since(revision, limit);
        let done = |id: &JobId| self.ends.get(id).map_or(0, |end| end.done);
        (later.into_iter().map(|(at, id)| (id.to_string(), at, done(id))).collect(), all)
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
            self.jobs.contains_key(id) || self.ends.contains(id) || self.unreadable.contains(id)
        };
        jobs.iter().find(|id| !known(id))
    }

    /// A job's state as this watch cache has it, or none for one never accepted.
    pub fn status(&self, id: &str) -> Option<JobStatus> {
        let ended = |state, done| JobStatus { id: id.into(), state, done, running: 0 };
        if let Some(end) = self.ends.get(id) {
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
