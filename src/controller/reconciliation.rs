//! Reports in, commands out: what a worker's heartbeat proves of the tasks bound to
//! its machine, and the commands that go back with the answer or directly.

use std::collections::HashMap;

use tokio::time::{Duration, Instant};
use tracing::{debug, info};

use super::{Leader, StopRequest, Superseded, use_team};
use crate::{
    fleet::{Freshness, TaskKey},
    protocol::{
        CommandKind, ExitCause, MachineId, Shape, TaskCommand, TaskState, TaskStatus,
        WorkerHeartbeat,
    },
    scheduler::Resources,
};

impl Leader {
    /// Takes a heartbeat and answers with commands.
    pub fn on_heartbeat(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        now: Instant,
    ) -> Result<Vec<TaskCommand>, Superseded> {
        let commands = self.take_heartbeat(heartbeat, false, now)?;
        for command in commands.iter().filter(|o| o.op == CommandKind::Start) {
            if let Some(key) = TaskKey::parse(&command.task)
                && let Some(binding) =
                    self.jobs.get_mut(&key.job).and_then(|j| j.bound.get_mut(&key.task))
            {
                binding.starts_sent += 1;
            }
        }
        Ok(commands)
    }

    /// Takes a heartbeat whose worker is sent to look for another leader.
    pub fn send_away(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        now: Instant,
    ) -> Result<(), Superseded> {
        self.take_heartbeat(heartbeat, false, now)?;
        if let Some(machine) = self.fleet.machines.get_mut(&heartbeat.machine) {
            machine.redirected_at = Some(now);
        }
        Ok(())
    }

    /// Takes a heartbeat and tells which commands are due. As the answer to direct
    /// commands it proves no absence: the worker may still be waiting for an
    /// answer to its last own report, with a start command in it.
    pub(super) fn take_heartbeat(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        direct: bool,
        now: Instant,
    ) -> Result<Vec<TaskCommand>, Superseded> {
        if heartbeat.token > self.tokens.last() {
            return Err(Superseded);
        }
        let was_ready = self.is_ready(&heartbeat.machine, now);
        let lease = self.settings.worker_lease();
        match self.fleet.record_heartbeat(heartbeat, self.tokens, lease, now) {
            Freshness::Stale => return Ok(Vec::new()),
            Freshness::NewIncarnation => {
                self.lose_incarnations(&heartbeat.machine, heartbeat.incarnation, now)
            }
            Freshness::Newer => {}
        }
        if !direct && let Some(machine) = self.fleet.machines.get_mut(&heartbeat.machine) {
            machine.last_heartbeat = Some(now);
        }
        let reported: HashMap<TaskKey, &TaskStatus> = heartbeat
            .tasks
            .iter()
            .filter_map(|t| TaskKey::parse(&t.task).map(|key| (key, t)))
            .collect();
        let bound: Vec<TaskKey> = self
            .fleet
            .machines
            .get(&heartbeat.machine)
            .map(|m| m.bound.iter().cloned().collect())
            .unwrap_or_default();
        self.counters.heartbeats += 1;
        self.counters.reviewed += (bound.len() + reported.len()) as u64;
        let mut commands = Vec::new();
        for key in bound {
            self.review(&key, reported.get(&key).copied(), heartbeat, direct, &mut commands, now);
        }
        self.review_strangers(&reported, heartbeat, &mut commands);
        if self.is_ready(&heartbeat.machine, now) != was_ready {
            self.note_change();
        }
        let mine = self.fleet.machines.get(&heartbeat.machine).is_some_and(|m| m.acknowledged_term);
        // A worker that has not shown this token yet may still carry out
        // older commands; it is told the token first, and commands next time.
        Ok(if mine { commands } else { Vec::new() })
    }

    fn is_ready(&self, machine: &MachineId, now: Instant) -> bool {
        self.fleet
            .machines
            .get(machine)
            .is_some_and(|m| m.is_ready(now, self.settings.heartbeat_interval()))
    }

