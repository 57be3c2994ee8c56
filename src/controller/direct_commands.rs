//! Direct commands: commands that the leader sends to workers' own addresses, without waiting
//! for their next heartbeats.
//!
//! `fleet::OpenStarts` keeps the start commands that have no response yet and may still be
//! carried out. If a request gets no response, the leader raises the worker's fencing token
//! (`fencing.rs`). The next heartbeat response or direct command carries the higher token to
//! the worker, and the worker's heartbeat after that closes the open starts.
//!
//! A copy of a request may also arrive after the request was answered. It starts nothing as
//! long as the worker lists the attempts, so the leader raises the token with the response that
//! makes the worker forget one of them. The term's last token is kept for that: no start
//! command is sent directly under it.

use tokio::time::Instant;

use super::{
    Leader,
    command_log::{is_refusal, log_direct_outcome, log_direct_starts},
    superseded::Superseded,
    task_verdict::HeartbeatSource,
};
use crate::{
    fleet::{Machine, TaskAttempt, TaskKey},
    protocol::{BODY_LIMIT, CommandKind, DirectCommands, MachineId, TaskCommand, WorkerHeartbeat},
};

/// An upper bound on the size of one task's status in a heartbeat.
const MAX_TASK_STATUS_BYTES: usize = 128;

/// The number of open starts from which a machine gets further starts only in the responses to
/// its heartbeats. While a start is open the worker keeps reporting the attempt's exit, and
/// these exits may take up only a small part of a heartbeat, here a sixteenth of the body limit.
const MAX_OPEN_STARTS: usize = BODY_LIMIT / MAX_TASK_STATUS_BYTES / 16;

/// The number of forget commands in a response up to which they wait for a request in flight.
/// Like open starts, the exits meanwhile may take up only a small part of a heartbeat.
const MAX_DEFERRED_FORGETS: usize = MAX_OPEN_STARTS;

/// A request with direct commands, to be sent to one worker now.
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

/// The outcome of a direct request.
#[derive(Clone, Copy, Debug)]
pub enum DirectOutcome<'a> {
    /// The worker carried the request out or refused it as a whole, and responded with this
    /// heartbeat.
    Answered(&'a WorkerHeartbeat),
    /// No connection was established, so the request will never be carried out.
    NotDelivered,
    /// The request may have been carried out, or may be carried out later.
    Unknown,
}

/// Which direct commands may be sent to a worker.
#[derive(Clone, Copy)]
struct Authority {
    /// The incarnation that the commands are for.
    incarnation: u64,
    /// The worker is alive and has acknowledged this term. Otherwise it may still receive
    /// direct commands, even if its heartbeats reach no controller or have not reached this
    /// leader yet: it is sent stop commands for cancelled tasks, and no others.
    controlled: bool,
    /// Start commands may be sent.
    may_start: bool,
}

impl Leader {
    /// Returns the fencing token that commands to a worker carry.
    pub fn token_for(&self, machine: &str) -> u64 {
        let highest_known = self.fleet.machines.get(machine).map_or(0, |m| m.token);
        highest_known.max(self.tokens.first())
    }

