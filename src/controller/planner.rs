//! A pass: from the watch cache to a snapshot, and from the scheduler's decisions to
//! bindings, stops, widths and rentals.

use std::{cell::Cell, collections::HashMap, sync::Arc};

use tokio::time::{Duration, Instant};
use tracing::{debug, info};

use super::{Binding, Job, Leader, pages::LongestNames, use_team};
use crate::{
    fleet::{Machine, TaskKey},
    protocol::{JobId, JobSpec, MachineId, Shape},
    scheduler::{self, BoundView, JobView, MachineView, Resources, Snapshot},
};

/// Boots usually end within one and a half of the type's boot time.
const OVERDUE_BOOTS: f64 = 1.6;

/// A start counts for its job's aims unless the task is stopped by command
/// within this time, so nothing is moved before then.
const SETTLED_S: f64 = 30.0;

impl Leader {
    pub(super) fn schedule(&mut self, round: bool, now: Instant) {
        if self.types.is_empty() {
            return;
        }
        if round {
            self.round_due = false;
            self.next_round = now + Duration::from_secs_f64(self.settings.operator.round_s);
        }
        let types = self.types.clone();
        let settings = self.settings.clone();
        let settled = self.settled(now);
        self.refused.retain(|_, until| *until > now);
        let machines = self.machine_views(now);
        let index: HashMap<&MachineId, usize> =
            machines.iter().enumerate().map(|(at, m)| (&m.id, at)).collect();
        let names = self.longest_names();
        let jobs: Vec<JobView> = self
            .order
            .keys()
            .filter_map(|(_, id)| self.jobs.get(id))
            .filter(|job| job.is_active() && job.remaining() > 0)
            .map(|job| self.job_view(job, &index, names, now))
            .collect();
        let snapshot = Snapshot {
            settings: &settings,
            types: &types,
            machines,
            jobs,
            usage: self.usage.clone(),
            refused: self.refused.keys().copied().collect(),
            spare: self.spare_machines(),
            spare_spot: self.spare_spot(),
            spare_room: {
                let (empty, room) = self.spare();
                empty as f64 + room
            },
            round,
            weighed: Cell::new(0),
        };
        let decisions = scheduler::decide(snapshot);
        self.counters.passes += 1;
        self.counters.weighed += decisions.weighed;
        for (id, width) in decisions.widths {
            if let Some(job) = self.jobs.get_mut(&id).filter(|j| j.width != width) {
                info!(job = %id, from = job.width, to = width, "width");
                job.width = width;
                self.dirty.insert((id, 0));
            }
        }
        self.bind(decisions.place);
        // What the workers have not told yet looks like a lack of machines.
        if !settled {
            self.round_due = true;
            return;
        }
        for stopping in decisions.stop {
            info!(job = %stopping.job, task = stopping.task, at_once = stopping.at_once, "stopped to make room");
            self.stop(&TaskKey { job: stopping.job, task: stopping.task }, stopping.at_once, now);
        }
        for id in decisions.awaited {
            if let Some(machine) = self.fleet.machines.get_mut(&id) {
                machine.idle_since = machine.has_reported().then_some(now);
            }
        }
        self.rent(decisions.rent);
    }

    /// Whether a new leader has heard what it should: all machines that hold
    /// tasks, as far as they report within the usual time.
    pub(super) fn settled(&self, now: Instant) -> bool {
        let machines = self.fleet.machines.values();
        now > self.started + self.settings.worker_lease() / 2
            || machines.filter(|m| !m.bound.is_empty()).all(Machine::has_reported)
    }

    fn machine_views(&self, now: Instant) -> Vec<MachineView> {
        let heartbeat_interval = self.settings.heartbeat_interval();
        let mut views = Vec::new();
        for (id, machine) in &self.fleet.machines {
            let Some(kind) = self.types.iter().position(|t| t.name == machine.machine_type) else {
                continue;
            };
            let Some(zone) = self.settings.zone_index(&machine.zone) else { continue };
            let ready = machine.is_ready(now, heartbeat_interval);
            // A boot that is overdue may take several times as long, or never
            // end: nothing should count on it any more.
            let due = Duration::from_secs_f64(self.types[kind].boot_s * OVERDUE_BOOTS);
            let booting = machine.never_reported() && machine.silence(now) < due;
            let coming =
                (booting || self.fleet.is_awaiting_reconnection(machine)) && !machine.deleting;
            if !ready && !coming {
                continue;
            }
            let mut free = Resources::of_type(&self.types[kind]);
            free.sub(&machine.unmanaged);
            let mut stopping = machine.unmanaged;
            for key in &machine.bound {
                let Some(job) = self.jobs.get(&key.job) else { continue };
                let need = Resources::of_task(&job.spec);
                free.sub(&need);
                let stops = job.bound.get(&key.task).is_some_and(|b| b.stop.is_some());
                if stops || job.ended.is_some() {
                    stopping.add(&need);
                }
            }
            views.push(MachineView {
                id: id.clone(),
                kind,
                zone,
                spot: machine.spot,
                free,
                stopping,
                ready,
                empty: machine.bound.is_empty(),
                awaited: false,
                reservation: self.reservations.get(id).cloned(),
                images: machine.images.names().cloned().collect(),
            });
        }
        views
    }

