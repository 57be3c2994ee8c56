//! Partitioned, silent and hanging machines; delayed commands and heartbeats.

use crate::common::{World, no_rule_broken, seconds, state};
use crate::state_outages::two_services;
use serde_json::json;
use stonewheel::protocol::JobState;

#[tokio::test(start_paused = true)]
async fn a_zone_with_its_controller_is_partitioned_for_longer_than_a_lease() {
    // The zone keeps working inside, under the leader that it holds; outside,
    // another leads and cancels.
    let (world, leader, other) = two_services().await;
    let (inside, name) = (world.machines_of("j-000001"), format!("m-{leader}"));
    let outside: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    world.state.refuse(&name, true);
    world.sever(leader);
    for machine in &inside {
        world.cut(machine, &outside);
    }
    world.until("another leads", || world.leader().is_some_and(|l| l != leader)).await;
    assert_eq!(state(&world.cancel(other, "j-000001").await), Some(JobState::Cancelled));
    seconds(60).await;
    assert!(world.machines_of("j-000001").is_empty(), "gone within cancel_s");
    world.state.refuse(&name, false);
    world.mend(leader);
    for machine in world.machines() {
        world.cut(&machine, &[]);
    }
    seconds(20).await;
    assert_eq!(state(&world.ask(leader, "j-000001").await), Some(JobState::Cancelled));
    assert_eq!(state(&world.ask(leader, "j-000002").await), Some(JobState::Running));
    no_rule_broken(&world);
}

#[tokio::test(start_paused = true)]
async fn copies_from_earlier_incarnations_and_attempts_change_nothing() {
    let world = World::new(1).await;
    let service = json!({"Shape": "service", "Spokes": 1, "Gpus": 8.0});
    assert!(state(&world.submit(0, "j-000001", service).await).is_some());
    world.until("it runs", || world.starts() == 1).await;
    seconds(5).await;
    let machine = world.machines_of("j-000001").pop().expect("its machine");
    let first = world.last_report(&machine);
    // Its lease runs out, and the task starts again, on any machine.
    world.cut(&machine, &[0, 1, 2]);
    seconds(20).await;
    world.cut(&machine, &[]);
    world.until("it runs again", || world.starts() == 2).await;
    seconds(3).await;
    for node in 0..3 {
        world.node(node).heartbeat(&first);
        let exited = {
            let mut copy = first.clone();
            copy.tasks[0].state = stonewheel::protocol::TaskState::Exited;
            copy.tasks[0].cause = Some(stonewheel::protocol::ExitCause::Done);
            copy
        };
        world.node(node).heartbeat(&exited);
    }
    seconds(10).await;
    assert_eq!(state(&world.ask(0, "j-000001").await), Some(JobState::Running));
    assert_eq!(world.starts(), 2);
    no_rule_broken(&world);
}

#[tokio::test(start_paused = true)]
async fn commands_delayed_at_a_machine_that_hangs_and_resumes() {
    for long in [4, 9, 14] {
        let world = World::new(2).await;
        let machines = world.machines();
        for machine in &machines {
            world.set_hung(machine, true);
        }
        let service = json!({"Shape": "service", "Spokes": 1, "Gpus": 8.0});
        assert!(state(&world.submit(0, "j-000001", service.clone()).await).is_some());
        assert!(state(&world.submit(0, "j-000002", service).await).is_some());
        seconds(long).await;
        assert_eq!(state(&world.cancel(1, "j-000001").await), Some(JobState::Cancelled));
        for machine in &machines {
            world.set_hung(machine, false);
        }
        world.until_state(0, "j-000002", JobState::Running).await;
        seconds(45).await;
        assert!(world.machines_of("j-000001").is_empty(), "after {long} s");
        no_rule_broken(&world);
    }
}

#[tokio::test(start_paused = true)]
async fn a_machine_whose_heartbeats_are_lost_takes_direct_stops_before_its_lease_expires() {
    let (world, _, other) = two_services().await;
    let machine = world.machines_of("j-000001").pop().expect("its machine");
    world.set_mute(&machine, true);
    seconds(5).await;
    assert_eq!(state(&world.cancel(other, "j-000001").await), Some(JobState::Cancelled));
    seconds(3).await;
    assert!(world.machines_of("j-000001").is_empty(), "stopped directly");
    assert_eq!(world.incarnation(&machine), 1, "within its lease");
    no_rule_broken(&world);
}

#[tokio::test(start_paused = true)]
async fn a_new_leader_stops_cancelled_work_on_machines_it_never_heard() {
    let (world, old, other) = two_services().await;
    let machine = world.machines_of("j-000001").pop().expect("its machine");
    world.set_mute(&machine, true);
    world.kill_node(old);
    let told = world.cancel(other, "j-000001").await;
    assert_eq!(state(&told), Some(JobState::Cancelled));
    seconds(9).await;
    assert!(world.machines_of("j-000001").is_empty(), "stopped directly");
    assert_eq!(world.incarnation(&machine), 1, "within its lease");
    no_rule_broken(&world);
}

#[tokio::test(start_paused = true)]
async fn a_machine_that_loses_responses_neither_counts_as_alive_nor_runs_elsewhere_early() {
    for takeover in [false, true] {
        let (world, old, _) = two_services().await;
        let machine = world.machines_of("j-000002").pop().expect("its machine");
        world.set_deaf(&machine, true);
        if takeover {
            world.kill_node(old);
        }
        world
            .until("it runs elsewhere", || {
                world.machines_of("j-000002").iter().any(|m| *m != machine)
            })
            .await;
        seconds(10).await;
        assert_eq!(state(&world.ask((old + 1) % 3, "j-000002").await), Some(JobState::Running));
        no_rule_broken(&world);
    }
}

#[tokio::test(start_paused = true)]
async fn work_bound_to_a_zone_stays_there_when_it_loses_machines() {
    let world = World::new(2).await;
    for _ in 0..2 {
        world.add_machine("b");
    }
    world.runs_for("j-000002", 30);
    let service = json!({"Shape": "service", "Spokes": 2, "Gpus": 8.0, "Yard": "b"});
    let array = json!({"Spokes": 12, "Gpus": 1.0, "Yard": "a"});
    let gang = json!({"Shape": "ensemble", "Spokes": 2, "Gpus": 4.0, "Together": true});
    world.runs_for("j-000003", 30);
    for (id, spec) in [("j-000001", service), ("j-000002", array), ("j-000003", gang)] {
        assert!(state(&world.submit(0, id, spec).await).is_some());
    }
    world.until("the service runs", || world.machines_of("j-000001").len() == 2).await;
    seconds(10).await;
    // One machine of each zone dies with all that is on it.
    let lost = [world.machines_of("j-000001")[0].clone(), world.machines_of("j-000002")[0].clone()];
    for machine in &lost {
        world.lose(machine);
    }
    let old = world.leader().expect("a leader");
    world.kill_node(old);
    seconds(5).await;
    world.start_node(old);
    world.until_state(old, "j-000002", JobState::Done).await;
    world.until_state(old, "j-000003", JobState::Done).await;
    world.until("the service is whole", || world.machines_of("j-000001").len() == 2).await;
    no_rule_broken(&world);
}
