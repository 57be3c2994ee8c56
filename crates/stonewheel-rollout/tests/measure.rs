//! Measurements, by hand: `cargo test --release -p stonewheel-rollout --test measure --
//! --ignored --nocapture --test-threads 1`. In simulated time, over stand-in servers.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use std::time::Duration;

use common::deployment::Deployment;
use stonewheel_rollout::{command::CommandKind, record::Phase};
use tokio::time::{Instant, sleep};

/// Plays a rollout and tells its length and the replica-seconds beyond the size.
async fn play(deployment: &Deployment, size: u32) -> (Duration, f64) {
    let began = Instant::now();
    let mut beyond = 0.0;
    while !(deployment.phase().is_some_and(Phase::is_over) && deployment.settled()) {
        sleep(Duration::from_millis(250)).await;
        let replicas = deployment.record().replicas.len() as u32;
        beyond += f64::from(replicas.saturating_sub(size)) * 0.25;
    }
    (began.elapsed(), beyond)
}

#[tokio::test(start_paused = true)]
#[ignore = "a measurement"]
async fn length_surge_and_state_operations() {
    for size in [10, 30, 60] {
        for steps in [vec![100], vec![20, 50, 100], vec![10, 20, 30, 40, 50, 60, 70, 80, 90, 100]] {
            let deployment = Deployment::new(size, size as usize, 4).await;
            let before = deployment.state.usage();
            let count = steps.len() as u64;
            let surge = 2 + size / 10;
            let start = CommandKind::Start { to: "two".into(), steps, surge };
            deployment.command(0, "c", start).await.expect("accepted");
            let (length, beyond) = play(&deployment, size).await;
            let after = deployment.state.usage();
            println!(
                "{size} replicas, surge {surge}, {count} steps: {length:.0?}, {beyond:.0} \
                 replica-seconds beyond the size, {} changes and {} requests a step",
                (after.writes - before.writes) / count,
                (after.requests - before.requests) / count,
            );
            deployment.assert_kept(size);
        }
    }
}

#[tokio::test(start_paused = true)]
#[ignore = "a measurement"]
async fn from_failed_health_to_all_old() {
    for size in [10, 30, 60] {
        let deployment = Deployment::new(size, size as usize, 4).await;
        deployment.roll_out(0, 2 + size / 10).await.expect("accepted");
        deployment
            .until("halfway", |d| d.record().rollout.is_some_and(|rollout| rollout.step == 1))
            .await;
        deployment.servers.let_starts_fail("two");
        deployment.until("it failed", |d| d.phase() == Some(Phase::RollingBack)).await;
        let (length, _) = play(&deployment, size).await;
        println!("{size} replicas: all old {length:.0?} after the failure was noticed");
        deployment.assert_kept(size);
    }
}
