//! What a heartbeat shows of one bound task: a pure function of the binding, the job and
//! the reported status. `reconciliation` acts on the result.

use super::binding::Binding;
use crate::protocol::{ExitCause, TaskState, TaskStatus};

/// The number of heartbeat responses with a start command after which a task that is still
/// absent shows that the worker does not receive its responses.
const MAX_STARTS_SENT: u32 = 2;

/// How a heartbeat reached the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeartbeatSource {
    /// The worker sent the heartbeat on its own schedule.
    Worker,
    /// The heartbeat is the response to a direct request. A task that it lacks may still start:
    /// the worker may be waiting for the response to its last periodic heartbeat, which may
    /// carry a start command.
    DirectResponse,
}

/// The conditions that bear on a verdict besides the task's binding and reported status.
#[derive(Clone, Copy, Debug)]
pub(super) struct TaskContext {
    /// The job has ended, so the task must stop.
    pub(super) job_ended: bool,
    /// A start command for the task may be sent now.
    pub(super) may_start: bool,
    /// The worker has acknowledged this term.
    pub(super) acknowledged_term: bool,
    /// A command in flight may still start this attempt.
    pub(super) may_still_start: bool,
}

/// The outcome of comparing a binding with a heartbeat.
#[derive(Clone, Copy, Debug)]
pub(super) enum TaskVerdict<'a> {
    /// The attempt has exited, for this cause.
    Exited(ExitCause),
    /// The attempt is on the machine and has not exited.
    Present(&'a TaskStatus),
    /// The attempt was to be stopped, and the heartbeat proves that it is not on the machine.
    Terminated,
    /// Start commands were sent and not carried out: the worker does not receive the responses
    /// to its heartbeats.
    StartUnacknowledged,
    /// A start command is due.
    StartDue,
    /// The heartbeat proves neither presence nor absence, and no start command is due.
    Undetermined,
}

/// Compares a binding with the status that its worker reports of the task. The status may be
/// of another attempt than the bound one.
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

/// Returns the verdict on a task whose bound attempt is missing from a heartbeat of this term.
///
/// A worker never carries out commands of a heartbeat response late. So a newer heartbeat that
/// lacks the attempt proves its absence, unless a command in flight may still start it.
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
