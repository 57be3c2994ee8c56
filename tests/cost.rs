//! What a deployment costs where nothing happens, in counts of work: they are
//! the same on every machine, where times are not.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use std::time::Duration;

use common::{TestDeployment, assert_no_violation, seconds};
use serde_json::json;
use stonewheel::protocol::JobState;
use tokio::time::{Instant, sleep};

const QUIET_SECONDS: u64 = 20;

/// What a leader does within `QUIET_SECONDS` in which nothing happens.
struct QuietCost {
    heartbeats: u64,
    reviewed: u64,
    ticks: u64,
    weighed: u64,
    /// Changes of the records.
    writes: u64,
}

async fn quiet_cost(machines: u64, replicas: u32, scale: f64) -> QuietCost {
    let deployment = TestDeployment::in_two_zones_scaled(0, scale).await;
    for _ in 0..machines {
        // So that they don't all report at the same instant.
        sleep(Duration::from_secs(1) / u32::try_from(machines).expect("a few")).await;
        deployment.add_machine("a");
    }
    let service = json!({"Shape": "service", "Spokes": replicas});
    deployment.submit(0, "j-000001", service).await.expect("accepted");
    seconds(30).await;
    let leader = deployment.leader().expect("a leader");
    let counters = || deployment.node(leader).leader_counters().expect("it leads");
    let revision = || deployment.node(leader).watch_cache.lock().expect("not poisoned").revision;
    let (before, began) = (counters(), revision());
    seconds(QUIET_SECONDS).await;
    let after = counters();
    assert_no_violation(&deployment);
    QuietCost {
        heartbeats: after.heartbeats - before.heartbeats,
        reviewed: after.tasks_reconciled - before.tasks_reconciled,
        ticks: after.ticks - before.ticks,
        weighed: after.candidates_evaluated - before.candidates_evaluated,
        writes: revision() - began,
    }
}

#[tokio::test(start_paused = true)]
async fn reports_that_change_nothing_do_not_turn_the_leaders_loop() {
    const MACHINES: u64 = 200;
    let cost = quiet_cost(MACHINES, 40, 1.0).await;
    assert!(cost.heartbeats > MACHINES * QUIET_SECONDS / 2, "all machines report");
    // Eight sweeps in each heartbeat interval, and what the cloud's lists and
    // rounds bring; it was a turn for nearly every report.
    assert!(cost.ticks <= 12 * QUIET_SECONDS, "{} ticks", cost.ticks);
}

#[tokio::test(start_paused = true)]
async fn a_quiet_fleet_of_four_thousand_machines_costs_its_reports_and_little_else() {
    const MACHINES: u64 = 4000;
    const REPLICAS: u32 = 8000;
    let cost = quiet_cost(MACHINES, REPLICAS, 15.0).await;
    assert!(cost.heartbeats > MACHINES * QUIET_SECONDS / 2, "all machines report");
    assert!(cost.heartbeats <= MACHINES * QUIET_SECONDS * 11 / 10, "{} reports", cost.heartbeats);
    // Each report is held against the tasks of its own machine alone: those that
    // it names and those that are bound to it.
    let tasks = u64::from(REPLICAS) * QUIET_SECONDS * 11 / 10;
    assert!(cost.reviewed <= 2 * tasks, "{} tasks reviewed", cost.reviewed);
    // No more turns than a fleet of 200 takes, no place weighed, nothing written.
    assert!(cost.ticks <= 12 * QUIET_SECONDS, "{} ticks", cost.ticks);
    assert_eq!(cost.weighed, 0, "places weighed");
    assert_eq!(cost.writes, 0, "changes of the records");
}

#[tokio::test(start_paused = true)]
async fn a_report_that_changes_something_is_acted_on_at_once() {
    let deployment = TestDeployment::new(1).await;
    deployment.runs_for("j-000001", 4);
    // Each task takes the whole machine, so every start waits for an exit.
    let fields = json!({"Spokes": 4, "Cores": 64.0, "Gpus": 8.0, "MemoryGb": 200.0});
    deployment.exhaust_capacity();
    deployment.submit(0, "j-000001", fields).await.expect("accepted");
    let begin = Instant::now();
    deployment.until_state(0, "j-000001", JobState::Done).await;
    let took = begin.elapsed().as_secs_f64();
    assert!(took < 4.0 * 4.0 + 6.0, "{took} s for four tasks of four seconds");
    assert_no_violation(&deployment);
}
