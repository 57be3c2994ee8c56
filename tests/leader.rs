//! Stories of the leader's duty alone: reports and records in, commands and
//! writes out, with no network between.

#[allow(dead_code)]
mod common;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use common::{
    leader_harness::{LeaderHarness, exited, ops, report_of, running},
    machine_type, settings, settings_with_coming_limits,
};
use serde_json::json;
use stonewheel::{
    controller::{Commit, CommitKind, DirectOutcome, Leader},
    fencing::TermTokens,
    protocol::{
        CommandKind, ExitCause, MachineId, MachineType, TaskCommand, TaskState, TaskStatus,
        WorkerHeartbeat,
    },
    state::Versioned,
    store::{self, WatchCache},
};

#[tokio::test(start_paused = true)]
async fn a_start_leaves_only_after_its_record_and_a_clear_only_after_the_outcomes() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 1}));
    harness.pass(0.1);
    let commits = harness.commits();
    assert_eq!(commits.len(), 1);
    assert!(harness.heartbeat("n-1", 1, &[]).is_empty(), "not durable yet");
    harness.commit(commits);
    let commands = harness.heartbeat("n-1", 1, &[]);
    let starts = ops(&commands, CommandKind::Start);
    assert_eq!(starts.len(), 1);
    let exit = exited(starts[0], ExitCause::Stopped);
    let commands = harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
    assert!(ops(&commands, CommandKind::Forget).is_empty(), "the exit is not durable yet");
    harness.settle();
    let cleared = exit.attempt;
    let commands = harness.heartbeat("n-1", 1, &[exit]);
    assert_eq!(ops(&commands, CommandKind::Forget).len(), 1);
    // The next start has another number: a cleared attempt would run again.
    let commands = harness.heartbeat("n-1", 1, &[]);
    assert!(ops(&commands, CommandKind::Start)[0].attempt > cleared);
}

#[tokio::test(start_paused = true)]
async fn a_late_copy_of_a_report_changes_nothing() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 1}));
    harness.settle();
    let commands = harness.heartbeat("n-1", 1, &[]);
    let task = running(&commands[0]);
    harness.heartbeat("n-1", 1, &[task]);
    // Copies from before the start, which lack the task.
    for sequence in 1..=2 {
        assert!(harness.report_at("n-1", sequence, 1, &[]).is_empty());
    }
    harness.settle();
    assert_eq!(harness.bound("j-000001"), [(0, "n-1".to_owned())]);
    // Past its lease the incarnation is over, and a late report of it too.
    harness.pass(12.0);
    harness.settle();
    assert!(harness.bound("j-000001").is_empty());
    assert!(harness.report_at("n-1", 90, 1, &[]).is_empty());
    harness.settle();
    assert!(harness.bound("j-000001").is_empty(), "a dead session takes no tasks");
}

#[tokio::test(start_paused = true)]
async fn a_returned_task_is_placed_once_after_a_takeover() {
    // It was listed twice when it lay beyond the new leader's cursor, and so
    // ran on two machines.
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 1, "Gpus": 8.0}));
    harness.settle();
    assert_eq!(harness.bound("j-000001").len(), 1);
    let mut next = harness.succeed(6);
    next.heartbeat("n-1", 2, &[]);
    next.heartbeat("n-2", 1, &[]);
    next.heartbeat("n-3", 1, &[]);
    next.settle();
    let page = next.page("j-000001");
    assert_eq!(page.bound.len(), 1);
    assert_eq!(page.attempt, 2);
    let mut starts = 0;
    for (machine, incarnation) in [("n-1", 2), ("n-2", 1), ("n-3", 1)] {
        starts += ops(&next.heartbeat(machine, incarnation, &[]), CommandKind::Start).len();
    }
    assert_eq!(starts, 1);
}

