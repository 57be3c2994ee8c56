//! The table of all jobs known to the leader, with an index by order of arrival.

use std::collections::{BTreeSet, HashMap};

use super::job::Job;
use crate::protocol::JobId;

/// The jobs known to the leader. Invariant: `arrivals` holds each job exactly once.
#[derive(Default)]
pub(super) struct JobTable {
    jobs: HashMap<JobId, Job>,
    arrivals: BTreeSet<(u64, JobId)>,
}

impl JobTable {
    /// Inserts a job that is not in the table yet.
    pub(super) fn insert(&mut self, id: JobId, job: Job) {
        self.arrivals.insert((job.arrival, id.clone()));
        self.jobs.insert(id, job);
    }

    pub(super) fn remove(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.remove(id) {
            self.arrivals.remove(&(job.arrival, id.clone()));
        }
    }

    pub(super) fn contains(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
    }

    pub(super) fn get(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    pub(super) fn get_mut(&mut self, id: &str) -> Option<&mut Job> {
        self.jobs.get_mut(id)
    }

    /// Returns all jobs in unspecified order.
    pub(super) fn values(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Returns all jobs in unspecified order.
    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Job> {
        self.jobs.values_mut()
    }

    /// Returns all jobs in order of arrival.
    pub(super) fn by_arrival(&self) -> impl Iterator<Item = &Job> {
        self.arrivals.iter().filter_map(|(_, id)| self.jobs.get(id))
    }

    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }
}
