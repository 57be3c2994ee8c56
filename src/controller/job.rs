//! One job as the leader holds it: its tasks, where they are bound, and what
//! holds them back.

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

/// The grace period of a stop, as a multiple of the time that saving takes: a little
/// above what the job needs, since the command takes its time.
const GRACE_FACTOR: f64 = 1.5;

/// A job that the leader knows, until its records are gone.
pub(super) struct Job {
    pub(super) spec: Arc<JobSpec>,
    /// Its place in the order of arrival.
    pub(super) arrival: u64,
    /// When this leader came to know it, or when its dependencies were done.
    pub(super) known_since: Instant,
    pub(super) ended: Option<KnownEnd>,
    /// A job that it depends on is not done: it takes part in nothing.
    pub(super) awaits_dependencies: bool,
    /// The highest priority among the job and those that depend on it.
    pub(super) priority: Priority,
    pub(super) bound: BTreeMap<u32, Binding>,
    pub(super) done: HashSet<u32>,
    /// No task below this one is pending, apart from `requeued`.
    pub(super) first_fresh: u32,
    /// Tasks that were bound before and are not done.
    pub(super) requeued: BTreeSet<u32>,
    /// The number of the latest attempt.
    pub(super) attempt: u64,
    /// Tasks of an array that may run at once; 0 before its admission.
    pub(super) width: u32,
    /// Failures in a row.
    pub(super) failures: u32,
    /// No task starts before then, since some failed.
    pub(super) backoff_until: Option<Instant>,
    /// Machines that failed its tasks.
    pub(super) avoided_machines: Vec<MachineId>,
    /// Machines that may still start an earlier attempt of one of its tasks.
    pub(super) machines_with_open_starts: BTreeSet<MachineId>,
    /// The numbers of its pages that were written.
    pub(super) pages: BTreeSet<u32>,
    /// Tasks that each of its pages covers, see `pages`.
    pub(super) page_tasks: u32,
    /// The write of its end, or one that drops its records, is in flight.
    pub(super) end_in_flight: bool,
}

impl Job {
    /// A job without progress. `page_tasks`: how many tasks each of its pages covers.
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
            first_fresh: 0,
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

    /// Whether it may have tasks, now or later, without waiting for other jobs.
    pub(super) fn is_active(&self) -> bool {
        self.ended.is_none() && !self.awaits_dependencies
    }

    /// Whether nothing is left to run: it has ended, or all tasks are done.
    pub(super) fn is_finished(&self) -> bool {
        self.ended.is_some() || self.remaining() == 0
    }

    /// The number of tasks that are not done.
    pub(super) fn remaining(&self) -> u32 {
        self.spec.tasks - self.done.len() as u32
    }

    /// The lowest tasks that could start, up to `limit`.
    pub(super) fn pending(&self, limit: usize) -> Vec<u32> {
        // A requeued task may lie beyond `first_fresh`, and named twice it would be
        // placed twice.
        let fresh = (self.first_fresh..self.spec.tasks).filter(|t| {
            !self.done.contains(t) && !self.bound.contains_key(t) && !self.requeued.contains(t)
        });
        self.requeued.iter().copied().chain(fresh).take(limit).collect()
    }

    /// Binds a pending task.
    pub(super) fn bind(&mut self, task: u32, binding: Binding) {
        self.bound.insert(task, binding);
        self.requeued.remove(&task);
        while self.first_fresh < self.spec.tasks
            && (self.done.contains(&self.first_fresh)
                || self.bound.contains_key(&self.first_fresh)
                || self.requeued.contains(&self.first_fresh))
        {
            self.first_fresh += 1;
        }
    }

    /// Whether start commands may leave: a gang's only when all its placements are
    /// durable, or a leader that ends in between would leave part of it waiting.
    pub(super) fn may_start(&self, binding: &Binding) -> bool {
        binding.durable
            && (self.spec.shape != Shape::Gang || self.bound.values().all(|other| other.durable))
    }

    /// Stops all tasks that are not being stopped already.
    pub(super) fn stop_all(&mut self, stop: StopRequest) {
        for binding in self.bound.values_mut() {
            binding.stop.get_or_insert(stop);
        }
    }

    /// A former leader bound only part of a gang durably, and so started none of
    /// it: the rest would wait for ever.
    pub(super) fn stop_partial_gang(&mut self, now: Instant) {
        let whole = self.bound.len() + self.done.len() == self.spec.tasks as usize;
        if self.spec.shape == Shape::Gang && !whole {
            self.stop_all(StopRequest { requested_at: now, grace_s: self.grace_s() });
        }
    }

    /// The grace period of a stop, in seconds.
    pub(super) fn grace_s(&self) -> f64 {
        if self.spec.checkpoint_s > 0.0 { self.spec.save_s * GRACE_FACTOR } else { 0.0 }
    }
}
