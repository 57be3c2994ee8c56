//! Failovers combined with partitions, cancellations and outages of the state service.

use crate::common::{TestDeployment, assert_no_violation, seconds, state};
use crate::state_outages::{
    cancel_while_leader_is_refused_then_outage, deployment_with_two_services,
    end_outage_and_check_states,
};
use serde_json::json;
use std::time::Duration;
use stonewheel::{node::Unavailable, protocol::JobState};
use tokio::time::{Instant, sleep};

#[tokio::test(start_paused = true)]
async fn leader_without_state_service_and_peers_stops_renewing_worker_leases_in_time() {
    let (deployment, leader, other) = deployment_with_two_services().await;
    deployment.disconnect(leader);
    // The machines reach no other controller, so the leader can't learn of the cancellation.
    let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    for machine in deployment.machines() {
        deployment.partition(&machine, &others);
    }
    cancel_while_leader_is_refused_then_outage(&deployment, leader, other, 60).await;
    for machine in deployment.machines() {
        deployment.partition(&machine, &[]);
    }
    end_outage_and_check_states(&deployment, leader).await;
}

/// A cancelled task on an unreachable machine still counts towards its team's limit after a
/// failover: a new leader that forgot it would start the team's waiting job too early.
#[tokio::test(start_paused = true)]
async fn team_stays_within_its_limit_across_failover_with_an_unreachable_machine() {
    let deployment = TestDeployment::new(4).await;
    let service = json!({"Shape": "service", "Spokes": 2, "Gpus": 8.0, "Crew": "red"});
    assert!(state(&deployment.submit(0, "j-000001", service.clone()).await).is_some());
    deployment.until("the team is at its limit", || deployment.starts() == 2).await;
    assert!(state(&deployment.submit(0, "j-000003", service).await).is_some());
    seconds(12).await;
    let old = deployment.leader().expect("a leader");
    let machines = deployment.machines_of("j-000001");
    deployment.partition(&machines[0], &[0, 1, 2]);
    deployment.kill_node(old);
    let other = (old + 1) % 3;
    let reply = deployment.cancel(other, "j-000001").await;
    assert_eq!(state(&reply), Some(JobState::Cancelled));
    deployment.until("another leads", || deployment.leader().is_some_and(|l| l != old)).await;
    // The task on the unreachable machine counts until its end is proven.
    let deadline = Instant::now() + Duration::from_secs(8);
    while Instant::now() < deadline {
        let running =
            deployment.machines_of("j-000001").len() + deployment.machines_of("j-000003").len();
        assert!(running <= 2, "the team's limit allows two tasks");
        sleep(Duration::from_millis(500)).await;
    }
    deployment.start_node(old);
    deployment.until("both tasks of the second job run", || deployment.starts() == 4).await;
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn ten_failovers_in_two_minutes_and_an_outage_lose_no_job_and_no_cancellation() {
    let deployment = TestDeployment::new(4).await;
    deployment.runs_for("j-000003", 20);
    for id in ["j-000001", "j-000002"] {
        let service = json!({"Shape": "service", "Spokes": 2, "Gpus": 2.0});
        assert!(state(&deployment.submit(0, id, service).await).is_some());
    }
    deployment.until("both run", || deployment.starts() == 4).await;
    for change in 0..10 {
        let Some(old) = deployment.leader() else { panic!("no leader before change {change}") };
        if change == 4 {
            deployment.state.set_outage(true);
        }
        deployment.kill_node(old);
        seconds(if change % 3 == 0 { 1 } else { 5 }).await;
        deployment.start_node(old);
        if change == 3 {
            let next = (old + 1) % 3;
            assert!(
                state(&deployment.submit(next, "j-000003", json!({"Spokes": 6})).await).is_some()
            );
            assert_eq!(
                state(&deployment.cancel(next, "j-000001").await),
                Some(JobState::Cancelled)
            );
        }
        if change == 4 {
            seconds(8).await;
            deployment.state.set_outage(false);
        }
        deployment.until("there is a leader", || deployment.leader().is_some()).await;
        seconds(6).await;
    }
    deployment.until_state(0, "j-000003", JobState::Done).await;
    for node in 0..3 {
        assert_eq!(state(&deployment.status(node, "j-000001").await), Some(JobState::Cancelled));
        assert_eq!(state(&deployment.status(node, "j-000002").await), Some(JobState::Running));
        assert_eq!(state(&deployment.status(node, "j-000003").await), Some(JobState::Done));
    }
    assert!(deployment.machines_of("j-000001").is_empty());
    assert_no_violation(&deployment);
}

/// Copies of heartbeats sent before a task started, or in the term of the former leader, must
/// not make the new leader conclude that the task is gone and start it again.
#[tokio::test(start_paused = true)]
async fn delayed_heartbeats_that_reach_a_new_leader_restart_no_task() {
    let deployment = TestDeployment::new(2).await;
    let service = json!({"Shape": "service", "Spokes": 1, "Gpus": 8.0});
    // Three heartbeats of each machine from before the task's submission.
    let mut before = Vec::new();
    for _ in 0..3 {
        before.extend(deployment.machines().into_iter().map(|m| deployment.last_heartbeat(&m)));
        seconds(1).await;
    }
    assert!(state(&deployment.submit(0, "j-000001", service).await).is_some());
    deployment.until("the task runs", || deployment.starts() == 1).await;
    seconds(12).await;
    let old = deployment.leader().expect("a leader");
    let with_task = deployment.machines_of("j-000001").pop().expect("its machine");
    let during = deployment.last_heartbeat(&with_task);
    deployment.kill_node(old);
    // The copies reach the new leader before the machine's own heartbeats, and again later.
    deployment.partition(&with_task, &[0, 1, 2]);
    deployment.until("another leads", || deployment.leader().is_some_and(|l| l != old)).await;
    let new = deployment.leader().expect("a leader");
    sleep(Duration::from_millis(300)).await;
    for round in 0..4 {
        for delayed in before.iter().chain([&during]) {
            deployment.node(new).answer_heartbeat_now(delayed);
            sleep(Duration::from_millis(100)).await;
        }
        seconds(2).await;
        deployment.partition(&with_task, &[]);
        seconds(round * 4).await;
    }
    assert_eq!(deployment.starts(), 1, "the task was not started again");
    assert_eq!(state(&deployment.status(new, "j-000001").await), Some(JobState::Running));
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn tasks_restart_once_after_all_controllers_were_down_for_longer_than_a_worker_lease() {
    let (deployment, _, other) = deployment_with_two_services().await;
    assert_eq!(state(&deployment.cancel(other, "j-000001").await), Some(JobState::Cancelled));
    for node in 0..3 {
        deployment.kill_node(node);
    }
    seconds(20).await;
    for node in 0..3 {
        deployment.start_node(node);
    }
    deployment.until("the remaining service runs again", || deployment.starts() >= 6).await;
    seconds(30).await;
    assert_eq!(deployment.starts(), 6, "each task of the remaining service restarts once");
    assert!(deployment.machines_of("j-000001").is_empty());
    for node in 0..3 {
        assert_eq!(state(&deployment.status(node, "j-000001").await), Some(JobState::Cancelled));
        assert_eq!(state(&deployment.status(node, "j-000002").await), Some(JobState::Running));
    }
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn leader_without_state_service_and_peers_is_replaced_although_users_and_workers_reach_it() {
    let (deployment, leader, other) = deployment_with_two_services().await;
    deployment.state.refuse(&format!("m-{leader}"), true);
    deployment.disconnect(leader);
    deployment.until("another leads", || deployment.leader().is_some_and(|l| l != leader)).await;
    assert_eq!(state(&deployment.cancel(other, "j-000001").await), Some(JobState::Cancelled));
    seconds(15).await;
    assert!(deployment.machines_of("j-000001").is_empty());
    // The old leader can't know the current state and answers that it is unavailable.
    assert_eq!(deployment.status(leader, "j-000002").await, Err(Unavailable::State));
    assert_eq!(deployment.cancel(leader, "j-000002").await, Err(Unavailable::State));
    assert_eq!(deployment.starts(), 4, "the other service was not restarted");
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn failover_with_an_unreachable_machine_restarts_its_tasks_once() {
    let (deployment, old, other) = deployment_with_two_services().await;
    let unreachable = deployment.machines_of("j-000002").pop().expect("its machine");
    deployment.partition(&unreachable, &[0, 1, 2]);
    seconds(2).await;
    deployment.kill_node(old);
    seconds(5).await;
    deployment.start_node(old);
    deployment.until_state(other, "j-000002", JobState::Running).await;
    seconds(60).await;
    deployment.partition_if_present(&unreachable, &[]);
    seconds(20).await;
    assert_eq!(state(&deployment.status(other, "j-000002").await), Some(JobState::Running));
    assert_eq!(deployment.starts(), 6, "each task of the unreachable machine restarts once");
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn tasks_that_end_in_different_leader_terms_run_once() {
    let deployment = TestDeployment::new(2).await;
    // Task 0 ends before the first failover, the last task long after it.
    deployment.runs_for("j-000001/0", 4);
    deployment.runs_for("j-000001/1", 30);
    deployment.runs_for("j-000001/2", 60);
    assert!(state(&deployment.submit(0, "j-000001", json!({"Spokes": 3})).await).is_some());
    deployment.until("all run", || deployment.starts() == 3).await;
    for wait_s in [5, 25, 10] {
        seconds(wait_s).await;
        let old = deployment.leader().expect("a leader");
        deployment.kill_node(old);
        seconds(1).await;
        deployment.start_node(old);
        deployment.until("there is a leader", || deployment.leader().is_some()).await;
    }
    deployment.until_state(1, "j-000001", JobState::Done).await;
    assert_eq!(deployment.starts(), 3, "no task ran twice");
    for node in 0..3 {
        assert_eq!(state(&deployment.status(node, "j-000001").await), Some(JobState::Done));
    }
    assert_no_violation(&deployment);
}

/// A write of a killed process may still be in flight when the next process of the same
/// controller starts. It must be rejected when it is carried out late.
#[tokio::test(start_paused = true)]
async fn restart_of_all_controllers_within_a_second_rejects_late_writes_of_former_processes() {
    let (deployment, _, _) = deployment_with_two_services().await;
    for round in 0..4_u64 {
        let leader = deployment.leader().expect("a leader");
        // A placement of the process that is killed below stays in flight.
        deployment.state.hold(&format!("m-{leader}"));
        let id = format!("j-00001{round}");
        let service = json!({"Shape": "service", "Spokes": 1, "Gpus": 1.0});
        assert!(state(&deployment.submit((leader + 1) % 3, &id, service).await).is_some());
        deployment.until("the placement is in flight", || deployment.state.held_count() > 0).await;
        let late = deployment.state.release_held();
        for node in 0..3 {
            deployment.kill_node(node);
        }
        // The leader's next process starts before the leader lease expires.
        sleep(Duration::from_millis(200 + 250 * round)).await;
        deployment.start_node(leader);
        seconds(2).await;
        for node in (0..3).filter(|n| *n != leader) {
            deployment.start_node(node);
        }
        deployment.until("there is a leader", || deployment.leader().is_some()).await;
        for outcome in deployment.state.execute(late) {
            assert!(outcome.is_err(), "a write of a former process was accepted: {outcome:?}");
        }
        seconds(12).await;
    }
    assert_eq!(state(&deployment.cancel(0, "j-000001").await), Some(JobState::Cancelled));
    seconds(12).await;
    assert!(deployment.machines_of("j-000001").is_empty());
    assert_eq!(deployment.starts(), 8, "nothing was restarted");
    assert_no_violation(&deployment);
}
