use tokio::time::Instant;

use super::*;
use crate::controller::binding::StopRequest;

const ATTEMPT: u64 = 7;

/// The binding of a task that no heartbeat has shown yet.
fn binding() -> Binding {
    Binding::new("n-1".into(), ATTEMPT, 1, 0)
}

fn stopping(binding: Binding) -> Binding {
    let stop = StopRequest { requested_at: Instant::now(), grace_s: 1.0 };
    Binding { stop: Some(stop), ..binding }
}

fn context() -> TaskContext {
    TaskContext {
        job_ended: false,
        may_start: true,
        acknowledged_term: true,
        may_still_start: false,
    }
}

fn status(attempt: u64, state: TaskState) -> TaskStatus {
    let exited = state == TaskState::Exited;
    let cause = exited.then_some(ExitCause::Done);
    TaskStatus { task: "j-000001/0".into(), attempt, state, cause, saved: None }
}

#[test]
fn a_reported_attempt_is_present_or_exited_in_any_context() {
    let unacknowledged_worker =
        TaskContext { acknowledged_term: false, job_ended: true, ..context() };
    for context in [context(), unacknowledged_worker] {
        let running = status(ATTEMPT, TaskState::Running);
        let verdict = task_verdict(&stopping(binding()), context, Some(&running));
        assert!(matches!(verdict, TaskVerdict::Present(_)), "{verdict:?}");
        let exited = status(ATTEMPT, TaskState::Exited);
        let verdict = task_verdict(&binding(), context, Some(&exited));
        assert!(matches!(verdict, TaskVerdict::Exited(ExitCause::Done)), "{verdict:?}");
    }
}

#[test]
fn an_exit_without_a_cause_is_an_error() {
    let exited = TaskStatus { cause: None, ..status(ATTEMPT, TaskState::Exited) };
    let verdict = task_verdict(&binding(), context(), Some(&exited));
    assert!(matches!(verdict, TaskVerdict::Exited(ExitCause::Error)), "{verdict:?}");
}

#[test]
fn an_absent_task_that_must_stop_is_terminated() {
    let ended = TaskContext { job_ended: true, ..context() };
    for (binding, context) in [(binding(), ended), (stopping(binding()), context())] {
        let verdict = task_verdict(&binding, context, None);
        assert!(matches!(verdict, TaskVerdict::Terminated), "{verdict:?}");
    }
}

#[test]
fn absence_proves_nothing_while_a_start_is_open_or_before_the_term_is_acknowledged() {
    let ended = TaskContext { job_ended: true, ..context() };
    let start_open = TaskContext { may_still_start: true, ..ended };
    let unacknowledged_worker = TaskContext { acknowledged_term: false, ..ended };
    for context in [start_open, unacknowledged_worker] {
        let verdict = task_verdict(&stopping(binding()), context, None);
        assert!(matches!(verdict, TaskVerdict::Undetermined), "{verdict:?}");
    }
}

#[test]
fn a_start_is_due_until_two_start_commands_were_not_carried_out() {
    for (starts_sent, unacknowledged) in [(0, false), (1, false), (2, true), (3, true)] {
        let binding = Binding { starts_sent, ..binding() };
        let verdict = task_verdict(&binding, context(), None);
        assert_eq!(matches!(verdict, TaskVerdict::StartUnacknowledged), unacknowledged);
        assert_eq!(matches!(verdict, TaskVerdict::StartDue), !unacknowledged);
    }
}

#[test]
fn no_start_is_due_while_another_attempt_is_reported_or_starts_are_not_allowed() {
    let earlier = status(ATTEMPT - 1, TaskState::Running);
    let verdict = task_verdict(&binding(), context(), Some(&earlier));
    assert!(matches!(verdict, TaskVerdict::Undetermined), "{verdict:?}");
    let not_allowed = TaskContext { may_start: false, ..context() };
    let verdict = task_verdict(&binding(), not_allowed, None);
    assert!(matches!(verdict, TaskVerdict::Undetermined), "{verdict:?}");
}
