//! Quota, spread, gang scheduling and machines that fail tasks.

use crate::common::leader_harness::{LeaderHarness, exited, ops, running};
use crate::page_records::many_tiny_tasks;
use crate::page_records::tiny;
use serde_json::json;
use std::collections::BTreeMap;
use stonewheel::protocol::{CommandKind, ExitCause, TaskState, TaskStatus};

#[tokio::test(start_paused = true)]
async fn a_team_stays_within_its_limit_while_a_task_lingers() {
    let mut harness = LeaderHarness::new(5);
    for machine in ["n-1", "n-2", "n-3"] {
        harness.heartbeat(machine, 1, &[]);
    }
    // 16 GPUs at most: two tasks of 8.
    harness
        .submit("j-000001", json!({"Crew": "red", "Shape": "service", "Spokes": 2, "Gpus": 8.0}));
    harness.settle();
    harness
        .submit("j-000002", json!({"Crew": "red", "Shape": "service", "Spokes": 1, "Gpus": 8.0}));
    harness.settle();
    assert_eq!(harness.bound("j-000001").len(), 2);
    assert!(harness.bound("j-000002").is_empty());
    let machine = harness.bound("j-000001")[0].1.clone();
    let commands = harness.heartbeat(&machine, 1, &[]);
    let task = running(ops(&commands, CommandKind::Start)[0]);
    harness.heartbeat(&machine, 1, std::slice::from_ref(&task));
    harness.cancel("j-000001");
    harness.settle();
    // Cancelled, but still on the machine: it counts until proof.
    assert!(harness.bound("j-000002").is_empty());
    let commands = harness.heartbeat(&machine, 1, &[task]);
    assert_eq!(ops(&commands, CommandKind::Stop).len(), 1);
    assert!(harness.bound("j-000002").is_empty());
    harness.heartbeat(&machine, 1, &[]);
    harness.settle();
    assert_eq!(harness.bound("j-000002").len(), 1);
}

#[tokio::test(start_paused = true)]
async fn spread_counts_tasks_that_linger_in_a_zone() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness.heartbeat("n-2", 1, &[]);
    let spread = json!({"Shape": "service", "Spokes": 2, "Scatter": true});
    harness.submit("j-000001", spread);
    harness.settle();
    // One zone takes one of two, whatever room it has.
    assert_eq!(harness.bound("j-000001").len(), 1);
    harness.heartbeat("b-1", 1, &[]);
    harness.settle();
    let zones: Vec<u8> = harness.page("j-000001").bound.iter().map(|bound| bound.zone).collect();
    assert_eq!(zones.len(), 2);
    assert_ne!(zones[0], zones[1]);
}

#[tokio::test(start_paused = true)]
async fn a_broken_gang_starts_again_only_when_all_of_it_is_gone() {
    let mut harness = LeaderHarness::new(5);
    for machine in ["n-1", "n-2", "n-3"] {
        harness.heartbeat(machine, 1, &[]);
    }
    let gang =
        json!({"Shape": "ensemble", "Spokes": 2, "Gpus": 8.0, "NotchS": 10.0, "StashS": 4.0});
    harness.submit("j-000001", gang);
    harness.settle();
    let bound = harness.bound("j-000001");
    assert_eq!(bound.len(), 2);
    let mut tasks = Vec::new();
    for (_, machine) in &bound {
        let commands = harness.heartbeat(machine, 1, &[]);
        tasks.push(running(ops(&commands, CommandKind::Start)[0]));
    }
    assert_eq!(tasks[0].attempt, tasks[1].attempt, "they find each other by it");
    for ((_, machine), task) in bound.iter().zip(&tasks) {
        harness.heartbeat(machine, 1, std::slice::from_ref(task));
    }
    // The first one's incarnation ends: the other is told to save and stop.
    harness.heartbeat(&bound[0].1, 2, &[]);
    harness.settle();
    assert_eq!(harness.bound("j-000001").len(), 1, "no new attempt yet");
    let commands = harness.heartbeat(&bound[1].1, 1, std::slice::from_ref(&tasks[1]));
    let stops = ops(&commands, CommandKind::Stop);
    assert!(stops[0].grace_s.is_some_and(|g| g >= 4.0));
    let exit = exited(stops[0], ExitCause::Peers);
    harness.heartbeat(&bound[1].1, 1, &[exit]);
    harness.settle();
    let page = harness.page("j-000001");
    assert_eq!(page.bound.len(), 2);
    assert!(page.bound.iter().all(|bound| bound.attempt == tasks[0].attempt + 1));
}

