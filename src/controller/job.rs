//! The leader's state of one job: its tasks, their bindings to machines, and what delays
//! their start.

use std::{
    collections::{BTreeMap, BTreeSet, HashSet},
    sync::Arc,
};

use tokio::time::Instant;

use super::{
    binding::{Binding, StopRequest},
    known_end::KnownEnd,
};
use crate::protocol::{JobSpec, MachineId, Priority, Shape};

/// The grace period of a stop, as a multiple of the time that saving a checkpoint takes. It
/// exceeds 1 to allow for the delay of the stop command.
const GRACE_FACTOR: f64 = 1.5;

/// A job whose records have not been deleted yet.
pub(super) struct Job {
    pub(super) spec: Arc<JobSpec>,
    /// The revision at which the job's record was created, which gives the order of arrival.
    pub(super) arrival: u64,
    /// When this leader learned of the job, or when the job's dependencies were done if that
    /// is later.
    pub(super) known_since: Instant,
    pub(super) ended: Option<KnownEnd>,
    /// Whether a job that this one depends on is not done yet. Until then no task is
    /// scheduled, and the job does not count as demand.
    pub(super) awaits_dependencies: bool,
    /// The highest priority among this job and the jobs that depend on it.
    pub(super) priority: Priority,
    pub(super) bound: BTreeMap<u32, Binding>,
    pub(super) done: HashSet<u32>,
    /// The lowest task that may be pending without being in `requeued`.
    pub(super) first_never_bound: u32,
    /// Pending tasks that were bound before.
    pub(super) requeued: BTreeSet<u32>,
    /// The number of the latest attempt.
    pub(super) attempt: u64,
    /// The number of tasks of an array that may run concurrently. 0 before the scheduler has
    /// admitted the job.
    pub(super) width: u32,
    /// Task failures since a task last completed.
    pub(super) failures: u32,
    /// No task starts before this time, since tasks failed or exited for an unknown reason.
    pub(super) backoff_until: Option<Instant>,
    /// Machines on which tasks of this job failed.
    pub(super) avoided_machines: Vec<MachineId>,
    /// Machines that may still start an earlier attempt of a task of this job.
    pub(super) machines_with_open_starts: BTreeSet<MachineId>,
    /// The numbers of the pages whose records exist or are being written.
    pub(super) pages: BTreeSet<u32>,
    /// The number of tasks that each page covers, see the module `pages`.
    pub(super) page_tasks: u32,
    /// Whether a write is in flight that creates the job's end record or deletes the job's
    /// other records.
    pub(super) end_in_flight: bool,
}

impl Job {
    /// Creates a job without progress. `page_tasks`: the number of tasks that each page covers.
    pub(super) fn new(spec: Arc<JobSpec>, arrival: u64, page_tasks: u32, now: Instant) -> Self {
        Self {
            priority: spec.priority,
            spec,
            arrival,
            known_since: now,
            ended: None,
            awaits_dependencies: false,
            bound: BTreeMap::new(),
            done: HashSet::new(),
            first_never_bound: 0,
            requeued: BTreeSet::new(),
            attempt: 0,
            width: 0,
            failures: 0,
            backoff_until: None,
            avoided_machines: Vec::new(),
            machines_with_open_starts: BTreeSet::new(),
            pages: BTreeSet::new(),
            page_tasks,
            end_in_flight: false,
        }
    }

    /// Whether the job has neither ended nor unfinished dependencies, so that its tasks may be
    /// scheduled.
    pub(super) fn is_active(&self) -> bool {
        self.ended.is_none() && !self.awaits_dependencies
    }

    /// Whether no task is left to run: the job has ended, or all its tasks are done.
    pub(super) fn is_finished(&self) -> bool {
        self.ended.is_some() || self.remaining() == 0
    }

    /// The number of tasks that are not done.
    pub(super) fn remaining(&self) -> u32 {
        self.spec.tasks - self.done.len() as u32
    }

    /// Returns up to `limit` pending tasks: first the requeued ones, then the ones that were
    /// never bound, both in ascending order.
    pub(super) fn pending(&self, limit: usize) -> Vec<u32> {
        // A requeued task may lie above `first_never_bound`. It must not be listed twice, or
        // it would be placed twice.
        let never_bound = (self.first_never_bound..self.spec.tasks).filter(|t| {
            !self.done.contains(t) && !self.bound.contains_key(t) && !self.requeued.contains(t)
        });
        self.requeued.iter().copied().chain(never_bound).take(limit).collect()
    }

    /// Binds a pending task.
    pub(super) fn bind(&mut self, task: u32, binding: Binding) {
        self.bound.insert(task, binding);
        self.requeued.remove(&task);
        while self.first_never_bound < self.spec.tasks
            && (self.done.contains(&self.first_never_bound)
                || self.bound.contains_key(&self.first_never_bound)
                || self.requeued.contains(&self.first_never_bound))
        {
            self.first_never_bound += 1;
        }
    }

    /// Whether the start command of a binding may be sent. For a gang, all placements must be
    /// durable: otherwise the leader might end with only some of them durable, and the tasks
    /// that it had started would wait for the others in vain.
    pub(super) fn may_start(&self, binding: &Binding) -> bool {
        binding.durable
            && (self.spec.shape != Shape::Gang || self.bound.values().all(|other| other.durable))
    }

    /// Requests a stop of all bound tasks that have no stop request yet.
    pub(super) fn stop_all(&mut self, stop: StopRequest) {
        for binding in self.bound.values_mut() {
            binding.stop.get_or_insert(stop);
        }
    }

    /// Requests a stop of a gang of which a former leader bound only some tasks durably. It
    /// started none of them, and a partial gang would wait indefinitely for its other tasks.
    pub(super) fn stop_partial_gang(&mut self, now: Instant) {
        let complete = self.bound.len() + self.done.len() == self.spec.tasks as usize;
        if self.spec.shape == Shape::Gang && !complete {
            self.stop_all(StopRequest { requested_at: now, grace_s: self.grace_s() });
        }
    }

    /// Returns the grace period of a stop, in seconds. 0 for jobs without checkpoints.
    pub(super) fn grace_s(&self) -> f64 {
        if self.spec.checkpoint_s > 0.0 { self.spec.save_s * GRACE_FACTOR } else { 0.0 }
    }
}
