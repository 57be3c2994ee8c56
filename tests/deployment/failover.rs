//! Leaders that end, lose the state service or lose their workers.

use crate::common::seconds;
use crate::common::{TestDeployment, job};
use crate::jobs::created;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use stonewheel::{
    node::{HeartbeatReply, Unavailable},
    protocol::{JobState, WorkerHeartbeat},
};
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn a_superseded_leaders_late_write_fails() {
    let deployment = TestDeployment::new(2).await;
    let old = deployment.leader().expect("a leader");
    let name = format!("m-{old}");
    let body = job("j-000005", json!({"Shape": "service", "Spokes": 2}));
    deployment.state.hold(&name);
    let other = (old + 1) % 3;
    assert!(created(&deployment.node(other).submit(&body).await));
    deployment.until("the placement is under way", || deployment.state.held_count() > 0).await;
    assert!(deployment.machines_of("j-000005").is_empty(), "no order before the record");
    deployment.kill_node(old);
    deployment.until("another leads", || deployment.leader().is_some_and(|l| l != old)).await;
    deployment.until("it runs", || deployment.starts() >= 2).await;
    for late in deployment.state.deliver_held() {
        assert!(late.is_err(), "a late write of the old leader was taken: {late:?}");
    }
    seconds(10).await;
    assert_eq!(deployment.starts(), 2);
    assert!(deployment.violations().is_empty());
}

#[tokio::test(start_paused = true)]
async fn workers_leave_a_leader_that_lost_the_store_and_find_the_next() {
    let deployment = TestDeployment::new(2).await;
    let old = deployment.leader().expect("a leader");
    let body = job("j-000007", json!({"Shape": "service", "Spokes": 2}));
    assert!(created(&deployment.node(0).submit(&body).await));
    deployment.until("it runs", || deployment.starts() == 2).await;
    deployment.state.refuse(&format!("m-{old}"), true);
    seconds(30).await;
    // New work starts under the new leader, and the old work went on.
    let next = deployment.leader().expect("a leader");
    assert_ne!(next, old);
    deployment.runs_for("j-000008", 2);
    assert!(created(&deployment.node(next).submit(&job("j-000008", json!({}))).await));
    deployment.until_state(next, "j-000008", JobState::Done).await;
    assert_eq!(deployment.starts(), 4, "nothing was restarted");
    // The refused node doesn't guess.
    assert_eq!(deployment.node(old).status("j-000007").await, Err(Unavailable::State));
    assert_eq!(deployment.node(old).status("j-999999").await, Err(Unavailable::State));
    assert!(deployment.violations().is_empty());
}

#[tokio::test(start_paused = true)]
async fn all_controllers_end_within_an_outage_and_no_task_is_lost() {
    // Nobody can be elected in an outage, and worker leases are shorter.
    let deployment = TestDeployment::new(2).await;
    let body = job("j-000011", json!({"Shape": "service", "Spokes": 4}));
    assert!(created(&deployment.node(0).submit(&body).await));
    deployment.until("it runs", || deployment.starts() == 4).await;
    deployment.state.set_outage(true);
    seconds(6).await;
    for node in 0..3 {
        deployment.kill_node(node);
    }
    seconds(4).await;
    for node in 0..3 {
        deployment.start_node(node);
    }
    seconds(8).await;
    deployment.state.set_outage(false);
    seconds(20).await;
    assert!(deployment.leader().is_some());
    assert_eq!(deployment.starts(), 4, "nothing was restarted");
    assert!(deployment.violations().is_empty(), "{:?}", deployment.violations());
}

/// A deployment whose four machines are full, and its leader, after its first
/// lease: all that then happens to the workers costs tasks if it takes long.
async fn saturated_deployment(id: &str) -> (TestDeployment, usize, Vec<Arc<str>>) {
    let deployment = TestDeployment::new(4).await;
    let leader = deployment.leader().expect("a leader");
    let body = job(id, json!({"Shape": "service", "Spokes": 4, "Gpus": 8.0}));
    assert!(created(&deployment.node(0).submit(&body).await));
    deployment.until("it runs", || deployment.starts() == 4).await;
    seconds(12).await;
    let machines = deployment.machines_of(id);
    (deployment, leader, machines)
}

/// The leader hears none of the machines; another takes over in time.
async fn loses_workers_but_no_task(
    deployment: &TestDeployment,
    leader: usize,
    machines: &[Arc<str>],
) {
    for machine in machines {
        deployment.partition(machine, &[leader]);
    }
    deployment.until("another leads", || deployment.leader().is_some_and(|l| l != leader)).await;
    seconds(15).await;
    assert_eq!(deployment.starts(), 4, "nothing was lost or restarted");
    assert!(deployment.violations().is_empty(), "{:?}", deployment.violations());
}

#[tokio::test(start_paused = true)]
async fn a_leader_that_lost_its_workers_resigns_before_their_leases_expire() {
    // Each node turns reports away and says so; whichever member hears from it
    // first, the leader has to learn of it.
    let (deployment, leader, machines) = saturated_deployment("j-000014").await;
    loses_workers_but_no_task(&deployment, leader, &machines).await;
}

