//! The state service refuses the leader, everybody, or answers slowly, while jobs are cancelled.

use crate::common::{World, no_rule_broken, seconds, state};
use serde_json::json;
use std::time::Duration;
use stonewheel::protocol::JobState;
use tokio::time::Instant;

/// Two services on their machines; the leader, and another controller.
pub(crate) async fn two_services() -> (World, usize, usize) {
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

/// The leader_refused_then_outage: the leader alone is refused, another controller confirms a
/// cancellation, and then nobody reaches the state service for `outage`.
pub(crate) async fn leader_refused_then_outage(
    world: &World,
    leader: usize,
    other: usize,
    outage: u64,
) {
    world.state.refuse(&format!("m-{leader}"), true);
    seconds(1).await;
    let told = world.cancel(other, "j-000001").await;
    assert_eq!(state(&told), Some(JobState::Cancelled));
    world.state.set_outage(true);
    seconds(outage).await;
}

pub(crate) async fn outage_ends(world: &World, leader: usize) {
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
        leader_refused_then_outage(&world, leader, other, outage).await;
        assert!(world.machines_of("j-000001").is_empty());
        assert!(!world.machines_of("j-000002").is_empty(), "the rest went on");
        outage_ends(&world, leader).await;
        assert_eq!(world.starts(), 4, "nothing was restarted");
    }
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
    outage_ends(&world, leader).await;
}

#[tokio::test(start_paused = true)]
async fn the_leaders_own_cut_ends_within_the_outage() {
    let (world, leader, other) = two_services().await;
    leader_refused_then_outage(&world, leader, other, 10).await;
    world.state.refuse(&format!("m-{leader}"), false);
    seconds(50).await;
    assert!(world.machines_of("j-000001").is_empty());
    outage_ends(&world, leader).await;
    assert_eq!(world.starts(), 4, "nothing was restarted");
}

#[tokio::test(start_paused = true)]
async fn a_refused_leader_and_an_outage_with_machines_that_lose_responses_or_heartbeats_or_hang() {
    for fault in 0..3 {
        let (world, leader, other) = two_services().await;
        let machine = world.machines_of("j-000001").pop().expect("its machine");
        let set = |on: bool| match fault {
            0 => world.set_deaf(&machine, on),
            1 => world.set_mute(&machine, on),
            _ => world.set_hung(&machine, on),
        };
        set(true);
        leader_refused_then_outage(&world, leader, other, 8).await;
        set(false);
        seconds(50).await;
        outage_ends(&world, leader).await;
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
    outage_ends(&world, leader).await;
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
