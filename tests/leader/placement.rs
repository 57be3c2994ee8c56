//! Team limits, spread, gang scheduling and machines on which tasks fail.

use crate::common::leader_harness::{LeaderHarness, exited, ops, running};
use crate::page_records::harness_for_tiny_tasks;
use crate::page_records::tiny;
use serde_json::json;
use std::collections::BTreeMap;
use stonewheel::protocol::{CommandKind, ExitCause, TaskState, TaskStatus};

#[tokio::test(start_paused = true)]
async fn a_cancelled_task_counts_towards_its_teams_limit_until_it_has_ended() {
    let mut harness = LeaderHarness::new(5);
    for machine in ["n-1", "n-2", "n-3"] {
        harness.heartbeat(machine, 1, &[]);
    }
    // The team's limit is 16 GPUs, which two tasks with 8 GPUs use up.
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
    // A cancelled task counts towards the limit until the worker proves that it has ended.
    assert!(harness.bound("j-000002").is_empty());
    let commands = harness.heartbeat(&machine, 1, &[task]);
    assert_eq!(ops(&commands, CommandKind::Stop).len(), 1);
    assert!(harness.bound("j-000002").is_empty());
    harness.heartbeat(&machine, 1, &[]);
    harness.settle();
    assert_eq!(harness.bound("j-000002").len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_spread_job_leaves_tasks_unplaced_until_a_second_zone_has_capacity() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness.heartbeat("n-2", 1, &[]);
    let spread = json!({"Shape": "service", "Spokes": 2, "Scatter": true});
    harness.submit("j-000001", spread);
    harness.settle();
    // A zone gets at most one of the two tasks, whatever its free capacity.
    assert_eq!(harness.bound("j-000001").len(), 1);
    harness.heartbeat("b-1", 1, &[]);
    harness.settle();
    let zones: Vec<u8> = harness.page("j-000001").bound.iter().map(|bound| bound.zone).collect();
    assert_eq!(zones.len(), 2);
    assert_ne!(zones[0], zones[1]);
}

#[tokio::test(start_paused = true)]
async fn a_broken_gang_restarts_only_after_all_its_tasks_have_ended() {
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
    assert_eq!(
        tasks[0].attempt, tasks[1].attempt,
        "the tasks of a gang find each other by the attempt"
    );
    for ((_, machine), task) in bound.iter().zip(&tasks) {
        harness.heartbeat(machine, 1, std::slice::from_ref(task));
    }
    // The incarnation of the first task's worker ends: the other task must checkpoint and
    // stop.
    harness.heartbeat(&bound[0].1, 2, &[]);
    harness.settle();
    assert_eq!(
        harness.bound("j-000001").len(),
        1,
        "no new attempt while a task of the old one remains"
    );
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
    let deletions = harness.leader.take_deletions();
    let attempts = harness.page("j-000001").attempt;
    assert!((4..25).contains(&attempts), "restarts back off: {attempts} attempts");
    assert!(deletions.is_empty(), "one job alone must not quarantine a machine: {deletions:?}");
    harness.submit("j-000002", json!({"Shape": "service", "Spokes": 1}));
    harness.settle();
    assert_eq!(harness.bound("j-000002").len(), 1);
}

#[tokio::test(start_paused = true)]
async fn capacity_preempted_for_a_gang_is_reserved_until_all_of_it_is_free() {
    // Half of the gang's capacity becomes free first. Without a reservation, the preempted
    // tasks are placed there again and have to be preempted again, many times a second.
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness.heartbeat("n-2", 1, &[]);
    let array = json!({"Spokes": 16, "Rank": "best_effort", "NotchS": 10.0, "StashS": 4.0});
    harness.submit("j-000001", array);
    let mut tasks: BTreeMap<&str, Vec<TaskStatus>> = BTreeMap::new();
    for _ in 0..24 {
        harness.settle();
        for machine in ["n-1", "n-2"] {
            let machine_tasks = tasks.entry(machine).or_default();
            let commands = harness.heartbeat(machine, 1, machine_tasks);
            machine_tasks.extend(ops(&commands, CommandKind::Start).into_iter().map(running));
        }
    }
    assert!(tasks.values().all(|t| t.len() == 8), "the array fills both machines");
    harness
        .submit("j-000002", json!({"Shape": "ensemble", "Spokes": 2, "Gpus": 8.0, "Rank": "high"}));
    harness.settle();
    // The tasks on one machine have checkpointed and exited; those on the other machine are
    // still checkpointing.
    let exits: Vec<_> = tasks["n-1"]
        .iter()
        .map(|t| TaskStatus {
            state: TaskState::Exited,
            cause: Some(ExitCause::Stopped),
            ..t.clone()
        })
        .collect();
    harness.heartbeat("n-1", 1, &exits);
    for _ in 0..5 {
        harness.settle();
        harness.heartbeat("n-2", 1, &tasks["n-2"].clone());
    }
    let bound_to_first = harness.bound("j-000001").iter().filter(|(_, m)| m == "n-1").count();
    assert_eq!(bound_to_first, 0, "the capacity is reserved for the gang");
    let exits: Vec<_> = tasks["n-2"]
        .iter()
        .map(|t| TaskStatus {
            state: TaskState::Exited,
            cause: Some(ExitCause::Stopped),
            ..t.clone()
        })
        .collect();
    harness.heartbeat("n-1", 1, &[]);
    harness.heartbeat("n-2", 1, &exits);
    harness.settle();
    assert_eq!(harness.bound("j-000002").len(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_free_machine_is_reserved_for_a_gang_that_waits_for_more_machines() {
    // Machines become free one at a time. Without a reservation, small replicas use each
    // machine before the gang's second machine is free, and the gang waits for minutes.
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness
        .submit("j-000001", json!({"Shape": "ensemble", "Spokes": 2, "Gpus": 8.0, "Rank": "high"}));
    harness
        .submit("j-000002", json!({"Shape": "service", "Spokes": 1, "Gpus": 2.0, "Rank": "high"}));
    harness.settle();
    assert_eq!(harness.bound("j-000002"), [], "the machine is reserved for the gang");
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
async fn a_gang_that_a_previous_leader_bound_in_part_is_placed_again() {
    let mut harness = harness_for_tiny_tasks();
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
            assert!(
                ops(&commands, CommandKind::Start).is_empty(),
                "a task of the partly bound gang starts"
            );
        }
        next.pass(1.0);
    }
    next.settle();
    assert!(!next.bound("j-000001").is_empty(), "the gang is placed again");
    let attempts = next.page("j-000001").bound.iter().map(|bound| bound.attempt).max();
    assert!(attempts > Some(1));
}
