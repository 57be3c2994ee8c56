//! Reports in, orders out: what a worker's report proves of the tasks bound to
//! its machine, and the orders that go back with the answer or directly.

use std::collections::HashMap;

use tokio::time::{Duration, Instant};
use tracing::{debug, info};

use super::{Deposed, Leader, Stop, use_team};
use crate::{
    fleet::{Freshness, TaskKey, parse_task, task_name},
    protocol::{Cause, MachineId, Op, Order, Report, Shape, TaskReport, TaskState},
    scheduler::Resources,
};

impl Leader {
    /// Takes a report and answers with orders.
    pub fn on_report(&mut self, report: &Report, now: Instant) -> Result<Vec<Order>, Deposed> {
        let orders = self.take_report(report, false, now)?;
        for order in orders.iter().filter(|o| o.op == Op::Start) {
            if let Some(key) = parse_task(&order.task)
                && let Some(binding) =
                    self.jobs.get_mut(&key.0).and_then(|j| j.bound.get_mut(&key.1))
            {
                binding.sent += 1;
            }
        }
        Ok(orders)
    }

    /// Takes a report whose worker is sent to look for another leader.
    pub fn send_away(&mut self, report: &Report, now: Instant) -> Result<(), Deposed> {
        self.take_report(report, false, now)?;
        if let Some(machine) = self.fleet.machines.get_mut(&report.machine) {
            machine.sent_away = Some(now);
        }
        Ok(())
    }

    /// Takes a report and tells which orders are due. As the answer to direct
    /// orders it proves no absence: the worker may still be waiting for an
    /// answer to its last own report, with a start order in it.
    pub(super) fn take_report(
        &mut self,
        report: &Report,
        direct: bool,
        now: Instant,
    ) -> Result<Vec<Order>, Deposed> {
        if report.token > self.tokens.last() {
            return Err(Deposed);
        }
        let was_ready = self.is_ready(&report.machine, now);
        let lease = self.settings.worker_lease();
        match self.fleet.note_report(report, self.tokens, lease, now) {
            Freshness::Stale => return Ok(Vec::new()),
            Freshness::NewSession => self.lose_sessions(&report.machine, report.session, now),
            Freshness::Newer => {}
        }
        if !direct && let Some(machine) = self.fleet.machines.get_mut(&report.machine) {
            machine.reported = Some(now);
        }
        let reported: HashMap<TaskKey, &TaskReport> =
            report.tasks.iter().filter_map(|t| parse_task(&t.task).map(|key| (key, t))).collect();
        let bound: Vec<TaskKey> = self
            .fleet
            .machines
            .get(&report.machine)
            .map(|m| m.bound.iter().cloned().collect())
            .unwrap_or_default();
        self.effort.reports += 1;
        self.effort.reviewed += (bound.len() + reported.len()) as u64;
        let mut orders = Vec::new();
        for key in bound {
            self.review(&key, reported.get(&key).copied(), report, direct, &mut orders, now);
        }
        self.review_strangers(&reported, report, &mut orders);
        if self.is_ready(&report.machine, now) != was_ready {
            self.note_change();
        }
        let mine = self.fleet.machines.get(&report.machine).is_some_and(|m| m.mine);
        // A worker that has not shown this token yet may still carry out
        // older orders; it is told the token first, and orders next time.
        Ok(if mine { orders } else { Vec::new() })
    }

    fn is_ready(&self, machine: &MachineId, now: Instant) -> bool {
        self.fleet.machines.get(machine).is_some_and(|m| m.ready(now, self.settings.report()))
    }

