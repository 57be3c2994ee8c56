//! Measurements on loopback, by hand: `cargo test --release -p stonewheel-activation
//! --test measure -- --ignored --nocapture --test-threads 1`.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use std::{sync::Arc, time::Duration};

use common::{
    Fleet,
    house::House,
    loopback::{BOOT, Loopback, SESSION},
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

/// Bytes of memory that this process holds.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("a Linux system");
    let pages = statm.split_whitespace().nth(1).expect("resident pages");
    pages.parse::<usize>().expect("a number") * PAGE_BYTES
}

/// How long it takes without any of this: ask for a model server, and look until it
/// answers.
async fn direct_start() -> Duration {
    let house = House::new(tokio::runtime::Handle::current(), BOOT);
    let order = ReplicaOrder {
        model: "router".into(),
        generation: 1,
        epoch: 1,
        job: "j-1".into(),
        fence: Condition { key: String::new(), version: 0 },
    };
    let began = Instant::now();
    house.start(&order).await.expect("started");
    while house.probe(&order).await == Ok(Replicas::Pending) {
        sleep(Duration::from_millis(50)).await;
    }
    began.elapsed()
}

#[tokio::test]
#[ignore = "a measurement"]
async fn cold_starts_idle_minutes_and_adoptions() {
    let mut direct = Vec::new();
    for _ in 0..REPEATS {
        direct.push(direct_start().await);
    }
    println!("direct start: {:?} (boot {BOOT:?})", median(direct));
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
            "{size} controllers: first answer after {:?}; a wake takes {} requests and {} changes \
             of the state service; adopted after {:?} (session {SESSION:?})",
            median(cold_starts),
            requests[REPEATS / 2],
            writes[REPEATS / 2],
            (!adoptions.is_empty()).then(|| median(adoptions)),
        );
    }
}

#[tokio::test(start_paused = true)]
#[ignore = "a measurement"]
async fn state_operations_of_idle_minutes() {
    for size in [1, 3, 5] {
        let fleet = Fleet::with_router(size).await;
        let minutes = 10;
        let scaled_to_zero = fleet.state.usage();
        sleep(Duration::from_secs(60 * minutes)).await;
        let still_scaled_to_zero = fleet.state.usage();
        fleet.request(0, "router").await;
        let minimum_uptime = fleet.state.usage();
        for _ in 0..minutes * 6 {
            sleep(Duration::from_secs(10)).await;
            fleet.request(0, "router").await;
        }
        let still_serving = fleet.state.usage();
        println!(
            "{size} controllers, session 11 s, each minute: asleep {} requests {} changes, awake \
             with a request every 10 s {} requests {} changes",
            (still_scaled_to_zero.requests - scaled_to_zero.requests) / minutes,
            (still_scaled_to_zero.writes - scaled_to_zero.writes) / minutes,
            (still_serving.requests - minimum_uptime.requests) / minutes,
            (still_serving.writes - minimum_uptime.writes) / minutes,
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
    fleet.farm.let_starts_hang(1);
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