    fn job_view(
        &self,
        job: &Job,
        index: &HashMap<&MachineId, usize>,
        names: LongestNames,
        now: Instant,
    ) -> JobView {
        let pending = job.pending(self.starts_in_a_pass(&job.spec));
        let wanted = pending.len();
        let pending = job.with_room(pending, self.settings.state_limits().value_bytes, names);
        // Half a gang is no use to anybody.
        let crowded = job.spec.shape == Shape::Gang && pending.len() < wanted;
        let bound = job
            .bound
            .iter()
            .map(|(&task, b)| {
                let ran = b.running_since.map_or(0.0, |at| (now - at).as_secs_f64());
                let lost = if job.spec.checkpoint_s > 0.0 { job.spec.save_s } else { ran };
                BoundView {
                    task,
                    machine: index.get(&b.machine).copied(),
                    zone: b.zone,
                    stopping: b.stop.is_some(),
                    settled: ran > SETTLED_S,
                    loss_s: lost,
                }
            })
            .collect();
        JobView {
            id: job.spec.id.clone(),
            spec: job.spec.clone(),
            arrival: job.arrival,
            priority: job.priority,
            pending,
            remaining: job.remaining(),
            bound,
            width: job.width,
            patience_s: self.wait_aim(&job.spec).map(|aim| {
                let waited = (now - job.known_since).as_secs_f64();
                if job.attempt > 0 { 0.0 } else { aim - waited }
            }),
            // Known only once all jobs of the team are seen together.
            guaranteed: false,
            held: crowded || job.backoff_until.is_some(),
            avoid: self.avoided(job),
        }
    }

    /// How many tasks of a job one pass may place. A start waits for its record,
    /// and a pass may not outlast the leader's lease: an array of tens of thousands
    /// of tasks placed at once cost one leader after the other its lease, and none
    /// got as far as writing a place down. A gang starts as a whole.
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
    fn avoided(&self, job: &Job) -> Vec<MachineId> {
        let open = |id: &&MachineId| {
            let machine = self.fleet.machines.get(*id);
            machine.is_some_and(|m| m.open_starts.contains_job(&job.spec.id))
        };
        job.avoided_machines
            .iter()
            .chain(job.machines_with_open_starts.iter().filter(open))
            .cloned()
            .collect()
    }

    /// Within how many seconds a job's tasks should start, if its class has an
    /// aim for that.
    pub(super) fn wait_aim(&self, spec: &JobSpec) -> Option<f64> {
        let aims = &self.settings.cluster.objectives;
        aims.iter()
            .find(|o| o.kind == "wait" && o.class.as_ref().is_some_and(|c| *c == spec.class))
            .and_then(|o| o.within_s)
    }

    fn bind(&mut self, places: Vec<(JobId, u32, MachineId)>) {
        let mut raised: Option<JobId> = None;
        for (id, task, machine_id) in places {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            // Whatever was decided, a bound task is never bound again.
            if job.bound.contains_key(&task) || job.done.contains(&task) {
                continue;
            }
            // Nor is any task of a job that another one still holds back.
            if !job.is_active() {
                continue;
            }
            let Some(machine) = self.fleet.machines.get_mut(&machine_id) else { continue };
            // An earlier attempt may still start there, and would meet this one.
            if machine.open_starts.contains_task(&TaskKey { job: id.clone(), task }) {
                continue;
            }
            let Some(zone) = self.settings.zone_index(&machine.zone) else { continue };
            // All tasks of a gang's attempt share its number; elsewhere a
            // number is never used twice.
            if job.spec.shape != Shape::Gang || raised.as_ref() != Some(&id) {
                job.attempt += 1;
            }
            raised = Some(id.clone());
            let binding = Binding {
                machine: machine_id.clone(),
                attempt: job.attempt,
                incarnation: machine.latest_heartbeat.incarnation,
                zone,
                durable: false,
                starts_sent: 0,
                observed: false,
                running_since: None,
                stop: None,
            };
            debug!(job = %id, task, machine = %machine_id, attempt = job.attempt, "bound");
            job.bound.insert(task, binding);
            job.requeued.remove(&task);
            while job.first_fresh < job.spec.tasks
                && (job.done.contains(&job.first_fresh)
                    || job.bound.contains_key(&job.first_fresh)
                    || job.requeued.contains(&job.first_fresh))
            {
                job.first_fresh += 1;
            }
            use_team(&mut self.usage, &job.spec, 1.0);
            machine.bound.insert(TaskKey { job: id.clone(), task });
            machine.idle_since = None;
            let spec = job.spec.clone();
            let kind = self.types.iter().find(|t| t.name == machine.machine_type);
            let cache_gb = kind.map_or(f64::INFINITY, |t| t.cache_gb);
            let jobs = &self.jobs;
            let bound = &machine.bound;
            let used = |image: &Arc<str>| {
                let mut here = bound.iter().filter_map(|key| jobs.get(&key.job));
                here.any(|job| job.spec.image == *image)
            };
            machine.images.record_use(&spec.image, spec.image_gb, cache_gb, used);
            self.mark_page(&TaskKey { job: id, task });
        }
    }
}
