//! Scale out, scale in and headroom; the cost of passes.

use crate::common::{
    leader_harness::{LeaderHarness, ops, running},
    machine_type, settings,
};
use serde_json::json;
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use stonewheel::{
    controller::{Leader, StateService},
    fencing::TermTokens,
    protocol::{CommandKind, MachineType, TaskStatus},
    state::Versioned,
};

#[tokio::test(start_paused = true)]
async fn work_does_not_count_on_a_machine_that_never_boots() {
    let mut harness = LeaderHarness::new(5);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 1}));
    harness.settle();
    let rental = harness.leader.take_provision_requests().pop().expect("a rental");
    harness.leader.on_provisioned(&rental, Some(vec!["n-9".into()]), harness.now);
    harness.settle();
    assert!(harness.leader.take_provision_requests().is_empty(), "it waits for the boot");
    // A boot takes 20 s as a rule; past one and a half of it another is rented.
    harness.pass(33.0);
    let second = harness.leader.take_provision_requests().pop().expect("another rental");
    assert_ne!(second.request, rental.request, "a name is never used twice");
    harness.pass(20.0);
    let deletions = harness.leader.take_deletions();
    assert_eq!(deletions.iter().map(|m| &**m).collect::<Vec<_>>(), ["n-9"]);
}

#[tokio::test(start_paused = true)]
async fn headroom_counts_waiting_work_too() {
    // A fleet that starts from nothing had room for exactly what waited, and
    // each boot that took several times as long kept a replica from starting.
    let mut harness = LeaderHarness::new(5);
    harness.set_objective("wait", 10.0);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 25, "Gpus": 8.0}));
    harness.settle();
    let rented: u32 = harness.leader.take_provision_requests().iter().map(|r| r.count).sum();
    assert_eq!(rented, 27, "0.4 of the root of 25 machines more");
}

#[tokio::test(start_paused = true)]
async fn empty_spot_machines_are_kept_for_work_that_may_use_them() {
    let mut harness = LeaderHarness::new(5);
    harness.set_objective("finished", 100.0);
    harness.submit("j-000001", json!({"Spokes": 64, "Driftwood": true}));
    harness.pass(5.0);
    let rentals = harness.leader.take_provision_requests();
    assert!(rentals.iter().all(|r| r.spot));
    assert_eq!(
        rentals.iter().map(|r| r.count).sum::<u32>(),
        12,
        "0.4 of the root of 8, times 20/6 for their price, more"
    );
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
    let weighed = filled.candidates_evaluated - before.candidates_evaluated;
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
    assert_eq!(
        after.tasks_reconciled - before.tasks_reconciled,
        2 * held as u64,
        "its own tasks each, twice"
    );
    assert!(after.sweeps - before.sweeps <= 8, "not one for each report");
    assert_eq!(after.passes, before.passes, "nothing changed");
}

#[tokio::test(start_paused = true)]
async fn spot_machines_are_rented_ahead_of_growth() {
    // In a fleet that starts from nothing every sweep of the first minutes
    // waited for the boot that it had caused itself.
    let mut harness = LeaderHarness::new(5);
    harness.set_objective("finished", 100.0);
    harness.pass(1.0);
    harness.submit("j-000001", json!({"Spokes": 64, "Driftwood": true}));
    harness.pass(4.0);
    let mut rented = 0;
    for rental in harness.leader.take_provision_requests() {
        let names = (0..rental.count).map(|n| format!("{}-{n}", rental.request).into()).collect();
        harness.leader.on_provisioned(&rental, Some(names), harness.now);
        rented += rental.count;
    }
    assert_eq!(rented, 8 + 4 + 8, "its own, 0.4 of the root times 20/6, and its growth again");
    // A boot later without growth nothing more is rented.
    harness.pass(21.0);
    harness.pass(5.0);
    assert!(harness.leader.take_provision_requests().is_empty());
}

#[tokio::test(start_paused = true)]
async fn machines_that_idled_through_an_outage_take_the_work_that_waited() {
    // They were returned in the first second after it, and others rented.
    let mut harness = LeaderHarness::new(5);
    harness.leader = Leader::new(
        Arc::new(settings("m-0")),
        1,
        TermTokens::single(5),
        &harness.watch_cache,
        harness.now,
    );
    for machine in ["n-1", "n-2"] {
        harness.heartbeat(machine, 1, &[]);
    }
    harness.leader.tick(harness.now, StateService::Unavailable, harness.alone);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 2, "Gpus": 8.0}));
    for _ in 0..50 {
        harness.now += Duration::from_secs(1);
        for machine in ["n-1", "n-2"] {
            harness.heartbeat(machine, 1, &[]);
        }
        harness.leader.tick(harness.now, StateService::Unavailable, harness.alone);
    }
    // The first look after it is one over all machines.
    harness.pass(1.0);
    harness.settle();
    assert!(harness.leader.take_deletions().is_empty());
    assert_eq!(harness.bound("j-000001").len(), 2);
    assert!(harness.leader.take_provision_requests().is_empty());
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
        TermTokens::single(5),
        &harness.watch_cache,
        harness.now,
    );
    let heartbeat = |harness: &mut LeaderHarness, sequence, token| {
        harness.heartbeat_with_token(token, "n-1", sequence, 1, &[])
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
