//! Reconciliation: compares a worker's heartbeat with the tasks bound to its machine, records
//! what it proves of them, and collects the commands for the response.

use std::collections::HashMap;

use tokio::time::{Duration, Instant};
use tracing::info;

use super::{
    Leader,
    binding::StopRequest,
    command_log::{
        AttemptEnd, EndedAttempt, log_ended_attempts, log_response, log_unbound_attempts,
    },
    superseded::Superseded,
    task_verdict::{HeartbeatSource, TaskContext, TaskVerdict, task_verdict},
};
use crate::{
    fleet::{Freshness, TaskKey},
    protocol::{CommandKind, MachineId, TaskCommand, TaskState, TaskStatus, WorkerHeartbeat},
    scheduler::Resources,
};

impl Leader {
    /// Processes a worker's heartbeat and returns the commands of the response.
    ///
    /// Fails if the worker has seen a higher fencing token than this term's.
    pub fn on_heartbeat(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        now: Instant,
    ) -> Result<Vec<TaskCommand>, Superseded> {
        let mut commands = self.process_heartbeat(heartbeat, HeartbeatSource::Worker, now)?;
        self.fence_answered_starts(&heartbeat.machine, &mut commands);
        log_response(heartbeat, self.token_for(&heartbeat.machine), &commands);
        for command in commands.iter().filter(|command| command.op == CommandKind::Start) {
            if let Some(key) = TaskKey::parse(&command.task)
                && let Some(binding) =
                    self.jobs.get_mut(&key.job).and_then(|j| j.bound.get_mut(&key.task))
            {
                binding.starts_sent += 1;
            }
        }
        Ok(commands)
    }

    /// Processes the heartbeat of a worker that the response redirects to other controllers, so
    /// that it finds another leader if there is one.
    ///
    /// Fails if the worker has seen a higher fencing token than this term's.
    pub fn on_redirected_heartbeat(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        now: Instant,
    ) -> Result<(), Superseded> {
        self.process_heartbeat(heartbeat, HeartbeatSource::Worker, now)?;
        if let Some(machine) = self.fleet.machines.get_mut(&heartbeat.machine) {
            machine.redirected_at = Some(now);
        }
        Ok(())
    }

    /// Processes a heartbeat from either source and returns the commands that are due on its
    /// machine.
    pub(super) fn process_heartbeat(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        source: HeartbeatSource,
        now: Instant,
    ) -> Result<Vec<TaskCommand>, Superseded> {
        if heartbeat.token > self.tokens.last() {
            return Err(Superseded);
        }
        let was_ready = self.is_ready(&heartbeat.machine, now);
        let lease = self.settings.worker_lease();
        match self.fleet.record_heartbeat(heartbeat, self.tokens, lease, now) {
            Freshness::Stale => {
                self.counters.stale_heartbeats += 1;
                return Ok(Vec::new());
            }
            Freshness::NewIncarnation => {
                self.end_incarnations_before(&heartbeat.machine, heartbeat.incarnation, now)
            }
            Freshness::Newer => {}
        }
        if source == HeartbeatSource::Worker
            && let Some(machine) = self.fleet.machines.get_mut(&heartbeat.machine)
        {
            machine.last_heartbeat = Some(now);
        }
        let commands = self.reconcile_machine(heartbeat, source, now);
        if self.is_ready(&heartbeat.machine, now) != was_ready {
            self.record_change();
        }
        let machine = self.fleet.machines.get(&heartbeat.machine);
        // A worker that has not acknowledged this term yet may still carry out commands of an
        // earlier one. The response to this heartbeat carries the new token, and only the
        // responses after it carry commands.
        let acknowledged = machine.is_some_and(|m| m.acknowledged_term);
        Ok(if acknowledged { commands } else { Vec::new() })
    }

    fn is_ready(&self, machine: &MachineId, now: Instant) -> bool {
        self.fleet
            .machines
            .get(machine)
            .is_some_and(|m| m.is_ready(now, self.settings.heartbeat_interval()))
    }

