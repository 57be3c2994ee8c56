//! Fault scenarios, in the order of the table in `docs/design.md`: two faults
//! that are harmless alone, together. The world checks the rules by itself
//! (`World::broken`).

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use std::time::Duration;

use common::{World, no_rule_broken, seconds, state};
use serde_json::json;
use stonewheel::{
    node::{Unavailable, UserReply},
    protocol::JobState,
    store,
};
use tokio::time::{Instant, sleep};

/// Two services on their machines; the leader, and another controller.
async fn two_services() -> (World, usize, usize) {
    let world = World::new(4).await;
    for id in ["j-000001", "j-000002"] {
        let service = json!({"Shape": "service", "Spokes": 2, "Gpus": 4.0});
        assert!(state(&world.submit(0, id, service).await).is_some());
    }
    world.until("both run", || world.starts() == 4).await;
    seconds(12).await;
    let leader = world.leader().expect("a leader");
    (world, leader, (leader + 1) % 3)
}

/// The gap: the leader alone is refused, another controller confirms a
/// cancellation, and then nobody reaches the state service for `outage`.
async fn gap(world: &World, leader: usize, other: usize, outage: u64) {
    world.state.refuse(&format!("m-{leader}"), true);
    seconds(1).await;
    let told = world.cancel(other, "j-000001").await;
    assert_eq!(state(&told), Some(JobState::Cancelled));
    world.state.set_outage(true);
    seconds(outage).await;
}

async fn gap_ends(world: &World, leader: usize) {
    world.state.refuse(&format!("m-{leader}"), false);
    world.state.set_outage(false);
    seconds(40).await;
    for node in 0..3 {
        assert_eq!(state(&world.ask(node, "j-000001").await), Some(JobState::Cancelled));
        assert_eq!(state(&world.ask(node, "j-000002").await), Some(JobState::Running));
    }
    no_rule_broken(world);
}

#[tokio::test(start_paused = true)]
async fn a_refused_leader_stops_what_others_cancelled_before_an_outage() {
    // Just under and over cancel_s, and far over it.
    for outage in [30, 35, 37, 60] {
        let (world, leader, other) = two_services().await;
        gap(&world, leader, other, outage).await;
        assert!(world.machines_of("j-000001").is_empty());
        assert!(!world.machines_of("j-000002").is_empty(), "the rest went on");
        gap_ends(&world, leader).await;
        assert_eq!(world.starts(), 4, "nothing was restarted");
    }
}

#[tokio::test(start_paused = true)]
async fn a_leader_without_store_and_peers_stops_renewing_leases_in_time() {
    let (world, leader, other) = two_services().await;
    world.sever(leader);
    // Nobody else is reached, who might know and tell.
    let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
    for machine in world.machines() {
        world.cut(&machine, &others);
    }
    gap(&world, leader, other, 60).await;
    for machine in world.machines() {
        world.cut(&machine, &[]);
    }
    gap_ends(&world, leader).await;
}

#[tokio::test(start_paused = true)]
async fn the_controller_that_confirmed_a_cancellation_ends_at_once() {
    let (world, leader, other) = two_services().await;
    world.state.refuse(&format!("m-{leader}"), true);
    seconds(1).await;
    let told = world.cancel(other, "j-000001").await;
    assert_eq!(state(&told), Some(JobState::Cancelled));
    world.kill_node(other);
    world.state.set_outage(true);
    seconds(4).await;
    world.start_node(other);
    seconds(56).await;
    gap_ends(&world, leader).await;
}

#[tokio::test(start_paused = true)]
async fn the_leaders_own_cut_ends_within_the_outage() {
    let (world, leader, other) = two_services().await;
    gap(&world, leader, other, 10).await;
    world.state.refuse(&format!("m-{leader}"), false);
    seconds(50).await;
    assert!(world.machines_of("j-000001").is_empty());
    gap_ends(&world, leader).await;
    assert_eq!(world.starts(), 4, "nothing was restarted");
}

