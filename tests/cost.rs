//! The work of a leader while nothing changes, as counts of operations, which unlike times are
//! the same on every machine; and the latency of a heartbeat that changes something.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use std::time::Duration;

use common::{TestDeployment, assert_no_violation, seconds};
use serde_json::json;
use stonewheel::protocol::JobState;
use tokio::time::{Instant, sleep};

const IDLE_SECONDS: u64 = 20;

/// The leader's operations during `IDLE_SECONDS` in which nothing changes.
struct IdleCost {
    heartbeats: u64,
    tasks_reconciled: u64,
    ticks: u64,
    candidates_evaluated: u64,
    /// Changes of the stored records.
    writes: u64,
}

/// Measures a deployment of `machines` machines that run one service.
async fn idle_cost(machines: u64, replicas: u32, scale: f64) -> IdleCost {
    let deployment = TestDeployment::in_two_zones_scaled(0, scale).await;
    for _ in 0..machines {
        // Spreads the machines' heartbeats over the interval of one second.
        sleep(Duration::from_secs(1) / u32::try_from(machines).expect("a few")).await;
        deployment.add_machine("a");
    }
    let service = json!({"Shape": "service", "Spokes": replicas});
    deployment.submit(0, "j-000001", service).await.expect("accepted");
    seconds(30).await;
    let leader = deployment.leader().expect("a leader");
    let counters = || deployment.node(leader).leader_counters().expect("it leads");
    let revision = || deployment.node(leader).watch_cache.lock().expect("not poisoned").revision;
    let (before, revision_before) = (counters(), revision());
    seconds(IDLE_SECONDS).await;
    let after = counters();
    assert_no_violation(&deployment);
    IdleCost {
        heartbeats: after.heartbeats - before.heartbeats,
        tasks_reconciled: after.tasks_reconciled - before.tasks_reconciled,
        ticks: after.ticks - before.ticks,
        candidates_evaluated: after.candidates_evaluated - before.candidates_evaluated,
        writes: revision() - revision_before,
    }
}

#[tokio::test(start_paused = true)]
async fn heartbeats_that_change_nothing_cause_no_tick() {
    const MACHINES: u64 = 200;
    let cost = idle_cost(MACHINES, 40, 1.0).await;
    assert!(cost.heartbeats > MACHINES * IDLE_SECONDS / 2, "all machines send heartbeats");
    // Eight sweeps in each heartbeat interval, and the ticks for the cloud's lists and for
    // rounds. If heartbeats caused ticks, there would be a tick for nearly every heartbeat.
    assert!(cost.ticks <= 12 * IDLE_SECONDS, "{} ticks", cost.ticks);
}

#[tokio::test(start_paused = true)]
async fn idle_fleet_of_four_thousand_machines_costs_only_its_heartbeats() {
    const MACHINES: u64 = 4000;
    const REPLICAS: u32 = 8000;
    let cost = idle_cost(MACHINES, REPLICAS, 15.0).await;
    assert!(cost.heartbeats > MACHINES * IDLE_SECONDS / 2, "all machines send heartbeats");
    assert!(cost.heartbeats <= MACHINES * IDLE_SECONDS * 11 / 10, "{} heartbeats", cost.heartbeats);
    // Each heartbeat is reconciled only with the tasks of its own machine: those that it reports
    // and those that are bound to the machine.
    let max_reported_tasks = u64::from(REPLICAS) * IDLE_SECONDS * 11 / 10;
    assert!(
        cost.tasks_reconciled <= 2 * max_reported_tasks,
        "{} tasks reconciled",
        cost.tasks_reconciled
    );
    // No more ticks than with 200 machines, no candidate evaluated, nothing written.
    assert!(cost.ticks <= 12 * IDLE_SECONDS, "{} ticks", cost.ticks);
    assert_eq!(cost.candidates_evaluated, 0, "candidates evaluated");
    assert_eq!(cost.writes, 0, "changes of the stored records");
}

#[tokio::test(start_paused = true)]
async fn heartbeat_with_an_exit_starts_the_next_task_without_delay() {
    let deployment = TestDeployment::new(1).await;
    deployment.runs_for("j-000001", 4);
    // Each task takes the whole machine, so every start waits for an exit.
    let fields = json!({"Spokes": 4, "Cores": 64.0, "Gpus": 8.0, "MemoryGb": 200.0});
    deployment.exhaust_capacity();
    deployment.submit(0, "j-000001", fields).await.expect("accepted");
    let submitted_at = Instant::now();
    deployment.until_state(0, "j-000001", JobState::Done).await;
    let elapsed_s = submitted_at.elapsed().as_secs_f64();
    assert!(elapsed_s < 4.0 * 4.0 + 6.0, "{elapsed_s} s for four tasks of four seconds");
    assert_no_violation(&deployment);
}
