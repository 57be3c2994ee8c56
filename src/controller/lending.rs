//! The view of the leader's machines and jobs that lending decides on, and the reservations
//! that lending makes.
//!
//! A reserved machine takes tasks of no other job, and revocable work on it is preempted with a
//! grace period. The leader's state decides whether that work has terminated: a task counts as
//! present until there is proof of its termination.

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

/// Revocable work on a lent machine. Its figures are the maxima over all jobs on the machine.
#[derive(Clone, Debug, PartialEq)]
pub struct LentWork {
    /// The team of the first job on the machine.
    pub team: Arc<str>,
    /// The interval between checkpoints in seconds.
    pub checkpoint_s: f64,
    /// The time that saving a checkpoint takes, in seconds.
    pub save_s: f64,
    /// The time since the last checkpoint in seconds, estimated from when the tasks started and
    /// from the checkpoint interval.
    pub unsaved_s: f64,
}

/// The view of an ordinary (non-spot) machine.
#[derive(Clone, Debug, PartialEq)]
pub struct LendableMachine {
    /// The index of the machine's zone in the settings.
    pub zone: u8,
    /// Whether the machine takes new tasks now.
    pub ready: bool,
    /// The work on the machine, if all of it is outside its teams' guaranteed quotas and
    /// revocable. None for an empty machine.
    pub lent: Option<LentWork>,
    /// The jobs with tasks bound to the machine.
    pub jobs: Vec<JobId>,
}

/// A job within its team's guaranteed quota that lacks machines.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingJob {
    /// The id of the job.
    pub id: JobId,
    /// The team of the job.
    pub team: Arc<str>,
    /// The number of machines that the unbound tasks take.
    pub machines: u32,
    /// The number of GPUs that the job takes on each machine.
    pub gpus: f64,
    /// Whether the job has waited long enough for machines to be reclaimed for it.
    pub overdue: bool,
}

/// The leader's state as far as lending uses it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LendingView {
    /// Whether the leader has been in contact with all machines that hold tasks, or has waited
    /// so long that the others are probably lost. Before that the view is incomplete.
    pub settled: bool,
    /// The ordinary (non-spot) machines.
    pub machines: BTreeMap<MachineId, LendableMachine>,
    /// Jobs within their teams' guaranteed quotas that lack machines, in order of arrival.
    pub waiting: Vec<WaitingJob>,
}

impl Leader {
    /// Returns the view that lending decides on. `grace_s`: the longest save of a checkpoint
    /// that lending waits for, in seconds. `min_wait`: how long a job must have waited before
    /// machines are reclaimed for it.
    pub fn lending_view(&self, grace_s: f64, min_wait: Duration, now: Instant) -> LendingView {
        let within_quota = self.jobs_within_guaranteed_quota();
        let machines = self.fleet.machines.iter().filter(|(_, machine)| !machine.spot);
        let view = |(id, machine): (&MachineId, &Machine)| {
            (id.clone(), self.lendable_machine(machine, &within_quota, grace_s, now))
        };
        LendingView {
            settled: self.is_fleet_view_complete(now),
            machines: machines.map(view).collect(),
            waiting: self.waiting_within_quota(&within_quota, min_wait, now),
        }
    }

    /// Returns for each active job whether it fits its team's guaranteed quota together with
    /// all of the team's earlier jobs.
    fn jobs_within_guaranteed_quota(&self) -> HashMap<&JobId, bool> {
        let mut requested: HashMap<&str, TeamUse> = HashMap::new();
        let mut within_quota = HashMap::new();
        for job in self.jobs.by_arrival().filter(|job| job.is_active()) {
            let team = requested.entry(&job.spec.team).or_default();
            team.cpus += job.spec.cpus * f64::from(job.remaining());
            team.gpus += job.spec.gpus * f64::from(job.remaining());
            let settings = self.settings.team(&job.spec.team);
            within_quota
                .insert(&job.spec.id, settings.is_some_and(|t| t.guarantees(team.cpus, team.gpus)));
        }
        within_quota
    }