#[tokio::test(start_paused = true)]
async fn silence_towards_a_new_leader_is_no_proof() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 1}));
    harness.settle();
    let mut next = harness.succeed(6);
    next.alone = None;
    next.heartbeat("n-2", 1, &[]);
    next.heartbeat("n-3", 1, &[]);
    for _ in 0..15 {
        next.heartbeat("n-2", 1, &[]);
        next.heartbeat("n-3", 1, &[]);
        next.pass(1.0);
    }
    next.settle();
    assert_eq!(next.bound("j-000001"), [(0, "n-1".to_owned())]);
    // Only a deletion that the cloud answered frees the task.
    next.pass(2.0);
    let deletions = next.leader.take_deletions();
    assert_eq!(deletions.iter().map(|m| &**m).collect::<Vec<_>>(), ["n-1"]);
    next.leader.deleted(&deletions, next.now);
    next.heartbeat("n-2", 1, &[]);
    next.settle();
    assert_ne!(next.bound("j-000001")[0].1, "n-1");
    // A late report of the deleted machine brings nothing back.
    assert!(next.report_at("n-1", 99, 7, &[]).is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_lease_without_any_answer_is_proof_for_machines_never_heard() {
    // Half of a fleet was cut off as its leader ended. The next one waited for
    // the end of the cut with tasks that were long gone.
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 3, &[]);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 1}));
    harness.settle();
    let mut next = harness.succeed(6);
    next.alone = Some(next.now + Duration::from_secs(2));
    for second in 0..14 {
        next.heartbeat("n-2", 1, &[]);
        next.pass(1.0);
        let bound = next.bound("j-000001");
        assert!(second > 12 || bound.is_empty() || bound[0].1 == "n-1", "before its lease ended");
    }
    next.settle();
    assert_eq!(next.bound("j-000001"), [(0, "n-2".to_owned())]);
    // A late copy from before the cut brings nothing back.
    assert!(next.report_at("n-1", 50, 3, &[]).is_empty());
    assert!(next.leader.take_deletions().is_empty(), "it may come back");
}

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
async fn a_page_never_leaves_twice_at_once() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 1}));
    harness.pass(0.1);
    let first = harness.commits();
    harness.submit("j-000002", json!({"Shape": "service", "Spokes": 1}));
    harness.heartbeat("n-1", 2, &[]);
    harness.pass(0.1);
    let second = harness.commits();
    let same = |c: &Commit| matches!(&c.kind, CommitKind::Page { job, .. } if &**job == "j-000001");
    assert!(first.iter().any(same));
    assert!(!second.iter().any(same), "it waits for the first write");
    // The first write is unsure and turns out not to stand: made again.
    for commit in first {
        harness.leader.not_committed(commit.kind, &harness.watch_cache, harness.now);
    }
    assert!(harness.commits().iter().any(same));
}

#[tokio::test(start_paused = true)]
async fn a_job_with_a_mistake_does_not_condemn_the_machines() {
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
async fn a_stranger_is_stopped_and_a_cancelled_task_never_started() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    let stranger = TaskStatus {
        task: "j-000009/0".into(),
        attempt: 3,
        state: TaskState::Running,
        cause: None,
        saved: None,
    };
    let commands = harness.heartbeat("n-1", 1, &[stranger]);
    assert_eq!(ops(&commands, CommandKind::Stop).len(), 1);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 1}));
    harness.settle();
    assert_eq!(harness.bound("j-000001").len(), 1);
    harness.cancel("j-000001");
    let commands = harness.heartbeat("n-1", 1, &[]);
    assert!(ops(&commands, CommandKind::Start).is_empty());
    harness.settle();
    assert!(harness.watch_cache.jobs.is_empty() && harness.watch_cache.pages.is_empty());
}

#[tokio::test(start_paused = true)]
async fn an_unanswered_direct_order_keeps_its_task_bound_and_its_exit_uncleared() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 1}));
    harness.settle();
    let direct = harness.leader.take_direct(harness.now);
    let request = direct.first().expect("a start that doesn't wait for a report").clone();
    let commands = request.commands.clone();
    assert_eq!(ops(&commands.commands, CommandKind::Start).len(), 1);
    harness.leader.on_direct(&request, DirectOutcome::Unknown, harness.now).expect("leads");
    harness.cancel("j-000001");
    // Reports that lack the task prove nothing: the order may still arrive.
    for _ in 0..3 {
        assert!(harness.heartbeat("n-1", 1, &[]).is_empty());
        harness.settle();
        assert_eq!(harness.bound("j-000001").len(), 1);
    }
    // It arrived, and the task is stopped; while it is listed, another copy
    // of the order can't start it again, so it is not cleared.
    let start = commands.commands[0].clone();
    let commands = harness.heartbeat("n-1", 1, &[running(&start)]);
    assert_eq!(ops(&commands, CommandKind::Stop).len(), 1);
    let exit = exited(&start, ExitCause::Stopped);
    for _ in 0..3 {
        let commands = harness.heartbeat("n-1", 1, std::slice::from_ref(&exit));
        assert!(ops(&commands, CommandKind::Forget).is_empty());
        harness.settle();
    }
    assert!(harness.bound("j-000001").is_empty());
}

