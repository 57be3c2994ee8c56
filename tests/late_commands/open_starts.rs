//! Open starts: start commands in direct requests that got no response and may still be carried
//! out.

use crate::common::{
    TestDeployment,
    leader_harness::{
        LeaderHarness, exited, lose_response, ops, place_one_task, respond, running,
        take_direct_request,
    },
    seconds, state,
};
use serde_json::json;
use stonewheel::{
    controller::{DirectOutcome, DirectRequest},
    fencing::TermTokens,
    node::HeartbeatReply,
    protocol::{CommandKind, ExitCause, TaskCommand},
};

/// Returns the start command for a task of `job` in a direct request.
fn start_command<'a>(sent: &'a DirectRequest, job: &str) -> &'a TaskCommand {
    let of_job =
        |command: &&TaskCommand| command.op == CommandKind::Start && command.task.starts_with(job);
    sent.commands.commands.iter().find(of_job).expect("a start of the job")
}

/// Sends the start of `j-000001` to a machine in two requests: the first is still in flight, the
/// second got a response. Returns the start command.
fn start_sent_twice(harness: &mut LeaderHarness) -> TaskCommand {
    harness.heartbeat("n-1", 1, &[]);
    place_one_task(harness, "j-000001");
    let first = take_direct_request(harness);
    lose_response(harness, &first);
    place_one_task(harness, "j-000002");
    let second = take_direct_request(harness);
    let start = start_command(&first, "j-000001").clone();
    let other = running(start_command(&second, "j-000002"));
    respond(harness, &second, 7, &[running(&start), other]);
    start
}

/// A response shows the state after its own request only. An earlier request with the same start
/// may still arrive, so the worker has to keep reporting the exit.
#[tokio::test(start_paused = true)]
async fn response_to_a_request_leaves_starts_of_earlier_requests_open() {
    let mut harness = LeaderHarness::new(5).hold_worker_tokens();
    let start = start_sent_twice(&mut harness);
    // The task exits. If the worker forgot it, the first request could start it again.
    let exit = exited(&start, ExitCause::Done);
    for _ in 0..4 {
        let commands = harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
        assert_eq!(ops(&commands, CommandKind::Forget), [] as [&TaskCommand; 0]);
        harness.settle();
    }
    // The worker's next incarnation rejects that request.
    harness.heartbeat("n-1", 2, &[]);
    let commands = harness.heartbeat("n-1", 2, std::slice::from_ref(&exit));
    assert_eq!(ops(&commands, CommandKind::Forget).len(), 1);
}

/// A heartbeat without the task does not prove that the task is gone: another request with its
/// start may still arrive.
#[tokio::test(start_paused = true)]
async fn task_absent_from_a_heartbeat_stays_bound_while_its_start_is_open() {
    let mut harness = LeaderHarness::new(5).hold_worker_tokens();
    harness.heartbeat("n-1", 1, &[]);
    place_one_task(&mut harness, "j-000001");
    let first = take_direct_request(&mut harness);
    lose_response(&mut harness, &first);
    place_one_task(&mut harness, "j-000002");
    let second = take_direct_request(&mut harness);
    // The worker rejected the second request as a whole.
    respond(&mut harness, &second, 7, &[]);
    harness.cancel("j-000001");
    for _ in 0..4 {
        harness.heartbeat("n-1", 1, &[]);
        harness.settle();
        assert_eq!(harness.bound("j-000001").len(), 1, "the task may still start there");
    }
}

