//! Log lines that let an operator follow an attempt from its start to the moment at which its
//! worker forgets it.
//!
//! There is one line for each direct request with start commands, one for its outcome, one for
//! each kind of command in a response to a heartbeat, and one for the attempts that a heartbeat
//! shows to have ended. Lists of attempts continue on further lines, so no line is longer than
//! about two kilobytes.

use std::fmt;

use tracing::info;

use super::direct_commands::{DirectOutcome, DirectRequest};
use crate::{
    fleet::TaskKey,
    protocol::{CommandKind, ExitCause, TaskCommand, WorkerHeartbeat},
};

/// The maximum number of attempts in a line.
const MAX_ATTEMPTS_PER_LINE: usize = 64;

/// An attempt that has ended, and how.
pub(super) struct EndedAttempt {
    pub(super) key: TaskKey,
    pub(super) attempt: u64,
    pub(super) end: AttemptEnd,
}

/// What shows that an attempt has ended.
#[derive(Clone, Copy, Debug)]
pub(super) enum AttemptEnd {
    /// The worker reported its exit with this cause.
    Exited(ExitCause),
    /// The worker's heartbeat lacks it, and no command can start it any more.
    Absent,
}

impl fmt::Display for EndedAttempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { key, attempt, end } = self;
        match end {
            AttemptEnd::Exited(cause) => write!(f, "{key}@{attempt}={cause:?}"),
            AttemptEnd::Absent => write!(f, "{key}@{attempt}=Absent"),
        }
    }
}

/// Returns the attempts that the commands of one kind name, in the form `task@attempt`, divided
/// into lines.
fn attempts(commands: &[TaskCommand], kind: CommandKind) -> Vec<String> {
    let of_kind = commands.iter().filter(|command| command.op == kind);
    lines(of_kind.map(|command| format!("{}@{}", command.task, command.attempt)))
}

fn lines(attempts: impl Iterator<Item = impl fmt::Display>) -> Vec<String> {
    let attempts: Vec<String> = attempts.map(|attempt| attempt.to_string()).collect();
    attempts.chunks(MAX_ATTEMPTS_PER_LINE).map(|line| line.join(" ")).collect()
}

/// Logs the start commands of a request that is sent now.
pub(super) fn log_direct_starts(request: &DirectRequest) {
    let DirectRequest { id, machine, commands, .. } = request;
    for starts in attempts(&commands.commands, CommandKind::Start) {
        info!(
            %machine, request = id, token = commands.token, incarnation = commands.incarnation,
            %starts, "start commands sent directly"
        );
    }
}

/// Logs what settled the start commands of a request, or that nothing has yet. `token`: the
/// token that the worker's next commands carry.
pub(super) fn log_direct_outcome(request: &DirectRequest, outcome: DirectOutcome<'_>, token: u64) {
    let DirectRequest { id, machine, commands, .. } = request;
    if !commands.commands.iter().any(|command| command.op == CommandKind::Start) {
        return;
    }
    let outcome = match outcome {
        DirectOutcome::Answered(heartbeat) if is_refusal(request, heartbeat) => "refused",
        DirectOutcome::Answered(_) => "answered",
        DirectOutcome::NotDelivered => "not delivered",
        DirectOutcome::Unknown => "no answer",
    };
    info!(%machine, request = id, outcome, token, "outcome of direct start commands");
}

/// Whether the worker refused a request, as it does for a token lower than the highest that it
/// has seen, and for another incarnation.
pub(super) fn is_refusal(request: &DirectRequest, heartbeat: &WorkerHeartbeat) -> bool {
    heartbeat.token > request.commands.token
        || heartbeat.incarnation != request.commands.incarnation
}

/// Logs the commands of the response to a heartbeat. `token`: the token of the response.
pub(super) fn log_response(heartbeat: &WorkerHeartbeat, token: u64, commands: &[TaskCommand]) {
    let WorkerHeartbeat { machine, incarnation, sequence, .. } = heartbeat;
    for starts in attempts(commands, CommandKind::Start) {
        info!(%machine, sequence, token, incarnation, %starts, "start commands sent with a response");
    }
    for stops in attempts(commands, CommandKind::Stop) {
        info!(%machine, sequence, token, %stops, "stop commands sent with a response");
    }
    for forgotten in attempts(commands, CommandKind::Forget) {
        info!(%machine, sequence, token, %forgotten, "forget commands sent with a response");
    }
}

/// Logs the attempts that a heartbeat shows to have ended.
pub(super) fn log_ended_attempts(heartbeat: &WorkerHeartbeat, ended: &[EndedAttempt]) {
    let WorkerHeartbeat { machine, incarnation, sequence, .. } = heartbeat;
    for attempts in lines(ended.iter()) {
        info!(%machine, sequence, incarnation, %attempts, "attempts ended");
    }
}

/// Logs attempts that run although the leader has not bound them to the machine.
pub(super) fn log_unbound_attempts(heartbeat: &WorkerHeartbeat, stops: &[TaskCommand]) {
    let WorkerHeartbeat { machine, incarnation, sequence, .. } = heartbeat;
    for attempts in attempts(stops, CommandKind::Stop) {
        info!(%machine, sequence, incarnation, %attempts, "attempts without a binding; stopping them");
    }
}