#[tokio::test(start_paused = true)]
async fn an_answered_direct_order_counts_as_a_report() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 1}));
    harness.settle();
    let request = harness.leader.take_direct(harness.now)[0].clone();
    let (id, commands) = (request.machine.clone(), request.commands.clone());
    let task = running(&commands.commands[0]);
    let answer = report_of(&id, 1, 7, 5, &[task]);
    harness
        .leader
        .on_direct(&request, DirectOutcome::Answered(&answer), harness.now)
        .expect("leads");
    // A heartbeat sent before the order was carried out is older by its number.
    assert!(harness.report_at("n-1", 2, 1, &[]).is_empty());
    harness.settle();
    assert_eq!(harness.bound("j-000001").len(), 1);
    // A higher token in the answer ends the leadership.
    let deposed = WorkerHeartbeat { token: 6, sequence: 8, ..answer };
    assert!(
        harness.leader.on_direct(&request, DirectOutcome::Answered(&deposed), harness.now).is_err()
    );
}

#[tokio::test(start_paused = true)]
async fn work_does_not_count_on_a_machine_that_never_boots() {
    let mut harness = LeaderHarness::new(5);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 1}));
    harness.settle();
    let rental = harness.leader.take_rentals().pop().expect("a rental");
    harness.leader.rented(&rental, Some(vec!["n-9".into()]), harness.now);
    harness.settle();
    assert!(harness.leader.take_rentals().is_empty(), "it waits for the boot");
    // A boot takes 20 s as a rule; past one and a half of it another is rented.
    harness.pass(33.0);
    let second = harness.leader.take_rentals().pop().expect("another rental");
    assert_ne!(second.request, rental.request, "a name is never used twice");
    harness.pass(20.0);
    let deletions = harness.leader.take_deletions();
    assert_eq!(deletions.iter().map(|m| &**m).collect::<Vec<_>>(), ["n-9"]);
}

#[tokio::test(start_paused = true)]
async fn room_made_for_a_gang_is_held_until_all_of_it_is_there() {
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
async fn an_answer_to_direct_orders_proves_no_absence() {
    // A start command may be under way in the answer to the worker's last report
    // while the worker answers direct commands for another task.
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 1}));
    harness.settle();
    assert_eq!(ops(&harness.heartbeat("n-1", 1, &[]), CommandKind::Start).len(), 1);
    harness.submit("j-000002", json!({"Shape": "service", "Spokes": 1}));
    harness.settle();
    let request = harness.leader.take_direct(harness.now)[0].clone();
    let (id, commands) = (request.machine.clone(), request.commands.clone());
    harness.cancel("j-000001");
    let listed: Vec<_> = ops(&commands.commands, CommandKind::Start)
        .into_iter()
        .filter(|o| o.task.starts_with("j-000002"))
        .map(running)
        .collect();
    assert_eq!(listed.len(), 1);
    let answer = report_of(&id, 1, 9, 5, &listed);
    harness
        .leader
        .on_direct(&request, DirectOutcome::Answered(&answer), harness.now)
        .expect("leads");
    harness.settle();
    assert_eq!(harness.bound("j-000001").len(), 1, "it may still start there");
    // The worker's next own report is proof.
    harness.report_at("n-1", 10, 1, &listed);
    harness.settle();
    assert!(harness.bound("j-000001").is_empty());
}

#[tokio::test(start_paused = true)]
async fn part_of_a_gangs_room_is_held_for_it() {
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
    let rentals = harness.leader.take_rentals();
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
async fn a_zone_that_is_cut_off_is_not_given_back() {
    // A leader new to its post took the machines of a zone that it could not
    // hear for dead, 30 at once, and each needed a boot to be replaced.
    let mut harness = LeaderHarness::new(5);
    let names = ["a-1", "a-2", "a-3", "a-4", "a-5", "b-1", "b-2", "b-3"];
    for name in names {
        harness.heartbeat(name, 1, &[]);
    }
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 8, "Gpus": 8.0}));
    harness.settle();
    let mut tasks: BTreeMap<&str, Vec<TaskStatus>> = BTreeMap::new();
    for name in names {
        let commands = harness.heartbeat(name, 1, &[]);
        tasks.insert(name, ops(&commands, CommandKind::Start).into_iter().map(running).collect());
    }
    assert!(tasks.values().all(|t| t.len() == 1));
    let mut harness = harness.succeed(6);
    for _ in 0..36 {
        for name in &names[1..5] {
            harness.heartbeat(name, 1, &tasks[name]);
        }
        harness.pass(1.0);
    }
    // The zone comes back, one machine after the other, in new incarnations.
    for back in [&names[5..7], &names[5..]] {
        harness.pass(1.0);
        for name in &names[1..5] {
            harness.heartbeat(name, 1, &tasks[name]);
        }
        for name in back {
            harness.heartbeat(name, 2, &[]);
        }
        harness.pass(1.0);
    }
    let returned = harness.leader.take_deletions();
    assert_eq!(returned.iter().map(|m| &**m).collect::<Vec<_>>(), ["a-1"]);
}

