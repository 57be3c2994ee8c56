//! What a heartbeat shows of one bound task: a pure decision over the binding, the job and
//! the reported status. Acting on it is up to `reconciliation`.

use super::binding::Binding;
use crate::protocol::{ExitCause, TaskState, TaskStatus};

/// A start command that went out with this many answers and was not followed by its
/// task is taken as not acknowledged.
const MAX_STARTS_SENT: u32 = 2;

/// Where a heartbeat came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeartbeatSource {
    /// The worker sent it by itself.
    Worker,
    /// It is the response to a direct request. It proves no absence: the worker may still
    /// be waiting for the answer to its last own heartbeat, with a start command in it.
    DirectResponse,
}

/// What holds for a bound task besides its binding and reported status.
#[derive(Clone, Copy, Debug)]
pub(super) struct TaskContext {
    /// The job has ended, so the task must stop.
    pub(super) job_ended: bool,
    /// A start command for it may leave now.
    pub(super) may_start: bool,
    /// The worker has acknowledged this term.
    pub(super) acknowledged_term: bool,
    /// A command in flight may still start this attempt.
    pub(super) may_still_start: bool,
}

/// The outcome of comparing a binding with a heartbeat.
#[derive(Clone, Copy, Debug)]
pub(super) enum TaskVerdict<'a> {
    /// The attempt is over.
    Exited(ExitCause),
    /// The attempt is on the machine.
    Present(&'a TaskStatus),
    /// The attempt was to be stopped and is certainly not on the machine.
    Terminated,
    /// Start commands were sent and not carried out: the answers do not arrive.
    StartUnacknowledged,
    /// A start command is due.
    StartDue,
    /// The heartbeat shows nothing certain.
    Undetermined,
}

/// Compares a binding with what its worker reports of the task. `reported` may be
/// another attempt than the bound one.
pub(super) fn task_verdict<'a>(
    binding: &Binding,
    context: TaskContext,
    reported: Option<&'a TaskStatus>,
) -> TaskVerdict<'a> {
    match reported.filter(|status| status.attempt == binding.attempt) {
        Some(status) if status.state == TaskState::Exited => {
            TaskVerdict::Exited(status.cause.unwrap_or(ExitCause::Error))
        }
        Some(status) => TaskVerdict::Present(status),
        None if !context.acknowledged_term => TaskVerdict::Undetermined,
        None => absent_task_verdict(binding, context, reported.is_some()),
    }
}

/// Commands in answers are never carried out late, so a newer heartbeat at this token
/// that lacks the task is proof, unless a command in flight may still start it.
fn absent_task_verdict(
    binding: &Binding,
    context: TaskContext,
    other_attempt_reported: bool,
) -> TaskVerdict<'static> {
    let stopping = context.job_ended || binding.stop.is_some();
    if !context.may_still_start {
        if stopping {
            return TaskVerdict::Terminated;
        }
        if binding.starts_sent >= MAX_STARTS_SENT {
            return TaskVerdict::StartUnacknowledged;
        }
    }
    if context.may_start && !other_attempt_reported && !stopping {
        return TaskVerdict::StartDue;
    }
    TaskVerdict::Undetermined
}

#[cfg(test)]
mod tests;
