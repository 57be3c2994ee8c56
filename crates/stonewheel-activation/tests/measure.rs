//! Measurements on loopback, run manually with `cargo test --release -p stonewheel-activation
//! --test measure -- --ignored --nocapture --test-threads 1`.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use std::{sync::Arc, time::Duration};

use common::{
    Fleet,
    http_starter::HttpStarter,
    loopback::{Loopback, SESSION_TTL, STARTUP_TIME},
    model_settings, settings,
};
use stonewheel_activation::{ReplicaOrder, ReplicaStarter, Replicas};
use stonewheel_protocol::Condition;
use tokio::time::{Instant, sleep};

const REPEATS: usize = 5;
const PAGE_BYTES: usize = 4096;

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times[times.len() / 2]
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("a Linux system");
    let pages = statm.split_whitespace().nth(1).expect("resident pages");
    pages.parse::<usize>().expect("a number") * PAGE_BYTES
}

/// Returns the time of a start without an activator, as the baseline: requests a model
/// server and probes until the server answers.
async fn direct_start() -> Duration {
    let starter = HttpStarter::new(tokio::runtime::Handle::current(), STARTUP_TIME);
    let order = ReplicaOrder {
        model: "router".into(),
        generation: 1,
        epoch: 1,
        job: "j-1".into(),
        fence: Condition { key: String::new(), version: 0 },
    };
    let began = Instant::now();
    starter.start(&order).await.expect("started");
    while starter.probe(&order).await == Ok(Replicas::Pending) {
        sleep(Duration::from_millis(50)).await;
    }
    began.elapsed()
}

#[tokio::test]
#[ignore = "a measurement"]
async fn cold_start_and_adoption_latency() {
    let mut direct = Vec::new();
    for _ in 0..REPEATS {
        direct.push(direct_start().await);
    }
    println!("direct start: {:?} (boot {STARTUP_TIME:?})", median(direct));
    for size in [1, 3, 5] {
        let (mut cold_starts, mut adoptions) = (Vec::new(), Vec::new());
        let (mut requests, mut writes) = (Vec::new(), Vec::new());
        for _ in 0..REPEATS {
            let mut loopback = Loopback::new(size).await;
            let before = loopback.deployment.state.usage();
            let began = Instant::now();
            loopback.request(0).await.expect("answered");
            cold_starts.push(began.elapsed());
            let after = loopback.deployment.state.usage();
            requests.push(after.requests - before.requests);
            writes.push(after.writes - before.writes);
            if size > 1 {
                let owner = loopback.owner().await;
                let began = Instant::now();
                loopback.controllers[owner].kill();
                while loopback.owner().await == owner {
                    sleep(Duration::from_millis(5)).await;
                }
                adoptions.push(began.elapsed());
            }
            loopback.end();
        }
        requests.sort_unstable();
        writes.sort_unstable();
        println!(
            "{size} controllers: first answer after {:?}; a cold start takes {} requests and {} changes \
             of the state service; adopted after {:?} (session {SESSION_TTL:?})",
            median(cold_starts),
            requests[REPEATS / 2],
            writes[REPEATS / 2],
            (!adoptions.is_empty()).then(|| median(adoptions)),
        );
    }
}

#[tokio::test(start_paused = true)]
#[ignore = "a measurement"]
async fn state_operations_per_minute() {
    for size in [1, 3, 5] {
        let fleet = Fleet::with_router(size).await;
        let minutes = 10;
        let scaled_to_zero_start = fleet.state.usage();
        sleep(Duration::from_secs(60 * minutes)).await;
        let scaled_to_zero_end = fleet.state.usage();
        fleet.request(0, "router").await;
        let serving_start = fleet.state.usage();
        for _ in 0..minutes * 6 {
            sleep(Duration::from_secs(10)).await;
            fleet.request(0, "router").await;
        }
        let serving_end = fleet.state.usage();
        println!(
            "{size} controllers, session 11 s, each minute: scaled to zero {} requests {} changes, serving \
             with a request every 10 s {} requests {} changes",
            (scaled_to_zero_end.requests - scaled_to_zero_start.requests) / minutes,
            (scaled_to_zero_end.writes - scaled_to_zero_start.writes) / minutes,
            (serving_end.requests - serving_start.requests) / minutes,
            (serving_end.writes - serving_start.writes) / minutes,
        );
    }
}

#[tokio::test]
#[ignore = "a measurement"]
async fn memory_of_held_requests() {
    const HELD: usize = 100_000;
    let mut settings = settings(&[("router", model_settings(&[]))]);
    (settings.hold_requests, settings.hold_kb) = (HELD as f64, 1e6);
    let fleet = Fleet::new(1, settings).await;
    let activator = fleet.activator(0);
    fleet.starter.hang_next_starts(1);
    let before = resident_bytes();
    let waiting: Vec<_> = (0..HELD)
        .map(|_| {
            let activator = Arc::clone(&activator);
            tokio::spawn(async move { activator.admit("router", 100).await.is_ok() })
        })
        .collect();
    sleep(Duration::from_secs(2)).await;
    assert_eq!(activator.held_usage().requests, HELD);
    let held = resident_bytes() - before;
    println!("{HELD} held requests: {} bytes each, without connection and body", held / HELD);
    waiting.iter().for_each(tokio::task::JoinHandle::abort);
}
