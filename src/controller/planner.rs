//! A scheduling pass: takes the scheduler's decisions on a snapshot of the state, and turns them
//! into bindings, stop requests, array widths and provisioning requests.

use std::sync::Arc;

use tokio::time::{Duration, Instant};
use tracing::{debug, info};

use super::{
    Leader,
    binding::{Binding, GracePeriod},
    job::Job,
    pass_timers::PassKind,
    pending_writes::PageKey,
};
use crate::{
    fleet::{Machine, TaskKey},
    protocol::{JobId, MachineId, Shape},
    scheduler::{Decisions, GrantedWidth, PlacedTask, TaskStop},
};

impl Leader {
    /// Makes a scheduling pass of this kind.
    pub(super) fn schedule(&mut self, kind: PassKind, now: Instant) {
        if self.types.is_empty() {
            return;
        }
        if kind == PassKind::Round {
            let interval = Duration::from_secs_f64(self.settings.operator.round_s);
            self.timers.begin_round(now, interval);
        }
        let fleet_view_complete = self.is_fleet_view_complete(now);
        let decisions = self.decide(kind, now);
        self.counters.passes += 1;
        self.counters.candidates_evaluated += decisions.candidates_evaluated;
        self.apply_decisions(decisions, fleet_view_complete, now);
    }

    fn apply_decisions(&mut self, decisions: Decisions, fleet_view_complete: bool, now: Instant) {
        for GrantedWidth { job, width } in decisions.widths {
            self.set_width(job, width);
        }
        self.bind(decisions.place);
        // A machine whose worker has not reported yet is not ready, so the scheduler sees fewer
        // machines than there are. Preemption and scale-out wait until the view is complete.
        if !fleet_view_complete {
            self.timers.request_round();
            return;
        }
        for stopping in decisions.stop {
            self.preempt(stopping, now);
        }
        // Machines that waiting work counts on must not be returned as idle: their idle time starts
        // anew.
        for id in decisions.machines_to_keep {
            if let Some(machine) = self.fleet.machines.get_mut(&id) {
                machine.idle_since = machine.has_reported().then_some(now);
            }
        }
        self.scale_out(decisions.scale_out);
    }

    /// Whether the leader knows the state of all machines that hold tasks: each of their workers
    /// has reported in this term, or half a worker lease has passed since the term began,
    /// which is longer than workers usually take to find a new leader.
    pub(super) fn is_fleet_view_complete(&self, now: Instant) -> bool {
        let machines = self.fleet.machines.values();
        now > self.started + self.settings.worker_lease() / 2
            || machines.filter(|m| !m.bound.is_empty()).all(Machine::has_reported)
    }

    fn set_width(&mut self, id: JobId, width: u32) {
        if let Some(job) = self.jobs.get_mut(&id).filter(|job| job.width != width) {
            info!(job = %id, from = job.width, to = width, "array width changed");
            job.width = width;
            // The job's first page record holds the width.
            self.writes.mark_dirty(PageKey { job: id, page: 0 });
        }
    }

    fn preempt(&mut self, stopping: TaskStop, now: Instant) {
        let TaskStop { job, task, without_grace } = stopping;
        info!(%job, task, without_grace, "task preempted");
        let grace = if without_grace { GracePeriod::None } else { GracePeriod::OfJob };
        self.stop(&TaskKey { job, task }, grace, now);
    }

    /// Binds tasks to machines. The tasks of a gang share one attempt number. Every other task
    /// gets an attempt number that is never used again within its job.
    fn bind(&mut self, placed_tasks: Vec<PlacedTask>) {
        let mut previous_job: Option<JobId> = None;
        for PlacedTask { job, task, machine } in placed_tasks {
            let key = TaskKey { job, task };
            let same_job = previous_job.as_ref() == Some(&key.job);
            if self.bind_task(&key, &machine, same_job) {
                self.record_image_use(&key, &machine);
                self.mark_page_changed(&key);
                previous_job = Some(key.job);
            }
        }
    }

    /// Binds a task, and returns whether that was possible. `same_job`: whether the task bound
    /// before this one belongs to the same job.
    fn bind_task(&mut self, key: &TaskKey, machine_id: &MachineId, same_job: bool) -> bool {
        let Some(job) = self.jobs.get_mut(&key.job) else { return false };
        if !may_bind(job, key.task) {
            return false;
        }
        let Some(machine) = self.fleet.machines.get_mut(machine_id) else { return false };
        // A direct start command in flight may still start an earlier attempt there, which would
        // then run beside this one.
        if machine.open_starts.contains_task(key) {
            return false;
        }
        let Some(zone) = self.settings.zone_index(&machine.zone) else { return false };
        if job.spec.shape != Shape::Gang || !same_job {
            job.attempt += 1;
        }
        let incarnation = machine.latest_heartbeat.incarnation;
        debug!(job = %key.job, task = key.task, machine = %machine_id, attempt = job.attempt, "task bound");
        job.bind(key.task, Binding::new(machine_id.clone(), job.attempt, incarnation, zone));
        self.quota_use.add(&job.spec);
        machine.bound.insert(key.clone());
        machine.idle_since = None;
        true
    }

    /// Records that the machine of a newly bound task fetches the task's image.
    fn record_image_use(&mut self, key: &TaskKey, machine_id: &MachineId) {
        let Some(machine) = self.fleet.machines.get_mut(machine_id) else { return };
        let Some(job) = self.jobs.get(&key.job) else { return };
        let cache_gb =
            self.types.by_name(&machine.machine_type).map_or(f64::INFINITY, |t| t.cache_gb);
        let (jobs, bound) = (&self.jobs, &machine.bound);
        let is_used = |image: &Arc<str>| {
            let mut jobs_on_machine = bound.iter().filter_map(|key| jobs.get(&key.job));
            jobs_on_machine.any(|job| job.spec.image == *image)
        };
        machine.images.record_use(&job.spec.image, job.spec.image_gb, cache_gb, is_used);
    }
}

/// Whether a task may be bound. Regardless of the scheduler's decision, a task that is bound or
/// done is not bound again, nor is a task of a job that has ended or awaits its dependencies.
fn may_bind(job: &Job, task: u32) -> bool {
    !job.bound.contains_key(&task) && !job.done.contains(&task) && job.is_active()
}
