//! Unreachable machines, lease renewal by followers and proof of termination.

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
    // The old leader, cut from the store alone, keeps the worker's lease alive.
    let others: Vec<usize> = (0..3).filter(|n| *n != old).collect();
    deployment.partition(&machine, &others);
    deployment.state.refuse(&format!("m-{old}"), true);
    deployment.until("another leads", || deployment.leader().is_some_and(|l| l != old)).await;
    seconds(60).await;
    // By then the machine was given up through the cloud, which is proof.
    let now = deployment.machines_of("j-000006");
    assert_eq!(now.len(), 1);
    assert_ne!(now[0], machine);
    assert!(deployment.violations().is_empty(), "{:?}", deployment.violations());
}

#[tokio::test(start_paused = true)]
async fn an_outage_longer_than_a_worker_lease_stops_nothing() {
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
        assert!(deployment.node(node).is_healthy(), "no other node would be better");
    }
    seconds(40).await;
    deployment.state.set_outage(false);
    seconds(10).await;
    assert_eq!(deployment.leader(), Some(leader), "its key still stands");
    assert_eq!(deployment.starts(), 4, "nothing was restarted");
    deployment.runs_for("j-000010", 1);
    assert!(created(&deployment.node(0).submit(&job("j-000010", json!({}))).await));
    deployment.until_state(1, "j-000010", JobState::Done).await;
    assert!(deployment.violations().is_empty());
}

#[tokio::test(start_paused = true)]
async fn lease_renewal_by_followers_ends_before_a_cancelled_task_could_outlive_its_limit() {
    let deployment = TestDeployment::new(1).await;
    let body = job("j-000012", json!({"Shape": "service", "Spokes": 1}));
    assert!(created(&deployment.node(0).submit(&body).await));
    deployment.until("it runs", || deployment.starts() == 1).await;
    let leader = deployment.leader().expect("a leader");
    let machine = deployment.machines_of("j-000012").pop().expect("its machine");
    // The leader ends before its order to stop arrives.
    deployment.partition(&machine, &[leader]);
    assert!(deployment.node(leader).cancel("j-000012").await.is_ok());
    deployment.kill_node(leader);
    deployment.state.set_outage(true);
    seconds(20).await;
    assert!(!deployment.machines_of("j-000012").is_empty(), "its worker was answered");
    seconds(16).await;
    assert!(deployment.machines_of("j-000012").is_empty(), "gone within cancel_s");
}

#[tokio::test(start_paused = true)]
async fn a_worker_that_another_controller_answers_is_not_taken_for_dead() {
    // One node loses the store and the other controllers, but not the
    // workers; one worker can reach only that node. The leader has no proof
    // by lease then, and must not start its task elsewhere without another.
    let deployment = TestDeployment::new(2).await;
    let leader = deployment.leader().expect("a leader");
    let body = job("j-000013", json!({"Shape": "service", "Spokes": 1, "Gpus": 8.0}));
    assert!(created(&deployment.node(leader).submit(&body).await));
    deployment.until("it runs", || deployment.starts() == 1).await;
    let machine = deployment.machines_of("j-000013").pop().expect("its machine");
    let lone = (leader + 1) % 3;
    let others: Vec<usize> = (0..3).filter(|n| *n != lone).collect();
    deployment.state.refuse(&format!("m-{lone}"), true);
    deployment.disconnect(lone);
    deployment.partition(&machine, &others);
    seconds(60).await;
    assert!(deployment.violations().is_empty(), "{:?}", deployment.violations());
    assert_eq!(deployment.starts(), 2, "the machine was given back, and the task started anew");
}

#[tokio::test(start_paused = true)]
async fn a_machine_that_hears_nothing_is_left_for_one_that_does() {
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