/// Six of eight machines run a task each for a new leader, which hears all but
/// one of them. Which machines it gave back within so many seconds.
fn returned_by_a_new_leader(others_answer_until_s: Option<f64>, seconds: u32) -> Vec<MachineId> {
    let mut harness = LeaderHarness::new(5);
    let names = ["n-1", "n-2", "n-3", "n-4", "n-5", "n-6"];
    for name in names {
        harness.heartbeat(name, 1, &[]);
    }
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 6, "Gpus": 8.0}));
    harness.settle();
    let mut tasks: BTreeMap<&str, Vec<TaskStatus>> = BTreeMap::new();
    for name in names {
        let commands = harness.heartbeat(name, 1, &[]);
        tasks.insert(name, ops(&commands, CommandKind::Start).into_iter().map(running).collect());
    }
    let mut harness = harness.succeed(6);
    let began = harness.now;
    let alone_from = others_answer_until_s.map(|after| began + Duration::from_secs_f64(after));
    let mut returned = Vec::new();
    for _ in 0..seconds {
        harness.alone = alone_from.filter(|from| *from <= harness.now);
        for name in &names[1..] {
            harness.heartbeat(name, 1, &tasks[name]);
        }
        harness.pass(1.0);
        returned.extend(harness.leader.take_deletions());
        let commits = harness.commits();
        harness.commit(commits);
    }
    let bound = harness.bound("j-000001").len();
    assert_eq!(bound, 6 - usize::from(seconds > 15 && alone_from.is_some()));
    returned
}

/// Six machines cut off around a takeover were given back after 8 s, while the
/// cloud had no others to give (`docs/incidents/inc-b6d2.md`).
#[tokio::test(start_paused = true)]
async fn a_new_leader_keeps_a_silent_machine_whose_lease_will_prove_its_tasks_gone() {
    // The others' promises stand two seconds after the takeover: the proof comes
    // a lease after that, and frees the task without giving the machine back.
    assert!(returned_by_a_new_leader(Some(2.0), 12).is_empty());
    assert!(returned_by_a_new_leader(Some(2.0), 20).is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_new_leader_that_will_have_no_proof_gives_a_silent_machine_back() {
    assert_eq!(returned_by_a_new_leader(None, 12), ["n-1".into()]);
}

#[tokio::test(start_paused = true)]
async fn a_new_leader_rents_nothing_before_it_has_heard_its_machines() {
    // At each takeover the whole fleet looked gone for a second, and dozens
    // of machines were rented that nobody needed.
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 1, "Gpus": 4.0}));
    harness.settle();
    let tasks: Vec<_> = harness.heartbeat("n-1", 1, &[]).iter().map(running).collect();
    let mut harness = harness.succeed(6);
    harness.submit("j-000002", json!({"Shape": "service", "Spokes": 1, "Gpus": 4.0}));
    harness.pass(0.3);
    assert!(harness.leader.take_rentals().is_empty());
    harness.heartbeat("n-1", 1, &tasks);
    harness.settle();
    assert_eq!(harness.bound("j-000002"), [(0, "n-1".into())]);
    assert!(harness.leader.take_rentals().is_empty());
    // A machine that stays silent is not waited for.
    harness.submit("j-000003", json!({"Shape": "service", "Spokes": 1, "Gpus": 4.0}));
    harness.settle();
    assert_eq!(harness.leader.take_rentals().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn room_is_kept_ready_for_waiting_work_too() {
    // A fleet that starts from nothing had room for exactly what waited, and
    // each boot that took several times as long kept a replica from starting.
    let mut harness = LeaderHarness::new(5);
    harness.set_aim("wait", 10.0);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 25, "Gpus": 8.0}));
    harness.settle();
    let rented: u32 = harness.leader.take_rentals().iter().map(|r| r.count).sum();
    assert_eq!(rented, 27, "0.4 of the root of 25 machines more");
}

