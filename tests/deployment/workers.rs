//! Unreachable machines, lease renewal by followers, and proof that a task has ended.

use crate::common::seconds;
use crate::common::{TestDeployment, job};
use crate::jobs::created;
use serde_json::json;
use stonewheel::{node::Unavailable, protocol::JobState};

#[tokio::test(start_paused = true)]
async fn a_task_on_an_unreachable_machine_is_not_started_elsewhere_without_proof() {
    let deployment = TestDeployment::new(2).await;
    let old = deployment.leader().expect("a leader");
    let body = job("j-000006", json!({"Shape": "service", "Spokes": 1}));
    assert!(created(&deployment.node(0).submit(&body).await));
    deployment.until("it runs", || !deployment.machines_of("j-000006").is_empty()).await;
    let machine = deployment.machines_of("j-000006")[0].clone();
    // The old leader is cut off from the state service only, and keeps renewing the worker's
    // lease.
    let others: Vec<usize> = (0..3).filter(|n| *n != old).collect();
    deployment.partition(&machine, &others);
    deployment.state.refuse(&format!("m-{old}"), true);
    deployment.until("another leads", || deployment.leader().is_some_and(|l| l != old)).await;
    seconds(60).await;
    // By now the new leader has deleted the machine through the cloud, which proves that its
    // task has ended.
    let current = deployment.machines_of("j-000006");
    assert_eq!(current.len(), 1);
    assert_ne!(current[0], machine);
    assert!(deployment.violations().is_empty(), "{:?}", deployment.violations());
}

#[tokio::test(start_paused = true)]
async fn an_outage_longer_than_a_worker_lease_stops_no_task() {
    let deployment = TestDeployment::new(2).await;
    let leader = deployment.leader().expect("a leader");
    let body = job("j-000009", json!({"Shape": "service", "Spokes": 4}));
    assert!(created(&deployment.node(0).submit(&body).await));
    deployment.until("it runs", || deployment.starts() == 4).await;
    deployment.state.set_outage(true);
    seconds(5).await;
    for node in 0..3 {
        let reply = deployment.node(node).submit(&job("j-000010", json!({}))).await;
        assert_eq!(reply, Err(Unavailable::State));
        assert_eq!(deployment.node(node).status("j-000009").await, Err(Unavailable::State));
        assert!(
            deployment.node(node).is_healthy(),
            "an outage affects all nodes, so none is unhealthy"
        );
    }
    seconds(40).await;
    deployment.state.set_outage(false);
    seconds(10).await;
    assert_eq!(deployment.leader(), Some(leader), "the leader's key still exists");
    assert_eq!(deployment.starts(), 4, "nothing was restarted");
    deployment.runs_for("j-000010", 1);
    assert!(created(&deployment.node(0).submit(&job("j-000010", json!({}))).await));
    deployment.until_state(1, "j-000010", JobState::Done).await;
    assert!(deployment.violations().is_empty());
}

/// Starts a service on one machine. Returns the deployment and the leader.
async fn service_on_one_machine(id: &str) -> (TestDeployment, usize) {
    let deployment = TestDeployment::new(1).await;
    let body = job(id, json!({"Shape": "service", "Spokes": 1}));
    assert!(created(&deployment.node(0).submit(&body).await));
    deployment.until("it runs", || deployment.starts() == 1).await;
    let leader = deployment.leader().expect("a leader");
    (deployment, leader)
}

#[tokio::test(start_paused = true)]
async fn lease_renewal_by_followers_ends_before_a_cancelled_task_could_outlive_its_limit() {
    let (deployment, leader) = service_on_one_machine("j-000012").await;
    // A controller has lost touch with the others for so long that it may confirm a cancellation
    // that they don't know. The leader is killed too.
    let other = (leader + 1) % 3;
    deployment.disconnect(other);
    seconds(9).await;
    assert_eq!(deployment.leader(), Some(leader));
    deployment.state.begin_outage_after_next_commit();
    let reply = deployment.node(other).cancel("j-000012").await;
    assert!(reply.is_ok(), "{reply:?}");
    deployment.kill_node(other);
    deployment.kill_node(leader);
    seconds(20).await;
    assert!(!deployment.machines_of("j-000012").is_empty(), "its worker was answered");
    seconds(16).await;
    assert!(deployment.machines_of("j-000012").is_empty(), "gone within cancel_s");
}

#[tokio::test(start_paused = true)]
async fn followers_stop_a_task_whose_cancellation_the_leader_confirmed_before_it_was_killed() {
    let (deployment, leader) = service_on_one_machine("j-000012").await;
    // The leader is killed before its stop command arrives.
    let machine = deployment.machines_of("j-000012").pop().expect("its machine");
    deployment.partition(&machine, &[leader]);
    deployment.state.begin_outage_after_next_commit();
    assert!(deployment.node(leader).cancel("j-000012").await.is_ok());
    deployment.kill_node(leader);
    // Before the worker's lease expires.
    seconds(8).await;
    assert!(deployment.machines_of("j-000012").is_empty(), "a follower stopped it");
}

#[tokio::test(start_paused = true)]
async fn a_worker_that_another_controller_answers_is_not_considered_dead() {
    // One node loses the state service and the other controllers, but not the workers, and one
    // worker can reach only that node. Lease expiry is then no proof for the leader, which must
    // not start the worker's task elsewhere without another proof.
    let deployment = TestDeployment::new(2).await;
    let leader = deployment.leader().expect("a leader");
    let body = job("j-000013", json!({"Shape": "service", "Spokes": 1, "Gpus": 8.0}));
    assert!(created(&deployment.node(leader).submit(&body).await));
    deployment.until("it runs", || deployment.starts() == 1).await;
    let machine = deployment.machines_of("j-000013").pop().expect("its machine");
    let isolated = (leader + 1) % 3;
    let others: Vec<usize> = (0..3).filter(|n| *n != isolated).collect();
    deployment.state.refuse(&format!("m-{isolated}"), true);
    deployment.disconnect(isolated);
    deployment.partition(&machine, &others);
    seconds(60).await;
    assert!(deployment.violations().is_empty(), "{:?}", deployment.violations());
    assert_eq!(deployment.starts(), 2, "the machine was returned, and the task restarted");
}

#[tokio::test(start_paused = true)]
async fn a_task_is_placed_elsewhere_when_its_machine_receives_no_responses() {
    let deployment = TestDeployment::new(1).await;
    seconds(5).await;
    let machine = "n-000001";
    deployment.set_drops_responses(machine, true);
    let body = job("j-000012", json!({"Shape": "service", "Spokes": 1}));
    assert!(created(&deployment.node(0).submit(&body).await));
    deployment.until("it runs elsewhere", || !deployment.machines_of("j-000012").is_empty()).await;
    assert_ne!(&*deployment.machines_of("j-000012")[0], machine);
    assert!(deployment.violations().is_empty());
}
