//! What lending sees of the leader's machines and jobs, and the reservations that it makes.
//!
//! A reserved machine is given to no other job, and revocable work on it is preempted with a
//! grace period. That it has terminated is what the leader's own records say: a task counts
//! until there is proof.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use tokio::time::{Duration, Instant};

use super::{Leader, job::Job};
use crate::{
    fleet::Machine,
    protocol::{JobId, JobSpec, MachineId, Shape},
    scheduler::{Reservation, Resources, TeamUse},
};

/// Work that may be taken off a machine.
#[derive(Clone, Debug, PartialEq)]
pub struct LentWork {
    /// The team whose work it is.
    pub team: Arc<str>,
    /// Seconds between its checkpoints; the rarest of all.
    pub checkpoint_s: f64,
    /// Seconds that it takes to save a checkpoint; the longest of all.
    pub save_s: f64,
    /// Seconds since its last checkpoint, at the most.
    pub unsaved_s: f64,
}

/// An ordinary machine as lending sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct LendableMachine {
    /// Its zone's number.
    pub zone: u8,
    /// It takes tasks now.
    pub ready: bool,
    /// What it holds, if all of that is outside its teams' guaranteed quotas and saves
    /// checkpoints.
    pub lent: Option<LentWork>,
    /// The jobs that hold it.
    pub jobs: Vec<JobId>,
}

/// A job inside its team's guaranteed quota that lacks machines.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingJob {
    /// The job.
    pub id: JobId,
    /// Its team.
    pub team: Arc<str>,
    /// Machines that it takes.
    pub machines: u32,
    /// GPUs that it takes of each.
    pub gpus: f64,
    /// It has waited for long enough to claim machines.
    pub overdue: bool,
}

/// What lending sees of a leader.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LendingView {
    /// The leader was in contact with all machines that hold tasks: others are gone.
    pub settled: bool,
    /// Ordinary machines.
    pub machines: BTreeMap<MachineId, LendableMachine>,
    /// Jobs inside their teams' guaranteed quotas that lack machines, in order of arrival.
    pub waiting: Vec<WaitingJob>,
}

impl Leader {
    /// What lending may act on. `grace_s`: the longest save that it waits for, in seconds.
    /// `waited`: how long a job has waited before machines are reclaimed for it.
    pub fn lending_view(&self, grace_s: f64, waited: Duration, now: Instant) -> LendingView {
        let inside = self.inside_guaranteed_quota();
        let machines = self.fleet.machines.iter().filter(|(_, machine)| !machine.spot);
        let view = |(id, machine): (&MachineId, &Machine)| {
            (id.clone(), self.lendable_machine(machine, &inside, grace_s, now))
        };
        LendingView {
            settled: self.is_fleet_view_complete(now),
            machines: machines.map(view).collect(),
            waiting: self.waiting_inside(&inside, waited, now),
        }
    }

    /// Whether each job fits its team's guaranteed quota together with all earlier ones.
    fn inside_guaranteed_quota(&self) -> HashMap<&JobId, bool> {
        let mut asked: HashMap<&str, TeamUse> = HashMap::new();
        let mut inside = HashMap::new();
        for job in self.jobs.by_arrival().filter(|job| job.is_active()) {
            let team = asked.entry(&job.spec.team).or_default();
            team.cpus += job.spec.cpus * f64::from(job.remaining());
            team.gpus += job.spec.gpus * f64::from(job.remaining());
            let settings = self.settings.team(&job.spec.team);
            inside
                .insert(&job.spec.id, settings.is_some_and(|t| t.guarantees(team.cpus, team.gpus)));
        }
        inside
    }