#[tokio::test(start_paused = true)]
async fn empty_spot_machines_are_kept_for_work_that_may_use_them() {
    let mut harness = LeaderHarness::new(5);
    harness.set_aim("finished", 100.0);
    harness.submit("j-000001", json!({"Spokes": 64, "Driftwood": true}));
    harness.pass(5.0);
    let rentals = harness.leader.take_rentals();
    assert!(rentals.iter().all(|r| r.spot));
    assert_eq!(
        rentals.iter().map(|r| r.count).sum::<u32>(),
        12,
        "0.4 of the root of 8, times 20/6 for their price, more"
    );
}

#[tokio::test(start_paused = true)]
async fn after_a_loss_places_of_higher_priority_are_recorded_first() {
    // Pages left in order of job id, all at once, and the write budget then
    // brought sweeps back before the replicas that riders wait for.
    let mut harness = LeaderHarness::new(5);
    for n in 0..40 {
        harness.heartbeat(&format!("n-{n:03}"), 1, &[]);
    }
    let shape = |rank: &str| json!({"Shape": "service", "Spokes": 1, "Gpus": 2.0, "Rank": rank});
    for n in 0..100 {
        let rank = if n % 4 == 3 { "production" } else { "best_effort" };
        harness.submit(&format!("j-{n:06}"), shape(rank));
    }
    harness.pass(0.2);
    let commits = harness.commits();
    let under_way = 24 * stonewheel::state::IN_FLIGHT;
    assert_eq!(commits.len(), under_way, "no more at once than the transactions hold");
    let production = commits.iter().take_while(|c| match &c.kind {
        CommitKind::Page { job, .. } => job[2..].parse::<u32>().expect("a number") % 4 == 3,
        _ => false,
    });
    assert_eq!(production.count(), 25, "all of them, and before all others");
    assert!(harness.commits().is_empty(), "the rest waits its turn");
    harness.commit(commits);
    assert_eq!(harness.commits().len(), 100 - under_way);
}

#[tokio::test(start_paused = true)]
async fn a_thousand_machines_cost_work_in_proportion_to_what_changes() {
    const MACHINES: u64 = 1000;
    let mut harness = LeaderHarness::new(5);
    let name = |n: u64| format!("n-{n:06}");
    for n in 0..MACHINES {
        harness.heartbeat(&name(n), 1, &[]);
    }
    for n in 0..400 {
        let job = json!({"Shape": "service", "Spokes": 4, "Gpus": 4.0, "Rank": "production"});
        harness.submit(&format!("j-{n:06}"), job);
    }
    for n in 400..440 {
        harness.submit(&format!("j-{n:06}"), json!({"Spokes": 30}));
    }
    let before = harness.leader.counters;
    harness.pass(0.2);
    let filled = harness.leader.counters;
    assert_eq!(filled.passes - before.passes, 1, "one pass places all of it");
    let weighed = filled.weighed - before.weighed;
    // Each machine twice for each job (free room, and room that holds its
    // image), and once more for each task.
    assert!(weighed < 2 * 440 * MACHINES + 2800, "{weighed} places weighed");
    let mut tasks: BTreeMap<u64, Vec<TaskStatus>> = BTreeMap::new();
    for _ in 0..60 {
        let commits = harness.commits();
        harness.commit(commits);
    }
    for n in 0..MACHINES {
        let commands = harness.heartbeat(&name(n), 1, &[]);
        tasks.insert(n, ops(&commands, CommandKind::Start).into_iter().map(running).collect());
    }
    let held: usize = tasks.values().map(Vec::len).sum();
    assert_eq!(held, 2800);
    // A second in which everybody reports and nothing changes.
    harness.pass(0.2);
    let before = harness.leader.counters;
    for n in 0..MACHINES {
        harness.heartbeat(&name(n), 1, &tasks[&n]);
        harness.pass(0.001);
    }
    let after = harness.leader.counters;
    assert_eq!(after.heartbeats - before.heartbeats, MACHINES);
    assert_eq!(after.reviewed - before.reviewed, 2 * held as u64, "its own tasks each, twice");
    assert!(after.sweeps - before.sweeps <= 8, "not one for each report");
    assert_eq!(after.passes, before.passes, "nothing changed");
}

#[tokio::test(start_paused = true)]
async fn growth_of_work_for_spot_machines_is_met_before_it_comes() {
    // In a fleet that starts from nothing every sweep of the first minutes
    // waited for the boot that it had caused itself.
    let mut harness = LeaderHarness::new(5);
    harness.set_aim("finished", 100.0);
    harness.pass(1.0);
    harness.submit("j-000001", json!({"Spokes": 64, "Driftwood": true}));
    harness.pass(4.0);
    let mut rented = 0;
    for rental in harness.leader.take_rentals() {
        let names = (0..rental.count).map(|n| format!("{}-{n}", rental.request).into()).collect();
        harness.leader.rented(&rental, Some(names), harness.now);
        rented += rental.count;
    }
    assert_eq!(rented, 8 + 4 + 8, "its own, 0.4 of the root times 20/6, and its growth again");
    // A boot later without growth nothing more is rented.
    harness.pass(21.0);
    harness.pass(5.0);
    assert!(harness.leader.take_rentals().is_empty());
}