#[tokio::test(start_paused = true)]
async fn the_gap_meets_machines_that_are_deaf_or_mute_or_hang() {
    for fault in 0..3 {
        let (world, leader, other) = two_services().await;
        let machine = world.machines_of("j-000001").pop().expect("its machine");
        let set = |on: bool| match fault {
            0 => world.set_deaf(&machine, on),
            1 => world.set_mute(&machine, on),
            _ => world.set_hung(&machine, on),
        };
        set(true);
        gap(&world, leader, other, 8).await;
        set(false);
        seconds(50).await;
        gap_ends(&world, leader).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_slow_state_service_stops_neither_cancellations_nor_tasks() {
    let (world, leader, other) = two_services().await;
    // Slower than any call waits for.
    world.state.set_slow(Duration::from_millis(900));
    let limit = Instant::now() + Duration::from_secs(30);
    while state(&world.cancel(other, "j-000001").await) != Some(JobState::Cancelled) {
        assert!(Instant::now() < limit, "never cancelled");
        seconds(1).await;
    }
    world.state.refuse(&format!("m-{leader}"), true);
    seconds(6).await;
    world.state.set_outage(true);
    seconds(40).await;
    world.state.set_slow(Duration::ZERO);
    assert!(world.machines_of("j-000001").is_empty());
    gap_ends(&world, leader).await;
}

#[tokio::test(start_paused = true)]
async fn a_zone_with_its_controller_is_cut_off_for_longer_than_a_lease() {
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
async fn a_full_team_stays_within_its_limit_when_the_leader_changes_and_machines_are_away() {
    let world = World::new(4).await;
    let full = json!({"Shape": "service", "Spokes": 2, "Gpus": 8.0, "Crew": "red"});
    assert!(state(&world.submit(0, "j-000001", full.clone()).await).is_some());
    world.until("the team is at its limit", || world.starts() == 2).await;
    assert!(state(&world.submit(0, "j-000003", full).await).is_some());
    seconds(12).await;
    let old = world.leader().expect("a leader");
    let away = world.machines_of("j-000001");
    world.cut(&away[0], &[0, 1, 2]);
    world.kill_node(old);
    let other = (old + 1) % 3;
    let told = world.cancel(other, "j-000001").await;
    assert_eq!(state(&told), Some(JobState::Cancelled));
    world.until("another leads", || world.leader().is_some_and(|l| l != old)).await;
    // The task on the machine that is away counts until proof that it is gone.
    let limit = Instant::now() + Duration::from_secs(8);
    while Instant::now() < limit {
        let held = world.machines_of("j-000001").len() + world.machines_of("j-000003").len();
        assert!(held <= 2, "room for two tasks");
        sleep(Duration::from_millis(500)).await;
    }
    world.start_node(old);
    world.until("both its tasks run", || world.starts() == 4).await;
    no_rule_broken(&world);
}

#[tokio::test(start_paused = true)]
async fn leaders_change_ten_times_in_two_minutes_and_within_an_outage() {
    let world = World::new(4).await;
    world.runs_for("j-000003", 20);
    for id in ["j-000001", "j-000002"] {
        let service = json!({"Shape": "service", "Spokes": 2, "Gpus": 2.0});
        assert!(state(&world.submit(0, id, service).await).is_some());
    }
    world.until("both run", || world.starts() == 4).await;
    for change in 0..10 {
        let Some(old) = world.leader() else { panic!("nobody leads before change {change}") };
        if change == 4 {
            world.state.set_outage(true);
        }
        world.kill_node(old);
        seconds(if change % 3 == 0 { 1 } else { 5 }).await;
        world.start_node(old);
        if change == 3 {
            let next = (old + 1) % 3;
            assert!(state(&world.submit(next, "j-000003", json!({"Spokes": 6})).await).is_some());
            assert_eq!(state(&world.cancel(next, "j-000001").await), Some(JobState::Cancelled));
        }
        if change == 4 {
            seconds(8).await;
            world.state.set_outage(false);
        }
        world.until("somebody leads", || world.leader().is_some()).await;
        seconds(6).await;
    }
    world.until_state(0, "j-000003", JobState::Done).await;
    for node in 0..3 {
        assert_eq!(state(&world.ask(node, "j-000001").await), Some(JobState::Cancelled));
        assert_eq!(state(&world.ask(node, "j-000002").await), Some(JobState::Running));
        assert_eq!(state(&world.ask(node, "j-000003").await), Some(JobState::Done));
    }
    assert!(world.machines_of("j-000001").is_empty());
    no_rule_broken(&world);
}

#[tokio::test(start_paused = true)]
async fn a_report_held_back_until_a_new_leader_acted_proves_nothing() {
    let world = World::new(2).await;
    let service = json!({"Shape": "service", "Spokes": 1, "Gpus": 8.0});
    // Several from before the task, from each machine.
    let mut before = Vec::new();
    for _ in 0..3 {
        before.extend(world.machines().into_iter().map(|m| world.last_report(&m)));
        seconds(1).await;
    }
    assert!(state(&world.submit(0, "j-000001", service).await).is_some());
    world.until("it runs", || world.starts() == 1).await;
    seconds(12).await;
    let old = world.leader().expect("a leader");
    let with_task = world.machines_of("j-000001").pop().expect("its machine");
    let during = world.last_report(&with_task);
    world.kill_node(old);
    // The copies come before the machine itself is heard, and again later.
    world.cut(&with_task, &[0, 1, 2]);
    world.until("another leads", || world.leader().is_some_and(|l| l != old)).await;
    let new = world.leader().expect("a leader");
    sleep(Duration::from_millis(300)).await;
    for round in 0..4 {
        for late in before.iter().chain([&during]) {
            world.node(new).heartbeat(late);
            sleep(Duration::from_millis(100)).await;
        }
        seconds(2).await;
        world.cut(&with_task, &[]);
        seconds(round * 4).await;
    }
    assert_eq!(world.starts(), 1, "nothing was started again");
    assert_eq!(state(&world.ask(new, "j-000001").await), Some(JobState::Running));
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
async fn urgent_work_gets_the_room_that_is_too_little_for_all() {
    // The cloud has no more; the state service is slow.
    let world = World::new(2).await;
    world.no_more_machines();
    world.state.set_slow(Duration::from_millis(200));
    let many = json!({"Spokes": 40, "Gpus": 1.0, "Rank": "best_effort", "NotchS": 5.0});
    world.runs_for("j-000001", 15);
    world.runs_for("j-000003", 15);
    assert!(state(&world.submit(0, "j-000001", many).await).is_some());
    world.until("the fleet is full", || world.starts() >= 16).await;
    let gang = json!({"Shape": "ensemble", "Spokes": 2, "Gpus": 8.0, "Rank": "high"});
    let asked = Instant::now();
    assert!(state(&world.submit(1, "j-000003", gang).await).is_some());
    world.until_state(2, "j-000003", JobState::Running).await;
    assert!(asked.elapsed() < Duration::from_secs(30), "urgent work waited {:?}", asked.elapsed());
    world.until_state(0, "j-000003", JobState::Done).await;
    world.until_state(1, "j-000001", JobState::Done).await;
    no_rule_broken(&world);
}

#[tokio::test(start_paused = true)]
async fn orders_held_up_at_a_machine_that_hangs_and_goes_on() {
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
async fn all_controllers_are_away_for_longer_than_a_lease() {
    let (world, _, other) = two_services().await;
    assert_eq!(state(&world.cancel(other, "j-000001").await), Some(JobState::Cancelled));
    for node in 0..3 {
        world.kill_node(node);
    }
    seconds(20).await;
    for node in 0..3 {
        world.start_node(node);
    }
    world.until("it runs again", || world.starts() >= 6).await;
    seconds(30).await;
    assert_eq!(world.starts(), 6, "each task once");
    assert!(world.machines_of("j-000001").is_empty());
    for node in 0..3 {
        assert_eq!(state(&world.ask(node, "j-000001").await), Some(JobState::Cancelled));
        assert_eq!(state(&world.ask(node, "j-000002").await), Some(JobState::Running));
    }
    no_rule_broken(&world);
}

#[tokio::test(start_paused = true)]
async fn cancel_poll_and_repeat_at_the_very_end_agree() {
    // Over a second around the end, in steps, on different nodes at once.
    let world = World::new(2).await;
    for step in 0..20_u32 {
        let id = format!("j-0000{:02}", step + 10);
        world.runs_for(&id, 3);
        let starts = world.starts();
        assert!(state(&world.submit(0, &id, json!({"Spokes": 2})).await).is_some());
        world.until("it runs", || world.starts() == starts + 2).await;
        // A slow answer widens the moment in which both ends are under way.
        world.state.set_slow(Duration::from_millis(u64::from(step % 2) * 200));
        sleep(Duration::from_millis(2500 + 120 * u64::from(step))).await;
        let (a, b, c) = tokio::join!(
            world.cancel((step as usize) % 3, &id),
            world.ask((step as usize + 1) % 3, &id),
            world.submit((step as usize + 2) % 3, &id, json!({"Spokes": 2})),
        );
        assert!(a.is_ok() && b.is_ok() && c.is_ok());
        let end = state(&a).expect("an end");
        assert!(matches!(end, JobState::Done | JobState::Cancelled), "{end:?}");
        // One record of the end, which later processes will read.
        let record = world.state.value(&store::end_key(&id)).expect("an end record");
        let record: store::JobEnd = serde_json::from_str(&record).expect("an end");
        assert_eq!(record.state, end);
        for node in 0..3 {
            assert_eq!(state(&world.ask(node, &id).await), Some(end));
            assert_eq!(state(&world.cancel(node, &id).await), Some(end));
            assert_eq!(state(&world.submit(node, &id, json!({})).await), Some(end));
        }
    }
    seconds(40).await;
    no_rule_broken(&world);
}

#[tokio::test(start_paused = true)]
async fn a_leader_without_store_and_peers_is_left_though_users_and_workers_reach_it() {
    let (world, leader, other) = two_services().await;
    world.state.refuse(&format!("m-{leader}"), true);
    world.sever(leader);
    world.until("another leads", || world.leader().is_some_and(|l| l != leader)).await;
    assert_eq!(state(&world.cancel(other, "j-000001").await), Some(JobState::Cancelled));
    seconds(15).await;
    assert!(world.machines_of("j-000001").is_empty());
    // The old leader doesn't know, and says so.
    assert_eq!(world.ask(leader, "j-000002").await, Err(Unavailable::State));
    assert_eq!(world.cancel(leader, "j-000002").await, Err(Unavailable::State));
    assert_eq!(world.starts(), 4, "the other service went on");
    no_rule_broken(&world);
}

#[tokio::test(start_paused = true)]
async fn unanswered_transactions_carried_out_late_change_nothing() {
    for (at, all) in [(0, false), (1, false), (0, true)] {
        let world = World::new(2).await;
        let leader = world.leader().expect("a leader");
        let held: Vec<usize> = if all { (0..3).collect() } else { vec![(leader + at) % 3] };
        for id in ["j-000001", "j-000002", "j-000003"] {
            world.runs_for(id, 6);
        }
        assert!(state(&world.submit(leader, "j-000001", json!({"Spokes": 6})).await).is_some());
        seconds(2).await;
        for node in &held {
            world.state.hold(&format!("m-{node}"));
        }
        // Submissions, a cancellation, pages and ends hang; nobody is told.
        let on = held[0];
        world.runs_for("j-000004", 6);
        let _ = world.submit((on + 1) % 3, "j-000004", json!({})).await;
        let (submitted, cancelled) =
            tokio::join!(world.submit(on, "j-000002", json!({})), world.cancel(on, "j-000001"));
        assert!(submitted.is_err() && cancelled.is_err());
        seconds(6).await;
        let late = world.state.release_held();
        let _ = world.submit(on, "j-000002", json!({})).await;
        let _ = world.submit(on, "j-000003", json!({})).await;
        world.until_state(on, "j-000003", JobState::Done).await;
        world.until_state(on, "j-000002", JobState::Done).await;
        if !all {
            world.until_state(on, "j-000004", JobState::Done).await;
        }
        // Well after all that replaced them.
        seconds(20).await;
        world.state.carry_out(late);
        seconds(20).await;
        for node in 0..3 {
            assert_eq!(state(&world.ask(node, "j-000002").await), Some(JobState::Done));
            assert!(world.ask(node, "j-000001").await.is_ok());
        }
        assert!(world.leader().is_some());
        assert_eq!(
            world.state.keys("sw/p/"),
            Vec::<String>::new(),
            "no page of a job that is over"
        );
        no_rule_broken(&world);
    }
}

#[tokio::test(start_paused = true)]
async fn a_mute_machine_takes_direct_stops_before_its_lease_ends() {
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
async fn a_deaf_machine_neither_counts_as_living_nor_runs_elsewhere_early() {
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
async fn a_leader_ends_while_machines_with_long_tasks_cannot_be_reached() {
    let (world, old, other) = two_services().await;
    let away = world.machines_of("j-000002").pop().expect("its machine");
    world.cut(&away, &[0, 1, 2]);
    seconds(2).await;
    world.kill_node(old);
    seconds(5).await;
    world.start_node(old);
    world.until_state(other, "j-000002", JobState::Running).await;
    seconds(60).await;
    world.cut_if_there(&away, &[]);
    seconds(20).await;
    assert_eq!(state(&world.ask(other, "j-000002").await), Some(JobState::Running));
    assert_eq!(world.starts(), 6, "each of its tasks once more");
    no_rule_broken(&world);
}

#[tokio::test(start_paused = true)]
async fn tasks_that_end_far_apart_across_a_change_of_leader_are_done_once() {
    let world = World::new(2).await;
    // Task 0 ends early, the last one long after the next leader came.
    world.runs_for("j-000001/0", 4);
    world.runs_for("j-000001/1", 30);
    world.runs_for("j-000001/2", 60);
    assert!(state(&world.submit(0, "j-000001", json!({"Spokes": 3})).await).is_some());
    world.until("all run", || world.starts() == 3).await;
    for wait in [5, 25, 10] {
        seconds(wait).await;
        let old = world.leader().expect("a leader");
        world.kill_node(old);
        seconds(1).await;
        world.start_node(old);
        world.until("somebody leads", || world.leader().is_some()).await;
    }
    world.until_state(1, "j-000001", JobState::Done).await;
    assert_eq!(world.starts(), 3, "no task ran twice");
    for node in 0..3 {
        assert_eq!(state(&world.ask(node, "j-000001").await), Some(JobState::Done));
    }
    no_rule_broken(&world);
}

#[tokio::test(start_paused = true)]
async fn controllers_hand_over_and_back_and_return_within_a_second() {
    let (world, _, _) = two_services().await;
    for round in 0..4_u64 {
        let leader = world.leader().expect("a leader");
        // A placement of the former process is still on its way.
        world.state.hold(&format!("m-{leader}"));
        let id = format!("j-00001{round}");
        let service = json!({"Shape": "service", "Spokes": 1, "Gpus": 1.0});
        assert!(state(&world.submit((leader + 1) % 3, &id, service).await).is_some());
        world.until("it is under way", || world.state.held_count() > 0).await;
        let late = world.state.release_held();
        for node in 0..3 {
            world.kill_node(node);
        }
        // The leader's next process is there before its lease ends.
        sleep(Duration::from_millis(200 + 250 * round)).await;
        world.start_node(leader);
        seconds(2).await;
        for node in (0..3).filter(|n| *n != leader) {
            world.start_node(node);
        }
        world.until("somebody leads", || world.leader().is_some()).await;
        for outcome in world.state.carry_out(late) {
            assert!(outcome.is_err(), "a former process's write was taken: {outcome:?}");
        }
        seconds(12).await;
    }
    assert_eq!(state(&world.cancel(0, "j-000001").await), Some(JobState::Cancelled));
    seconds(12).await;
    assert!(world.machines_of("j-000001").is_empty());
    assert_eq!(world.starts(), 8, "nothing was restarted");
    no_rule_broken(&world);
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

#[tokio::test(start_paused = true)]
async fn odd_requests_touch_no_record() {
    let world = World::new(1).await;
    let service = json!({"Shape": "service", "Spokes": 1});
    assert!(state(&world.submit(0, "j-000001", service).await).is_some());
    world.until_state(0, "j-000001", JobState::Running).await;
    world.runs_for("j-000002", 1);
    assert!(state(&world.submit(0, "j-000002", json!({})).await).is_some());
    world.until_state(0, "j-000002", JobState::Done).await;
    let keys = world.state.keys("sw/");
    for node in 0..3 {
        // A known job stays accepted whatever its repeat looks like.
        for odd in [json!({"Spokes": 9}), json!({"Crew": "nobody"}), json!({"Spokes": null})] {
            let reply = world.submit(node, "j-000001", odd.clone()).await;
            assert_eq!(state(&reply), Some(JobState::Running), "{odd}");
            assert_eq!(state(&world.submit(node, "j-000002", odd).await), Some(JobState::Done));
        }
        assert_eq!(state(&world.cancel(node, "j-000002").await), Some(JobState::Done));
        assert_eq!(world.cancel(node, "j-000009").await, Ok(UserReply::Unknown));
        for bad in [
            json!({"Spokes": -1}),
            json!({"Spokes": 1.5}),
            json!({"Spokes": "2"}),
            json!({"Spokes": 200_000}),
            json!({"Gpus": -1.0}),
            json!({"Gpus": null}),
            json!({"Cores": "four"}),
            json!({"Shape": "swarm"}),
            json!({"Rank": 3}),
            json!({"Frames": "g8"}),
            json!({"DueS": -1.0}),
            json!({"Mould": ""}),
            json!({"Together": null}),
        ] {
            let reply = world.submit(node, "j-000008", bad.clone()).await;
            assert!(matches!(reply, Ok(UserReply::Malformed(_))), "{bad}: {reply:?}");
        }
        for never in [
            json!({"Crew": "nobody"}),
            json!({"Gpus": 9.0}),
            json!({"Gpus": 1e300}),
            json!({"Frames": ["x9"]}),
            json!({"Yard": "z"}),
            json!({"Crew": "red", "Shape": "service", "Spokes": 17}),
        ] {
            let reply = world.submit(node, "j-000008", never.clone()).await;
            assert!(matches!(reply, Ok(UserReply::Impossible(_))), "{never}: {reply:?}");
        }
        for field in ["Grain", "Crew", "Shape", "Rank", "Spokes", "Cores", "Gpus", "MemoryGb"] {
            let mut body: serde_json::Value =
                serde_json::from_slice(&common::job("j-000008", json!({}))).expect("json");
            body.as_object_mut().expect("an object").remove(field);
            let reply = world.node(node).submit(body.to_string().as_bytes()).await;
            assert!(matches!(reply, Ok(UserReply::Malformed(_))), "without {field}: {reply:?}");
        }
        let twice = br#"{"Ref":"j-000008","Ref":"j-000008"}"#;
        for body in [&twice[..], b"[]", b"null", b"", b"{", br#"{"Ref":7}"#] {
            let reply = world.node(node).submit(body).await;
            assert!(matches!(reply, Ok(UserReply::Malformed(_))), "{reply:?}");
        }
        assert_eq!(world.ask(node, "j-000008").await, Ok(UserReply::Unknown));
    }
    assert_eq!(world.state.keys("sw/"), keys);
    no_rule_broken(&world);
}
