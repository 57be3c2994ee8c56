//! The snapshot of machines and jobs that a scheduling pass decides on.

use std::{cell::Cell, collections::HashMap};

use tokio::time::{Duration, Instant};

use super::{Leader, binding::Binding, job::Job, pages::BindingSizeBounds, pass_timers::PassKind};
use crate::{
    fleet::Machine,
    protocol::{JobSpec, MachineId, MachineType, Shape},
    scheduler::{self, BoundView, Decisions, JobView, MachineView, Resources, Snapshot},
};

/// A boot is overdue after this multiple of the machine type's boot time. Boots usually take at
/// most one and a half times the boot time.
const OVERDUE_BOOT_FACTOR: f64 = 1.6;

/// How long a task runs before it may be moved to another machine, in seconds. A start does not
/// count for the objectives of the task's job if a command stops the task earlier.
const MIN_RUN_BEFORE_MOVE_S: f64 = 30.0;

impl Leader {
    /// Returns the scheduler's decisions on the present state.
    pub(super) fn decide(&mut self, kind: PassKind, now: Instant) -> Decisions {
        let exhausted = self.provisioning.exhausted(now);
        let types = self.types.all();
        let machines = self.machine_views(now);
        let jobs = self.job_views(&machines, now);
        scheduler::decide(Snapshot {
            settings: &self.settings,
            types: &types,
            machines,
            jobs,
            usage: self.quota_use.by_team(),
            exhausted,
            headroom_machines: self.headroom_machines(),
            headroom_spot_machines: self.headroom_spot_machines(),
            headroom_capacity: self.headroom().total_machines(),
            round: kind == PassKind::Round,
            candidates_evaluated: Cell::new(0),
        })
    }

    /// Returns views of the machines that take tasks now or are expected to take them soon.
    fn machine_views(&self, now: Instant) -> Vec<MachineView> {
        let machines = self.fleet.machines.iter();
        machines.filter_map(|(id, machine)| self.machine_view(id, machine, now)).collect()
    }

    /// Returns the scheduler's view of a machine, or None if no task can count on the machine.
    fn machine_view(&self, id: &MachineId, machine: &Machine, now: Instant) -> Option<MachineView> {
        let type_index = self.types.index_of(&machine.machine_type)?;
        let machine_type = self.types.get(type_index)?;
        let zone = self.settings.zone_index(&machine.zone)?;
        let ready = machine.is_ready(now, self.settings.heartbeat_interval());
        if !ready && !self.is_expected_soon(machine, machine_type, now) {
            return None;
        }
        let mut free = Resources::of_type(machine_type);
        free.sub(&machine.unmanaged);
        let mut stopping = machine.unmanaged;
        for key in &machine.bound {
            let Some(job) = self.jobs.get(&key.job) else { continue };
            let need = Resources::of_task(&job.spec);
            free.sub(&need);
            let is_stopping = job.bound.get(&key.task).is_some_and(|b| b.stop.is_some());
            if is_stopping || job.ended.is_some() {
                stopping.add(&need);
            }
        }
        Some(MachineView {
            id: id.clone(),
            machine_type: type_index,
            zone,
            spot: machine.spot,
            free,
            stopping,
            ready,
            empty: machine.bound.is_empty(),
            allocated_in_pass: false,
            reservation: self.reservations.get(id).cloned(),
            images: machine.images.names().cloned().collect(),
        })
    }

    /// Whether a machine that is not ready is expected to be ready soon, because it is booting or
    /// a network partition cuts off its zone.
    fn is_expected_soon(
        &self,
        machine: &Machine,
        machine_type: &MachineType,
        now: Instant,
    ) -> bool {
        // An overdue boot may take several times as long as usual or never end, so no task should
        // wait for the machine any longer.
        let max_boot_time = Duration::from_secs_f64(machine_type.boot_s * OVERDUE_BOOT_FACTOR);
        let booting = machine.never_reported() && machine.silence(now) < max_boot_time;
        (booting || self.fleet.is_awaiting_reconnection(machine)) && !machine.deleting
    }