    fn lendable_machine(
        &self,
        machine: &Machine,
        inside: &HashMap<&JobId, bool>,
        grace_s: f64,
        now: Instant,
    ) -> LendableMachine {
        let mut jobs: Vec<JobId> = machine.bound.iter().map(|key| key.job.clone()).collect();
        jobs.dedup();
        let residents: Vec<&Job> = jobs.iter().filter_map(|id| self.jobs.get(id)).collect();
        let ready = machine.is_ready(now, self.settings.heartbeat_interval());
        let lendable = |job: &&Job| {
            let outside = inside.get(&job.spec.id) == Some(&false);
            outside && is_revocable(&job.spec, grace_s) && is_on_one_machine(job)
        };
        let all = ready
            && machine.unmanaged == Resources::default()
            && residents.len() == jobs.len()
            && residents.iter().all(lendable);
        let first = residents.first().filter(|_| all);
        let lent = first.map(|first| LentWork {
            team: first.spec.team.clone(),
            checkpoint_s: max_over(&residents, |job| job.spec.checkpoint_s),
            save_s: max_over(&residents, |job| job.spec.save_s),
            unsaved_s: max_over(&residents, |job| unsaved_s(job, now)),
        });
        let zone = self.settings.zone_index(&machine.zone).unwrap_or(u8::MAX);
        LendableMachine { zone, ready, lent, jobs }
    }

    fn waiting_inside(
        &self,
        inside: &HashMap<&JobId, bool>,
        waited: Duration,
        now: Instant,
    ) -> Vec<WaitingJob> {
        let waiting = self.jobs.by_arrival().filter(|job| {
            let lacks = (job.bound.len() as u32) < job.remaining();
            let ready = job.is_active() && job.backoff_until.is_none();
            inside.get(&job.spec.id) == Some(&true) && lacks && ready
        });
        let waiting = waiting.filter_map(|job| {
            let overdue = now >= job.known_since + waited;
            Some(WaitingJob { overdue, ..self.waiting_job(job)? })
        });
        waiting.collect()
    }

    /// What a job takes in whole machines. None for arrays, which wait for machines, and
    /// for jobs that not every ordinary machine may run.
    fn waiting_job(&self, job: &Job) -> Option<WaitingJob> {
        let spec = &job.spec;
        let tasks = job.remaining() - job.bound.len() as u32;
        let bound_to_zone = spec.zone.is_some() || spec.spread || (spec.one_zone && tasks > 1);
        if spec.shape == Shape::Array || spec.types.is_some() || bound_to_zone {
            return None;
        }
        let need = Resources::of_task(spec);
        let shares = self.types.iter().map(|kind| need.share_of(&Resources::of_type(kind)));
        let share = shares.fold(0.0, f64::max);
        let each = (1.0 / share.max(f64::EPSILON)).floor().min(f64::from(tasks)) as u32;
        if share <= 0.0 || each == 0 {
            return None;
        }
        let machines = tasks.div_ceil(each);
        let gpus = spec.gpus * f64::from(each);
        let (id, team) = (spec.id.clone(), spec.team.clone());
        Some(WaitingJob { id, team, machines, gpus, overdue: false })
    }

    /// Replaces the reservations, machines that are kept for one job each. True if that
    /// changes them.
    pub fn reserve(&mut self, reservations: BTreeMap<MachineId, Reservation>) -> bool {
        let changed = self.reservations != reservations;
        if changed {
            self.reservations = reservations;
            self.record_change();
        }
        changed
    }
}

/// Whether work saves a checkpoint when it is preempted, within the grace period.
fn is_revocable(spec: &JobSpec, grace_s: f64) -> bool {
    spec.shape != Shape::Service && spec.checkpoint_s > 0.0 && spec.save_s <= grace_s
}

/// A gang is preempted whole: one that lies on several machines stays.
fn is_on_one_machine(job: &Job) -> bool {
    let mut machines = job.bound.values().map(|binding| &binding.machine);
    let first = machines.next();
    job.spec.shape != Shape::Gang || machines.all(|machine| Some(machine) == first)
}

/// Seconds since the last checkpoint of a job, at the most.
fn unsaved_s(job: &Job, now: Instant) -> f64 {
    let ran = |since: Instant| now.saturating_duration_since(since).as_secs_f64();
    let since = job.bound.values().filter_map(|binding| binding.running_since);
    let unsaved = since.map(|since| ran(since) % job.spec.checkpoint_s.max(f64::MIN_POSITIVE));
    unsaved.fold(0.0, f64::max)
}

/// The largest amount among jobs, at least 0.
fn max_over(jobs: &[&Job], amount: impl Fn(&Job) -> f64) -> f64 {
    jobs.iter().map(|job| amount(job)).fold(0.0, f64::max)
}
