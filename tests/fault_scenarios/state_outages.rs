//! The state service refuses the leader, everybody, or answers slowly, while jobs are cancelled.

use crate::common::{TestDeployment, assert_no_violation, seconds, state};
use serde_json::json;
use std::time::Duration;
use stonewheel::protocol::JobState;
use tokio::time::Instant;

/// Two services on their machines; the leader, and another controller.
pub(crate) async fn two_services() -> (TestDeployment, usize, usize) {
    let deployment = TestDeployment::new(4).await;
    for id in ["j-000001", "j-000002"] {
        let service = json!({"Shape": "service", "Spokes": 2, "Gpus": 4.0});
        assert!(state(&deployment.submit(0, id, service).await).is_some());
    }
    deployment.until("both run", || deployment.starts() == 4).await;
    seconds(12).await;
    let leader = deployment.leader().expect("a leader");
    (deployment, leader, (leader + 1) % 3)
}

/// The leader_refused_then_outage: the leader alone is refused, another controller confirms a
/// cancellation, and then nobody reaches the state service for `outage`.
pub(crate) async fn leader_refused_then_outage(
    deployment: &TestDeployment,
    leader: usize,
    other: usize,
    outage: u64,
) {
    deployment.state.refuse(&format!("m-{leader}"), true);
    seconds(1).await;
    let told = deployment.cancel(other, "j-000001").await;
    assert_eq!(state(&told), Some(JobState::Cancelled));
    deployment.state.set_outage(true);
    seconds(outage).await;
}

pub(crate) async fn outage_ends(deployment: &TestDeployment, leader: usize) {
    deployment.state.refuse(&format!("m-{leader}"), false);
    deployment.state.set_outage(false);
    seconds(40).await;
    for node in 0..3 {
        assert_eq!(state(&deployment.status(node, "j-000001").await), Some(JobState::Cancelled));
        assert_eq!(state(&deployment.status(node, "j-000002").await), Some(JobState::Running));
    }
    assert_no_violation(deployment);
}

#[tokio::test(start_paused = true)]
async fn a_refused_leader_stops_what_others_cancelled_before_an_outage() {
    // Just under and over cancel_s, and far over it.
    for outage in [30, 35, 37, 60] {
        let (deployment, leader, other) = two_services().await;
        leader_refused_then_outage(&deployment, leader, other, outage).await;
        assert!(deployment.machines_of("j-000001").is_empty());
        assert!(!deployment.machines_of("j-000002").is_empty(), "the rest went on");
        outage_ends(&deployment, leader).await;
        assert_eq!(deployment.starts(), 4, "nothing was restarted");
    }
}

#[tokio::test(start_paused = true)]
async fn the_controller_that_confirmed_a_cancellation_ends_at_once() {
    let (deployment, leader, other) = two_services().await;
    deployment.state.refuse(&format!("m-{leader}"), true);
    seconds(1).await;
    let told = deployment.cancel(other, "j-000001").await;
    assert_eq!(state(&told), Some(JobState::Cancelled));
    deployment.kill_node(other);
    deployment.state.set_outage(true);
    seconds(4).await;
    deployment.start_node(other);
    seconds(56).await;
    outage_ends(&deployment, leader).await;
}

#[tokio::test(start_paused = true)]
async fn the_leaders_own_cut_ends_within_the_outage() {
    let (deployment, leader, other) = two_services().await;
    leader_refused_then_outage(&deployment, leader, other, 10).await;
    deployment.state.refuse(&format!("m-{leader}"), false);
    seconds(50).await;
    assert!(deployment.machines_of("j-000001").is_empty());
    outage_ends(&deployment, leader).await;
    assert_eq!(deployment.starts(), 4, "nothing was restarted");
}

#[tokio::test(start_paused = true)]
async fn a_refused_leader_and_an_outage_with_machines_that_lose_responses_or_heartbeats_or_hang() {
    for fault in 0..3 {
        let (deployment, leader, other) = two_services().await;
        let machine = deployment.machines_of("j-000001").pop().expect("its machine");
        let set = |on: bool| match fault {
            0 => deployment.set_drops_responses(&machine, on),
            1 => deployment.set_drops_heartbeats(&machine, on),
            _ => deployment.set_hung(&machine, on),
        };
        set(true);
        leader_refused_then_outage(&deployment, leader, other, 8).await;
        set(false);
        seconds(50).await;
        outage_ends(&deployment, leader).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_slow_state_service_stops_neither_cancellations_nor_tasks() {
    let (deployment, leader, other) = two_services().await;
    // Slower than any call waits for.
    deployment.state.set_slow(Duration::from_millis(900));
    let limit = Instant::now() + Duration::from_secs(30);
    while state(&deployment.cancel(other, "j-000001").await) != Some(JobState::Cancelled) {
        assert!(Instant::now() < limit, "never cancelled");
        seconds(1).await;
    }
    deployment.state.refuse(&format!("m-{leader}"), true);
    seconds(6).await;
    deployment.state.set_outage(true);
    seconds(40).await;
    deployment.state.set_slow(Duration::ZERO);
    assert!(deployment.machines_of("j-000001").is_empty());
    outage_ends(&deployment, leader).await;
}

#[tokio::test(start_paused = true)]
async fn unanswered_transactions_carried_out_late_change_nothing() {
    for (at, all) in [(0, false), (1, false), (0, true)] {
        let deployment = TestDeployment::new(2).await;
        let leader = deployment.leader().expect("a leader");
        let held: Vec<usize> = if all { (0..3).collect() } else { vec![(leader + at) % 3] };
        for id in ["j-000001", "j-000002", "j-000003"] {
            deployment.runs_for(id, 6);
        }
        assert!(
            state(&deployment.submit(leader, "j-000001", json!({"Spokes": 6})).await).is_some()
        );
        seconds(2).await;
        for node in &held {
            deployment.state.hold(&format!("m-{node}"));
        }
        // Submissions, a cancellation, pages and ends hang; nobody is told.
        let on = held[0];
        deployment.runs_for("j-000004", 6);
        let _ = deployment.submit((on + 1) % 3, "j-000004", json!({})).await;
        let (submitted, cancelled) = tokio::join!(
            deployment.submit(on, "j-000002", json!({})),
            deployment.cancel(on, "j-000001")
        );
        assert!(submitted.is_err() && cancelled.is_err());
        seconds(6).await;
        let late = deployment.state.release_held();
        let _ = deployment.submit(on, "j-000002", json!({})).await;
        let _ = deployment.submit(on, "j-000003", json!({})).await;
        deployment.until_state(on, "j-000003", JobState::Done).await;
        deployment.until_state(on, "j-000002", JobState::Done).await;
        if !all {
            deployment.until_state(on, "j-000004", JobState::Done).await;
        }
        // Well after all that replaced them.
        seconds(20).await;
        deployment.state.execute(late);
        seconds(20).await;
        for node in 0..3 {
            assert_eq!(state(&deployment.status(node, "j-000002").await), Some(JobState::Done));
            assert!(deployment.status(node, "j-000001").await.is_ok());
        }
        assert!(deployment.leader().is_some());
        assert_eq!(
            deployment.state.keys("sw/p/"),
            Vec::<String>::new(),
            "no page of a job that is over"
        );
        assert_no_violation(&deployment);
    }
}
