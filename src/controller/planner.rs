//! A scheduling pass: from a snapshot of the state to the scheduler's decisions, and from
//! those to bindings, stops, widths and provisioning requests.

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
    scheduler::{Decisions, GrantedWidth, PlacedTask, Stopping},
};

impl Leader {
    /// Makes a pass.
    pub(super) fn schedule(&mut self, kind: PassKind, now: Instant) {
        if self.types.is_empty() {
            return;
        }
        if kind == PassKind::Round {
            let interval = Duration::from_secs_f64(self.settings.operator.round_s);
            self.timers.begin_round(now, interval);
        }
        let settled = self.is_settled(now);
        let decisions = self.decide(kind, now);
        self.counters.passes += 1;
        self.counters.candidates_evaluated += decisions.candidates_evaluated;
        self.apply_decisions(decisions, settled, now);
    }

    fn apply_decisions(&mut self, decisions: Decisions, settled: bool, now: Instant) {
        for GrantedWidth { job, width } in decisions.widths {
            self.set_width(job, width);
        }
        self.bind(decisions.place);
        // What the workers have not reported yet looks like a lack of machines.
        if !settled {
            self.timers.request_round();
            return;
        }
        for stopping in decisions.stop {
            self.preempt(stopping, now);
        }
        for id in decisions.awaited {
            if let Some(machine) = self.fleet.machines.get_mut(&id) {
                machine.idle_since = machine.has_reported().then_some(now);
            }
        }
        self.scale_out(decisions.scale_out);
    }

    /// Whether a new leader was in contact with all machines that hold tasks, as far as
    /// they report within the usual time.
    pub(super) fn is_settled(&self, now: Instant) -> bool {
        let machines = self.fleet.machines.values();
        now > self.started + self.settings.worker_lease() / 2
            || machines.filter(|m| !m.bound.is_empty()).all(Machine::has_reported)
    }

    fn set_width(&mut self, id: JobId, width: u32) {
        if let Some(job) = self.jobs.get_mut(&id).filter(|job| job.width != width) {
            info!(job = %id, from = job.width, to = width, "array width changed");
            job.width = width;
            // The first page holds the width.
            self.writes.mark_dirty(PageKey { job: id, page: 0 });
        }
    }

    fn preempt(&mut self, stopping: Stopping, now: Instant) {
        let Stopping { job, task, at_once } = stopping;
        info!(%job, task, at_once, "task preempted");
        let grace = if at_once { GracePeriod::None } else { GracePeriod::OfJob };
        self.stop(&TaskKey { job, task }, grace, now);
    }

    /// Binds tasks to machines. All tasks of a gang's attempt share its number; elsewhere
    /// a number is never used twice.
    fn bind(&mut self, places: Vec<PlacedTask>) {
        let mut previous_job: Option<JobId> = None;
        for PlacedTask { job, task, machine } in places {
            let key = TaskKey { job, task };
            let same_job = previous_job.as_ref() == Some(&key.job);
            if self.bind_task(&key, &machine, same_job) {
                self.record_image_use(&key, &machine);
                self.mark_page_changed(&key);
                previous_job = Some(key.job);
            }
        }
    }

    /// Binds a task, unless that is not possible any more. `same_job`: the task bound
    /// before it is of the same job.
    fn bind_task(&mut self, key: &TaskKey, machine_id: &MachineId, same_job: bool) -> bool {
        let Some(job) = self.jobs.get_mut(&key.job) else { return false };
        if !may_bind(job, key.task) {
            return false;
        }
        let Some(machine) = self.fleet.machines.get_mut(machine_id) else { return false };
        // An earlier attempt may still start there, and would meet this one.
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

    /// Records that a task's image will be on its machine.
    fn record_image_use(&mut self, key: &TaskKey, machine_id: &MachineId) {
        let Some(machine) = self.fleet.machines.get_mut(machine_id) else { return };
        let Some(job) = self.jobs.get(&key.job) else { return };
        let cache_gb =
            self.types.by_name(&machine.machine_type).map_or(f64::INFINITY, |t| t.cache_gb);
        let (jobs, bound) = (&self.jobs, &machine.bound);
        let is_used = |image: &Arc<str>| {
            let mut here = bound.iter().filter_map(|key| jobs.get(&key.job));
            here.any(|job| job.spec.image == *image)
        };
        machine.images.record_use(&job.spec.image, job.spec.image_gb, cache_gb, is_used);
    }
}

/// Whatever was decided, a bound task is never bound again, nor is any task of a job
/// that another one still holds back.
fn may_bind(job: &Job, task: u32) -> bool {
    !job.bound.contains_key(&task) && !job.done.contains(&task) && job.is_active()
}
