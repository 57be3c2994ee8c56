//! The cost for a leader of one array of tens of thousands of short tasks, alone and beside many
//! jobs of one task. The first test measures the memory of its process, so the tests of this file
//! run one at a time.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use std::sync::Mutex;

use common::{TestDeployment, assert_no_violation, leader_harness::LeaderHarness, seconds};
use serde_json::json;
use stonewheel::protocol::JobState;

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

const KIB: usize = 1024;

/// Returns the peak resident memory of this process in bytes.
fn peak_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("a Linux system");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("the peak");
    let number = line.split_whitespace().nth(1).expect("a number");
    number.parse::<usize>().expect("a number") * KIB
}

/// Returns a leader after a few passes over 100 machines, an array of 25,000 small tasks and 800
/// jobs of one task. With `no_capacity` the cloud provides no further machines.
fn large_array_beside_small_jobs(no_capacity: bool) -> LeaderHarness {
    let mut harness = LeaderHarness::new(5);
    let send_heartbeats = |harness: &mut LeaderHarness| {
        for number in 0..100 {
            harness.heartbeat(&format!("n-{number:03}"), 1, &[]);
        }
    };
    send_heartbeats(&mut harness);
    harness.submit(
        "j-900000",
        json!({"Spokes": 25_000, "Cores": 0.25, "Gpus": 0.0, "MemoryGb": 1.0, "Rank": "best_effort"}),
    );
    for number in 0..800 {
        harness.submit(&format!("j-{number:06}"), json!({"Spokes": 1}));
    }
    for _ in 0..3 {
        for request in harness.leader.take_provision_requests() {
            let provisioned = (!no_capacity).then(Vec::new);
            harness.leader.on_provisioned(&request, provisioned, harness.now);
        }
        harness.pass(5.0);
        send_heartbeats(&mut harness);
    }
    harness
}

/// The tables of the dynamic program had a row of 26,000 entries for each of 800 jobs, 80 MB in
/// total. Controllers with a quota of 40 MB were terminated one after the other for the rest of
/// the day (`docs/incidents/guest-arrays.md`).
#[test]
fn large_array_beside_small_jobs_stays_within_the_memory_limit() {
    let _guard = ONE_AT_A_TIME.lock();
    const LIMIT: usize = 24 << 20;
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let before = peak_bytes();
    for no_capacity in [false, true] {
        runtime.block_on(async { drop(large_array_beside_small_jobs(no_capacity)) });
    }
    let growth = peak_bytes().saturating_sub(before);
    assert!(growth < LIMIT, "{} KiB", growth / KIB);
}

/// When one pass placed the whole array, the pass took so long that the leader lost its lease
/// before any placement was recorded, and so did each of its successors.
#[test]
fn one_pass_places_at_most_the_array_tasks_that_one_transaction_records() {
    let _guard = ONE_AT_A_TIME.lock();
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(async {
        let mut harness = LeaderHarness::new(5);
        for number in 0..200 {
            harness.heartbeat(&format!("n-{number:03}"), 1, &[]);
        }
        harness.submit("j-900000", json!({"Spokes": 25_000, "Cores": 0.25, "Gpus": 0.0}));
        harness.pass(0.1);
        let pages = harness.commits().len();
        let limit = harness.settings.state_limits().transaction_writes;
        // One more page is allowed, since the first one is also written for the array's width.
        assert!((2..=limit + 1).contains(&pages), "{pages} pages, {limit} in a transaction");
    });
}

#[test]
fn array_of_twenty_thousand_tasks_completes_across_two_failovers() {
    let _guard = ONE_AT_A_TIME.lock();
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().start_paused(true).build().expect("a runtime");
    runtime.block_on(async {
        const TASKS: u32 = 20_000;
        let deployment = TestDeployment::new(16).await;
        deployment.exhaust_capacity();
        deployment.runs_for("j-000001", 8);
        let fields = json!({"Spokes": TASKS, "Cores": 0.25, "Gpus": 0.0, "MemoryGb": 1.0});
        deployment.submit(0, "j-000001", fields).await.expect("accepted");
        for divisor in [4, 2] {
            deployment.until("a part has started", || deployment.starts() > TASKS / divisor).await;
            let leader = deployment.leader().expect("a leader");
            deployment.kill_node(leader);
            seconds(5).await;
            deployment.start_node(leader);
        }
        let leader = deployment.leader().expect("a leader");
        deployment.until_state(leader, "j-000001", JobState::Done).await;
        assert_eq!(deployment.starts(), TASKS, "each task started once");
        assert_no_violation(&deployment);
    });
}