    /// One bound task against what the report says of it.
    fn review(
        &mut self,
        key: &TaskKey,
        reported: Option<&TaskReport>,
        report: &Report,
        direct: bool,
        orders: &mut Vec<Order>,
        now: Instant,
    ) {
        let Some(machine) = self.fleet.machines.get_mut(&report.machine) else { return };
        let mine = machine.mine;
        let Some(job) = self.jobs.get_mut(&key.0) else { return };
        let ended = job.ended.is_some();
        let may_start = self.starts_allowed
            && job.bound.get(&key.1).is_some_and(|binding| job.may_start(binding));
        let Some(binding) = job.bound.get_mut(&key.1) else { return };
        if binding.session != report.session {
            return;
        }
        let may_still_start = direct || machine.open_starts.holds(key, binding.attempt);
        match reported.filter(|t| t.attempt == binding.attempt) {
            Some(task) if task.state == TaskState::Exited => {
                machine.deaf = 0;
                let cause = task.cause.unwrap_or(Cause::Error);
                self.exited(key, cause, now);
            }
            Some(task) => {
                machine.deaf = 0;
                binding.sent = 0;
                binding.seen = true;
                if task.state == TaskState::Running && binding.running_since.is_none() {
                    binding.running_since = Some(now);
                }
                let stop =
                    if ended { Some(Stop { since: now, grace_s: 0.0 }) } else { binding.stop };
                if let Some(stop) = stop {
                    let late = now > stop.since + Duration::from_secs_f64(stop.grace_s * 2.0);
                    if task.state != TaskState::Saving || ended || late {
                        orders.push(Order {
                            op: Op::Stop,
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
            None if mine && !may_still_start && binding.sent >= 2 => {
                // Told twice and still not there: the answers don't arrive.
                machine.deaf += 1;
                machine.shunned_until = Some(now + self.settings.worker_lease());
                info!(machine = %report.machine, task = ?key, "the machine does not carry out orders");
                self.gone(key, now);
            }
            None if mine && may_start && reported.is_none() && !ended && binding.stop.is_none() => {
                orders.push(Order {
                    op: Op::Start,
                    task: task_name(&key.0, key.1),
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
        reported: &HashMap<TaskKey, &TaskReport>,
        report: &Report,
        orders: &mut Vec<Order>,
    ) {
        let mut strangers = Resources::default();
        for (key, task) in reported {
            let job = self.jobs.get(&key.0);
            let bound = job.and_then(|j| j.bound.get(&key.1)).is_some_and(|b| {
                b.machine == report.machine
                    && b.session == report.session
                    && b.attempt == task.attempt
            });
            if bound {
                continue;
            }
            if task.state == TaskState::Exited {
                // A job's last exit is durable only with the job's end.
                let finishing = job.is_some_and(|j| j.remaining() == 0);
                // While it is listed, a late start order has no effect.
                let machine = self.fleet.machines.get(&report.machine);
                let may_still_start =
                    machine.is_some_and(|m| m.open_starts.holds(key, task.attempt));
                if !finishing && !may_still_start && !self.unwritten(key) {
                    orders.push(Order {
                        op: Op::Forget,
                        task: task.task.clone(),
                        attempt: task.attempt,
                        grace_s: None,
                    });
                }
            } else {
                if let Some(job) = job {
                    strangers.add(&Resources::of_task(&job.spec));
                }
                orders.push(Order {
                    op: Op::Stop,
                    task: task.task.clone(),
                    attempt: task.attempt,
                    grace_s: Some(0.0),
                });
            }
        }
        if let Some(machine) = self.fleet.machines.get_mut(&report.machine) {
            machine.strangers = strangers;
        }
    }

    fn exited(&mut self, key: &TaskKey, cause: Cause, now: Instant) {
        debug!(job = %key.0, task = key.1, ?cause, "task exited");
        let Some(job) = self.jobs.get_mut(&key.0) else { return };
        let Some(binding) = job.bound.get(&key.1) else { return };
        let id = binding.machine.clone();
        match cause {
            Cause::Done => {
                job.done.insert(key.1);
                job.failures = 0;
                if let Some(machine) = self.fleet.machines.get_mut(&id) {
                    machine.failed_jobs.clear();
                    machine.shunned_until = None;
                }
            }
            Cause::Error => self.failed(key, &id, now),
            Cause::NoRoom | Cause::Busy => {
                // Our picture of the machine is off; its reports will mend it.
                let until = now + self.settings.report() * 4;
                if let Some(machine) = self.fleet.machines.get_mut(&id) {
                    machine.shunned_until = Some(until);
                }
            }
            Cause::Unknown => job.held_until = Some(now + self.settings.report() * 2),
            Cause::Stopped | Cause::Peers | Cause::Alone => {}
        }
        self.gone(key, now);
    }

    /// A task failed. Mostly the machine is at fault, but a job with a mistake
    /// fails everywhere; each is judged by how many of the other it met.
    fn failed(&mut self, key: &TaskKey, id: &MachineId, now: Instant) {
        let report = self.settings.report();
        let Some(job) = self.jobs.get_mut(&key.0) else { return };
        job.failures += 1;
        if !job.avoid.contains(id) {
            job.avoid.push(id.clone());
        }
        // Failed on several machines: the job itself waits longer and longer,
        // and the machines are not held responsible.
        let mistaken = job.avoid.len() >= 3;
        if mistaken {
            let wait = report * 2_u32.saturating_pow(job.failures.min(6));
            job.held_until = Some(now + wait);
            info!(job = %key.0, failures = job.failures, wait_s = wait.as_secs_f64(), "fails on every machine: waits");
            for machine in std::mem::take(&mut job.avoid) {
                if let Some(machine) = self.fleet.machines.get_mut(&machine) {
                    machine.failed_jobs.remove(&key.0);
                    machine.shunned_until = None;
                }
            }
        } else if let Some(machine) = self.fleet.machines.get_mut(id) {
            machine.failed_jobs.insert(key.0.clone());
            let wait = report * 5 * machine.failed_jobs.len() as u32;
            machine.shunned_until = Some(now + wait);
            info!(machine = %id, task = %task_name(&key.0, key.1), "a task failed: the machine rests");
        }
    }

    /// There is proof that the task is not on its machine.
    fn gone(&mut self, key: &TaskKey, now: Instant) {
        let Some(job) = self.jobs.get_mut(&key.0) else { return };
        let Some(binding) = job.bound.remove(&key.1) else { return };
        let done = job.done.contains(&key.1);
        if !done {
            job.returned.insert(key.1);
        }
        use_team(&mut self.usage, &job.spec, -1.0);
        if let Some(machine) = self.fleet.machines.get_mut(&binding.machine) {
            if !done && machine.open_starts.holds_task(key) {
                job.lingers_on.insert(binding.machine.clone());
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
                other.stop.get_or_insert(Stop { since: now, grace_s });
            }
        }
        if job.ended.is_some() || job.remaining() == 0 {
            self.ending.insert(key.0.clone());
        }
        self.mark_page(key);
        self.note_change();
        self.round_due = true;
    }

    /// All tasks of sessions before `session` are gone from a machine.
    pub(super) fn lose_sessions(&mut self, id: &MachineId, session: u64, now: Instant) {
        let Some(machine) = self.fleet.machines.get(id) else { return };
        let bound: Vec<TaskKey> = machine.bound.iter().cloned().collect();
        for key in bound {
            let lost = self
                .jobs
                .get(&key.0)
                .and_then(|j| j.bound.get(&key.1))
                .is_some_and(|b| b.session < session);
            if lost {
                info!(job = %key.0, task = key.1, machine = %id, "task lost with its machine's session");
                self.gone(&key, now);
            }
        }
        if let Some(machine) = self.fleet.machines.get_mut(id) {
            machine.idle_since.get_or_insert(now);
        }
    }

    /// Whether this node alone seems cut off from the workers. Found out late,
    /// a successor would have no time left to be found by them within their
    /// lease: they look for it only after an answer has failed to come.
    pub fn deserted(&self, now: Instant) -> bool {
        now > self.started + self.settings.worker_lease()
            && self.fleet.mostly_silent(now, self.settings.report() * 5 / 2)
    }
}