    /// Returns the requests to send now, for at most as many machines as the limit on direct
    /// requests in flight allows. So no request waits for a socket after its commands were
    /// decided.
    pub fn take_direct_requests(&mut self, now: Instant) -> Vec<DirectRequest> {
        let mut requests = Vec::new();
        for _ in 0..self.direct_calls.waiting_machines() {
            if self.direct_calls.requests_in_flight() >= self.settings.max_direct_calls() {
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
        requests.iter().for_each(log_direct_starts);
        self.counters.direct_requests += requests.len() as u64;
        requests
    }

    /// Returns a request with all commands that are due for a machine, if there are any, and
    /// records the request as sent.
    fn compose_request(&mut self, id: &MachineId, now: Instant) -> Option<DirectRequest> {
        let machine = self.fleet.machines.get(id)?;
        let authority = self.authority_over(machine, now);
        if (machine.deleting && !authority.controlled) || machine.address.is_empty() {
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
        let request_id = self.direct_calls.begin();
        let token = self.token_for(id);
        let machine = self.fleet.machines.get_mut(id)?;
        machine.commands_in_flight = true;
        machine.open_starts.record_sent(request_id, token, starts);
        let address = machine.address.clone();
        let commands = DirectCommands { token, incarnation: authority.incarnation, commands };
        Some(DirectRequest { id: request_id, machine: id.clone(), address, commands })
    }

    /// Returns which direct commands may be sent to the worker of a machine now. A worker whose
    /// machine the cloud is about to reclaim gets commands too.
    fn authority_over(&self, machine: &Machine, now: Instant) -> Authority {
        let heartbeat_interval = self.settings.heartbeat_interval();
        let usable = machine.is_usable(now, heartbeat_interval) || machine.reclaim_at.is_some();
        let controlled = usable && machine.acknowledged_term;
        let bound_incarnation =
            |key: &TaskKey| Some(self.jobs.get(&key.job)?.bound.get(&key.task)?.incarnation);
        let open_starts = machine.open_starts.len();
        Authority {
            incarnation: machine.incarnation(machine.bound.iter().filter_map(bound_incarnation)),
            controlled,
            may_start: controlled
                && self.starts_allowed
                && open_starts < MAX_OPEN_STARTS
                && self.tokens.can_raise(machine.token.max(self.tokens.first())),
        }
    }

    /// Returns the direct command that is due for one bound task, if any.
    fn direct_command(&self, key: &TaskKey, authority: Authority) -> Option<TaskCommand> {
        let Authority { incarnation, controlled, may_start } = authority;
        let job = self.jobs.get(&key.job)?;
        let binding = job.bound.get(&key.task)?;
        if binding.incarnation != incarnation || !binding.durable {
            return None;
        }
        let cancelled = job.ended.is_some();
        let grace_s = if cancelled { Some(0.0) } else { binding.stop.map(|stop| stop.grace_s) };
        let op = match grace_s {
            None if may_start && !binding.observed && job.may_start(binding) => CommandKind::Start,
            Some(_) if controlled && binding.observed => CommandKind::Stop,
            Some(_) if !controlled && cancelled => CommandKind::Stop,
            _ => return None,
        };
        Some(TaskCommand { op, task: key.to_string(), attempt: binding.attempt, grace_s })
    }

    /// Processes the outcome of a direct request.
    ///
    /// Fails if the worker has seen a higher fencing token than this term's.
    pub fn on_direct_outcome(
        &mut self,
        request: &DirectRequest,
        outcome: DirectOutcome,
        now: Instant,
    ) -> Result<(), Superseded> {
        self.direct_calls.finish(request.id);
        let Some(machine) = self.fleet.machines.get_mut(&request.machine) else { return Ok(()) };
        machine.commands_in_flight = false;
        let result = match outcome {
            // If another machine has taken over the address, the heartbeat names that machine
            // and says nothing of this one.
            DirectOutcome::Answered(heartbeat) if heartbeat.machine == request.machine => {
                machine.open_starts.close(request.id);
                let is_refused = is_refusal(request, heartbeat);
                self.counters.direct_requests_refused += u64::from(is_refused);
                self.process_heartbeat(heartbeat, HeartbeatSource::DirectResponse, now).map(|_| ())
            }
            DirectOutcome::NotDelivered => {
                machine.open_starts.close(request.id);
                Ok(())
            }
            DirectOutcome::Answered(_) | DirectOutcome::Unknown => {
                if machine.open_starts.is_open(request.id) {
                    machine.token =
                        machine.token.max(self.tokens.next_above(request.commands.token));
                    self.counters.tokens_raised += 1;
                }
                Ok(())
            }
        };
        log_direct_outcome(request, outcome, self.token_for(&request.machine));
        result
    }

    /// Makes a response with forget commands carry a higher token than all direct requests with
    /// starts before it, so that the worker refuses copies of them from the moment at which it
    /// forgets their attempts. While a request is in flight, which the worker would refuse for
    /// the higher token, a few forget commands wait for the next response instead.
    pub(super) fn fence_answered_starts(
        &mut self,
        machine: &MachineId,
        commands: &mut Vec<TaskCommand>,
    ) {
        let Some(machine) = self.fleet.machines.get_mut(machine) else { return };
        let forgets = commands.iter().filter(|c| c.op == CommandKind::Forget).count();
        if forgets == 0 || !machine.open_starts.copies_are_valid_at(machine.token) {
            return;
        }
        if machine.commands_in_flight && forgets <= MAX_DEFERRED_FORGETS {
            commands.retain(|command| command.op != CommandKind::Forget);
        } else {
            machine.token = self.tokens.next_above(machine.token);
            self.counters.tokens_raised += 1;
        }
    }
}
