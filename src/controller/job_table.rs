//! All jobs that the leader knows, also in the order of their arrival.

use std::collections::{BTreeSet, HashMap};

use super::job::Job;
use crate::protocol::JobId;

/// The jobs of a leader. Invariant: each is in the order of arrival exactly once.
#[derive(Default)]
pub(super) struct JobTable {
    jobs: HashMap<JobId, Job>,
    arrivals: BTreeSet<(u64, JobId)>,
}

impl JobTable {
    /// Adds a job that is not in the table yet.
    pub(super) fn insert(&mut self, id: JobId, job: Job) {
        self.arrivals.insert((job.arrival, id.clone()));
        self.jobs.insert(id, job);
    }

    /// Removes a job.
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

    /// All jobs, in no order.
    pub(super) fn values(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// All jobs, in no order.
    pub(super) fn values_mut(&mut self) -> impl Iterator<Item = &mut Job> {
        self.jobs.values_mut()
    }

    /// All jobs in the order of their arrival.
    pub(super) fn by_arrival(&self) -> impl Iterator<Item = &Job> {
        self.arrivals.iter().filter_map(|(_, id)| self.jobs.get(id))
    }

    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }
}