    fn lendable_machine(
        &self,
        machine: &Machine,
        within_quota: &HashMap<&JobId, bool>,
        grace_s: f64,
        now: Instant,
    ) -> LendableMachine {
        let mut jobs: Vec<JobId> = machine.bound.iter().map(|key| key.job.clone()).collect();
        jobs.dedup();
        let known_jobs: Vec<&Job> = jobs.iter().filter_map(|id| self.jobs.get(id)).collect();
        let ready = machine.is_ready(now, self.settings.heartbeat_interval());
        let lendable = |job: &&Job| {
            let outside_quota = within_quota.get(&job.spec.id) == Some(&false);
            outside_quota && is_revocable(&job.spec, grace_s) && is_preemptible_per_machine(job)
        };
        let all_lendable = ready
            && machine.unmanaged == Resources::default()
            && known_jobs.len() == jobs.len()
            && known_jobs.iter().all(lendable);
        let first = known_jobs.first().filter(|_| all_lendable);
        let lent = first.map(|first| LentWork {
            team: first.spec.team.clone(),
            checkpoint_s: max_over(&known_jobs, |job| job.spec.checkpoint_s),
            save_s: max_over(&known_jobs, |job| job.spec.save_s),
            unsaved_s: max_over(&known_jobs, |job| unsaved_s(job, now)),
        });
        let zone = self.settings.zone_index(&machine.zone).unwrap_or(u8::MAX);
        LendableMachine { zone, ready, lent, jobs }
    }

    /// Returns the jobs within their teams' guaranteed quotas that lack machines.
    fn waiting_within_quota(
        &self,
        within_quota: &HashMap<&JobId, bool>,
        min_wait: Duration,
        now: Instant,
    ) -> Vec<WaitingJob> {
        let waiting = self.jobs.by_arrival().filter(|job| {
            let lacks_machines = (job.bound.len() as u32) < job.remaining();
            let ready = job.is_active() && job.backoff_until.is_none();
            within_quota.get(&job.spec.id) == Some(&true) && lacks_machines && ready
        });
        let waiting = waiting.filter_map(|job| {
            let overdue = now >= job.known_since + min_wait;
            Some(WaitingJob { overdue, ..self.waiting_job(job)? })
        });
        waiting.collect()
    }

    /// Returns what a job needs in whole machines. None for arrays, which wait until
    /// machines are free, and for jobs that can't run on every ordinary machine.
    fn waiting_job(&self, job: &Job) -> Option<WaitingJob> {
        let spec = &job.spec;
        let tasks = job.remaining() - job.bound.len() as u32;
        let zone_constrained = spec.zone.is_some() || spec.spread || (spec.one_zone && tasks > 1);
        if spec.shape == Shape::Array || spec.types.is_some() || zone_constrained {
            return None;
        }
        let need = Resources::of_task(spec);
        let shares = self.types.iter().map(|kind| need.share_of(&Resources::of_type(kind)));
        let max_share = shares.fold(0.0, f64::max);
        let tasks_per_machine =
            (1.0 / max_share.max(f64::EPSILON)).floor().min(f64::from(tasks)) as u32;
        if max_share <= 0.0 || tasks_per_machine == 0 {
            return None;
        }
        let machines = tasks.div_ceil(tasks_per_machine);
        let gpus = spec.gpus * f64::from(tasks_per_machine);
        let (id, team) = (spec.id.clone(), spec.team.clone());
        Some(WaitingJob { id, team, machines, gpus, overdue: false })
    }

    /// Replaces the reservations, each of which reserves a machine for one job. Returns whether
    /// they have changed.
    pub fn reserve(&mut self, reservations: BTreeMap<MachineId, Reservation>) -> bool {
        let changed = self.reservations != reservations;
        if changed {
            self.reservations = reservations;
            self.record_change();
        }
        changed
    }
}

/// Whether the tasks of a job save a checkpoint within the grace period when preempted.
fn is_revocable(spec: &JobSpec, grace_s: f64) -> bool {
    spec.shape != Shape::Service && spec.checkpoint_s > 0.0 && spec.save_s <= grace_s
}

/// Whether a job can be preempted on one machine without effect on other machines. A gang is
/// preempted as a whole, so all its tasks have to be on one machine.
fn is_preemptible_per_machine(job: &Job) -> bool {
    let mut machines = job.bound.values().map(|binding| &binding.machine);
    let first = machines.next();
    job.spec.shape != Shape::Gang || machines.all(|machine| Some(machine) == first)
}

/// Returns the time since the last checkpoint of a job in seconds, as the maximum over its tasks.
/// Assumes that tasks save a checkpoint in each interval since they started.
fn unsaved_s(job: &Job, now: Instant) -> f64 {
    let run_s = |since: Instant| now.saturating_duration_since(since).as_secs_f64();
    let since = job.bound.values().filter_map(|binding| binding.running_since);
    let unsaved = since.map(|since| run_s(since) % job.spec.checkpoint_s.max(f64::MIN_POSITIVE));
    unsaved.fold(0.0, f64::max)
}

/// Returns the largest amount among jobs, and at least 0.
fn max_over(jobs: &[&Job], amount: impl Fn(&Job) -> f64) -> f64 {
    jobs.iter().map(|job| amount(job)).fold(0.0, f64::max)
}
