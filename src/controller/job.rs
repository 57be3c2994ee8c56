//! One job as the leader holds it: its tasks, where they are bound, and what
//! holds them back.

use std::{
    collections::{BTreeMap, BTreeSet, HashSet},
    sync::Arc,
};

use tokio::time::Instant;

use super::cancellations::KnownEnd;
use crate::{
    protocol::{JobSpec, MachineId, Priority, Shape},
    store::BoundTask,
};

/// A task on its machine, until proof that it is gone.
#[derive(Clone, Debug)]
pub(super) struct Binding {
    pub(super) machine: MachineId,
    pub(super) attempt: u64,
    pub(super) incarnation: u64,
    pub(super) zone: u8,
    /// The record that binds it is committed.
    pub(super) durable: bool,
    /// Answers that carried its start command and were not followed by it.
    pub(super) starts_sent: u32,
    /// A heartbeat showed it on the machine.
    pub(super) observed: bool,
    pub(super) running_since: Option<Instant>,
    pub(super) stop: Option<StopRequest>,
}

impl Binding {
    /// What a page records of it.
    pub(super) fn record(&self, task: u32) -> BoundTask {
        BoundTask {
            task,
            attempt: self.attempt,
            machine: self.machine.clone(),
            incarnation: self.incarnation,
            zone: self.zone,
        }
    }
}

/// An order to stop a task, and the time that it has to save.
#[derive(Clone, Copy, Debug)]
pub(super) struct StopRequest {
    pub(super) requested_at: Instant,
    pub(super) grace_s: f64,
}

/// A job that the leader knows, until its records are gone.
pub(super) struct Job {
    pub(super) spec: Arc<JobSpec>,
    pub(super) arrival: u64,
    /// When this leader came to know it.
    pub(super) known_since: Instant,
    pub(super) ended: Option<KnownEnd>,
    /// A job that it depends on is not done: it takes part in nothing.
    pub(super) awaits_dependencies: bool,
    /// The highest priority among the job and those that depend on it.
    pub(super) priority: Priority,
    pub(super) bound: BTreeMap<u32, Binding>,
    pub(super) done: HashSet<u32>,
    /// No task below this one is pending, apart from `returned`.
    pub(super) first_fresh: u32,
    /// Tasks that came back from a machine undone.
    pub(super) requeued: BTreeSet<u32>,
    pub(super) attempt: u64,
    pub(super) width: u32,
    /// Failures in a row, and the wait they earned the job.
    pub(super) failures: u32,
    pub(super) backoff_until: Option<Instant>,
    pub(super) avoided_machines: Vec<MachineId>,
    /// Machines that may still start an earlier attempt of one of its tasks.
    pub(super) machines_with_open_starts: BTreeSet<MachineId>,
    pub(super) pages: BTreeSet<u32>,
    /// Tasks that each of its pages covers, see `pages`.
    pub(super) page_tasks: u32,
    pub(super) end_in_flight: bool,
}

impl Job {
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

    pub(super) fn remaining(&self) -> u32 {
        self.spec.tasks - self.done.len() as u32
    }

    /// The lowest tasks that could start, up to `limit`.
    pub(super) fn pending(&self, limit: usize) -> Vec<u32> {
        // A returned task may lie beyond `next`, and named twice it would be
        // placed twice.
        let fresh = (self.first_fresh..self.spec.tasks).filter(|t| {
            !self.done.contains(t) && !self.bound.contains_key(t) && !self.requeued.contains(t)
        });
        self.requeued.iter().copied().chain(fresh).take(limit).collect()
    }

    /// Whether start commands may leave: a gang's only when all its places are
    /// durable, or a leader that ends in between would leave part of it waiting.
    pub(super) fn may_start(&self, binding: &Binding) -> bool {
        binding.durable
            && (self.spec.shape != Shape::Gang || self.bound.values().all(|other| other.durable))
    }

    /// A former leader bound only part of a gang durably, and so started none of
    /// it: the rest would wait for ever.
    pub(super) fn stop_partial_gang(&mut self, now: Instant) {
        let whole = self.bound.len() + self.done.len() == self.spec.tasks as usize;
        if self.spec.shape != Shape::Gang || whole {
            return;
        }
        let stop = StopRequest { requested_at: now, grace_s: self.grace_s() };
        for binding in self.bound.values_mut() {
            binding.stop.get_or_insert(stop);
        }
    }

    pub(super) fn grace_s(&self) -> f64 {
        // A little above what the job needs: the order takes its time.
        if self.spec.checkpoint_s > 0.0 { self.spec.save_s * 1.5 } else { 0.0 }
    }
}
