//! Partitioned, silent and hanging machines; delayed commands and heartbeats.

use crate::common::{TestDeployment, assert_no_violation, seconds, state};
use crate::state_outages::two_services;
use serde_json::json;
use stonewheel::protocol::JobState;

#[tokio::test(start_paused = true)]
async fn a_zone_with_its_controller_is_partitioned_for_longer_than_a_lease() {
    // The zone keeps working inside, under the leader that it holds; outside,
    // another leads and cancels.
    let (deployment, leader, other) = two_services().await;
    let (inside, name) = (deployment.machines_of("j-000001"), format!("m-{leader}"));
    let outside: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    deployment.state.refuse(&name, true);
    deployment.disconnect(leader);
    for machine in &inside {
        deployment.partition(machine, &outside);
    }
    deployment.until("another leads", || deployment.leader().is_some_and(|l| l != leader)).await;
    assert_eq!(state(&deployment.cancel(other, "j-000001").await), Some(JobState::Cancelled));
    seconds(60).await;
    assert!(deployment.machines_of("j-000001").is_empty(), "gone within cancel_s");
    deployment.state.refuse(&name, false);
    deployment.reconnect(leader);
    for machine in deployment.machines() {
        deployment.partition(&machine, &[]);
    }
    seconds(20).await;
    assert_eq!(state(&deployment.status(leader, "j-000001").await), Some(JobState::Cancelled));
    assert_eq!(state(&deployment.status(leader, "j-000002").await), Some(JobState::Running));
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn copies_from_earlier_incarnations_and_attempts_change_nothing() {
    let deployment = TestDeployment::new(1).await;
    let service = json!({"Shape": "service", "Spokes": 1, "Gpus": 8.0});
    assert!(state(&deployment.submit(0, "j-000001", service).await).is_some());
    deployment.until("it runs", || deployment.starts() == 1).await;
    seconds(5).await;
    let machine = deployment.machines_of("j-000001").pop().expect("its machine");
    let first = deployment.last_heartbeat(&machine);
    // Its lease runs out, and the task starts again, on any machine.
    deployment.partition(&machine, &[0, 1, 2]);
    seconds(20).await;
    deployment.partition(&machine, &[]);
    deployment.until("it runs again", || deployment.starts() == 2).await;
    seconds(3).await;
    for node in 0..3 {
        deployment.node(node).answer_heartbeat_now(&first);
        let exited = {
            let mut copy = first.clone();
            copy.tasks[0].state = stonewheel::protocol::TaskState::Exited;
            copy.tasks[0].cause = Some(stonewheel::protocol::ExitCause::Done);
            copy
        };
        deployment.node(node).answer_heartbeat_now(&exited);
    }
    seconds(10).await;
    assert_eq!(state(&deployment.status(0, "j-000001").await), Some(JobState::Running));
    assert_eq!(deployment.starts(), 2);
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn commands_delayed_at_a_machine_that_hangs_and_resumes() {
    for long in [4, 9, 14] {
        let deployment = TestDeployment::new(2).await;
        let machines = deployment.machines();
        for machine in &machines {
            deployment.set_hung(machine, true);
        }
        let service = json!({"Shape": "service", "Spokes": 1, "Gpus": 8.0});
        assert!(state(&deployment.submit(0, "j-000001", service.clone()).await).is_some());
        assert!(state(&deployment.submit(0, "j-000002", service).await).is_some());
        seconds(long).await;
        assert_eq!(state(&deployment.cancel(1, "j-000001").await), Some(JobState::Cancelled));
        for machine in &machines {
            deployment.set_hung(machine, false);
        }
        deployment.until_state(0, "j-000002", JobState::Running).await;
        seconds(45).await;
        assert!(deployment.machines_of("j-000001").is_empty(), "after {long} s");
        assert_no_violation(&deployment);
    }
}

#[tokio::test(start_paused = true)]
async fn a_machine_whose_heartbeats_are_lost_takes_direct_stops_before_its_lease_expires() {
    let (deployment, _, other) = two_services().await;
    let machine = deployment.machines_of("j-000001").pop().expect("its machine");
    deployment.set_drops_heartbeats(&machine, true);
    seconds(5).await;
    assert_eq!(state(&deployment.cancel(other, "j-000001").await), Some(JobState::Cancelled));
    seconds(3).await;
    assert!(deployment.machines_of("j-000001").is_empty(), "stopped directly");
    assert_eq!(deployment.incarnation(&machine), 1, "within its lease");
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn a_new_leader_stops_cancelled_work_on_machines_it_never_heard() {
    let (deployment, old, other) = two_services().await;
    let machine = deployment.machines_of("j-000001").pop().expect("its machine");
    deployment.set_drops_heartbeats(&machine, true);
    deployment.kill_node(old);
    let told = deployment.cancel(other, "j-000001").await;
    assert_eq!(state(&told), Some(JobState::Cancelled));
    seconds(9).await;
    assert!(deployment.machines_of("j-000001").is_empty(), "stopped directly");
    assert_eq!(deployment.incarnation(&machine), 1, "within its lease");
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn a_machine_that_loses_responses_neither_counts_as_alive_nor_runs_elsewhere_early() {
    for takeover in [false, true] {
        let (deployment, old, _) = two_services().await;
        let machine = deployment.machines_of("j-000002").pop().expect("its machine");
        deployment.set_drops_responses(&machine, true);
        if takeover {
            deployment.kill_node(old);
        }
        deployment
            .until("it runs elsewhere", || {
                deployment.machines_of("j-000002").iter().any(|m| *m != machine)
            })
            .await;
        seconds(10).await;
        assert_eq!(
            state(&deployment.status((old + 1) % 3, "j-000002").await),
            Some(JobState::Running)
        );
        assert_no_violation(&deployment);
    }
}

#[tokio::test(start_paused = true)]
async fn work_bound_to_a_zone_stays_there_when_it_loses_machines() {
    let deployment = TestDeployment::new(2).await;
    for _ in 0..2 {
        deployment.add_machine("b");
    }
    deployment.runs_for("j-000002", 30);
    let service = json!({"Shape": "service", "Spokes": 2, "Gpus": 8.0, "Yard": "b"});
    let array = json!({"Spokes": 12, "Gpus": 1.0, "Yard": "a"});
    let gang = json!({"Shape": "ensemble", "Spokes": 2, "Gpus": 4.0, "Together": true});
    deployment.runs_for("j-000003", 30);
    for (id, spec) in [("j-000001", service), ("j-000002", array), ("j-000003", gang)] {
        assert!(state(&deployment.submit(0, id, spec).await).is_some());
    }
    deployment.until("the service runs", || deployment.machines_of("j-000001").len() == 2).await;
    seconds(10).await;
    // One machine of each zone dies with all that is on it.
    let lost = [
        deployment.machines_of("j-000001")[0].clone(),
        deployment.machines_of("j-000002")[0].clone(),
    ];
    for machine in &lost {
        deployment.remove_machine(machine);
    }
    let old = deployment.leader().expect("a leader");
    deployment.kill_node(old);
    seconds(5).await;
    deployment.start_node(old);
    deployment.until_state(old, "j-000002", JobState::Done).await;
    deployment.until_state(old, "j-000003", JobState::Done).await;
    deployment
        .until("the service is whole", || deployment.machines_of("j-000001").len() == 2)
        .await;
    assert_no_violation(&deployment);
}
