//! Failovers met by partitions and by cancellations.

use crate::common::{TestDeployment, assert_no_violation, seconds, state};
use crate::state_outages::{leader_refused_then_outage, outage_ends, two_services};
use serde_json::json;
use std::time::Duration;
use stonewheel::{node::Unavailable, protocol::JobState};
use tokio::time::{Instant, sleep};

#[tokio::test(start_paused = true)]
async fn a_leader_without_store_and_peers_stops_renewing_leases_in_time() {
    let (deployment, leader, other) = two_services().await;
    deployment.disconnect(leader);
    // Nobody else is reached, who might know and tell.
    let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    for machine in deployment.machines() {
        deployment.partition(&machine, &others);
    }
    leader_refused_then_outage(&deployment, leader, other, 60).await;
    for machine in deployment.machines() {
        deployment.partition(&machine, &[]);
    }
    outage_ends(&deployment, leader).await;
}

#[tokio::test(start_paused = true)]
async fn a_full_team_stays_within_its_limit_when_the_leader_changes_and_machines_are_away() {
    let deployment = TestDeployment::new(4).await;
    let full = json!({"Shape": "service", "Spokes": 2, "Gpus": 8.0, "Crew": "red"});
    assert!(state(&deployment.submit(0, "j-000001", full.clone()).await).is_some());
    deployment.until("the team is at its limit", || deployment.starts() == 2).await;
    assert!(state(&deployment.submit(0, "j-000003", full).await).is_some());
    seconds(12).await;
    let old = deployment.leader().expect("a leader");
    let away = deployment.machines_of("j-000001");
    deployment.partition(&away[0], &[0, 1, 2]);
    deployment.kill_node(old);
    let other = (old + 1) % 3;
    let told = deployment.cancel(other, "j-000001").await;
    assert_eq!(state(&told), Some(JobState::Cancelled));
    deployment.until("another leads", || deployment.leader().is_some_and(|l| l != old)).await;
    // The task on the machine that is away counts until proof that it is gone.
    let limit = Instant::now() + Duration::from_secs(8);
    while Instant::now() < limit {
        let held =
            deployment.machines_of("j-000001").len() + deployment.machines_of("j-000003").len();
        assert!(held <= 2, "room for two tasks");
        sleep(Duration::from_millis(500)).await;
    }
    deployment.start_node(old);
    deployment.until("both its tasks run", || deployment.starts() == 4).await;
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn leaders_change_ten_times_in_two_minutes_and_within_an_outage() {
    let deployment = TestDeployment::new(4).await;
    deployment.runs_for("j-000003", 20);
    for id in ["j-000001", "j-000002"] {
        let service = json!({"Shape": "service", "Spokes": 2, "Gpus": 2.0});
        assert!(state(&deployment.submit(0, id, service).await).is_some());
    }
    deployment.until("both run", || deployment.starts() == 4).await;
    for change in 0..10 {
        let Some(old) = deployment.leader() else { panic!("nobody leads before change {change}") };
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
        deployment.until("somebody leads", || deployment.leader().is_some()).await;
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

#[tokio::test(start_paused = true)]
async fn a_heartbeat_delayed_until_a_new_leader_acted_proves_nothing() {
    let deployment = TestDeployment::new(2).await;
    let service = json!({"Shape": "service", "Spokes": 1, "Gpus": 8.0});
    // Several from before the task, from each machine.
    let mut before = Vec::new();
    for _ in 0..3 {
        before.extend(deployment.machines().into_iter().map(|m| deployment.last_heartbeat(&m)));
        seconds(1).await;
    }
    assert!(state(&deployment.submit(0, "j-000001", service).await).is_some());
    deployment.until("it runs", || deployment.starts() == 1).await;
    seconds(12).await;
    let old = deployment.leader().expect("a leader");
    let with_task = deployment.machines_of("j-000001").pop().expect("its machine");
    let during = deployment.last_heartbeat(&with_task);
    deployment.kill_node(old);
    // The copies come before the machine itself is heard, and again later.
    deployment.partition(&with_task, &[0, 1, 2]);
    deployment.until("another leads", || deployment.leader().is_some_and(|l| l != old)).await;
    let new = deployment.leader().expect("a leader");
    sleep(Duration::from_millis(300)).await;
    for round in 0..4 {
        for late in before.iter().chain([&during]) {
            deployment.node(new).answer_heartbeat_now(late);
            sleep(Duration::from_millis(100)).await;
        }
        seconds(2).await;
        deployment.partition(&with_task, &[]);
        seconds(round * 4).await;
    }
    assert_eq!(deployment.starts(), 1, "nothing was started again");
    assert_eq!(state(&deployment.status(new, "j-000001").await), Some(JobState::Running));
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn all_controllers_are_away_for_longer_than_a_lease() {
    let (deployment, _, other) = two_services().await;
    assert_eq!(state(&deployment.cancel(other, "j-000001").await), Some(JobState::Cancelled));
    for node in 0..3 {
        deployment.kill_node(node);
    }
    seconds(20).await;
    for node in 0..3 {
        deployment.start_node(node);
    }
    deployment.until("it runs again", || deployment.starts() >= 6).await;
    seconds(30).await;
    assert_eq!(deployment.starts(), 6, "each task once");
    assert!(deployment.machines_of("j-000001").is_empty());
    for node in 0..3 {
        assert_eq!(state(&deployment.status(node, "j-000001").await), Some(JobState::Cancelled));
        assert_eq!(state(&deployment.status(node, "j-000002").await), Some(JobState::Running));
    }
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn a_leader_without_store_and_peers_is_left_though_users_and_workers_reach_it() {
    let (deployment, leader, other) = two_services().await;
    deployment.state.refuse(&format!("m-{leader}"), true);
    deployment.disconnect(leader);
    deployment.until("another leads", || deployment.leader().is_some_and(|l| l != leader)).await;
    assert_eq!(state(&deployment.cancel(other, "j-000001").await), Some(JobState::Cancelled));
    seconds(15).await;
    assert!(deployment.machines_of("j-000001").is_empty());
    // The old leader doesn't know, and says so.
    assert_eq!(deployment.status(leader, "j-000002").await, Err(Unavailable::State));
    assert_eq!(deployment.cancel(leader, "j-000002").await, Err(Unavailable::State));
    assert_eq!(deployment.starts(), 4, "the other service went on");
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn a_leader_ends_while_machines_with_long_tasks_cannot_be_reached() {
    let (deployment, old, other) = two_services().await;
    let away = deployment.machines_of("j-000002").pop().expect("its machine");
    deployment.partition(&away, &[0, 1, 2]);
    seconds(2).await;
    deployment.kill_node(old);
    seconds(5).await;
    deployment.start_node(old);
    deployment.until_state(other, "j-000002", JobState::Running).await;
    seconds(60).await;
    deployment.partition_if_present(&away, &[]);
    seconds(20).await;
    assert_eq!(state(&deployment.status(other, "j-000002").await), Some(JobState::Running));
    assert_eq!(deployment.starts(), 6, "each of its tasks once more");
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn tasks_that_end_far_apart_across_a_failover_are_done_once() {
    let deployment = TestDeployment::new(2).await;
    // Task 0 ends early, the last one long after the next leader came.
    deployment.runs_for("j-000001/0", 4);
    deployment.runs_for("j-000001/1", 30);
    deployment.runs_for("j-000001/2", 60);
    assert!(state(&deployment.submit(0, "j-000001", json!({"Spokes": 3})).await).is_some());
    deployment.until("all run", || deployment.starts() == 3).await;
    for wait in [5, 25, 10] {
        seconds(wait).await;
        let old = deployment.leader().expect("a leader");
        deployment.kill_node(old);
        seconds(1).await;
        deployment.start_node(old);
        deployment.until("somebody leads", || deployment.leader().is_some()).await;
    }
    deployment.until_state(1, "j-000001", JobState::Done).await;
    assert_eq!(deployment.starts(), 3, "no task ran twice");
    for node in 0..3 {
        assert_eq!(state(&deployment.status(node, "j-000001").await), Some(JobState::Done));
    }
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn controllers_hand_over_and_back_and_return_within_a_second() {
    let (deployment, _, _) = two_services().await;
    for round in 0..4_u64 {
        let leader = deployment.leader().expect("a leader");
        // A placement of the former process is still on its way.
        deployment.state.hold(&format!("m-{leader}"));
        let id = format!("j-00001{round}");
        let service = json!({"Shape": "service", "Spokes": 1, "Gpus": 1.0});
        assert!(state(&deployment.submit((leader + 1) % 3, &id, service).await).is_some());
        deployment.until("it is under way", || deployment.state.held_count() > 0).await;
        let late = deployment.state.release_held();
        for node in 0..3 {
            deployment.kill_node(node);
        }
        // The leader's next process is there before its lease ends.
        sleep(Duration::from_millis(200 + 250 * round)).await;
        deployment.start_node(leader);
        seconds(2).await;
        for node in (0..3).filter(|n| *n != leader) {
            deployment.start_node(node);
        }
        deployment.until("somebody leads", || deployment.leader().is_some()).await;
        for outcome in deployment.state.execute(late) {
            assert!(outcome.is_err(), "a former process's write was taken: {outcome:?}");
        }
        seconds(12).await;
    }
    assert_eq!(state(&deployment.cancel(0, "j-000001").await), Some(JobState::Cancelled));
    seconds(12).await;
    assert!(deployment.machines_of("j-000001").is_empty());
    assert_eq!(deployment.starts(), 8, "nothing was restarted");
    assert_no_violation(&deployment);
}
