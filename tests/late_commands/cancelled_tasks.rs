//! Machines that may still start a task of a cancelled job are returned to the cloud within
//! `cancel_s` of the confirmed cancellation.

use crate::common::{
    LateCommands, TestDeployment, assert_no_violation,
    leader_harness::{LeaderHarness, lose_response, place_one_task, take_direct_request},
    seconds, state,
};
use serde_json::json;
use std::time::Duration;
use stonewheel::{
    controller::StateService,
    protocol::{JobState, MachineId},
};
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn machine_that_may_start_a_cancelled_task_is_returned_during_an_outage() {
    let mut harness = LeaderHarness::new(5).hold_worker_tokens();
    harness.heartbeat("n-1", 1, &[]);
    place_one_task(&mut harness, "j-000001");
    let sent = take_direct_request(&mut harness);
    lose_response(&mut harness, &sent);
    harness.cancel("j-000001");
    for _ in 0..25 {
        harness.now += Duration::from_secs(1);
        harness.heartbeat("n-1", 1, &[]);
        harness.leader.tick(harness.now, StateService::Unavailable, None);
    }
    assert_eq!(harness.leader.take_deletions(), ["n-1".into()] as [MachineId; 1]);
}

/// Returns how many seconds after the leader learned of a cancellation it returns a machine with
/// an open start of the cancelled job. The cancellation was confirmed to its user
/// `confirmed_before_s` seconds before the leader learned of it.
async fn seconds_until_return(confirmed_before_s: u64) -> u64 {
    let mut harness = LeaderHarness::new(5).hold_worker_tokens();
    harness.now += Duration::from_secs(60);
    harness.heartbeat("n-1", 1, &[]);
    place_one_task(&mut harness, "j-000001");
    let sent = take_direct_request(&mut harness);
    lose_response(&mut harness, &sent);
    let confirmed = harness.now - Duration::from_secs(confirmed_before_s);
    harness.cancel("j-000001");
    harness.leader.record_confirmed_end("j-000001", confirmed);
    for after in 1..40 {
        harness.now += Duration::from_secs(1);
        harness.heartbeat("n-1", 1, &[]);
        harness.leader.tick(harness.now, StateService::Available, harness.sole_renewer_since);
        if !harness.leader.take_deletions().is_empty() {
            return after;
        }
    }
    panic!("the machine was not returned within 40 s");
}

#[tokio::test(start_paused = true)]
async fn time_until_a_machine_is_returned_counts_from_the_confirmation() {
    assert_eq!(seconds_until_return(0).await, 19);
    assert_eq!(seconds_until_return(10).await, 9);
    // While any time is left, the leader first uses a part of it to stop the task.
    assert_eq!(seconds_until_return(18).await, 6);
    assert_eq!(seconds_until_return(25).await, 3);
    assert_eq!(seconds_until_return(40).await, 1);
}

/// Followers keep a worker's lease, and with it its incarnation, as long as they know all confirmed
/// cancellations. A direct start of a leader that has crashed must not take effect on that worker
/// long after the job was cancelled.
#[tokio::test(start_paused = true)]
async fn late_start_of_a_crashed_leader_is_void_on_workers_that_followers_answer() {
    let deployment = TestDeployment::new(1).await;
    let machine = deployment.machines()[0].clone();
    let service = json!({"Shape": "service", "Spokes": 1});
    assert!(state(&deployment.submit(0, "j-000001", service.clone()).await).is_some());
    deployment.until("the service runs", || deployment.starts() == 1).await;
    seconds(10).await;
    let leader = deployment.leader().expect("a leader");
    let other = (leader + 1) % 3;
    let cancel_s = 36.0;
    deployment.set_late_commands(Some(LateCommands::new(1, 1.0, cancel_s + 10.0..cancel_s + 11.0)));
    assert!(state(&deployment.submit(other, "j-000002", service).await).is_some());
    deployment.until("it is placed", || !deployment.state.keys("sw/p/j-000002").is_empty()).await;
    deployment.state.begin_outage_after_next_commit();
    let reply = deployment.cancel(other, "j-000002").await;
    assert_eq!(state(&reply), Some(JobState::Cancelled), "{reply:?}");
    deployment.kill_node(leader);
    deployment.set_late_commands(None);
    seconds(5).await;
    deployment.start_node(leader);
    seconds(55).await;
    assert_eq!(deployment.incarnation(&machine), 1, "the lease was kept");
    assert_eq!(deployment.starts(), 1, "the late start had no effect");
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn new_leaders_count_the_time_until_return_from_the_confirmation() {
    // The leader changes every few seconds, so that no term lasts half of cancel_s.
    let deployment = TestDeployment::new(1).await;
    let machine = deployment.machines()[0].clone();
    seconds(5).await;
    let body = json!({"Shape": "service", "Spokes": 1});
    assert!(state(&deployment.submit(0, "j-000001", body).await).is_some());
    deployment.until("the task runs", || deployment.starts() == 1).await;
    seconds(2).await;
    // The machine is partitioned from all controllers, and the test sends heartbeats in its place.
    let mut heartbeat = deployment.last_heartbeat(&machine);
    deployment.partition(&machine, &[0, 1, 2]);
    assert_eq!(state(&deployment.cancel(0, "j-000001").await), Some(JobState::Cancelled));
    let confirmed_at = Instant::now();
    let mut leader = deployment.leader().expect("a leader");
    assert_eq!(heartbeat.tasks.len(), 1);
    while deployment.machines().contains(&machine) {
        assert!(confirmed_at.elapsed() < Duration::from_secs(24), "the machine was not returned");
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