    /// One bound task against what the heartbeat says of it.
    fn review(
        &mut self,
        key: &TaskKey,
        reported: Option<&TaskStatus>,
        heartbeat: &WorkerHeartbeat,
        direct: bool,
        commands: &mut Vec<TaskCommand>,
        now: Instant,
    ) {
        let Some(machine) = self.fleet.machines.get_mut(&heartbeat.machine) else { return };
        let mine = machine.acknowledged_term;
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let ended = job.ended.is_some();
        let may_start = self.starts_allowed
            && job.bound.get(&key.task).is_some_and(|binding| job.may_start(binding));
        let Some(binding) = job.bound.get_mut(&key.task) else { return };
        if binding.incarnation != heartbeat.incarnation {
            return;
        }
        let may_still_start = direct || machine.open_starts.contains(key, binding.attempt);
        match reported.filter(|t| t.attempt == binding.attempt) {
            Some(task) if task.state == TaskState::Exited => {
                machine.unacknowledged_commands = 0;
                let cause = task.cause.unwrap_or(ExitCause::Error);
                self.exited(key, cause, now);
            }
            Some(task) => {
                machine.unacknowledged_commands = 0;
                binding.starts_sent = 0;
                binding.observed = true;
                if task.state == TaskState::Running && binding.running_since.is_none() {
                    binding.running_since = Some(now);
                }
                let stop = if ended {
                    Some(StopRequest { requested_at: now, grace_s: 0.0 })
                } else {
                    binding.stop
                };
                if let Some(stop) = stop {
                    let late =
                        now > stop.requested_at + Duration::from_secs_f64(stop.grace_s * 2.0);
                    if task.state != TaskState::Saving || ended || late {
                        commands.push(TaskCommand {
                            op: CommandKind::Stop,
                            task: task.task.clone(),
                            attempt: task.attempt,
                            grace_s: Some(if late { 0.0 } else { stop.grace_s }),
                        });
                    }
                }
            }
            // Orders in answers are never carried out late, so a newer report
            // at this token that lacks the task is proof, unless a direct
            // order may still start it.
            None if mine && !may_still_start && (ended || binding.stop.is_some()) => {
                self.gone(key, now)
            }
            None if mine && !may_still_start && binding.starts_sent >= 2 => {
                // Told twice and still not there: the answers don't arrive.
                machine.record_unacknowledged_command(now + self.settings.worker_lease());
                info!(machine = %heartbeat.machine, task = ?key, "the machine does not carry out orders");
                self.gone(key, now);
            }
            None if mine && may_start && reported.is_none() && !ended && binding.stop.is_none() => {
                commands.push(TaskCommand {
                    op: CommandKind::Start,
                    task: key.to_string(),
                    attempt: binding.attempt,
                    grace_s: None,
                });
            }
            None => {}
        }
    }

    /// Tasks on the machine that are not bound there: exited ones are cleared
    /// once their outcome is durable, others are stopped.
    fn review_strangers(
        &mut self,
        reported: &HashMap<TaskKey, &TaskStatus>,
        heartbeat: &WorkerHeartbeat,
        commands: &mut Vec<TaskCommand>,
    ) {
        let mut strangers = Resources::default();
        for (key, task) in reported {
            let job = self.jobs.get(&key.job);
            let bound = job.and_then(|j| j.bound.get(&key.task)).is_some_and(|b| {
                b.machine == heartbeat.machine
                    && b.incarnation == heartbeat.incarnation
                    && b.attempt == task.attempt
            });
            if bound {
                continue;
            }
            if task.state == TaskState::Exited {
                // A job's last exit is durable only with the job's end.
                let finishing = job.is_some_and(|j| j.remaining() == 0);
                // While it is listed, a late start command has no effect.
                let machine = self.fleet.machines.get(&heartbeat.machine);
                let may_still_start =
                    machine.is_some_and(|m| m.open_starts.contains(key, task.attempt));
                if !finishing && !may_still_start && !self.unwritten(key) {
                    commands.push(TaskCommand {
                        op: CommandKind::Forget,
                        task: task.task.clone(),
                        attempt: task.attempt,
                        grace_s: None,
                    });
                }
            } else {
                if let Some(job) = job {
                    strangers.add(&Resources::of_task(&job.spec));
                }
                commands.push(TaskCommand {
                    op: CommandKind::Stop,
                    task: task.task.clone(),
                    attempt: task.attempt,
                    grace_s: Some(0.0),
                });
            }
        }
        if let Some(machine) = self.fleet.machines.get_mut(&heartbeat.machine) {
            machine.unmanaged = strangers;
        }
    }