#[tokio::test(start_paused = true)]
async fn machines_that_idled_through_an_outage_take_the_work_that_waited() {
    // They were returned in the first second after it, and others rented.
    let mut harness = LeaderHarness::new(5);
    harness.leader = Leader::new(
        Arc::new(settings("m-0")),
        1,
        TermTokens::only(5),
        &harness.watch_cache,
        harness.now,
    );
    for machine in ["n-1", "n-2"] {
        harness.heartbeat(machine, 1, &[]);
    }
    harness.leader.tick(harness.now, true, harness.alone);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 2, "Gpus": 8.0}));
    for _ in 0..50 {
        harness.now += Duration::from_secs(1);
        for machine in ["n-1", "n-2"] {
            harness.heartbeat(machine, 1, &[]);
        }
        harness.leader.tick(harness.now, true, harness.alone);
    }
    // The first look after it is one over all machines.
    harness.pass(1.0);
    harness.settle();
    assert!(harness.leader.take_deletions().is_empty());
    assert_eq!(harness.bound("j-000001").len(), 2);
    assert!(harness.leader.take_rentals().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_machine_that_boots_fast_is_not_returned_before_it_takes_tasks() {
    // A quarter of a short boot was less than the time between two reports:
    // machines were returned and rented again and nothing ever ran.
    let mut harness = LeaderHarness::new(5);
    let quick = MachineType { boot_s: 1.0, ..machine_type() };
    harness.watch_cache.machine_types =
        Some(Versioned { version: 1, value: Arc::new(vec![quick]) });
    harness.leader = Leader::new(
        Arc::new(settings("m-0")),
        1,
        TermTokens::only(5),
        &harness.watch_cache,
        harness.now,
    );
    let heartbeat = |harness: &mut LeaderHarness, sequence, token| {
        harness.report_showing(token, "n-1", sequence, 1, &[])
    };
    heartbeat(&mut harness, 1, 0);
    harness.submit("j-000001", json!({"Spokes": 1}));
    for _ in 0..12 {
        harness.pass(0.1);
        assert!(harness.leader.take_deletions().is_empty());
    }
    heartbeat(&mut harness, 2, 5);
    harness.settle();
    assert_eq!(harness.bound("j-000001"), [(0, "n-1".to_owned())]);
    // Left without work it goes all the same.
    harness.cancel("j-000001");
    heartbeat(&mut harness, 3, 5);
    harness.settle();
    for second in 0..5 {
        heartbeat(&mut harness, 4 + second, 5);
        harness.pass(1.0);
    }
    assert_eq!(harness.leader.take_deletions().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_late_copy_of_a_report_only_puts_off_the_proof() {
    // Copies of reports come up to more than a lease late, also to a leader
    // that never heard the machine, and look as if it were alive.
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 3, &[]);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 1}));
    harness.settle();
    let commands = harness.heartbeat("n-1", 3, &[]);
    let task = running(ops(&commands, CommandKind::Start)[0]);
    let mut next = harness.succeed(6);
    let copy = |next: &mut LeaderHarness, sequence| {
        next.report_showing(5, "n-1", sequence, 3, std::slice::from_ref(&task))
    };
    let mut moved = None;
    for second in 0..30 {
        if second == 8 {
            assert!(copy(&mut next, 40).is_empty(), "no order for what may be long gone");
            assert!(copy(&mut next, 39).is_empty(), "nor for an older copy");
        }
        next.heartbeat("n-2", 1, &[]);
        next.pass(1.0);
        let commits = next.commits();
        next.commit(commits);
        if next.bound("j-000001").iter().any(|(_, machine)| machine == "n-2") {
            moved = Some(second);
            break;
        }
    }
    let moved = moved.expect("it is started elsewhere in the end");
    assert!((19..23).contains(&moved), "a lease of 11 s after the copy: {moved}");
    assert!(copy(&mut next, 41).is_empty(), "a copy of a dead session changes nothing");
    next.settle();
    assert_eq!(next.bound("j-000001"), [(0, "n-2".to_owned())]);
}

