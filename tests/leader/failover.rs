//! What a new leader concludes from records and silence: proof by lease expiry, kept and returned machines.

use crate::common::leader_harness::{LeaderHarness, ops, running};
use serde_json::json;
use std::{collections::BTreeMap, time::Duration};
use stonewheel::protocol::{CommandKind, MachineId, TaskStatus};

#[tokio::test(start_paused = true)]
async fn a_returned_task_is_placed_once_after_a_failover() {
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
    next.leader.on_deleted(&deletions, next.now);
    next.heartbeat("n-2", 1, &[]);
    next.settle();
    assert_ne!(next.bound("j-000001")[0].1, "n-1");
    // A late report of the deleted machine brings nothing back.
    assert!(next.heartbeat_at("n-1", 99, 7, &[]).is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_lease_without_any_answer_is_proof_for_machines_never_heard() {
    // Half of a fleet was partitioned as its leader ended. The next one waited for
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
    assert!(next.heartbeat_at("n-1", 50, 3, &[]).is_empty());
    assert!(next.leader.take_deletions().is_empty(), "it may come back");
}

#[tokio::test(start_paused = true)]
async fn a_partitioned_zone_is_not_returned() {
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

/// Six machines partitioned around a takeover were given back after 8 s, while the
/// cloud had no others to give (`docs/incidents/inc-b6d2.md`).
#[tokio::test(start_paused = true)]
async fn a_new_leader_keeps_a_silent_machine_whose_lease_will_prove_its_tasks_gone() {
    // The others' promises stand two seconds after the takeover: the proof comes
    // a lease after that, and frees the task without giving the machine back.
    assert!(returned_by_a_new_leader(Some(2.0), 12).is_empty());
    assert!(returned_by_a_new_leader(Some(2.0), 20).is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_new_leader_that_will_have_no_proof_returns_a_silent_machine() {
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
    assert!(harness.leader.take_provision_requests().is_empty());
    harness.heartbeat("n-1", 1, &tasks);
    harness.settle();
    assert_eq!(harness.bound("j-000002"), [(0, "n-1".into())]);
    assert!(harness.leader.take_provision_requests().is_empty());
    // A machine that stays silent is not waited for.
    harness.submit("j-000003", json!({"Shape": "service", "Spokes": 1, "Gpus": 4.0}));
    harness.settle();
    assert_eq!(harness.leader.take_provision_requests().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_late_copy_of_a_heartbeat_only_postpones_the_proof() {
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
        next.heartbeat_with_token(5, "n-1", sequence, 3, std::slice::from_ref(&task))
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
