//! Measurements: `cargo test -p stonewheel-lending --test measure -- --ignored --nocapture`. Times
//! are simulated, except for the time that a plan takes.

#[allow(dead_code)] // Each test file uses only a part of the module.
mod common;

use std::time::Duration;

use common::{
    batch, batch_with_save_time, serving, settings, simulation::Simulation, world::TestDeployment,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use stonewheel_lending::{
    LendingSettings, Planner,
    ledger::LoanState,
    planner::{Plan, PlannerInput, plan},
};
use tokio::time::{Instant, sleep};

/// Returns settings that guarantee half of the fleet to serving, and let batch work use all of it.
fn half_guaranteed(machines: u32) -> LendingSettings {
    let half = machines / 2;
    let mut settings = settings(&[("nightly", 0, machines), ("serving", half, machines)]);
    settings.times.expected_machines = f64::from(machines);
    settings
}

/// Starts a deployment and waits until gangs of batch work run on all machines.
async fn filled_cluster(machines: u32, save_s: f64) -> TestDeployment {
    let cluster =
        TestDeployment::without_checker(half_guaranteed(machines), machines as usize, plan).await;
    let gang_size = 2;
    for n in 0..machines / gang_size {
        cluster
            .submit(
                n as usize % 3,
                &format!("b-{n}"),
                batch_with_save_time("nightly", gang_size, save_s),
            )
            .await;
    }
    let full = |cluster: &TestDeployment| cluster.fleet().running().count() as u32 == machines;
    while !full(&cluster) {
        sleep(Duration::from_millis(200)).await;
    }
    sleep(Duration::from_secs(12)).await;
    cluster
}

#[tokio::test(start_paused = true)]
#[ignore = "a measurement"]
async fn latency_from_claim_to_start() {
    println!(
        "machines, save time, machines claimed: time until all run, writes and requests per machine"
    );
    for (machines, claimed) in [(24, 4), (100, 20), (400, 80), (1000, 200), (4000, 400)] {
        for save_s in [0.5, 2.0, 6.0] {
            if machines > 400 && save_s != 2.0 {
                continue;
            }
            let cluster = filled_cluster(machines, save_s).await;
            let before = cluster.state.usage();
            let submitted_at = Instant::now();
            cluster.submit(0, "s-1", serving("serving", claimed)).await;
            while cluster.running_machines("s-1") < claimed {
                sleep(Duration::from_millis(10)).await;
            }
            let (latency, after) = (submitted_at.elapsed(), cluster.state.usage());
            let writes = (after.writes - before.writes) as f64 / f64::from(claimed);
            let requests = (after.requests - before.requests) as f64 / f64::from(claimed);
            println!(
                "{machines}, {save_s} s, {claimed}: {:.1} s (bound {:.0} s), {writes:.2} writes, \
                 {requests:.2} requests",
                latency.as_secs_f64(),
                cluster.bounds.reclaim.as_secs_f64(),
            );
        }
    }
}

/// A planner that stops work without time to save.
fn preempt_without_saving(input: &PlannerInput<'_>) -> Plan {
    let mut plan = plan(input);
    for transition in &mut plan.transitions {
        if let Some(entry) = &mut transition.after
            && entry.state == LoanState::ReclaimRequested
        {
            entry.grace_ms = 0;
        }
    }
    plan
}

/// A planner that lends no machine that covers a guarantee: batch work gets only the machines
/// beyond all guarantees.
fn lend_nothing(input: &PlannerInput<'_>) -> Plan {
    let mut settings = input.settings.clone();
    let beyond = input.machines.len() as u32 - settings.guaranteed();
    if let Some(team) = settings.teams.get_mut("nightly") {
        team.ceiling = beyond;
    }
    plan(&PlannerInput { settings: &settings, ..*input })
}

/// Simulates one hour of batch work that requests all machines, and serving demand that fluctuates.
/// Returns the deployment and the longest wait of a serving claim in seconds.
async fn run_hour(planner: Planner) -> (TestDeployment, f64) {
    const MACHINES: u32 = 40;
    let cluster =
        TestDeployment::without_checker(half_guaranteed(MACHINES), MACHINES as usize, planner)
            .await;
    for n in 0..20 {
        cluster.submit(n % 3, &format!("b-{n}"), batch("nightly", 2)).await;
    }
    sleep(Duration::from_secs(30)).await;
    let mut rng = StdRng::seed_from_u64(36);
    let mut active_ids: Vec<String> = Vec::new();
    let mut longest_wait_s = 0.0;
    for n in 0..180 {
        // Three peaks an hour.
        let demand_wave = (f64::from(n) / 180.0 * std::f64::consts::TAU * 3.0).sin();
        let target =
            (4.0 + 4.0 * demand_wave + rng.random_range(-1.0..1.0)).round().max(0.0) as usize;
        while active_ids.len() > target {
            let id = active_ids.remove(0);
            cluster.withdraw(0, &id).await;
        }
        let submitted_at = Instant::now();
        while active_ids.len() < target {
            let id = format!("s-{n}-{}", active_ids.len());
            cluster.submit(0, &id, serving("serving", 2)).await;
            active_ids.push(id);
        }
        while active_ids.iter().any(|id| cluster.running_machines(id) < 2) {
            sleep(Duration::from_millis(50)).await;
        }
        longest_wait_s = f64::max(longest_wait_s, submitted_at.elapsed().as_secs_f64());
        sleep(Duration::from_secs(20).saturating_sub(submitted_at.elapsed())).await;
    }
    (cluster, longest_wait_s)
}

#[tokio::test(start_paused = true)]
#[ignore = "a measurement"]
async fn one_hour_compared_with_baseline_planners() {
    println!("40 machines of 8 GPUs, 20 of them guaranteed to serving that fluctuates");
    let planners: [(&str, Planner); 3] = [
        ("lending", plan),
        ("preempt without saving", preempt_without_saving),
        ("static", lend_nothing),
    ];
    for (name, planner) in planners {
        let (cluster, longest_wait_s) = run_hour(planner).await;
        let fleet = cluster.fleet();
        let batch: f64 = (0..20).map(|n| fleet.done_s(&format!("b-{n}")) * 2.0).sum();
        let reclaimed = fleet.batch_halts();
        // All GPUs of a machine lose the same time.
        let lost = fleet.lost_s / f64::from(reclaimed.max(1));
        let usage = cluster.state.usage();
        println!(
            "{name}: longest wait {longest_wait_s:.1} s, machines reclaimed {reclaimed}, lost \
             {lost:.2} s per reclaimed GPU, batch {:.0} machine-seconds, writes {} requests {}",
            batch, usage.writes, usage.requests
        );
    }
}

#[test]
#[ignore = "a measurement"]
fn planner_time_per_pass() {
    for machines in [100_u32, 500, 1000, 2000, 4000] {
        let mut simulation = Simulation::new(half_guaranteed(machines), machines as usize);
        for n in 0..machines / 2 {
            simulation.submit(&format!("b-{n}"), batch("nightly", 2));
        }
        simulation.plan_until_stable();
        let timed_plan = |simulation: &mut Simulation| {
            let started_at = std::time::Instant::now();
            let plan = simulation.plan();
            (started_at.elapsed().as_secs_f64() * 1e3, plan.transitions.len())
        };
        let (idle_ms, idle_changes) = timed_plan(&mut simulation);
        for n in 0..machines / 10 {
            simulation.submit(&format!("s-{n}"), serving("serving", 2));
        }
        let (rush_ms, rush_changes) = timed_plan(&mut simulation);
        println!(
            "{machines} machines: {idle_ms:.2} ms for a pass without new claims ({idle_changes} \
             changes), {rush_ms:.2} ms for {} new claims ({rush_changes} changes)",
            machines / 10
        );
    }
}