/// The smaller of the limits in the settings, in bytes.
const VALUE_BYTES: usize = 2048;

fn largest_page(watch_cache: &WatchCache) -> usize {
    let pages = watch_cache.pages.values().flat_map(|pages| pages.values());
    pages.map(|page| page.raw.get().len()).max().unwrap_or(0)
}

/// Machines with room for many tasks of the kind `tiny`.
fn many_tiny_tasks() -> LeaderHarness {
    let mut harness = LeaderHarness::with(settings_with_coming_limits("m-0"), TermTokens::only(5));
    for machine in 0..4 {
        harness.heartbeat(&format!("n-00000{machine}"), 1, &[]);
    }
    harness
}

fn tiny(tasks: u32, shape: &str) -> serde_json::Value {
    json!({"Shape": shape, "Spokes": tasks, "Cores": 1.0, "Gpus": 0.0, "MemoryGb": 1.0})
}

#[tokio::test(start_paused = true)]
async fn places_are_given_only_as_far_as_their_page_fits_the_coming_limit() {
    let mut harness = many_tiny_tasks();
    harness.submit("j-000001", tiny(128, "batch"));
    harness.settle();
    let first = harness.bound("j-000001").len();
    assert!((60..128).contains(&first), "{first} of 128 tasks have a place");
    assert!(largest_page(&harness.watch_cache) <= VALUE_BYTES);
    // As they are done, others take their places; the job gets to its end.
    for _ in 0..6 {
        for machine in 0..4 {
            let name = format!("n-00000{machine}");
            let starts = harness.heartbeat(&name, 1, &[]);
            let done: Vec<_> = ops(&starts, CommandKind::Start)
                .into_iter()
                .map(|command| exited(command, ExitCause::Done))
                .collect();
            harness.heartbeat(&name, 1, &done);
        }
        harness.pass(2.0);
        harness.settle();
        assert!(largest_page(&harness.watch_cache) <= VALUE_BYTES);
    }
    assert!(harness.watch_cache.ended_jobs.contains("j-000001"));
}

/// A page that a version without the coming limits filled with `tasks` places.
fn page_of_the_version_before(harness: &mut LeaderHarness, id: &str, tasks: u32) {
    let bound: Vec<_> =
        (0..tasks).map(|task| (task, 1, format!("n-00000{}", task % 4), 1, 0)).collect();
    let value = store::value(&json!({"a": 1, "w": tasks, "b": bound})).expect("json");
    assert!(value.get().len() > VALUE_BYTES);
    harness.revision += 1;
    harness.watch_cache.put(&store::page_key(id, 0), value, harness.revision);
}

