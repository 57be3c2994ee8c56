//! Reconciliation of worker heartbeats with the records.

use crate::common::leader_harness::{LeaderHarness, exited, heartbeat_of, ops, running};
use serde_json::json;
use stonewheel::{
    controller::DirectOutcome,
    protocol::{CommandKind, ExitCause, TaskState, TaskStatus, WorkerHeartbeat},
};

#[tokio::test(start_paused = true)]
async fn start_and_forget_commands_are_sent_only_after_durable_records() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 1}));
    harness.pass(0.1);
    let commits = harness.commits();
    assert_eq!(commits.len(), 1);
    assert!(harness.heartbeat("n-1", 1, &[]).is_empty(), "not durable yet");
    harness.commit(commits);
    let commands = harness.heartbeat("n-1", 1, &[]);
    let starts = ops(&commands, CommandKind::Start);
    assert_eq!(starts.len(), 1);
    let exit = exited(starts[0], ExitCause::Stopped);
    let commands = harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
    assert!(ops(&commands, CommandKind::Forget).is_empty(), "the exit is not durable yet");
    harness.settle();
    let cleared_attempt = exit.attempt;
    let commands = harness.heartbeat("n-1", 1, &[exit]);
    assert_eq!(ops(&commands, CommandKind::Forget).len(), 1);
    // The next start has a higher attempt number: a worker would execute a start with the
    // number of a cleared attempt again.
    let commands = harness.heartbeat("n-1", 1, &[]);
    assert!(ops(&commands, CommandKind::Start)[0].attempt > cleared_attempt);
}

#[tokio::test(start_paused = true)]
async fn a_late_copy_of_a_heartbeat_changes_nothing() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 1}));
    harness.settle();
    let commands = harness.heartbeat("n-1", 1, &[]);
    let task = running(&commands[0]);
    harness.heartbeat("n-1", 1, &[task]);
    // Heartbeat copies from before the start, which do not list the task.
    for sequence in 1..=2 {
        assert!(harness.heartbeat_at("n-1", sequence, 1, &[]).is_empty());
    }
    harness.settle();
    assert_eq!(harness.bound("j-000001"), [(0, "n-1".to_owned())]);
    // After the lease has expired, the incarnation has ended and a late heartbeat of this
    // incarnation has no effect.
    harness.pass(12.0);
    harness.settle();
    assert!(harness.bound("j-000001").is_empty());
    assert!(harness.heartbeat_at("n-1", 90, 1, &[]).is_empty());
    harness.settle();
    assert!(harness.bound("j-000001").is_empty(), "an ended incarnation gets no tasks");
}

#[tokio::test(start_paused = true)]
async fn an_unmanaged_task_is_stopped_and_a_cancelled_task_never_started() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    let unmanaged = TaskStatus {
        task: "j-000009/0".into(),
        attempt: 3,
        state: TaskState::Running,
        cause: None,
        saved: None,
    };
    let commands = harness.heartbeat("n-1", 1, &[unmanaged]);
    assert_eq!(ops(&commands, CommandKind::Stop).len(), 1);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 1}));
    harness.settle();
    assert_eq!(harness.bound("j-000001").len(), 1);
    harness.cancel("j-000001");
    let commands = harness.heartbeat("n-1", 1, &[]);
    assert!(ops(&commands, CommandKind::Start).is_empty());
    harness.settle();
    assert!(harness.watch_cache.jobs.is_empty() && harness.watch_cache.pages.is_empty());
}

#[tokio::test(start_paused = true)]
async fn an_unanswered_direct_command_keeps_its_task_bound_and_its_exit_uncleared() {
    let mut harness = LeaderHarness::new(5).hold_worker_tokens();
    harness.heartbeat("n-1", 1, &[]);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 1}));
    harness.settle();
    let direct = harness.leader.take_direct_requests(harness.now);
    let request = direct.first().expect("a start that doesn't wait for a heartbeat").clone();
    let commands = request.commands.clone();
    assert_eq!(ops(&commands.commands, CommandKind::Start).len(), 1);
    harness.leader.on_direct_outcome(&request, DirectOutcome::Unknown, harness.now).expect("leads");
    harness.cancel("j-000001");
    // Heartbeats without the task prove nothing: the command may still arrive.
    for _ in 0..3 {
        assert!(harness.heartbeat("n-1", 1, &[]).is_empty());
        harness.settle();
        assert_eq!(harness.bound("j-000001").len(), 1);
    }
    // The command has arrived, and the task is stopped. While the worker lists the task,
    // another copy of the command can't start it again, so the exit is not cleared.
    let start = commands.commands[0].clone();
    let commands = harness.heartbeat("n-1", 1, &[running(&start)]);
    assert_eq!(ops(&commands, CommandKind::Stop).len(), 1);
    let exit = exited(&start, ExitCause::Stopped);
    for _ in 0..3 {
        let commands = harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
        assert!(ops(&commands, CommandKind::Forget).is_empty());
        harness.settle();
    }
    assert!(harness.bound("j-000001").is_empty());
}

#[tokio::test(start_paused = true)]
async fn an_answered_direct_command_counts_as_a_heartbeat() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 1}));
    harness.settle();
    let request = harness.leader.take_direct_requests(harness.now)[0].clone();
    let (id, commands) = (request.machine.clone(), request.commands.clone());
    let task = running(&commands.commands[0]);
    let answer = heartbeat_of(&id, 1, 7, 5, &[task]);
    harness
        .leader
        .on_direct_outcome(&request, DirectOutcome::Answered(&answer), harness.now)
        .expect("leads");
    // A heartbeat sent before the command was executed has a lower sequence number.
    assert!(harness.heartbeat_at("n-1", 2, 1, &[]).is_empty());
    harness.settle();
    assert_eq!(harness.bound("j-000001").len(), 1);
    // A higher token in the answer ends this controller's leadership.
    let token = harness.leader.tokens.last() + 1;
    let superseding = WorkerHeartbeat { token, sequence: 8, ..answer };
    assert!(
        harness
            .leader
            .on_direct_outcome(&request, DirectOutcome::Answered(&superseding), harness.now)
            .is_err()
    );
}

#[tokio::test(start_paused = true)]
async fn a_response_to_direct_commands_does_not_prove_that_a_task_is_absent() {
    // A start command may be in flight in the answer to the worker's latest heartbeat while
    // the worker answers direct commands for another task.
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 1}));
    harness.settle();
    assert_eq!(ops(&harness.heartbeat("n-1", 1, &[]), CommandKind::Start).len(), 1);
    harness.submit("j-000002", json!({"Shape": "service", "Spokes": 1}));
    harness.settle();
    let request = harness.leader.take_direct_requests(harness.now)[0].clone();
    let (id, commands) = (request.machine.clone(), request.commands.clone());
    harness.cancel("j-000001");
    let listed: Vec<_> = ops(&commands.commands, CommandKind::Start)
        .into_iter()
        .filter(|command| command.task.starts_with("j-000002"))
        .map(running)
        .collect();
    assert_eq!(listed.len(), 1);
    let answer = heartbeat_of(&id, 1, 9, 5, &listed);
    harness
        .leader
        .on_direct_outcome(&request, DirectOutcome::Answered(&answer), harness.now)
        .expect("leads");
    harness.settle();
    assert_eq!(harness.bound("j-000001").len(), 1, "the task may still start there");
    // The worker's next heartbeat proves that the task is absent.
    harness.heartbeat_at("n-1", 10, 1, &listed);
    harness.settle();
    assert!(harness.bound("j-000001").is_empty());
}
