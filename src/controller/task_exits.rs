//! Task exits: back-off of jobs and quarantine of machines after failures, and the end of a
//! task's binding once its termination is confirmed.

use tokio::time::Instant;
use tracing::{debug, info};

use super::{Leader, binding::StopRequest};
use crate::{
    fleet::TaskKey,
    protocol::{ExitCause, JobId, MachineId, Shape},
};

/// A job that failed on this many machines is taken to be at fault itself.
const MIN_MACHINES_FOR_JOB_FAULT: usize = 3;

/// The highest exponent of the back-off of a failing job, which is 2 to the power of its
/// failures in a row, in heartbeat intervals.
const MAX_BACKOFF_EXPONENT: u32 = 6;

/// How long a machine is quarantined for each job that failed on it, in heartbeat intervals.
const QUARANTINE_INTERVALS_PER_JOB: u32 = 5;

/// How long a machine that refused a start is quarantined, in heartbeat intervals.
const REFUSAL_QUARANTINE_INTERVALS: u32 = 4;

/// How long a job backs off after the worker did not know an attempt that a command named, in
/// heartbeat intervals.
const UNKNOWN_EXIT_BACKOFF_INTERVALS: u32 = 2;

impl Leader {
    /// Records the exit of a task that a worker reported, and ends the task's binding.
    pub(super) fn record_exit(&mut self, key: &TaskKey, cause: ExitCause, now: Instant) {
        debug!(job = %key.job, task = key.task, ?cause, "task exited");
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(binding) = job.bound.get(&key.task) else { return };
        let id = binding.machine.clone();
        match cause {
            ExitCause::Done => {
                job.done.insert(key.task);
                job.failures = 0;
                if let Some(machine) = self.fleet.machines.get_mut(&id) {
                    machine.failed_jobs.clear();
                    machine.quarantined_until = None;
                }
            }
            ExitCause::Error => self.record_failure(key, &id, now),
            ExitCause::NoRoom | ExitCause::Busy => {
                // The leader's view of the machine is wrong. The heartbeats that arrive during
                // the quarantine correct it.
                let until = now + self.settings.heartbeat_interval() * REFUSAL_QUARANTINE_INTERVALS;
                if let Some(machine) = self.fleet.machines.get_mut(&id) {
                    machine.quarantine(until);
                }
            }
            ExitCause::Unknown => {
                let backoff = self.settings.heartbeat_interval() * UNKNOWN_EXIT_BACKOFF_INTERVALS;
                job.backoff_until = Some(now + backoff);
            }
            ExitCause::Stopped | ExitCause::Peers | ExitCause::Alone => {}
        }
        self.confirm_terminated(key, now);
    }

    /// Records a failed task, and attributes the failure to the machine or to the job.
    ///
    /// Usually the machine is at fault, but a faulty job fails on every machine. So each machine is
    /// quarantined until the job has failed on `MIN_MACHINES_FOR_JOB_FAULT` of them, and from then
    /// on the job backs off instead.
    fn record_failure(&mut self, key: &TaskKey, machine: &MachineId, now: Instant) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        job.failures += 1;
        if !job.avoided_machines.contains(machine) {
            job.avoided_machines.push(machine.clone());
        }
        if job.avoided_machines.len() >= MIN_MACHINES_FOR_JOB_FAULT {
            self.back_off_failing_job(&key.job, now);
        } else {
            self.quarantine_failing_machine(key, machine, now);
        }
    }

    /// Backs off a job that failed on several machines, for longer with each failure, and lifts
    /// the quarantine of those machines.
    fn back_off_failing_job(&mut self, id: &JobId, now: Instant) {
        let heartbeat_interval = self.settings.heartbeat_interval();
        let Some(job) = self.jobs.get_mut(id) else { return };
        let exponent = job.failures.min(MAX_BACKOFF_EXPONENT);
        let wait = heartbeat_interval * 2_u32.saturating_pow(exponent);
        job.backoff_until = Some(now + wait);
        info!(job = %id, failures = job.failures, wait_s = wait.as_secs_f64(), "job backed off after failures on several machines");
        for machine in std::mem::take(&mut job.avoided_machines) {
            if let Some(machine) = self.fleet.machines.get_mut(&machine) {
                machine.failed_jobs.remove(id);
                machine.quarantined_until = None;
            }
        }
    }

    /// Quarantines a machine, for longer with each job that failed on it.
    fn quarantine_failing_machine(&mut self, key: &TaskKey, id: &MachineId, now: Instant) {
        let heartbeat_interval = self.settings.heartbeat_interval();
        let Some(machine) = self.fleet.machines.get_mut(id) else { return };
        machine.failed_jobs.insert(key.job.clone());
        let failed_jobs = machine.failed_jobs.len() as u32;
        let wait = heartbeat_interval * QUARANTINE_INTERVALS_PER_JOB * failed_jobs;
        machine.quarantine(now + wait);
        info!(machine = %id, task = %key, wait_s = wait.as_secs_f64(), "machine quarantined after a failed task");
    }

    /// Ends the binding of a task that is proved not to be on its machine any more. A task that
    /// is not done is queued again.
    pub(super) fn confirm_terminated(&mut self, key: &TaskKey, now: Instant) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(binding) = job.bound.remove(&key.task) else { return };
        let done = job.done.contains(&key.task);
        if !done {
            job.requeued.insert(key.task);
        }
        self.quota_use.remove(&job.spec);
        if let Some(machine) = self.fleet.machines.get_mut(&binding.machine) {
            if !done && machine.open_starts.contains_task(key) {
                job.machines_with_open_starts.insert(binding.machine.clone());
            }
            machine.bound.remove(key);
            if machine.bound.is_empty() {
                machine.idle_since = Some(now);
            }
        }
        if job.spec.shape == Shape::Gang && !done {
            // A gang can't continue without one of its tasks. The next attempt starts when all
            // tasks of this one have terminated.
            job.stop_all(StopRequest { requested_at: now, grace_s: job.grace_s() });
        }
        if job.is_finished() {
            self.writes.schedule_end_check(key.job.clone());
        }
        self.mark_page_changed(key);
        self.record_change();
        self.timers.request_round();
    }
}