    /// Compares the tasks bound to a machine with those that its worker reports, and returns the
    /// commands that are due.
    fn reconcile_machine(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        source: HeartbeatSource,
        now: Instant,
    ) -> Vec<TaskCommand> {
        let reported: HashMap<TaskKey, &TaskStatus> = heartbeat
            .tasks
            .iter()
            .filter_map(|status| TaskKey::parse(&status.task).map(|key| (key, status)))
            .collect();
        let bound: Vec<TaskKey> = self
            .fleet
            .machines
            .get(&heartbeat.machine)
            .map(|m| m.bound.iter().cloned().collect())
            .unwrap_or_default();
        self.counters.heartbeats += 1;
        self.counters.tasks_reconciled += (bound.len() + reported.len()) as u64;
        let mut commands = Vec::new();
        let mut ended = Vec::new();
        for key in bound {
            let status = reported.get(&key).copied();
            if let Some(verdict) = self.verdict(&key, status, heartbeat, source) {
                ended.extend(self.ended_attempt(&key, verdict));
                commands.extend(self.apply_verdict(&key, verdict, &heartbeat.machine, now));
            }
        }
        log_ended_attempts(heartbeat, &ended);
        self.reconcile_unmanaged_tasks(&reported, heartbeat, &mut commands);
        commands
    }

    /// Returns the bound attempt of a task if the verdict is that it has ended.
    fn ended_attempt(&self, key: &TaskKey, verdict: TaskVerdict<'_>) -> Option<EndedAttempt> {
        let end = match verdict {
            TaskVerdict::Exited(cause) => AttemptEnd::Exited(cause),
            TaskVerdict::Terminated | TaskVerdict::StartUnacknowledged => AttemptEnd::Absent,
            TaskVerdict::Present(_) | TaskVerdict::StartDue | TaskVerdict::Undetermined => {
                return None;
            }
        };
        let attempt = self.jobs.get(&key.job)?.bound.get(&key.task)?.attempt;
        Some(EndedAttempt { key: key.clone(), attempt, end })
    }