    /// Returns views of the jobs that have tasks left and await no dependency, in order of arrival.
    fn job_views(&self, machines: &[MachineView], now: Instant) -> Vec<JobView> {
        let machine_indexes: HashMap<&MachineId, usize> =
            machines.iter().enumerate().map(|(index, machine)| (&machine.id, index)).collect();
        let size_bounds = self.binding_size_bounds();
        self.jobs
            .by_arrival()
            .filter(|job| job.is_active() && job.remaining() > 0)
            .map(|job| self.job_view(job, &machine_indexes, size_bounds, now))
            .collect()
    }

    /// Returns the scheduler's view of a job. `machine_indexes`: the position of each machine in
    /// the snapshot.
    fn job_view(
        &self,
        job: &Job,
        machine_indexes: &HashMap<&MachineId, usize>,
        size_bounds: BindingSizeBounds,
        now: Instant,
    ) -> JobView {
        let pending = job.pending(self.max_starts_per_pass(&job.spec));
        let pending_count = pending.len();
        let pending =
            job.tasks_fitting_pages(pending, self.settings.state_limits().value_bytes, size_bounds);
        // A gang starts as a whole, so it is blocked while its pages can't hold the placements of
        // all its tasks.
        let gang_exceeds_pages = job.spec.shape == Shape::Gang && pending.len() < pending_count;
        let bound = job.bound.iter();
        JobView {
            id: job.spec.id.clone(),
            spec: job.spec.clone(),
            arrival: job.arrival,
            priority: job.priority,
            pending,
            remaining: job.remaining(),
            bound: bound.map(|(&task, b)| bound_view(job, task, b, machine_indexes, now)).collect(),
            width: job.width,
            remaining_wait_s: self.remaining_wait_s(job, now),
            // Set by the scheduler, which compares all jobs of a team with its guarantee.
            guaranteed: false,
            blocked: gang_exceeds_pages || job.backoff_until.is_some(),
            avoided_machines: self.machines_to_avoid(job),
        }
    }

    /// Returns the seconds left to meet the waiting objective of a job's class, if it has one. None
    /// are left once a task of the job has been bound.
    fn remaining_wait_s(&self, job: &Job, now: Instant) -> Option<f64> {
        self.wait_objective_s(&job.spec).map(|within_s| {
            let waited = (now - job.known_since).as_secs_f64();
            if job.attempt > 0 { 0.0 } else { within_s - waited }
        })
    }

    /// Returns how many tasks of a job one pass may place.
    ///
    /// A start command waits for the record of its placement, so the limit for an array or service
    /// follows from what one transaction can write. A pass must also not outlast the leader lease:
    /// when an array of tens of thousands of tasks was placed in one pass, one leader after the
    /// other lost its lease before any of them wrote a placement. A gang is not limited, since
    /// its tasks start together.
    fn max_starts_per_pass(&self, spec: &JobSpec) -> usize {
        match spec.shape {
            Shape::Gang => spec.tasks as usize,
            Shape::Array | Shape::Service => {
                let pages = self.settings.state_limits().transaction_writes;
                pages * self.settings.small_page_tasks() as usize
            }
        }
    }

    /// Returns the machines that a job's tasks should not be placed on: those on which tasks of
    /// the job failed, and those that may still start earlier attempts of its tasks.
    fn machines_to_avoid(&self, job: &Job) -> Vec<MachineId> {
        let has_open_starts = |id: &&MachineId| {
            let machine = self.fleet.machines.get(*id);
            machine.is_some_and(|m| m.open_starts.contains_job(&job.spec.id))
        };
        let with_open_starts = job.machines_with_open_starts.iter().filter(has_open_starts);
        job.avoided_machines.iter().chain(with_open_starts).cloned().collect()
    }
}

/// Returns the scheduler's view of a bound task.
fn bound_view(
    job: &Job,
    task: u32,
    binding: &Binding,
    machine_indexes: &HashMap<&MachineId, usize>,
    now: Instant,
) -> BoundView {
    let ran_s = binding.running_since.map_or(0.0, |at| (now - at).as_secs_f64());
    BoundView {
        task,
        machine: machine_indexes.get(&binding.machine).copied(),
        zone: binding.zone,
        stopping: binding.stop.is_some(),
        movable: ran_s > MIN_RUN_BEFORE_MOVE_S,
        lost_work_s: if job.spec.checkpoint_s > 0.0 { job.spec.save_s } else { ran_s },
    }
}