#[tokio::test(start_paused = true)]
async fn a_job_that_fails_everywhere_does_not_quarantine_the_machines() {
    let mut harness = LeaderHarness::new(5);
    let machines = ["n-1", "n-2", "n-3", "n-4"];
    for machine in machines {
        harness.heartbeat(machine, 1, &[]);
    }
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 1}));
    for _ in 0..120 {
        harness.settle();
        harness.pass(0.6);
        for machine in machines {
            let commands = harness.heartbeat(machine, 1, &[]);
            if let Some(start) = ops(&commands, CommandKind::Start).first() {
                let failed = exited(start, ExitCause::Error);
                harness.heartbeat(machine, 1, &[failed]);
            }
        }
    }
    let reasons = harness.leader.take_deletions();
    let attempts = harness.page("j-000001").attempt;
    assert!((4..25).contains(&attempts), "it backs off: {attempts} attempts");
    assert!(reasons.is_empty(), "one job alone fails no machine: {reasons:?}");
    harness.submit("j-000002", json!({"Shape": "service", "Spokes": 1}));
    harness.settle();
    assert_eq!(harness.bound("j-000002").len(), 1);
}

#[tokio::test(start_paused = true)]
async fn capacity_preempted_for_a_gang_is_reserved_until_all_of_it_is_there() {
    // Half of the room came free first, went back to the tasks that had just
    // been stopped for it, and had to be made again, many times a second.
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness.heartbeat("n-2", 1, &[]);
    let array = json!({"Spokes": 16, "Rank": "best_effort", "NotchS": 10.0, "StashS": 4.0});
    harness.submit("j-000001", array);
    let mut tasks: BTreeMap<&str, Vec<TaskStatus>> = BTreeMap::new();
    for _ in 0..24 {
        harness.settle();
        for machine in ["n-1", "n-2"] {
            let on_it = tasks.entry(machine).or_default();
            let commands = harness.heartbeat(machine, 1, on_it);
            on_it.extend(ops(&commands, CommandKind::Start).into_iter().map(running));
        }
    }
    assert!(tasks.values().all(|t| t.len() == 8), "the array fills both machines");
    harness
        .submit("j-000002", json!({"Shape": "ensemble", "Spokes": 2, "Gpus": 8.0, "Rank": "high"}));
    harness.settle();
    // One machine's tasks have saved and gone, the other's are still saving.
    let gone: Vec<_> = tasks["n-1"]
        .iter()
        .map(|t| TaskStatus {
            state: TaskState::Exited,
            cause: Some(ExitCause::Stopped),
            ..t.clone()
        })
        .collect();
    harness.heartbeat("n-1", 1, &gone);
    for _ in 0..5 {
        harness.settle();
        harness.heartbeat("n-2", 1, &tasks["n-2"].clone());
    }
    let on_first = harness.bound("j-000001").iter().filter(|(_, m)| m == "n-1").count();
    assert_eq!(on_first, 0, "the room is held for the gang");
    let gone: Vec<_> = tasks["n-2"]
        .iter()
        .map(|t| TaskStatus {
            state: TaskState::Exited,
            cause: Some(ExitCause::Stopped),
            ..t.clone()
        })
        .collect();
    harness.heartbeat("n-1", 1, &[]);
    harness.heartbeat("n-2", 1, &gone);
    harness.settle();
    assert_eq!(harness.bound("j-000002").len(), 2);
}

#[tokio::test(start_paused = true)]
async fn part_of_a_gangs_capacity_is_reserved_for_it() {
    // Single machines came free one after the other, and small replicas took
    // each before the gang's second was there: it waited for minutes.
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness
        .submit("j-000001", json!({"Shape": "ensemble", "Spokes": 2, "Gpus": 8.0, "Rank": "high"}));
    harness
        .submit("j-000002", json!({"Shape": "service", "Spokes": 1, "Gpus": 2.0, "Rank": "high"}));
    harness.settle();
    assert_eq!(harness.bound("j-000002"), [], "the machine is held");
    let rentals = harness.leader.take_provision_requests();
    assert_eq!(
        rentals.iter().map(|r| r.count).sum::<u32>(),
        2,
        "one for the gang, one for the replica"
    );
    harness.heartbeat("n-2", 1, &[]);
    harness.settle();
    assert_eq!(harness.bound("j-000001").len(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_gang_that_a_former_leader_bound_in_part_is_stopped() {
    let mut harness = many_tiny_tasks();
    harness.submit("j-000001", tiny(120, "ensemble"));
    harness.leader.allow_small_pages();
    harness.pass(0.1);
    let first = harness.commits().remove(0);
    harness.commit(vec![first]);
    let mut next = harness.succeed(6);
    next.leader.allow_small_pages();
    for _ in 0..3 {
        for machine in 0..4 {
            let commands = next.heartbeat(&format!("n-00000{machine}"), 1, &[]);
            assert!(ops(&commands, CommandKind::Start).is_empty(), "nothing of the part starts");
        }
        next.pass(1.0);
    }
    next.settle();
    assert!(!next.bound("j-000001").is_empty(), "it is placed anew");
    let attempts = next.page("j-000001").bound.iter().map(|bound| bound.attempt).max();
    assert!(attempts > Some(1));
}
