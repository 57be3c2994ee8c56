//! Decisions of a new leader from the records and from missing heartbeats: proof of termination
//! by lease expiry, and machines that are kept or returned.

use crate::common::leader_harness::{LeaderHarness, ops, running};
use serde_json::json;
use std::{collections::BTreeMap, time::Duration};
use stonewheel::protocol::{CommandKind, MachineId, TaskStatus};

#[tokio::test(start_paused = true)]
async fn a_returned_task_is_placed_once_after_a_failover() {
    // A returned task beyond the new leader's cursor over the job could be listed twice, and
    // then ran on two machines.
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
async fn missing_heartbeats_to_a_new_leader_do_not_prove_that_a_task_ended() {
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 1, &[]);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 1}));
    harness.settle();
    let mut next = harness.succeed(6);
    next.sole_renewer_since = None;
    next.heartbeat("n-2", 1, &[]);
    next.heartbeat("n-3", 1, &[]);
    for _ in 0..15 {
        next.heartbeat("n-2", 1, &[]);
        next.heartbeat("n-3", 1, &[]);
        next.pass(1.0);
    }
    next.settle();
    assert_eq!(next.bound("j-000001"), [(0, "n-1".to_owned())]);
    // Only a deletion that the cloud has confirmed frees the task.
    next.pass(2.0);
    let deletions = next.leader.take_deletions();
    assert_eq!(deletions.iter().map(|m| &**m).collect::<Vec<_>>(), ["n-1"]);
    next.leader.on_deleted(&deletions, next.now);
    next.heartbeat("n-2", 1, &[]);
    next.settle();
    assert_ne!(next.bound("j-000001")[0].1, "n-1");
    // A late heartbeat of the deleted machine has no effect.
    assert!(next.heartbeat_at("n-1", 99, 7, &[]).is_empty());
}

#[tokio::test(start_paused = true)]
async fn lease_expiry_proves_that_tasks_of_a_machine_without_heartbeats_ended() {
    // Half of a fleet is partitioned when its leader ends. Without the proof by lease expiry,
    // the next leader waits until the partition heals to place tasks that ended long before.
    let mut harness = LeaderHarness::new(5);
    harness.heartbeat("n-1", 3, &[]);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 1}));
    harness.settle();
    let mut next = harness.succeed(6);
    next.sole_renewer_since = Some(next.now + Duration::from_secs(2));
    for second in 0..14 {
        next.heartbeat("n-2", 1, &[]);
        next.pass(1.0);
        let bound = next.bound("j-000001");
        assert!(
            second > 12 || bound.is_empty() || bound[0].1 == "n-1",
            "placed elsewhere before the lease expired"
        );
    }
    next.settle();
    assert_eq!(next.bound("j-000001"), [(0, "n-2".to_owned())]);
    // A late heartbeat copy from before the partition has no effect.
    assert!(next.heartbeat_at("n-1", 50, 3, &[]).is_empty());
    assert!(next.leader.take_deletions().is_empty(), "the machine may return");
}

#[tokio::test(start_paused = true)]
async fn a_partitioned_zone_is_not_returned() {
    // A new leader considered the machines of a zone that it could not reach as dead and
    // returned 30 at a time; each replacement needed a boot.
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
    // The zone becomes reachable again, one machine after the other, in new incarnations.
    for reachable in [&names[5..7], &names[5..]] {
        harness.pass(1.0);
        for name in &names[1..5] {
            harness.heartbeat(name, 1, &tasks[name]);
        }
        for name in reachable {
            harness.heartbeat(name, 2, &[]);
        }
        harness.pass(1.0);
    }
    let returned = harness.leader.take_deletions();
    assert_eq!(returned.iter().map(|m| &**m).collect::<Vec<_>>(), ["a-1"]);
}

/// Returns the machines that a new leader returns within `seconds`. Six machines run a task
/// each, and the new leader receives the heartbeats of all but `n-1`. Other controllers may answer
/// workers for `others_answer_until_s`, or for an unknown time if `None`.
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
    let started_at = harness.now;
    let sole_renewer_from =
        others_answer_until_s.map(|after| started_at + Duration::from_secs_f64(after));
    let mut returned = Vec::new();
    for _ in 0..seconds {
        harness.sole_renewer_since = sole_renewer_from.filter(|from| *from <= harness.now);
        for name in &names[1..] {
            harness.heartbeat(name, 1, &tasks[name]);
        }
        harness.pass(1.0);
        returned.extend(harness.leader.take_deletions());
        let commits = harness.commits();
        harness.commit(commits);
    }
    let bound = harness.bound("j-000001").len();
    assert_eq!(bound, 6 - usize::from(seconds > 15 && sole_renewer_from.is_some()));
    returned
}

/// Six machines that were partitioned around a takeover were returned after 8 s, while the
/// cloud had no capacity for replacements (`docs/incidents/inc-b6d2.md`).
#[tokio::test(start_paused = true)]
async fn a_new_leader_keeps_a_silent_machine_when_lease_expiry_will_free_its_tasks() {
    // The other controllers may answer workers until 2 s after the takeover. The lease
    // expires one lease time later and frees the task without returning the machine.
    assert!(returned_by_a_new_leader(Some(2.0), 12).is_empty());
    assert!(returned_by_a_new_leader(Some(2.0), 20).is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_new_leader_returns_a_silent_machine_when_lease_expiry_cannot_free_its_tasks() {
    assert_eq!(returned_by_a_new_leader(None, 12), ["n-1".into()]);
}

#[tokio::test(start_paused = true)]
async fn a_new_leader_rents_nothing_before_the_first_heartbeats() {
    // For the first second after a takeover, the new leader has no heartbeats. Without this
    // wait it considers the whole fleet gone and rents dozens of unneeded machines.
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
    // The leader does not wait for a machine that stays silent.
    harness.submit("j-000003", json!({"Shape": "service", "Spokes": 1, "Gpus": 4.0}));
    harness.settle();
    assert_eq!(harness.leader.take_provision_requests().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_late_copy_of_a_heartbeat_only_postpones_the_lease_expiry() {
    // Heartbeat copies may arrive more than a lease late, also at a leader that has no other
    // heartbeat of the machine, and make the machine look alive.
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
    let mut moved_at_s = None;
    for second in 0..30 {
        if second == 8 {
            assert!(copy(&mut next, 40).is_empty(), "no command for a worker that may have ended");
            assert!(copy(&mut next, 39).is_empty(), "no command for an older copy");
        }
        next.heartbeat("n-2", 1, &[]);
        next.pass(1.0);
        let commits = next.commits();
        next.commit(commits);
        if next.bound("j-000001").iter().any(|(_, machine)| machine == "n-2") {
            moved_at_s = Some(second);
            break;
        }
    }
    let moved_at_s = moved_at_s.expect("the task is placed on n-2");
    assert!((19..23).contains(&moved_at_s), "a lease of 11 s after the copy: {moved_at_s}");
    assert!(copy(&mut next, 41).is_empty(), "a copy of an ended incarnation has no effect");
    next.settle();
    assert_eq!(next.bound("j-000001"), [(0, "n-2".to_owned())]);
}