    fn exited(&mut self, key: &TaskKey, cause: ExitCause, now: Instant) {
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
            ExitCause::Error => self.failed(key, &id, now),
            ExitCause::NoRoom | ExitCause::Busy => {
                // What is known of the machine is wrong; its heartbeats will correct it.
                let until = now + self.settings.heartbeat_interval() * 4;
                if let Some(machine) = self.fleet.machines.get_mut(&id) {
                    machine.quarantined_until = Some(until);
                }
            }
            ExitCause::Unknown => {
                job.backoff_until = Some(now + self.settings.heartbeat_interval() * 2)
            }
            ExitCause::Stopped | ExitCause::Peers | ExitCause::Alone => {}
        }
        self.gone(key, now);
    }

    /// A task failed. Mostly the machine is at fault, but a job with a mistake
    /// fails everywhere; each is judged by how many of the other it met.
    fn failed(&mut self, key: &TaskKey, id: &MachineId, now: Instant) {
        let heartbeat_interval = self.settings.heartbeat_interval();
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        job.failures += 1;
        if !job.avoided_machines.contains(id) {
            job.avoided_machines.push(id.clone());
        }
        // Failed on several machines: the job itself waits longer and longer,
        // and the machines are not held responsible.
        let mistaken = job.avoided_machines.len() >= 3;
        if mistaken {
            let wait = heartbeat_interval * 2_u32.saturating_pow(job.failures.min(6));
            job.backoff_until = Some(now + wait);
            info!(job = %key.job, failures = job.failures, wait_s = wait.as_secs_f64(), "fails on every machine: waits");
            for machine in std::mem::take(&mut job.avoided_machines) {
                if let Some(machine) = self.fleet.machines.get_mut(&machine) {
                    machine.failed_jobs.remove(&key.job);
                    machine.quarantined_until = None;
                }
            }
        } else if let Some(machine) = self.fleet.machines.get_mut(id) {
            machine.failed_jobs.insert(key.job.clone());
            let wait = heartbeat_interval * 5 * machine.failed_jobs.len() as u32;
            machine.quarantined_until = Some(now + wait);
            info!(machine = %id, task = %key.to_string(), "a task failed: the machine rests");
        }
    }

    /// There is proof that the task is not on its machine.
    fn gone(&mut self, key: &TaskKey, now: Instant) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let Some(binding) = job.bound.remove(&key.task) else { return };
        let done = job.done.contains(&key.task);
        if !done {
            job.requeued.insert(key.task);
        }
        use_team(&mut self.usage, &job.spec, -1.0);
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
            // The rest of a broken gang can't go on; the next attempt starts
            // when all of this one are gone.
            let grace_s = job.grace_s();
            for other in job.bound.values_mut() {
                other.stop.get_or_insert(StopRequest { requested_at: now, grace_s });
            }
        }
        if job.ended.is_some() || job.remaining() == 0 {
            self.ending.insert(key.job.clone());
        }
        self.mark_page(key);
        self.note_change();
        self.round_due = true;
    }

    /// All tasks of incarnations before `incarnation` are gone from a machine.
    pub(super) fn lose_incarnations(&mut self, id: &MachineId, incarnation: u64, now: Instant) {
        let Some(machine) = self.fleet.machines.get(id) else { return };
        let bound: Vec<TaskKey> = machine.bound.iter().cloned().collect();
        for key in bound {
            let lost = self
                .jobs
                .get(&key.job)
                .and_then(|j| j.bound.get(&key.task))
                .is_some_and(|b| b.incarnation < incarnation);
            if lost {
                info!(job = %key.job, task = key.task, machine = %id, "task lost with its machine's session");
                self.gone(&key, now);
            }
        }
        if let Some(machine) = self.fleet.machines.get_mut(id) {
            machine.idle_since.get_or_insert(now);
        }
    }

    /// Whether this node sole_renewer_since seems cut off from the workers. Found out late,
    /// a successor would have no time left to be found by them within their
    /// lease: they look for it only after an answer has failed to come.
    pub fn is_isolated_from_workers(&self, now: Instant) -> bool {
        now > self.started + self.settings.worker_lease()
            && self.fleet.is_mostly_silent(now, self.settings.heartbeat_interval() * 5 / 2)
    }
}