    /// Returns what a heartbeat shows of a bound task, or None if the binding belongs to another
    /// incarnation of the worker than the one that sent the heartbeat.
    fn verdict<'a>(
        &self,
        key: &TaskKey,
        reported: Option<&'a TaskStatus>,
        heartbeat: &WorkerHeartbeat,
        source: HeartbeatSource,
    ) -> Option<TaskVerdict<'a>> {
        let machine = self.fleet.machines.get(&heartbeat.machine)?;
        let job = self.jobs.get(&key.job)?;
        let binding = job.bound.get(&key.task)?;
        if binding.incarnation != heartbeat.incarnation {
            return None;
        }
        let context = TaskContext {
            job_ended: job.ended.is_some(),
            may_start: self.starts_allowed && job.may_start(binding),
            acknowledged_term: machine.acknowledged_term,
            may_still_start: source == HeartbeatSource::DirectResponse
                || machine.open_starts.contains(key, binding.attempt),
        };
        Some(task_verdict(binding, context, reported))
    }

    /// Updates the state according to a verdict and returns the command that follows from it.
    fn apply_verdict(
        &mut self,
        key: &TaskKey,
        verdict: TaskVerdict,
        machine: &MachineId,
        now: Instant,
    ) -> Option<TaskCommand> {
        match verdict {
            TaskVerdict::Exited(cause) => {
                self.fleet.machines.get_mut(machine)?.unacknowledged_commands = 0;
                self.record_exit(key, cause, now);
                None
            }
            TaskVerdict::Present(status) => {
                self.fleet.machines.get_mut(machine)?.unacknowledged_commands = 0;
                self.record_present(key, status, now)
            }
            TaskVerdict::Terminated => {
                self.confirm_terminated(key, now);
                None
            }
            TaskVerdict::StartUnacknowledged => {
                let quarantined_until = now + self.settings.worker_lease();
                self.fleet
                    .machines
                    .get_mut(machine)?
                    .record_unacknowledged_command(quarantined_until);
                info!(%machine, task = %key, "start command not acknowledged");
                self.confirm_terminated(key, now);
                None
            }
            TaskVerdict::StartDue => {
                let attempt = self.jobs.get(&key.job)?.bound.get(&key.task)?.attempt;
                let task = key.to_string();
                Some(TaskCommand { op: CommandKind::Start, task, attempt, grace_s: None })
            }
            TaskVerdict::Undetermined => None,
        }
    }

    /// Records that a task is on its machine, and returns the stop command if one is due.
    ///
    /// A task that is already saving a checkpoint gets no further stop command, unless its job
    /// has ended or twice the grace period has passed; the command then allows no grace.
    fn record_present(
        &mut self,
        key: &TaskKey,
        status: &TaskStatus,
        now: Instant,
    ) -> Option<TaskCommand> {
        let job = self.jobs.get_mut(&key.job)?;
        let job_ended = job.ended.is_some();
        let binding = job.bound.get_mut(&key.task)?;
        binding.starts_sent = 0;
        binding.observed = true;
        if status.state == TaskState::Running && binding.running_since.is_none() {
            binding.running_since = Some(now);
        }
        let stop = if job_ended {
            StopRequest { requested_at: now, grace_s: 0.0 }
        } else {
            binding.stop?
        };
        let overdue = now > stop.requested_at + Duration::from_secs_f64(stop.grace_s * 2.0);
        if status.state == TaskState::Saving && !job_ended && !overdue {
            return None;
        }
        Some(stop_command(status, if overdue { 0.0 } else { stop.grace_s }))
    }

    /// Adds commands for reported tasks that are not bound to the machine: the worker forgets
    /// exited tasks once their outcome is durable, and stops the others. Records the resources
    /// that the latter still use.
    fn reconcile_unmanaged_tasks(
        &mut self,
        reported: &HashMap<TaskKey, &TaskStatus>,
        heartbeat: &WorkerHeartbeat,
        commands: &mut Vec<TaskCommand>,
    ) {
        let mut unmanaged = Resources::default();
        let mut stops = Vec::new();
        for (key, &status) in reported {
            if self.is_managed(key, status, heartbeat) {
                continue;
            }
            if status.state == TaskState::Exited {
                if self.may_forget(key, status, &heartbeat.machine) {
                    commands.push(forget_command(status));
                }
            } else {
                if let Some(job) = self.jobs.get(&key.job) {
                    unmanaged.add(&Resources::of_task(&job.spec));
                }
                stops.push(stop_command(status, 0.0));
            }
        }
        log_unbound_attempts(heartbeat, &stops);
        self.counters.unbound_attempts += stops.len() as u64;
        commands.append(&mut stops);
        if let Some(machine) = self.fleet.machines.get_mut(&heartbeat.machine) {
            machine.unmanaged = unmanaged;
        }
    }

    /// Whether a reported attempt is bound to the machine that reports it.
    fn is_managed(&self, key: &TaskKey, status: &TaskStatus, heartbeat: &WorkerHeartbeat) -> bool {
        let binding = self.jobs.get(&key.job).and_then(|job| job.bound.get(&key.task));
        binding.is_some_and(|binding| {
            binding.machine == heartbeat.machine
                && binding.incarnation == heartbeat.incarnation
                && binding.attempt == status.attempt
        })
    }

    /// Whether a worker may forget an exited attempt, and so stop reporting it.
    fn may_forget(&self, key: &TaskKey, status: &TaskStatus, machine: &MachineId) -> bool {
        // The exit of a job's last task becomes durable with the record of the job's end.
        let finishing = self.jobs.get(&key.job).is_some_and(|job| job.remaining() == 0);
        // A worker ignores a start command for an attempt that it still lists. It must not forget
        // the attempt while a late command could start that attempt again.
        let machine = self.fleet.machines.get(machine);
        let may_still_start = machine.is_some_and(|m| m.open_starts.contains(key, status.attempt));
        !finishing && !may_still_start && !self.has_unwritten_changes(key)
    }
}

fn stop_command(status: &TaskStatus, grace_s: f64) -> TaskCommand {
    TaskCommand {
        op: CommandKind::Stop,
        task: status.task.clone(),
        attempt: status.attempt,
        grace_s: Some(grace_s),
    }
}

fn forget_command(status: &TaskStatus) -> TaskCommand {
    TaskCommand {
        op: CommandKind::Forget,
        task: status.task.clone(),
        attempt: status.attempt,
        grace_s: None,
    }
}
