//! Direct requests to workers: their number in flight, their order, and the conditions under
//! which no start may be sent.

use crate::common::{
    TestDeployment, assert_no_violation,
    leader_harness::{LeaderHarness, lose_response, ops, place_one_task},
    seconds, settings, state,
};
use serde_json::json;
use std::time::Duration;
use stonewheel::{
    controller::DirectRequest,
    fencing::TermTokens,
    node::HeartbeatReply,
    protocol::{CommandKind, JobState, WorkerHeartbeat},
};
use tokio::time::sleep;

/// A command that waits for a socket after it was composed could be sent although its job was
/// cancelled in the meantime.
#[tokio::test(start_paused = true)]
async fn direct_requests_are_composed_only_up_to_the_limit_in_flight() {
    let mut settings = settings("m-0");
    settings.cluster.quota.fd_limit = 64;
    let calls = settings.max_direct_calls();
    let mut harness = LeaderHarness::with(settings, TermTokens::starting_at(5));
    for machine in 0..3 * calls {
        harness.heartbeat(&format!("n-{machine:03}"), 1, &[]);
    }
    harness.submit("j-000001", json!({"Spokes": 3 * calls, "Gpus": 8.0}));
    harness.settle();
    let first = harness.leader.take_direct_requests(harness.now);
    assert_eq!(first.len(), calls, "further requests would wait for a socket");
    assert!(harness.leader.take_direct_requests(harness.now).is_empty());
    // The job is cancelled in the meantime: none of its other starts is sent.
    harness.cancel("j-000001");
    for sent in &first {
        lose_response(&mut harness, sent);
    }
    let later: Vec<DirectRequest> = harness.leader.take_direct_requests(harness.now);
    let starts =
        later.iter().flat_map(|sent| ops(&sent.commands.commands, CommandKind::Start)).count();
    assert_eq!(starts, 0);
}

/// If requests to the same machines were repeated first, the others would never be told to stop
/// their cancelled tasks.
#[tokio::test(start_paused = true)]
async fn limited_direct_requests_reach_every_machine_in_turn() {
    let mut settings = settings("m-0");
    settings.cluster.quota.fd_limit = 64;
    let calls = settings.max_direct_calls();
    let mut harness = LeaderHarness::with(settings, TermTokens::starting_at(5));
    let machines = 3 * calls;
    for machine in 0..machines {
        harness.heartbeat(&format!("n-{machine:03}"), 1, &[]);
    }
    harness.submit("j-000001", json!({"Spokes": machines, "Gpus": 8.0}));
    harness.settle();
    // All machines are silent and have a cancelled task, so stops are sent to each of them
    // repeatedly.
    harness.cancel("j-000001");
    harness.now += Duration::from_secs(4);
    let mut reached_machines = std::collections::BTreeSet::new();
    for _ in 0..3 {
        harness.pass(0.2);
        for sent in harness.leader.take_direct_requests(harness.now) {
            reached_machines.insert(sent.machine.clone());
            lose_response(&mut harness, &sent);
        }
    }
    assert_eq!(reached_machines.len(), machines);
}

#[tokio::test(start_paused = true)]
async fn no_start_is_sent_while_starts_are_not_allowed() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness.leader.allow_starts(false);
    place_one_task(&mut harness, "j-000001");
    assert!(harness.leader.take_direct_requests(harness.now).is_empty());
    assert!(harness.heartbeat("n-1", 1, &[]).is_empty());
    harness.leader.allow_starts(true);
    assert_eq!(ops(&harness.heartbeat("n-1", 1, &[]), CommandKind::Start).len(), 1);
}

/// Returns the number of starts in a controller's response to a machine's next heartbeat.
fn starts_in_response(
    deployment: &TestDeployment,
    node: usize,
    heartbeat: &mut WorkerHeartbeat,
) -> usize {
    heartbeat.sequence += 1;
    match deployment.node(node).answer_heartbeat_now(heartbeat) {
        HeartbeatReply::Commands { commands, .. } => ops(&commands, CommandKind::Start).len(),
        HeartbeatReply::Redirect(_) => 0,
    }
}

/// A leader that is cut off may not know that a job was cancelled. Once its knowledge is older than
/// the leader lease, it must send no start, even in responses to heartbeats.
#[tokio::test(start_paused = true)]
async fn leader_without_current_knowledge_of_cancellations_sends_no_start() {
    let deployment = TestDeployment::new(1).await;
    let old = deployment.leader().expect("a leader");
    let other = (old + 1) % 3;
    let machine = deployment.machines()[0].clone();
    // The machine is partitioned below, and the test sends heartbeats in its place.
    seconds(5).await;
    let mut heartbeat = deployment.last_heartbeat(&machine);
    heartbeat.token = heartbeat.token.max(1);
    deployment.partition(&machine, &[0, 1, 2]);
    assert!(state(&deployment.submit(old, "j-000001", json!({"Spokes": 1})).await).is_some());
    deployment.until("the task is placed", || !deployment.state.keys("sw/p/").is_empty()).await;
    sleep(Duration::from_millis(300)).await;
    assert_eq!(starts_in_response(&deployment, old, &mut heartbeat), 1);
    // The leader alone is cut off, so it can't learn of the cancellation.
    deployment.disconnect(old);
    deployment.state.refuse(&format!("m-{old}"), true);
    seconds(1).await;
    assert_eq!(state(&deployment.cancel(other, "j-000001").await), Some(JobState::Cancelled));
    let lease = deployment.node(old).settings.leader_lease();
    sleep(lease).await;
    for _ in 0..3 {
        assert_eq!(
            starts_in_response(&deployment, old, &mut heartbeat),
            0,
            "the cancellation is confirmed"
        );
        sleep(Duration::from_millis(300)).await;
    }
    assert_no_violation(&deployment);
}
