//! The snapshot of the state that a scheduling pass decides on.

use std::{cell::Cell, collections::HashMap};

use tokio::time::{Duration, Instant};

use super::{Leader, binding::Binding, job::Job, pages::BindingSizeBounds, pass_timers::PassKind};
use crate::{
    fleet::Machine,
    protocol::{JobSpec, MachineId, MachineType, Shape},
    scheduler::{self, BoundView, Decisions, JobView, MachineView, Resources, Snapshot},
};

/// Boots usually end within one and a half of the type's boot time.
const OVERDUE_BOOTS: f64 = 1.6;

/// A start counts for its job's objectives unless the task is stopped by command
/// within this many seconds, so nothing is moved before then.
const SETTLED_S: f64 = 30.0;

impl Leader {
    /// What the scheduler decides on the state as it is now.
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

    /// The machines that take tasks now, or that are worth waiting for.
    fn machine_views(&self, now: Instant) -> Vec<MachineView> {
        let machines = self.fleet.machines.iter();
        machines.filter_map(|(id, machine)| self.machine_view(id, machine, now)).collect()
    }

    fn machine_view(&self, id: &MachineId, machine: &Machine, now: Instant) -> Option<MachineView> {
        let type_number = self.types.index_of(&machine.machine_type)?;
        let machine_type = self.types.get(type_number)?;
        let zone = self.settings.zone_index(&machine.zone)?;
        let ready = machine.is_ready(now, self.settings.heartbeat_interval());
        if !ready && !self.is_coming(machine, machine_type, now) {
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
            machine_type: type_number,
            zone,
            spot: machine.spot,
            free,
            stopping,
            ready,
            empty: machine.bound.is_empty(),
            awaited: false,
            reservation: self.reservations.get(id).cloned(),
            images: machine.images.names().cloned().collect(),
        })
    }

    /// Whether a machine that is not ready will be soon: it boots, or its zone is cut off.
    fn is_coming(&self, machine: &Machine, machine_type: &MachineType, now: Instant) -> bool {
        // A boot that is overdue may take several times as long, or never
        // end: nothing should count on it any more.
        let due = Duration::from_secs_f64(machine_type.boot_s * OVERDUE_BOOTS);
        let booting = machine.never_reported() && machine.silence(now) < due;
        (booting || self.fleet.is_awaiting_reconnection(machine)) && !machine.deleting
    }

    /// The jobs that have tasks left and wait for no other job, in order of arrival.
    fn job_views(&self, machines: &[MachineView], now: Instant) -> Vec<JobView> {
        let positions: HashMap<&MachineId, usize> =
            machines.iter().enumerate().map(|(at, m)| (&m.id, at)).collect();
        let names = self.binding_size_bounds();
        self.jobs
            .by_arrival()
            .filter(|job| job.is_active() && job.remaining() > 0)
            .map(|job| self.job_view(job, &positions, names, now))
            .collect()
    }

    fn job_view(
        &self,
        job: &Job,
        positions: &HashMap<&MachineId, usize>,
        names: BindingSizeBounds,
        now: Instant,
    ) -> JobView {
        let pending = job.pending(self.starts_in_a_pass(&job.spec));
        let wanted = pending.len();
        let pending =
            job.tasks_fitting_pages(pending, self.settings.state_limits().value_bytes, names);
        // Half a gang is no use to anybody.
        let crowded = job.spec.shape == Shape::Gang && pending.len() < wanted;
        let bound = job.bound.iter();
        JobView {
            id: job.spec.id.clone(),
            spec: job.spec.clone(),
            arrival: job.arrival,
            priority: job.priority,
            pending,
            remaining: job.remaining(),
            bound: bound.map(|(&task, b)| bound_view(job, task, b, positions, now)).collect(),
            width: job.width,
            patience_s: self.patience_s(job, now),
            // Known only once all jobs of the team are seen together.
            guaranteed: false,
            blocked: crowded || job.backoff_until.is_some(),
            avoid: self.machines_to_avoid(job),
        }
    }

    /// Seconds left to meet the objective for waiting of a job's class, if it has one.
    fn patience_s(&self, job: &Job, now: Instant) -> Option<f64> {
        self.wait_objective_s(&job.spec).map(|within_s| {
            let waited = (now - job.known_since).as_secs_f64();
            if job.attempt > 0 { 0.0 } else { within_s - waited }
        })
    }

    /// How many tasks of a job one pass may place. A start waits for its record,
    /// and a pass may not outlast the leader's lease: an array of tens of thousands
    /// of tasks placed at once cost one leader after the other its lease, and none
    /// got as far as writing a placement. A gang starts as a whole.
    fn starts_in_a_pass(&self, spec: &JobSpec) -> usize {
        match spec.shape {
            Shape::Gang => spec.tasks as usize,
            Shape::Array | Shape::Service => {
                let pages = self.settings.state_limits().transaction_writes;
                pages * self.settings.small_page_tasks() as usize
            }
        }
    }

    /// Machines that a job's tasks should not be placed on: they failed them, or
    /// may still start earlier attempts of them.
    fn machines_to_avoid(&self, job: &Job) -> Vec<MachineId> {
        let has_open_starts = |id: &&MachineId| {
            let machine = self.fleet.machines.get(*id);
            machine.is_some_and(|m| m.open_starts.contains_job(&job.spec.id))
        };
        let with_open_starts = job.machines_with_open_starts.iter().filter(has_open_starts);
        job.avoided_machines.iter().chain(with_open_starts).cloned().collect()
    }
}

fn bound_view(
    job: &Job,
    task: u32,
    binding: &Binding,
    positions: &HashMap<&MachineId, usize>,
    now: Instant,
) -> BoundView {
    let ran_s = binding.running_since.map_or(0.0, |at| (now - at).as_secs_f64());
    BoundView {
        task,
        machine: positions.get(&binding.machine).copied(),
        zone: binding.zone,
        stopping: binding.stop.is_some(),
        settled: ran_s > SETTLED_S,
        loss_s: if job.spec.checkpoint_s > 0.0 { job.spec.save_s } else { ran_s },
    }
}