/// Reports hang instead of being refused, so a worker comes to another controller
/// only after its time-out. Sent back to the leader it would wait for that once
/// more, and half of a lease would be left (`docs/incidents/inc-e8a5.md`).
#[tokio::test(start_paused = true)]
async fn workers_whose_heartbeats_to_the_leader_hang_find_its_successor_within_their_leases() {
    let (deployment, leader, machines) = saturated_deployment("j-000017").await;
    deployment.make_partitions_hang();
    let began = Instant::now();
    loses_workers_but_no_task(&deployment, leader, &machines).await;
    for machine in &machines {
        assert_eq!(deployment.incarnation(machine), 1, "{machine} lost its lease");
    }
    assert!(began.elapsed() < Duration::from_secs(23));
}

/// A worker sent on before there is a successor would come to a controller that
/// is paused, and wait for a second time-out there.
#[tokio::test(start_paused = true)]
async fn workers_wait_for_a_successor_rather_than_try_a_silent_controller() {
    let (deployment, leader, machines) = saturated_deployment("j-000019").await;
    let silent = (leader + 2) % 3;
    deployment.make_partitions_hang();
    deployment.disconnect(silent);
    deployment.freeze(silent, 60.0);
    seconds(5).await;
    loses_workers_but_no_task(&deployment, leader, &machines).await;
    assert_eq!(deployment.leader(), Some((leader + 1) % 3));
    for machine in &machines {
        assert_eq!(deployment.incarnation(machine), 1, "{machine} lost its lease");
    }
}

/// A leader that loses its workers hands them on to the controller after it: while
/// that one is silent, another had better lead. No worker reports here, for whom
/// they come to first would decide otherwise.
#[tokio::test(start_paused = true)]
async fn of_two_candidates_the_one_whose_next_controller_lives_leads() {
    let deployment = TestDeployment::new(0).await;
    for round in 0..5 {
        let leader = deployment.leader().expect("a leader");
        deployment.kill_node(leader);
        deployment
            .until("another leads", || deployment.leader().is_some_and(|l| l != leader))
            .await;
        assert_eq!(deployment.leader(), Some((leader + 1) % 3), "round {round}");
        deployment.start_node(leader);
        seconds(15).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_worker_new_to_the_leader_is_redirected_to_it_although_it_hears_few() {
    let (deployment, leader, machines) = saturated_deployment("j-000018").await;
    deployment.make_partitions_hang();
    for machine in &machines {
        deployment.partition(machine, &[leader]);
    }
    seconds(4).await;
    let follower = (leader + 1) % 3;
    let known = deployment.last_heartbeat(&machines[0]);
    let leader_name = format!("m-{leader}");
    let sent_to = |token| match deployment
        .node(follower)
        .answer_heartbeat_now(&WorkerHeartbeat { token, ..known.clone() })
    {
        HeartbeatReply::Redirect(to) => to,
        other => panic!("a follower answered {other:?}"),
    };
    assert_eq!(sent_to(0), Some(leader_name), "it may reach whom others can't");
    assert_eq!(sent_to(known.token), None, "it could not reach the leader");
}

#[tokio::test(start_paused = true)]
async fn a_leader_that_lost_workers_and_peers_learns_of_it_from_the_store() {
    let (deployment, leader, machines) = saturated_deployment("j-000015").await;
    deployment.disconnect(leader);
    loses_workers_but_no_task(&deployment, leader, &machines).await;
}

#[tokio::test(start_paused = true)]
async fn of_two_successors_the_one_that_hears_the_workers_leads() {
    // A leader and one other lose the workers together. If the other followed,
    // it would give way only after another lease.
    let (deployment, old, machines) = saturated_deployment("j-000016").await;
    for other in [(old + 1) % 3, (old + 2) % 3] {
        let now = deployment.leader().expect("a leader");
        if other == now {
            continue;
        }
        for machine in &machines {
            deployment.partition(machine, &[now, other]);
        }
        deployment.until("another leads", || deployment.leader().is_some_and(|l| l != now)).await;
        assert_ne!(deployment.leader(), Some(other));
        seconds(13).await;
        for machine in &machines {
            deployment.partition(machine, &[]);
        }
        seconds(13).await;
    }
    assert!(deployment.violations().is_empty(), "{:?}", deployment.violations());
}

#[tokio::test(start_paused = true)]
async fn all_controllers_end_at_once_and_nothing_is_lost() {
    let deployment = TestDeployment::new(2).await;
    deployment.runs_for("j-000011", 30);
    assert!(created(&deployment.node(0).submit(&job("j-000011", json!({"Spokes": 6}))).await));
    deployment.until("some run", || deployment.starts() >= 2).await;
    for node in 0..3 {
        deployment.kill_node(node);
    }
    seconds(4).await;
    for node in 0..3 {
        deployment.start_node(node);
    }
    deployment.until_state(0, "j-000011", JobState::Done).await;
    assert_eq!(deployment.starts(), 6, "running work went on through it");
    assert!(deployment.violations().is_empty());
}
