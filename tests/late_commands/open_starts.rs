//! Direct starts without an answer.

use crate::common::{
    TestDeployment,
    leader_harness::{LeaderHarness, exited, heartbeat_of, ops, running},
    seconds, settings, state,
};
use serde_json::json;
use stonewheel::{
    controller::{DirectOutcome, DirectRequest},
    fencing::TermTokens,
    node::HeartbeatReply,
    protocol::{CommandKind, ExitCause, TaskCommand, TaskStatus},
};

pub(crate) fn send_one(harness: &mut LeaderHarness) -> DirectRequest {
    harness.leader.take_direct_requests(harness.now).pop().expect("direct orders")
}

/// The worker answers a request with what it has then.
pub(crate) fn answer(
    harness: &mut LeaderHarness,
    sent: &DirectRequest,
    sequence: u64,
    tasks: &[TaskStatus],
) {
    let token = harness.leader.token_for(&sent.machine);
    let heartbeat = heartbeat_of(&sent.machine, sent.commands.incarnation, sequence, token, tasks);
    let outcome = DirectOutcome::Answered(&heartbeat);
    harness.leader.on_direct_outcome(sent, outcome, harness.now).expect("leads");
    harness.sequences.insert(sent.machine.to_string(), sequence);
}

pub(crate) fn no_answer(harness: &mut LeaderHarness, sent: &DirectRequest) {
    harness.leader.on_direct_outcome(sent, DirectOutcome::Unknown, harness.now).expect("leads");
}

fn start_of<'a>(sent: &'a DirectRequest, job: &str) -> &'a TaskCommand {
    let of_job =
        |command: &&TaskCommand| command.op == CommandKind::Start && command.task.starts_with(job);
    sent.commands.commands.iter().find(of_job).expect("a start of the job")
}

pub(crate) fn one_task(harness: &mut LeaderHarness, id: &str) {
    harness.submit(id, json!({"Spokes": 1, "Gpus": 0.0}));
    harness.settle();
}

/// A machine to which the start of `j-000001` was sent twice: the first request
/// is still on its way, the second was answered.
fn start_sent_twice(harness: &mut LeaderHarness) -> TaskCommand {
    harness.heartbeat("n-1", 1, &[]);
    one_task(harness, "j-000001");
    let first = send_one(harness);
    no_answer(harness, &first);
    one_task(harness, "j-000002");
    let second = send_one(harness);
    let start = start_of(&first, "j-000001").clone();
    let other = running(start_of(&second, "j-000002"));
    answer(harness, &second, 7, &[running(&start), other]);
    start
}

