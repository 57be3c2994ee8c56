//! Orders sent to workers' own addresses.
//!
//! A request without an answer may still be carried out for as long as token and
//! incarnation match, and a worker that has cleared an attempt starts it again. So
//! this module owns one invariant: **a start that was sent directly stays open
//! until its own request is answered, the worker shows a higher token than the
//! request has, or the worker's incarnation ends.** While it is open, the task's absence
//! proves nothing, its exit is not cleared, and no other attempt of the task is
//! placed on that machine. An answer to another request, even one that carries the
//! same start, settles nothing of it.
//!
//! When no answer comes, the worker's token is raised (`fencing.rs`): it learns of
//! that with the next answer or order, and its report after that settles all.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque, hash_map::Entry};

use tokio::time::Instant;

use super::{Leader, Superseded};
use crate::{
    fleet::{TaskKey, task_name},
    protocol::{BODY_LIMIT, CommandKind, DirectCommands, MachineId, TaskCommand, WorkerHeartbeat},
};

/// No less than what a worker's heartbeat holds for one task.
const REPORTED_TASK_BYTES: usize = 128;

/// A machine with this many open starts gets further ones only with the answers
/// to its heartbeats: exits stay listed while starts are open, and may take up a small
/// part of a heartbeat only.
const MAX_OPEN_STARTS: usize = BODY_LIMIT / REPORTED_TASK_BYTES / 16;

/// One attempt to run a task.
pub type Attempt = (TaskKey, u64);

/// The starts of one request, and the token that it was sent with.
#[derive(Debug)]
struct SentStarts {
    token: u64,
    starts: Vec<Attempt>,
}

/// Requests with starts that no answer has come for, of a worker's present
/// incarnation.
#[derive(Debug, Default)]
pub struct OpenStarts {
    requests: BTreeMap<u64, SentStarts>,
    /// In how many of them each start is.
    starts: HashMap<Attempt, u32>,
}

impl OpenStarts {
    fn sent(&mut self, request: u64, token: u64, starts: Vec<Attempt>) {
        for start in &starts {
            *self.starts.entry(start.clone()).or_default() += 1;
        }
        if !starts.is_empty() {
            self.requests.insert(request, SentStarts { token, starts });
        }
    }

    /// The request was carried out or refused, or never left.
    fn settled(&mut self, request: u64) {
        let starts = self.requests.remove(&request).map(|sent| sent.starts);
        for start in starts.into_iter().flatten() {
            if let Entry::Occupied(mut requests) = self.starts.entry(start) {
                *requests.get_mut() -= 1;
                if *requests.get() == 0 {
                    requests.remove();
                }
            }
        }
    }

    /// The worker has seen this token, and takes no commands with a lower one.
    pub fn fence(&mut self, token: u64) {
        let lower = self.requests.iter().filter(|(_, sent)| sent.token < token);
        let void: Vec<u64> = lower.map(|(request, _)| *request).collect();
        for request in void {
            self.settled(request);
        }
    }

    fn is_open(&self, request: u64) -> bool {
        self.requests.contains_key(&request)
    }

    /// Orders name an incarnation, and are void in the next one.
    pub fn end_incarnation(&mut self) {
        self.requests.clear();
        self.starts.clear();
    }

    /// Whether an attempt may still be started by a request under way.
    pub fn holds(&self, task: &TaskKey, attempt: u64) -> bool {
        !self.starts.is_empty() && self.starts.contains_key(&(task.clone(), attempt))
    }

    /// The same for any attempt of a task.
    pub fn holds_task(&self, task: &TaskKey) -> bool {
        self.starts.keys().any(|(held, _)| held == task)
    }

    /// The same for any task of a job.
    pub fn holds_job(&self, job: &str) -> bool {
        self.starts.keys().any(|((held, _), _)| **held == *job)
    }

    fn count(&self) -> usize {
        self.starts.len()
    }
}

/// Machines with commands that should not wait for their next report, each once,
/// the longest waiting first: calls may be fewer than machines.
#[derive(Default)]
pub struct CommandQueue {
    order: VecDeque<MachineId>,
    queued: BTreeSet<MachineId>,
}

impl CommandQueue {
    pub fn push(&mut self, machine: MachineId) {
        if self.queued.insert(machine.clone()) {
            self.order.push_back(machine);
        }
    }

    fn pop(&mut self) -> Option<MachineId> {
        let machine = self.order.pop_front()?;
        self.queued.remove(&machine);
        Some(machine)
    }

    fn len(&self) -> usize {
        self.order.len()
    }
}

/// Orders that leave now for one worker.
#[derive(Clone, Debug)]
pub struct DirectRequest {
    pub id: u64,
    pub machine: MachineId,
    pub address: String,
    pub commands: DirectCommands,
}

/// What became of a direct request.
#[derive(Clone, Copy, Debug)]
pub enum DirectOutcome<'a> {
    /// Carried out, or refused as a whole: the worker's heartbeat after that.
    Answered(&'a WorkerHeartbeat),
    /// No connection came about, so it will never be carried out.
    NotDelivered,
    /// It may have been carried out, or may still be.
    Unknown,
}

