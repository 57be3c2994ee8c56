//! Cancellations while the state service refuses the leader or all controllers, or answers slowly.

use crate::common::{TestDeployment, assert_no_violation, seconds, state};
use serde_json::json;
use std::time::Duration;
use stonewheel::protocol::JobState;
use tokio::time::Instant;

/// Starts two services. Returns the deployment, the leader and another controller.
pub(crate) async fn deployment_with_two_services() -> (TestDeployment, usize, usize) {
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

/// Makes the state service refuse the leader, cancels `j-000001` through another controller and
/// then lets `outage_s` seconds of an outage pass. So the leader can't read the cancellation from
/// the state service.
pub(crate) async fn cancel_while_leader_is_refused_then_outage(
    deployment: &TestDeployment,
    leader: usize,
    other: usize,
    outage_s: u64,
) {
    deployment.state.refuse(&format!("m-{leader}"), true);
    seconds(1).await;
    let reply = deployment.cancel(other, "j-000001").await;
    assert_eq!(state(&reply), Some(JobState::Cancelled));
    deployment.state.set_outage(true);
    seconds(outage_s).await;
}

/// Ends the outage and checks that all controllers agree on the cancellation.
pub(crate) async fn end_outage_and_check_states(deployment: &TestDeployment, leader: usize) {
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
async fn leader_refused_by_the_state_service_stops_jobs_cancelled_elsewhere_before_an_outage() {
    // A little below and above cancel_s, and far above it.
    for outage_s in [30, 35, 37, 60] {
        let (deployment, leader, other) = deployment_with_two_services().await;
        cancel_while_leader_is_refused_then_outage(&deployment, leader, other, outage_s).await;
        assert!(deployment.machines_of("j-000001").is_empty());
        assert!(!deployment.machines_of("j-000002").is_empty(), "the other service runs on");
        end_outage_and_check_states(&deployment, leader).await;
        assert_eq!(deployment.starts(), 4, "nothing was restarted");
    }
}

#[tokio::test(start_paused = true)]
async fn cancellation_holds_when_its_confirming_controller_is_killed_before_an_outage() {
    let (deployment, leader, other) = deployment_with_two_services().await;
    deployment.state.refuse(&format!("m-{leader}"), true);
    seconds(1).await;
    let reply = deployment.cancel(other, "j-000001").await;
    assert_eq!(state(&reply), Some(JobState::Cancelled));
    deployment.kill_node(other);
    deployment.state.set_outage(true);
    seconds(4).await;
    deployment.start_node(other);
    seconds(56).await;
    end_outage_and_check_states(&deployment, leader).await;
}

#[tokio::test(start_paused = true)]
async fn leader_whose_refusal_ends_during_an_outage_keeps_the_cancellation() {
    let (deployment, leader, other) = deployment_with_two_services().await;
    cancel_while_leader_is_refused_then_outage(&deployment, leader, other, 10).await;
    deployment.state.refuse(&format!("m-{leader}"), false);
    seconds(50).await;
    assert!(deployment.machines_of("j-000001").is_empty());
    end_outage_and_check_states(&deployment, leader).await;
    assert_eq!(deployment.starts(), 4, "nothing was restarted");
}

#[tokio::test(start_paused = true)]
async fn cancellation_holds_with_a_refused_leader_an_outage_and_a_faulty_machine() {
    for fault in 0..3 {
        let (deployment, leader, other) = deployment_with_two_services().await;
        let machine = deployment.machines_of("j-000001").pop().expect("its machine");
        let set = |on: bool| match fault {
            0 => deployment.set_drops_responses(&machine, on),
            1 => deployment.set_drops_heartbeats(&machine, on),
            _ => deployment.set_hung(&machine, on),
        };
        set(true);
        cancel_while_leader_is_refused_then_outage(&deployment, leader, other, 8).await;
        set(false);
        seconds(50).await;
        end_outage_and_check_states(&deployment, leader).await;
    }
}

#[tokio::test(start_paused = true)]
async fn slow_state_service_prevents_no_cancellation_and_stops_no_other_task() {
    let (deployment, leader, other) = deployment_with_two_services().await;
    // Slower than the time-out of any call.
    deployment.state.set_slow(Duration::from_millis(900));
    let deadline = Instant::now() + Duration::from_secs(30);
    while state(&deployment.cancel(other, "j-000001").await) != Some(JobState::Cancelled) {
        assert!(Instant::now() < deadline, "the cancellation was not confirmed");
        seconds(1).await;
    }
    deployment.state.refuse(&format!("m-{leader}"), true);
    seconds(6).await;
    deployment.state.set_outage(true);
    seconds(40).await;
    deployment.state.set_slow(Duration::ZERO);
    assert!(deployment.machines_of("j-000001").is_empty());
    end_outage_and_check_states(&deployment, leader).await;
}

#[tokio::test(start_paused = true)]
async fn unanswered_transactions_carried_out_late_change_no_outcome() {
    for (offset, all_nodes) in [(0, false), (1, false), (0, true)] {
        let deployment = TestDeployment::new(2).await;
        let leader = deployment.leader().expect("a leader");
        let held_nodes: Vec<usize> =
            if all_nodes { (0..3).collect() } else { vec![(leader + offset) % 3] };
        for id in ["j-000001", "j-000002", "j-000003"] {
            deployment.runs_for(id, 6);
        }
        assert!(
            state(&deployment.submit(leader, "j-000001", json!({"Spokes": 6})).await).is_some()
        );
        seconds(2).await;
        for node in &held_nodes {
            deployment.state.hold(&format!("m-{node}"));
        }
        // The transactions of submissions, a cancellation, pages and ends get no answer, and so
        // the users' requests fail.
        let held_node = held_nodes[0];
        deployment.runs_for("j-000004", 6);
        let _ = deployment.submit((held_node + 1) % 3, "j-000004", json!({})).await;
        let (submitted, cancelled) = tokio::join!(
            deployment.submit(held_node, "j-000002", json!({})),
            deployment.cancel(held_node, "j-000001")
        );
        assert!(submitted.is_err() && cancelled.is_err());
        seconds(6).await;
        let late = deployment.state.release_held();
        let _ = deployment.submit(held_node, "j-000002", json!({})).await;
        let _ = deployment.submit(held_node, "j-000003", json!({})).await;
        deployment.until_state(held_node, "j-000003", JobState::Done).await;
        deployment.until_state(held_node, "j-000002", JobState::Done).await;
        if !all_nodes {
            deployment.until_state(held_node, "j-000004", JobState::Done).await;
        }
        // The held transactions are carried out well after those that replaced them.
        seconds(20).await;
        deployment.state.execute(late);
        seconds(20).await;
        for node in 0..3 {
            assert_eq!(state(&deployment.status(node, "j-000002").await), Some(JobState::Done));
            assert!(deployment.status(node, "j-000001").await.is_ok());
        }
        assert!(deployment.leader().is_some());
        assert_eq!(deployment.state.keys("sw/p/"), Vec::<String>::new(), "no page of an ended job");
        assert_no_violation(&deployment);
    }
}
