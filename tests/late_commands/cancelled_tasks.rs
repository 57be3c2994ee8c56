//! Machines that may still run tasks of cancelled jobs are returned in time.

use crate::common::{TestDeployment, leader_harness::LeaderHarness, seconds, state};
use crate::open_starts::no_answer;
use crate::open_starts::one_task;
use crate::open_starts::send_one;
use serde_json::json;
use std::time::Duration;
use stonewheel::{
    controller::StateService,
    protocol::{JobState, MachineId},
};
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn a_machine_that_may_start_a_cancelled_task_is_returned_in_an_outage_too() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    one_task(&mut harness, "j-000001");
    let sent = send_one(&mut harness);
    no_answer(&mut harness, &sent);
    harness.cancel("j-000001");
    for _ in 0..25 {
        harness.now += Duration::from_secs(1);
        harness.heartbeat("n-1", 1, &[]);
        harness.leader.tick(harness.now, StateService::Unavailable, None);
    }
    assert_eq!(harness.leader.take_deletions(), ["n-1".into()] as [MachineId; 1]);
}

/// After how many seconds the machine with an open start of a cancelled job is
/// returned, counted from when the leader learned of the cancellation.
async fn returned_after(confirmed_before_s: u64) -> u64 {
    let mut harness = LeaderHarness::new(5);
    harness.now += Duration::from_secs(60);
    harness.heartbeat("n-1", 1, &[]);
    one_task(&mut harness, "j-000001");
    let sent = send_one(&mut harness);
    no_answer(&mut harness, &sent);
    let confirmed = harness.now - Duration::from_secs(confirmed_before_s);
    harness.cancel("j-000001");
    harness.leader.record_confirmed_end("j-000001", confirmed);
    for after in 1..40 {
        harness.now += Duration::from_secs(1);
        harness.heartbeat("n-1", 1, &[]);
        harness.leader.tick(harness.now, StateService::Available, harness.alone);
        if !harness.leader.take_deletions().is_empty() {
            return after;
        }
    }
    panic!("never returned");
}

#[tokio::test(start_paused = true)]
async fn machines_are_returned_in_time_after_the_confirmation_however_late_it_is_learned() {
    assert_eq!(returned_after(0).await, 19);
    assert_eq!(returned_after(10).await, 9);
    // There is always some time to stop the task, as long as there is any left.
    assert_eq!(returned_after(18).await, 6);
    assert_eq!(returned_after(25).await, 3);
    assert_eq!(returned_after(40).await, 1);
}

#[tokio::test(start_paused = true)]
async fn a_new_leader_counts_from_the_confirmation() {
    // Leaders change again and again; none has half of the limit to itself.
    let deployment = TestDeployment::new(1).await;
    let machine = deployment.machines()[0].clone();
    seconds(5).await;
    let body = json!({"Shape": "service", "Spokes": 1});
    assert!(state(&deployment.submit(0, "j-000001", body).await).is_some());
    deployment.until("it runs", || deployment.starts() == 1).await;
    seconds(2).await;
    // The machine hears nobody: the test goes on reporting in its place.
    let mut heartbeat = deployment.last_heartbeat(&machine);
    deployment.partition(&machine, &[0, 1, 2]);
    assert_eq!(state(&deployment.cancel(0, "j-000001").await), Some(JobState::Cancelled));
    let told = Instant::now();
    let mut leader = deployment.leader().expect("a leader");
    assert_eq!(heartbeat.tasks.len(), 1);
    while deployment.machines().contains(&machine) {
        assert!(told.elapsed() < Duration::from_secs(24), "too late");
        for _ in 0..8 {
            seconds(1).await;
            if let Some(node) = deployment.leader().and_then(|l| deployment.running_node(l)) {
                heartbeat.sequence += 1;
                let _ = deployment.node(node).answer_heartbeat_now(&heartbeat);
            }
        }
        deployment.kill_node(leader);
        deployment
            .until("another leads", || deployment.leader().is_some_and(|l| l != leader))
            .await;
        deployment.start_node(leader);
        leader = deployment.leader().expect("a leader");
    }
}
