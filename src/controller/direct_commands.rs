//! Commands sent to workers' own addresses.
//!
//! Which starts may still be carried out without an answer is kept by
//! `fleet::OpenStarts`. When no answer comes, the worker's token is raised
//! (`fencing.rs`): it learns of that with the next answer or command, and its heartbeat
//! after that settles all.

use std::collections::{BTreeSet, VecDeque};

use tokio::time::Instant;

use super::{Leader, Superseded};
use crate::{
    fleet::{TaskAttempt, TaskKey},
    protocol::{BODY_LIMIT, CommandKind, DirectCommands, MachineId, TaskCommand, WorkerHeartbeat},
};

/// No less than what a worker's heartbeat holds for one task.
const REPORTED_TASK_BYTES: usize = 128;

/// A machine with this many open starts gets further ones only with the answers
/// to its heartbeats: exits stay listed while starts are open, and may take up a small
/// part of a heartbeat only.
const MAX_OPEN_STARTS: usize = BODY_LIMIT / REPORTED_TASK_BYTES / 16;

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
        let usable = machine.is_usable(now, heartbeat_interval) || machine.reclaim_at.is_some();
        let commanded = usable && machine.acknowledged_term;
        if (machine.deleting && !commanded) || machine.address.is_empty() {
            return None;
        }
        let recorded =
            |key: &TaskKey| Some(self.jobs.get(&key.job)?.bound.get(&key.task)?.incarnation);
        let incarnation = machine.incarnation(machine.bound.iter().filter_map(recorded));
        let may_start =
            commanded && self.starts_allowed && machine.open_starts.len() < MAX_OPEN_STARTS;
        let commands: Vec<TaskCommand> = machine
            .bound
            .iter()
            .filter_map(|key| self.direct_command(key, incarnation, commanded, may_start))
            .collect();
        if commands.is_empty() {
            return None;
        }
        let starts = machine.bound.iter().filter_map(|key| {
            let binding = self.jobs.get(&key.job)?.bound.get(&key.task)?;
            let name = key.to_string();
            let starts = commands.iter().any(|o| o.op == CommandKind::Start && o.task == name);
            starts.then(|| TaskAttempt { key: key.clone(), attempt: binding.attempt })
        });
        let starts: Vec<TaskAttempt> = starts.collect();
        self.requests_sent += 1;
        let request = self.requests_sent;
        self.calls.insert(request);
        let token = self.token_for(id);
        let machine = self.fleet.machines.get_mut(id)?;
        machine.commands_in_flight = true;
        machine.open_starts.record_sent(request, token, starts);
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
        let job = self.jobs.get(&key.job)?;
        let binding = job.bound.get(&key.task)?;
        if binding.incarnation != incarnation || !binding.durable {
            return None;
        }
        let cancelled = job.ended.is_some();
        let stop = if cancelled { Some(0.0) } else { binding.stop.map(|stop| stop.grace_s) };
        let op = match stop {
            None if may_start && !binding.observed && job.may_start(binding) => CommandKind::Start,
            Some(_) if commanded && binding.observed => CommandKind::Stop,
            Some(_) if !commanded && cancelled => CommandKind::Stop,
            _ => return None,
        };
        let task = key.to_string();
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
                machine.open_starts.settle(request.id);
                self.take_heartbeat(heartbeat, true, now).map(|_| ())
            }
            DirectOutcome::NotDelivered => {
                machine.open_starts.settle(request.id);
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
