//! Commands sent to workers' own addresses.
//!
//! Which starts may still be carried out without an answer is kept by
//! `fleet::OpenStarts`. When no answer comes, the worker's token is raised
//! (`fencing.rs`): it learns of that with the next answer or command, and its heartbeat
//! after that settles all.

use tokio::time::Instant;

use super::{Leader, superseded::Superseded, task_verdict::HeartbeatSource};
use crate::{
    fleet::{Machine, TaskAttempt, TaskKey},
    protocol::{BODY_LIMIT, CommandKind, DirectCommands, MachineId, TaskCommand, WorkerHeartbeat},
};

/// No less than what a worker's heartbeat holds for one task.
const REPORTED_TASK_BYTES: usize = 128;

/// A machine with this many open starts gets further ones only with the answers
/// to its heartbeats: exits stay listed while starts are open, and may take up a small
/// part of a heartbeat only.
const MAX_OPEN_STARTS: usize = BODY_LIMIT / REPORTED_TASK_BYTES / 16;

/// Commands that leave now for one worker.
#[derive(Clone, Debug)]
pub struct DirectRequest {
    /// The request's number within the term.
    pub id: u64,
    /// The machine that the commands are for.
    pub machine: MachineId,
    /// The worker's own address.
    pub address: String,
    /// The body of the request.
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

/// What may be asked of a worker by direct commands.
#[derive(Clone, Copy)]
struct Authority {
    /// The incarnation that the commands are for.
    incarnation: u64,
    /// The worker is alive and has acknowledged this term. One whose heartbeats reach
    /// nobody, or not this leader yet, may still take commands: cancelled tasks are
    /// stopped there, and nothing else is asked of it.
    commanded: bool,
    /// Start commands may be sent.
    may_start: bool,
}

impl Leader {
    /// The token that commands to a worker carry.
    pub fn token_for(&self, machine: &str) -> u64 {
        let raised = self.fleet.machines.get(machine).map_or(0, |m| m.token);
        raised.max(self.tokens.first())
    }

    /// Composes commands for as many machines as there are free calls, so that none
    /// waits for a socket after it was decided.
    pub fn take_direct_requests(&mut self, now: Instant) -> Vec<DirectRequest> {
        let mut requests = Vec::new();
        for _ in 0..self.direct_calls.waiting_machines() {
            if self.direct_calls.calls_in_flight() >= self.settings.max_direct_calls() {
                break;
            }
            let Some(id) = self.direct_calls.pop() else { break };
            let Some(machine) = self.fleet.machines.get(&id) else { continue };
            if machine.commands_in_flight {
                self.direct_calls.push(id);
                continue;
            }
            requests.extend(self.compose_request(&id, now));
        }
        requests
    }

    /// The request with all commands that are due for a machine, if any.
    fn compose_request(&mut self, id: &MachineId, now: Instant) -> Option<DirectRequest> {
        let machine = self.fleet.machines.get(id)?;
        let authority = self.authority_over(machine, now);
        if (machine.deleting && !authority.commanded) || machine.address.is_empty() {
            return None;
        }
        let due = machine.bound.iter();
        let due = due.filter_map(|key| Some((key, self.direct_command(key, authority)?)));
        let (mut commands, mut starts) = (Vec::new(), Vec::new());
        for (key, command) in due {
            if command.op == CommandKind::Start {
                starts.push(TaskAttempt { key: key.clone(), attempt: command.attempt });
            }
            commands.push(command);
        }
        if commands.is_empty() {
            return None;
        }
        let request = self.direct_calls.begin();
        let token = self.token_for(id);
        let machine = self.fleet.machines.get_mut(id)?;
        machine.commands_in_flight = true;
        machine.open_starts.record_sent(request, token, starts);
        let address = machine.address.clone();
        let commands = DirectCommands { token, incarnation: authority.incarnation, commands };
        Some(DirectRequest { id: request, machine: id.clone(), address, commands })
    }

    fn authority_over(&self, machine: &Machine, now: Instant) -> Authority {
        let heartbeat_interval = self.settings.heartbeat_interval();
        let usable = machine.is_usable(now, heartbeat_interval) || machine.reclaim_at.is_some();
        let commanded = usable && machine.acknowledged_term;
        let recorded =
            |key: &TaskKey| Some(self.jobs.get(&key.job)?.bound.get(&key.task)?.incarnation);
        let open_starts = machine.open_starts.len();
        Authority {
            incarnation: machine.incarnation(machine.bound.iter().filter_map(recorded)),
            commanded,
            may_start: commanded && self.starts_allowed && open_starts < MAX_OPEN_STARTS,
        }
    }

    /// The direct command that is due for one task bound to a machine.
    fn direct_command(&self, key: &TaskKey, authority: Authority) -> Option<TaskCommand> {
        let Authority { incarnation, commanded, may_start } = authority;
        let job = self.jobs.get(&key.job)?;
        let binding = job.bound.get(&key.task)?;
        if binding.incarnation != incarnation || !binding.durable {
            return None;
        }
        let cancelled = job.ended.is_some();
        let grace_s = if cancelled { Some(0.0) } else { binding.stop.map(|stop| stop.grace_s) };
        let op = match grace_s {
            None if may_start && !binding.observed && job.may_start(binding) => CommandKind::Start,
            Some(_) if commanded && binding.observed => CommandKind::Stop,
            Some(_) if !commanded && cancelled => CommandKind::Stop,
            _ => return None,
        };
        Some(TaskCommand { op, task: key.to_string(), attempt: binding.attempt, grace_s })
    }

    /// Takes what became of a direct request.
    ///
    /// Fails if the worker has seen a higher token than this term's.
    pub fn on_direct_outcome(
        &mut self,
        request: &DirectRequest,
        outcome: DirectOutcome,
        now: Instant,
    ) -> Result<(), Superseded> {
        self.direct_calls.finish(request.id);
        let Some(machine) = self.fleet.machines.get_mut(&request.machine) else { return Ok(()) };
        machine.commands_in_flight = false;
        match outcome {
            // Another machine may have its address by now.
            DirectOutcome::Answered(heartbeat) if heartbeat.machine == request.machine => {
                machine.open_starts.settle(request.id);
                self.take_heartbeat(heartbeat, HeartbeatSource::DirectResponse, now).map(|_| ())
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