#[tokio::test(start_paused = true)]
async fn a_page_too_large_for_the_coming_limit_is_written_once_some_tasks_have_left_it() {
    let mut before = LeaderHarness::with(settings_with_coming_limits("m-0"), TermTokens::only(4));
    before.submit("j-000001", tiny(120, "batch"));
    page_of_the_version_before(&mut before, "j-000001", 120);
    let mut harness = before.succeed(5);
    let running: Vec<Vec<TaskStatus>> = (0..4)
        .map(|machine| {
            let here = (0..120).filter(|task| task % 4 == machine);
            here.map(|task| TaskStatus {
                task: format!("j-000001/{task}"),
                attempt: 1,
                state: TaskState::Running,
                cause: None,
                saved: None,
            })
            .collect()
        })
        .collect();
    for (machine, tasks) in running.iter().enumerate() {
        harness.heartbeat(&format!("n-00000{machine}"), 1, tasks);
    }
    // One task is done: its exit is not cleared before it is durable.
    let mut first = running[0].clone();
    (first[0].state, first[0].cause) = (TaskState::Exited, Some(ExitCause::Done));
    harness.heartbeat("n-000000", 1, &first);
    harness.settle();
    assert!(harness.page("j-000001").done.is_empty(), "the page is still that of before");
    let commands = harness.heartbeat("n-000000", 1, &first);
    assert!(ops(&commands, CommandKind::Forget).is_empty());
    // Some of its tasks are told to stop; when they are gone it is written.
    let mut stopped = 0;
    for (machine, tasks) in running.iter().enumerate() {
        let name = format!("n-00000{machine}");
        let mut tasks = if machine == 0 { first.clone() } else { tasks.clone() };
        for stop in ops(&harness.heartbeat(&name, 1, &tasks), CommandKind::Stop) {
            let task = tasks.iter_mut().find(|task| task.task == stop.task).expect("known");
            (task.state, task.cause) = (TaskState::Exited, Some(ExitCause::Stopped));
            stopped += 1;
        }
        harness.heartbeat(&name, 1, &tasks);
    }
    assert!((1..80).contains(&stopped), "{stopped} tasks were stopped");
    harness.settle();
    assert_eq!(harness.page("j-000001").done, [store::TaskRange { first: 0, count: 1 }]);
    assert!(largest_page(&harness.watch_cache) <= VALUE_BYTES);
    let commands = harness.heartbeat("n-000000", 1, &first[..1]);
    assert_eq!(ops(&commands, CommandKind::Forget).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_gang_larger_than_a_page_waits_until_all_members_know_small_pages() {
    let mut harness = many_tiny_tasks();
    harness.submit("j-000001", tiny(120, "ensemble"));
    harness.settle();
    assert!(harness.bound("j-000001").is_empty(), "part of a gang is no use");
    harness.leader.allow_small_pages();
    harness.pass(0.1);
    let commits = harness.commits();
    let pages = commits.len();
    assert!(pages > 1, "its places take several pages");
    // No task starts before the last of them is durable.
    let mut commits = commits.into_iter();
    for commit in commits.by_ref().take(pages - 1) {
        harness.commit(vec![commit]);
        for machine in 0..4 {
            let commands = harness.heartbeat(&format!("n-00000{machine}"), 1, &[]);
            assert!(ops(&commands, CommandKind::Start).is_empty());
        }
    }
    harness.commit(commits.collect());
    assert!(largest_page(&harness.watch_cache) <= VALUE_BYTES);
    let mut starts = 0;
    for machine in 0..4 {
        starts +=
            ops(&harness.heartbeat(&format!("n-00000{machine}"), 1, &[]), CommandKind::Start).len();
    }
    assert_eq!(starts, 120);
    // The next leader reads the same layout.
    let mut next = harness.succeed(6);
    assert_eq!(next.page("j-000001").tasks, Some(32));
    let mut again = 0;
    for machine in 0..4 {
        again +=
            ops(&next.heartbeat(&format!("n-00000{machine}"), 1, &[]), CommandKind::Start).len();
    }
    assert_eq!(again, 120);
}

#[tokio::test(start_paused = true)]
async fn part_of_a_gang_that_a_former_leader_bound_is_given_up() {
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

#[tokio::test(start_paused = true)]
async fn exits_are_recorded_from_what_the_budget_has_to_spare() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness.submit("j-000001", json!({"Spokes": 2}));
    harness.settle();
    let starts = harness.heartbeat("n-1", 1, &[]);
    let starts: Vec<TaskCommand> = ops(&starts, CommandKind::Start).into_iter().cloned().collect();
    assert_eq!(starts.len(), 2);
    let done = [exited(&starts[0], ExitCause::Done), running(&starts[1])];
    harness.heartbeat("n-1", 1, &done);
    // A new place is urgent, an exit is not; the job's end is.
    harness.submit("j-000002", json!({"Spokes": 1}));
    harness.pass(0.1);
    let urgent = harness.leader.take_commits(&harness.watch_cache, 0);
    assert_eq!(urgent.len(), 1);
    assert!(matches!(&urgent[0].kind, CommitKind::Page { job, .. } if &**job == "j-000002"));
    harness.commit(urgent);
    assert!(harness.leader.take_commits(&harness.watch_cache, 0).is_empty());
    let commands = harness.heartbeat("n-1", 1, &done);
    assert!(ops(&commands, CommandKind::Forget).is_empty(), "not cleared before it is durable");
    let later = harness.leader.take_commits(&harness.watch_cache, 1);
    assert!(matches!(&later[0].kind, CommitKind::Page { job, .. } if &**job == "j-000001"));
    harness.commit(later);
    let commands = harness.heartbeat("n-1", 1, &done);
    assert_eq!(ops(&commands, CommandKind::Forget).len(), 1);
    // The last exit is durable only with the job's end, which spares nothing.
    let all = [exited(&starts[0], ExitCause::Done), exited(&starts[1], ExitCause::Done)];
    let commands = harness.heartbeat("n-1", 1, &all);
    assert!(ops(&commands, CommandKind::Forget).is_empty());
    let end = harness.leader.take_commits(&harness.watch_cache, 0);
    assert!(matches!(&end[0].kind, CommitKind::End { job } if &**job == "j-000001"));
    harness.commit(end);
    let commands = harness.heartbeat("n-1", 1, &all);
    assert_eq!(ops(&commands, CommandKind::Forget).len(), 2);
}