#[tokio::test(start_paused = true)]
async fn undelivered_request_leaves_no_open_start() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    place_one_task(&mut harness, "j-000001");
    let first = take_direct_request(&mut harness);
    harness
        .leader
        .on_direct_outcome(&first, DirectOutcome::NotDelivered, harness.now)
        .expect("leads");
    // The response to the next heartbeat starts the task. After its exit the worker may forget
    // it.
    let commands = harness.heartbeat("n-1", 1, &[]);
    let start = ops(&commands, CommandKind::Start)[0].clone();
    let exit = exited(&start, ExitCause::Done);
    harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
    harness.settle();
    let commands = harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
    assert_eq!(ops(&commands, CommandKind::Forget).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn acknowledged_higher_token_closes_open_starts() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    place_one_task(&mut harness, "j-000001");
    let first = take_direct_request(&mut harness);
    lose_response(&mut harness, &first);
    assert!(harness.leader.token_for("n-1") > first.commands.token);
    harness.cancel("j-000001");
    // The worker does not know the higher token yet, so it would still accept the start.
    assert!(harness.heartbeat_with_token(first.commands.token, "n-1", 10, 1, &[]).is_empty());
    harness.settle();
    assert_eq!(harness.bound("j-000001").len(), 1);
    // Once the worker knows the token it rejects the start, so the task and its job are removed.
    let token = harness.leader.token_for("n-1");
    harness.heartbeat_with_token(token, "n-1", 11, 1, &[]);
    harness.settle();
    assert!(harness.bound("j-000001").is_empty());
    assert!(!harness.watch_cache.jobs.contains_key("j-000001"));
    // Tokens are raised per machine: the others keep theirs.
    assert_eq!(harness.leader.token_for("n-2"), 5);
}

#[tokio::test(start_paused = true)]
async fn exit_is_forgotten_once_a_higher_token_is_acknowledged() {
    let mut harness = LeaderHarness::new(5);
    let start = start_sent_twice(&mut harness);
    let exit = exited(&start, ExitCause::Done);
    // The second request carried the higher token, so the worker now rejects the first one.
    harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
    harness.settle();
    let commands = harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
    assert_eq!(ops(&commands, CommandKind::Forget).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn token_ranges_of_successive_terms_do_not_overlap() {
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
async fn heartbeat_responses_carry_the_raised_token() {
    let deployment = TestDeployment::new(1).await;
    let leader = deployment.leader().expect("a leader");
    let machine = deployment.machines()[0].clone();
    seconds(5).await;
    let mut heartbeat = deployment.last_heartbeat(&machine);
    // Direct requests get no response, and the test sends heartbeats in the worker's place.
    deployment.partition(&machine, &[0, 1, 2]);
    assert!(state(&deployment.submit(leader, "j-000001", json!({"Spokes": 1})).await).is_some());
    for _ in 0..3 {
        heartbeat.sequence += 1;
        let _ = deployment.node(leader).answer_heartbeat_now(&heartbeat);
        seconds(1).await;
    }
    heartbeat.sequence += 1;
    let token_before = heartbeat.token;
    let reply = deployment.node(leader).answer_heartbeat_now(&heartbeat);
    assert!(
        matches!(&reply, HeartbeatReply::Commands { token, .. } if *token > token_before),
        "{reply:?}"
    );
}

/// A new attempt on the same machine could run beside the open start of the earlier attempt.
#[tokio::test(start_paused = true)]
async fn next_attempt_avoids_a_machine_with_an_open_start() {
    let mut harness = LeaderHarness::new(5).hold_worker_tokens();
    harness.heartbeat("n-1", 1, &[]);
    place_one_task(&mut harness, "j-000001");
    let first = take_direct_request(&mut harness);
    lose_response(&mut harness, &first);
    let start = start_command(&first, "j-000001").clone();
    // The task did start and was stopped, so it has to start again on another machine.
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

/// While a start is open, the worker keeps listing the task's exit in its heartbeats. Without a
/// limit on open starts the heartbeats would outgrow their maximum size.
#[tokio::test(start_paused = true)]
async fn unanswered_direct_starts_of_one_machine_are_limited() {
    let mut harness = LeaderHarness::new(5).hold_worker_tokens();
    harness.heartbeat("n-1", 1, &[]);
    let mut sent_directly = std::collections::BTreeSet::new();
    for number in 1..400 {
        let id = format!("j-{number:06}");
        harness.submit(&id, json!({"Spokes": 1, "Gpus": 0.0, "Cores": 0.1, "MemoryGb": 0.1}));
        harness.settle();
        for request in harness.leader.take_direct_requests(harness.now) {
            let starts = ops(&request.commands.commands, CommandKind::Start);
            sent_directly.extend(starts.into_iter().map(|command| command.task.clone()));
            lose_response(&mut harness, &request);
        }
        harness.heartbeat("n-1", 1, &[]);
    }
    assert!((8..=64).contains(&sent_directly.len()), "{}", sent_directly.len());
}
