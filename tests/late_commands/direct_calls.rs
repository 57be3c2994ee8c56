//! How many direct commands leave, to whom, and when none may.

use crate::common::{
    TestDeployment, assert_no_violation,
    leader_harness::{LeaderHarness, ops},
    seconds, settings, state,
};
use crate::open_starts::no_answer;
use crate::open_starts::one_task;
use serde_json::json;
use std::time::Duration;
use stonewheel::{
    controller::DirectRequest,
    fencing::TermTokens,
    node::HeartbeatReply,
    protocol::{CommandKind, JobState, WorkerHeartbeat},
};
use tokio::time::sleep;

#[tokio::test(start_paused = true)]
async fn no_more_commands_are_composed_than_can_leave_at_once() {
    let mut settings = settings("m-0");
    settings.cluster.quota.fd_limit = 64;
    let calls = settings.direct_calls();
    let mut harness = LeaderHarness::with(settings, TermTokens::single(5));
    for machine in 0..3 * calls {
        harness.heartbeat(&format!("n-{machine:03}"), 1, &[]);
    }
    harness.submit("j-000001", json!({"Spokes": 3 * calls, "Gpus": 8.0}));
    harness.settle();
    let first = harness.leader.take_direct_requests(harness.now);
    assert_eq!(first.len(), calls, "the others would wait for a socket");
    assert!(harness.leader.take_direct_requests(harness.now).is_empty());
    // Meanwhile the job is cancelled: none of its starts leaves any more.
    harness.cancel("j-000001");
    for sent in &first {
        no_answer(&mut harness, sent);
    }
    let then: Vec<DirectRequest> = harness.leader.take_direct_requests(harness.now);
    let starts =
        then.iter().flat_map(|sent| ops(&sent.commands.commands, CommandKind::Start)).count();
    assert_eq!(starts, 0);
}

#[tokio::test(start_paused = true)]
async fn every_machine_gets_its_turn_when_calls_are_few() {
    let mut settings = settings("m-0");
    settings.cluster.quota.fd_limit = 64;
    let calls = settings.direct_calls();
    let mut harness = LeaderHarness::with(settings, TermTokens::single(5));
    let machines = 3 * calls;
    for machine in 0..machines {
        harness.heartbeat(&format!("n-{machine:03}"), 1, &[]);
    }
    harness.submit("j-000001", json!({"Spokes": machines, "Gpus": 8.0}));
    harness.settle();
    // All of them are silent and have a cancelled task, so each is told to stop
    // it again and again.
    harness.cancel("j-000001");
    harness.now += Duration::from_secs(4);
    let mut reached = std::collections::BTreeSet::new();
    for _ in 0..3 {
        harness.pass(0.2);
        for sent in harness.leader.take_direct_requests(harness.now) {
            reached.insert(sent.machine.clone());
            no_answer(&mut harness, &sent);
        }
    }
    assert_eq!(reached.len(), machines);
}

#[tokio::test(start_paused = true)]
async fn nothing_is_started_directly_while_starts_are_withheld() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness.leader.allow_starts(false);
    one_task(&mut harness, "j-000001");
    assert!(harness.leader.take_direct_requests(harness.now).is_empty());
    assert!(harness.heartbeat("n-1", 1, &[]).is_empty());
    harness.leader.allow_starts(true);
    assert_eq!(ops(&harness.heartbeat("n-1", 1, &[]), CommandKind::Start).len(), 1);
}

/// The starts in a controller's answer to the next report of a machine.
fn starts_in_answer(
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

#[tokio::test(start_paused = true)]
async fn a_leader_whose_knowledge_of_cancellations_is_old_starts_nothing() {
    let deployment = TestDeployment::new(1).await;
    let old = deployment.leader().expect("a leader");
    let other = (old + 1) % 3;
    let machine = deployment.machines()[0].clone();
    // From here on the test speaks for the machine.
    seconds(5).await;
    let mut heartbeat = deployment.last_heartbeat(&machine);
    heartbeat.token = heartbeat.token.max(1);
    deployment.partition(&machine, &[0, 1, 2]);
    assert!(state(&deployment.submit(old, "j-000001", json!({"Spokes": 1})).await).is_some());
    deployment.until("it is placed", || !deployment.state.keys("sw/p/").is_empty()).await;
    sleep(Duration::from_millis(300)).await;
    assert_eq!(starts_in_answer(&deployment, old, &mut heartbeat), 1);
    // The leader alone can't learn of the cancellation.
    deployment.disconnect(old);
    deployment.state.refuse(&format!("m-{old}"), true);
    seconds(1).await;
    assert_eq!(state(&deployment.cancel(other, "j-000001").await), Some(JobState::Cancelled));
    let lease = deployment.node(old).settings.leader_lease();
    sleep(lease).await;
    for _ in 0..3 {
        assert_eq!(starts_in_answer(&deployment, old, &mut heartbeat), 0, "its user was told");
        sleep(Duration::from_millis(300)).await;
    }
    assert_no_violation(&deployment);
}
