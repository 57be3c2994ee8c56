//! Life cycle of a job: submission, idempotent retries, end, and the answers to users.

use crate::common::seconds;
use crate::common::{TestDeployment, job};
use serde_json::json;
use stonewheel::{
    node::{Unavailable, UserReply},
    protocol::JobState,
};

pub(crate) fn created(reply: &Result<UserReply, Unavailable>) -> bool {
    matches!(reply, Ok(UserReply::Created(_)))
}

pub(crate) fn state(reply: Result<UserReply, Unavailable>) -> JobState {
    match reply {
        Ok(UserReply::Known(status) | UserReply::Created(status)) => status.state,
        other => panic!("no state: {other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn an_array_runs_to_its_end_and_leaves_one_small_record() {
    let deployment = TestDeployment::new(1).await;
    deployment.runs_for("j-000001", 5);
    let body = job("j-000001", json!({"Spokes": 5}));
    assert!(created(&deployment.node(0).submit(&body).await));
    deployment.until_state(1, "j-000001", JobState::Done).await;
    seconds(5).await;
    assert_eq!(deployment.starts(), 5);
    assert_eq!(deployment.state.keys("sw/j/"), [""; 0]);
    assert_eq!(deployment.state.keys("sw/p/"), [""; 0]);
    // A late retry of the submission returns the end of the job and creates no new job.
    assert_eq!(state(deployment.node(2).submit(&body).await), JobState::Done);
    assert!(deployment.violations().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_retry_at_another_controller_after_a_lost_answer_creates_no_second_job() {
    let deployment = TestDeployment::new(1).await;
    let follower = (deployment.leader().expect("a leader") + 1) % 3;
    deployment.runs_for("j-000002", 3);
    deployment.state.lose_answers(&format!("m-{follower}"), 1);
    let body = job("j-000002", json!({"Spokes": 1}));
    // The write was executed without an answer; the controller finds it by reading back.
    let first_state = state(deployment.node(follower).submit(&body).await);
    assert!(matches!(first_state, JobState::Pending | JobState::Running));
    let other = (follower + 1) % 3;
    let reply = deployment.node(other).submit(&body).await;
    assert!(matches!(reply, Ok(UserReply::Known(_))));
    deployment.until_state(other, "j-000002", JobState::Done).await;
    assert_eq!(deployment.starts(), 1);
}

#[tokio::test(start_paused = true)]
async fn the_first_recorded_end_of_a_job_is_final() {
    let deployment = TestDeployment::new(1).await;
    deployment.runs_for("j-000003", 2);
    let body = job("j-000003", json!({"Spokes": 1}));
    assert!(created(&deployment.node(0).submit(&body).await));
    // The end is in the state service before a node's watch cache may have it.
    let version = deployment.state.version("sw/j/j-000003");
    assert!(version > 0);
    deployment.until_state(0, "j-000003", JobState::Done).await;
    for node in 0..3 {
        assert_eq!(state(deployment.node(node).cancel("j-000003").await), JobState::Done);
    }
    let second = job("j-000004", json!({"Shape": "service", "Spokes": 1}));
    assert!(created(&deployment.node(0).submit(&second).await));
    deployment.until("it runs", || !deployment.machines_of("j-000004").is_empty()).await;
    assert_eq!(state(deployment.node(1).cancel("j-000004").await), JobState::Cancelled);
    for node in 0..3 {
        assert_eq!(state(deployment.node(node).status("j-000004").await), JobState::Cancelled);
    }
    deployment.until("it is gone", || deployment.machines_of("j-000004").is_empty()).await;
    seconds(20).await;
    assert!(deployment.machines_of("j-000004").is_empty());
    assert_eq!(deployment.state.keys("sw/p/"), [""; 0]);
}

#[tokio::test(start_paused = true)]
async fn reads_after_a_failover_are_not_older_than_earlier_answers() {
    let deployment = TestDeployment::new(1).await;
    for round in 0..6 {
        let id = format!("j-0001{round:02}");
        let body = job(&id, json!({"Shape": "service", "Spokes": 1}));
        let first = deployment.node(round % 3).submit(&body).await;
        assert!(created(&first));
        // Immediately and on every node, whatever its watch has delivered so far.
        for node in 0..3 {
            assert_ne!(deployment.node(node).status(&id).await, Ok(UserReply::Unknown));
        }
        assert_eq!(state(deployment.node((round + 1) % 3).cancel(&id).await), JobState::Cancelled);
        for node in 0..3 {
            assert_eq!(state(deployment.node(node).status(&id).await), JobState::Cancelled);
        }
        if round == 2 {
            let leader = deployment.leader().expect("a leader");
            deployment.kill_node(leader);
            seconds(1).await;
            deployment.start_node(leader);
            seconds(8).await;
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_machine_that_fails_its_tasks_does_not_stall_a_job() {
    let deployment = TestDeployment::new(2).await;
    seconds(5).await;
    deployment.set_failing("n-000001");
    deployment.runs_for("j-000013", 4);
    assert!(created(&deployment.node(0).submit(&job("j-000013", json!({"Spokes": 10}))).await));
    deployment.until_state(0, "j-000013", JobState::Done).await;
    assert!(deployment.violations().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_huge_array_is_stored_in_values_that_fit_and_continues_after_a_failover() {
    let deployment = TestDeployment::new(2).await;
    deployment.runs_for("j-000014", 1_000);
    let body = job("j-000014", json!({"Spokes": 100_000, "Crew": "red"}));
    assert!(created(&deployment.node(0).submit(&body).await));
    // Its team's limit is 16 GPUs, so 16 tasks run.
    deployment.until("the team's limit is used up", || deployment.starts() == 16).await;
    let old = deployment.leader().expect("a leader");
    deployment.kill_node(old);
    seconds(30).await;
    assert_eq!(deployment.starts(), 16, "the limit holds across a failover");
    let node = (old + 1) % 3;
    assert_eq!(state(deployment.node(node).cancel("j-000014").await), JobState::Cancelled);
    deployment.until("it is gone", || deployment.machines_of("j-000014").is_empty()).await;
    deployment.until("its records are deleted", || deployment.state.keys("sw/p/").is_empty()).await;
    assert!(deployment.violations().is_empty());
}

#[tokio::test(start_paused = true)]
async fn bad_submissions_are_distinguished() {
    let deployment = TestDeployment::new(1).await;
    let node = deployment.node(0);
    let malformed = [
        b"not json".to_vec(),
        b"[]".to_vec(),
        job("j-1x", json!({})),
        job("j-000020", json!({"Spokes": 0})),
        job("j-000020", json!({"Spokes": 100_001})),
        job("j-000020", json!({"Cores": -1.0})),
        job("j-000020", json!({"Shape": "triangle"})),
        job("j-000020", json!({"Rank": "urgent"})),
        job("j-000020", json!({"Gpus": "two"})),
        job("j-000020", json!({"Frames": []})),
    ];
    for body in malformed {
        let reply = node.submit(&body).await;
        assert!(matches!(reply, Ok(UserReply::Malformed(_))), "{reply:?}");
    }
    let impossible = [
        job("j-000020", json!({"Crew": "nobody"})),
        job("j-000020", json!({"Gpus": 9.0})),
        job("j-000020", json!({"Frames": ["g9"]})),
        job("j-000020", json!({"Yard": "nowhere"})),
        job("j-000020", json!({"Crew": "red", "Shape": "ensemble", "Spokes": 17})),
    ];
    for body in impossible {
        let reply = node.submit(&body).await;
        assert!(matches!(reply, Ok(UserReply::Impossible(_))), "{reply:?}");
    }
    assert_eq!(node.status("j-000020").await, Ok(UserReply::Unknown));
    // An array may have more tasks than the team's limit allows to run concurrently.
    let body = job("j-000021", json!({"Crew": "red", "Spokes": 17}));
    assert!(created(&node.submit(&body).await));
}