#[tokio::test(start_paused = true)]
async fn an_answered_request_leaves_earlier_ones_open() {
    let mut harness = LeaderHarness::new(5);
    let start = start_sent_twice(&mut harness);
    // The task ends. Cleared, the first request would start it once more.
    let exit = exited(&start, ExitCause::Done);
    for _ in 0..4 {
        let commands = harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
        assert_eq!(ops(&commands, CommandKind::Forget), [] as [&TaskCommand; 0]);
        harness.settle();
    }
    // In the worker's next incarnation that request means nothing.
    harness.heartbeat("n-1", 2, &[]);
    let commands = harness.heartbeat("n-1", 2, std::slice::from_ref(&exit));
    assert_eq!(ops(&commands, CommandKind::Forget).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn absence_proves_nothing_while_any_request_with_the_start_is_open() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    one_task(&mut harness, "j-000001");
    let first = send_one(&mut harness);
    no_answer(&mut harness, &first);
    one_task(&mut harness, "j-000002");
    let second = send_one(&mut harness);
    // The worker refused the second request as a whole.
    answer(&mut harness, &second, 7, &[]);
    harness.cancel("j-000001");
    for _ in 0..4 {
        harness.heartbeat("n-1", 1, &[]);
        harness.settle();
        assert_eq!(harness.bound("j-000001").len(), 1, "it may still start there");
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_never_got_a_connection_leaves_nothing_open() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    one_task(&mut harness, "j-000001");
    let first = send_one(&mut harness);
    harness
        .leader
        .on_direct_outcome(&first, DirectOutcome::NotDelivered, harness.now)
        .expect("leads");
    // The answer to its next report starts it, and then it is cleared.
    let commands = harness.heartbeat("n-1", 1, &[]);
    let start = ops(&commands, CommandKind::Start)[0].clone();
    let exit = exited(&start, ExitCause::Done);
    harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
    harness.settle();
    let commands = harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
    assert_eq!(ops(&commands, CommandKind::Forget).len(), 1);
}

/// A leader that can raise a worker's token.
fn with_many_tokens() -> LeaderHarness {
    LeaderHarness::with(settings("m-0"), TermTokens::starting_at(5))
}

#[tokio::test(start_paused = true)]
async fn a_higher_token_voids_what_got_no_answer() {
    let mut harness = with_many_tokens();
    harness.heartbeat("n-1", 1, &[]);
    one_task(&mut harness, "j-000001");
    let first = send_one(&mut harness);
    no_answer(&mut harness, &first);
    assert!(harness.leader.token_for("n-1") > first.commands.token);
    harness.cancel("j-000001");
    // The worker has not heard of the token yet: the start may still arrive.
    assert!(harness.heartbeat_with_token(first.commands.token, "n-1", 10, 1, &[]).is_empty());
    harness.settle();
    assert_eq!(harness.bound("j-000001").len(), 1);
    // Now it has, and refuses the start: the task is gone and so is the job.
    let token = harness.leader.token_for("n-1");
    harness.heartbeat_with_token(token, "n-1", 11, 1, &[]);
    harness.settle();
    assert!(harness.bound("j-000001").is_empty());
    assert!(!harness.watch_cache.jobs.contains_key("j-000001"));
    // Each machine has its own: others keep theirs.
    assert_eq!(harness.leader.token_for("n-2"), 5);
}

#[tokio::test(start_paused = true)]
async fn an_exit_is_cleared_once_a_higher_token_is_seen() {
    let mut harness = with_many_tokens();
    let start = start_sent_twice(&mut harness);
    let exit = exited(&start, ExitCause::Done);
    // The second request showed the higher token: the first one is void.
    harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
    harness.settle();
    let commands = harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
    assert_eq!(ops(&commands, CommandKind::Forget).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn tokens_of_one_term_never_reach_the_next() {
    let deployment = TestDeployment::new(1).await;
    let old = deployment.leader().expect("a leader");
    let first: u64 =
        deployment.state.value("sw/token").and_then(|t| t.parse().ok()).expect("a token");
    deployment.kill_node(old);
    deployment.until("another leads", || deployment.leader().is_some_and(|l| l != old)).await;
    let lead: serde_json::Value =
        serde_json::from_str(&deployment.state.value("sw/lead").expect("a leader")).expect("json");
    let next = lead["token"].as_u64().expect("a token");
    assert_eq!(next, first + 1);
    // The record holds the last token of the range, not the first.
    let last = deployment.state.value("sw/token").and_then(|t| t.parse().ok());
    assert_eq!(last, Some(TermTokens::starting_at(next).last()));
    assert!(last > Some(next));
}

#[tokio::test(start_paused = true)]
async fn responses_to_heartbeats_carry_the_raised_token() {
    let deployment = TestDeployment::new(1).await;
    let leader = deployment.leader().expect("a leader");
    let machine = deployment.machines()[0].clone();
    seconds(5).await;
    let mut heartbeat = deployment.last_heartbeat(&machine);
    // Nothing that is sent directly gets an answer; the test speaks for the worker.
    deployment.partition(&machine, &[0, 1, 2]);
    assert!(state(&deployment.submit(leader, "j-000001", json!({"Spokes": 1})).await).is_some());
    for _ in 0..3 {
        heartbeat.sequence += 1;
        let _ = deployment.node(leader).answer_heartbeat_now(&heartbeat);
        seconds(1).await;
    }
    heartbeat.sequence += 1;
    let first = heartbeat.token;
    let reply = deployment.node(leader).answer_heartbeat_now(&heartbeat);
    assert!(
        matches!(&reply, HeartbeatReply::Commands { token, .. } if *token > first),
        "{reply:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn no_other_attempt_meets_one_that_may_still_start() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    one_task(&mut harness, "j-000001");
    let first = send_one(&mut harness);
    no_answer(&mut harness, &first);
    let start = start_of(&first, "j-000001").clone();
    // It started after all and lost its work: it has to start again elsewhere.
    let exit = exited(&start, ExitCause::Stopped);
    for _ in 0..20 {
        let commands = harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
        assert!(
            ops(&commands, CommandKind::Start).is_empty()
                && ops(&commands, CommandKind::Forget).is_empty()
        );
        harness.settle();
        assert!(harness.bound("j-000001").is_empty());
    }
    harness.heartbeat("n-2", 1, &[]);
    harness.settle();
    assert_eq!(harness.bound("j-000001"), [(0, "n-2".to_owned())]);
}

#[tokio::test(start_paused = true)]
async fn few_exits_stay_listed_however_many_requests_get_no_answer() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    let mut sent_directly = std::collections::BTreeSet::new();
    for number in 1..400 {
        let id = format!("j-{number:06}");
        harness.submit(&id, json!({"Spokes": 1, "Gpus": 0.0, "Cores": 0.1, "MemoryGb": 0.1}));
        harness.settle();
        for request in harness.leader.take_direct_requests(harness.now) {
            let starts = ops(&request.commands.commands, CommandKind::Start);
            sent_directly.extend(starts.into_iter().map(|command| command.task.clone()));
            no_answer(&mut harness, &request);
        }
        harness.heartbeat("n-1", 1, &[]);
    }
    // A heartbeat with all of them listed takes a small part of what it may.
    assert!((8..=64).contains(&sent_directly.len()), "{}", sent_directly.len());
}