impl Leader {
    /// The token that commands to a worker carry.
    pub fn token_for(&self, machine: &str) -> u64 {
        let raised = self.fleet.machines.get(machine).map_or(0, |m| m.token);
        raised.max(self.tokens.first())
    }

    /// Composes commands for as many machines as there are free calls, so that none
    /// waits for a socket after it was decided.
    pub fn take_direct(&mut self, now: Instant) -> Vec<DirectRequest> {
        let mut requests = Vec::new();
        for _ in 0..self.needs_command.len() {
            if self.calls.len() >= self.settings.direct_calls() {
                break;
            }
            let Some(id) = self.needs_command.pop() else { break };
            let Some(machine) = self.fleet.machines.get(&id) else { continue };
            if machine.commands_in_flight {
                self.needs_command.push(id);
                continue;
            }
            requests.extend(self.compose(&id, now));
        }
        requests
    }

    /// What a machine should be told now, if anything.
    fn compose(&mut self, id: &MachineId, now: Instant) -> Option<DirectRequest> {
        let machine = self.fleet.machines.get(id)?;
        // A worker whose reports reach nobody, or not this leader yet, may still
        // take commands: cancelled tasks are stopped there, and nothing else is
        // asked of it.
        let heartbeat_interval = self.settings.heartbeat_interval();
        let usable = machine.usable(now, heartbeat_interval) || machine.notice_until.is_some();
        let commanded = usable && machine.mine;
        if (machine.deleting && !commanded) || machine.address.is_empty() {
            return None;
        }
        let recorded = |key: &TaskKey| Some(self.jobs.get(&key.0)?.bound.get(&key.1)?.incarnation);
        let incarnation = machine.incarnation(machine.bound.iter().filter_map(recorded));
        let may_start =
            commanded && self.starts_allowed && machine.open_starts.count() < MAX_OPEN_STARTS;
        let commands: Vec<TaskCommand> = machine
            .bound
            .iter()
            .filter_map(|key| self.direct_command(key, incarnation, commanded, may_start))
            .collect();
        if commands.is_empty() {
            return None;
        }
        let starts = machine.bound.iter().filter_map(|key| {
            let binding = self.jobs.get(&key.0)?.bound.get(&key.1)?;
            let name = task_name(&key.0, key.1);
            let starts = commands.iter().any(|o| o.op == CommandKind::Start && o.task == name);
            starts.then(|| (key.clone(), binding.attempt))
        });
        let starts: Vec<Attempt> = starts.collect();
        self.requests_sent += 1;
        let request = self.requests_sent;
        self.calls.insert(request);
        let token = self.token_for(id);
        let machine = self.fleet.machines.get_mut(id)?;
        machine.commands_in_flight = true;
        machine.open_starts.sent(request, token, starts);
        let address = machine.address.clone();
        let commands = DirectCommands { token, incarnation, commands };
        Some(DirectRequest { id: request, machine: id.clone(), address, commands })
    }

    /// What a worker is told directly of one task that is bound to it.
    fn direct_command(
        &self,
        key: &TaskKey,
        incarnation: u64,
        commanded: bool,
        may_start: bool,
    ) -> Option<TaskCommand> {
        let job = self.jobs.get(&key.0)?;
        let binding = job.bound.get(&key.1)?;
        if binding.incarnation != incarnation || !binding.durable {
            return None;
        }
        let cancelled = job.ended.is_some();
        let stop = if cancelled { Some(0.0) } else { binding.stop.map(|stop| stop.grace_s) };
        let op = match stop {
            None if may_start && !binding.seen && job.may_start(binding) => CommandKind::Start,
            Some(_) if commanded && binding.seen => CommandKind::Stop,
            Some(_) if !commanded && cancelled => CommandKind::Stop,
            _ => return None,
        };
        let task = task_name(&key.0, key.1);
        Some(TaskCommand { op, task, attempt: binding.attempt, grace_s: stop })
    }

    /// Takes in what became of a direct request.
    pub fn on_direct(
        &mut self,
        request: &DirectRequest,
        outcome: DirectOutcome,
        now: Instant,
    ) -> Result<(), Superseded> {
        self.calls.remove(&request.id);
        let Some(machine) = self.fleet.machines.get_mut(&request.machine) else { return Ok(()) };
        machine.commands_in_flight = false;
        match outcome {
            // Another machine may have its address by now.
            DirectOutcome::Answered(heartbeat) if heartbeat.machine == request.machine => {
                machine.open_starts.settled(request.id);
                self.take_heartbeat(heartbeat, true, now).map(|_| ())
            }
            DirectOutcome::NotDelivered => {
                machine.open_starts.settled(request.id);
                Ok(())
            }
            DirectOutcome::Answered(_) | DirectOutcome::Unknown => {
                if machine.open_starts.is_open(request.id) {
                    machine.token = machine.token.max(self.tokens.above(request.commands.token));
                }
                Ok(())
            }
        }
    }
}
