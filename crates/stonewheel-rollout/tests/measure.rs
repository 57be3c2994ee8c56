//! Measurements, run by hand: `cargo test --release -p stonewheel-rollout --test measure --
//! --ignored --nocapture --test-threads 1`. They run in simulated
//! time over simulated servers.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use std::time::Duration;

use common::deployment::Deployment;
use stonewheel_rollout::{command::CommandKind, record::Phase};
use tokio::time::{Instant, sleep};

/// Waits for a rollout to end. Returns its duration, and the replica-seconds beyond the size.
async fn run_rollout(deployment: &Deployment, size: u32) -> (Duration, f64) {
    let started_at = Instant::now();
    let mut surplus = 0.0;
    while !(deployment.phase().is_some_and(Phase::is_over) && deployment.is_settled()) {
        sleep(Duration::from_millis(250)).await;
        let replicas = deployment.record().replicas.len() as u32;
        surplus += f64::from(replicas.saturating_sub(size)) * 0.25;
    }
    (started_at.elapsed(), surplus)
}

#[tokio::test(start_paused = true)]
#[ignore = "a measurement"]
async fn rollout_duration_surge_and_state_operations() {
    for size in [10, 30, 60] {
        for steps in [vec![100], vec![20, 50, 100], vec![10, 20, 30, 40, 50, 60, 70, 80, 90, 100]] {
            let deployment = Deployment::new(size, size as usize, 4).await;
            let before = deployment.state.usage();
            let count = steps.len() as u64;
            let surge = 2 + size / 10;
            let start = CommandKind::Start { to: "two".into(), steps, surge };
            deployment.command(0, "c", start).await.expect("accepted");
            let (duration, surplus) = run_rollout(&deployment, size).await;
            let after = deployment.state.usage();
            println!(
                "{size} replicas, surge {surge}, {count} steps: {duration:.0?}, {surplus:.0} \
                 replica-seconds beyond the size, {} changes and {} requests a step",
                (after.writes - before.writes) / count,
                (after.requests - before.requests) / count,
            );
            deployment.assert_nothing_lost(size);
        }
    }
}

#[tokio::test(start_paused = true)]
#[ignore = "a measurement"]
async fn rollback_duration_after_failed_health() {
    for size in [10, 30, 60] {
        let deployment = Deployment::new(size, size as usize, 4).await;
        deployment.roll_out(0, 2 + size / 10).await.expect("accepted");
        deployment
            .wait_until("the second step begins", |d| {
                d.record().rollout.is_some_and(|rollout| rollout.step == 1)
            })
            .await;
        deployment.servers.break_new_servers("two");
        deployment
            .wait_until("the rollout rolls back", |d| d.phase() == Some(Phase::RollingBack))
            .await;
        let (duration, _) = run_rollout(&deployment, size).await;
        println!("{size} replicas: all old {duration:.0?} after the failure was noticed");
        deployment.assert_nothing_lost(size);
    }
}
