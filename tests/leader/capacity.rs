//! Scale-out, scale-in and headroom, and the cost of scheduling passes.

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
async fn a_machine_that_never_boots_is_replaced_and_deleted() {
    let mut harness = LeaderHarness::new(5);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 1}));
    harness.settle();
    let rental = harness.leader.take_provision_requests().pop().expect("a rental");
    harness.leader.on_provisioned(&rental, Some(vec!["n-9".into()]), harness.now);
    harness.settle();
    assert!(harness.leader.take_provision_requests().is_empty(), "a second rental during the boot");
    // The usual boot time is 20 s; after 1.5 times that time a replacement is rented.
    harness.pass(33.0);
    let second = harness.leader.take_provision_requests().pop().expect("another rental");
    assert_ne!(second.request, rental.request, "a request id is never used twice");
    harness.pass(20.0);
    let deletions = harness.leader.take_deletions();
    assert_eq!(deletions.iter().map(|m| &**m).collect::<Vec<_>>(), ["n-9"]);
}

#[tokio::test(start_paused = true)]
async fn headroom_includes_waiting_tasks() {
    // Without headroom for waiting work, a fleet that starts from nothing has capacity for
    // exactly the waiting tasks, and each boot that takes several times as long as usual
    // delays a replica.
    let mut harness = LeaderHarness::new(5);
    harness.set_objective("wait", 10.0);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 25, "Gpus": 8.0}));
    harness.settle();
    let rented: u32 = harness.leader.take_provision_requests().iter().map(|r| r.count).sum();
    assert_eq!(rented, 27, "25 machines and a headroom of 0.4 * sqrt(25)");
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
        "8 machines and a headroom of 0.4 * sqrt(8) * 20/6, the ratio of prices"
    );
}

#[tokio::test(start_paused = true)]
async fn scheduling_cost_of_a_thousand_machines_is_proportional_to_changes() {
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
    let evaluated = filled.candidates_evaluated - before.candidates_evaluated;
    // Each machine is evaluated twice for each job (with enough free capacity, and with the
    // image as well), and once more for each task.
    assert!(evaluated < 2 * 440 * MACHINES + 2800, "{evaluated} candidates evaluated");
    let mut tasks: BTreeMap<u64, Vec<TaskStatus>> = BTreeMap::new();
    for _ in 0..60 {
        let commits = harness.commits();
        harness.commit(commits);
    }
    for n in 0..MACHINES {
        let commands = harness.heartbeat(&name(n), 1, &[]);
        tasks.insert(n, ops(&commands, CommandKind::Start).into_iter().map(running).collect());
    }
    let running_tasks: usize = tasks.values().map(Vec::len).sum();
    assert_eq!(running_tasks, 2800);
    // One second in which every worker sends a heartbeat and nothing changes.
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
        2 * running_tasks as u64,
        "the bound and the reported tasks of each machine"
    );
    assert!(after.sweeps - before.sweeps <= 8, "fewer sweeps than heartbeats");
    assert_eq!(after.passes, before.passes, "nothing changed");
}

#[tokio::test(start_paused = true)]
async fn spot_machines_are_rented_ahead_of_growth() {
    // Without rentals ahead of growth, every batch job of the first minutes in a fleet that
    // starts from nothing waits for the boot that it has caused.
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
    assert_eq!(
        rented,
        8 + 4 + 8,
        "8 for the job, 0.4 * sqrt(8) * 20/6 of headroom, and 8 for the same growth again"
    );
    // After a boot time without growth, nothing more is rented.
    harness.pass(21.0);
    harness.pass(5.0);
    assert!(harness.leader.take_provision_requests().is_empty());
}

#[tokio::test(start_paused = true)]
async fn idle_machines_are_kept_for_waiting_tasks_after_an_outage() {
    // Guards against a leader that returns the idle machines in the first second after an
    // outage and rents others for the waiting work.
    let mut harness = LeaderHarness::new(5);
    harness.leader = Leader::new(
        Arc::new(settings("m-0")),
        1,
        TermTokens::starting_at(5),
        &harness.watch_cache,
        harness.now,
    );
    for machine in ["n-1", "n-2"] {
        harness.heartbeat(machine, 1, &[]);
    }
    harness.leader.tick(harness.now, StateService::Unavailable, harness.sole_renewer_since);
    harness.submit("j-000001", json!({"Shape": "service", "Spokes": 2, "Gpus": 8.0}));
    for _ in 0..50 {
        harness.now += Duration::from_secs(1);
        for machine in ["n-1", "n-2"] {
            harness.heartbeat(machine, 1, &[]);
        }
        harness.leader.tick(harness.now, StateService::Unavailable, harness.sole_renewer_since);
    }
    // The first pass after the outage covers all machines.
    harness.pass(1.0);
    harness.settle();
    assert!(harness.leader.take_deletions().is_empty());
    assert_eq!(harness.bound("j-000001").len(), 2);
    assert!(harness.leader.take_provision_requests().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_machine_that_boots_fast_is_not_returned_before_it_takes_tasks() {
    // Idle machines are kept for a quarter of the boot time. With a short boot this is less
    // than the interval between two heartbeats: machines could be returned and rented again
    // without ever running a task.
    let mut harness = LeaderHarness::new(5);
    let fast_booting = MachineType { boot_s: 1.0, ..machine_type() };
    harness.watch_cache.machine_types =
        Some(Versioned { version: 1, value: Arc::new(vec![fast_booting]) });
    harness.leader = Leader::new(
        Arc::new(settings("m-0")),
        1,
        TermTokens::starting_at(5),
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
    // Without work, the machine is returned.
    harness.cancel("j-000001");
    heartbeat(&mut harness, 3, 5);
    harness.settle();
    for second in 0..5 {
        heartbeat(&mut harness, 4 + second, 5);
        harness.pass(1.0);
    }
    assert_eq!(harness.leader.take_deletions().len(), 1);
}
