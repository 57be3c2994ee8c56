//! One array of tens of thousands of short tasks, and a swarm of one-task jobs
//! beside it: what they cost a leader. The first test looks at its process's
//! memory, so both run in this file, one after the other.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use std::sync::Mutex;

use common::{TestDeployment, assert_no_violation, leader_harness::LeaderHarness, seconds};
use serde_json::json;
use stonewheel::protocol::JobState;

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

const KIB: usize = 1024;

/// The most memory that this process held so far, in bytes.
fn peak_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("a Linux system");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("the peak");
    let number = line.split_whitespace().nth(1).expect("a number");
    number.parse::<usize>().expect("a number") * KIB
}

/// A fleet of 100 machines, an array of 25,000 small tasks and 800 jobs of one
/// task; whether the cloud has more machines decides how much room there is.
fn swarm_beside_a_huge_array(no_capacity: bool) -> LeaderHarness {
    let mut harness = LeaderHarness::new(5);
    let report_all = |harness: &mut LeaderHarness| {
        for number in 0..100 {
            harness.heartbeat(&format!("n-{number:03}"), 1, &[]);
        }
    };
    report_all(&mut harness);
    harness.submit(
        "j-900000",
        json!({"Spokes": 25_000, "Cores": 0.25, "Gpus": 0.0, "MemoryGb": 1.0, "Rank": "best_effort"}),
    );
    for number in 0..800 {
        harness.submit(&format!("j-{number:06}"), json!({"Spokes": 1}));
    }
    for _ in 0..3 {
        for rental in harness.leader.take_provision_requests() {
            let rented = (!no_capacity).then(Vec::new);
            harness.leader.on_provisioned(&rental, rented, harness.now);
        }
        harness.pass(5.0);
        report_all(&mut harness);
    }
    harness
}

/// The program's tables held a row of 26,000 entries for each of 800 jobs: 80 MB,
/// and controllers of 40 MB ended one after the other until the day was over
/// (`docs/incidents/guest-arrays.md`).
#[test]
fn a_huge_array_beside_a_swarm_fits_a_small_machine() {
    let _alone = ONE_AT_A_TIME.lock();
    const LIMIT: usize = 24 << 20;
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let before = peak_bytes();
    for no_capacity in [false, true] {
        runtime.block_on(async { drop(swarm_beside_a_huge_array(no_capacity)) });
    }
    let held = peak_bytes().saturating_sub(before);
    assert!(held < LIMIT, "{} KiB", held / KIB);
}

/// Placed at once, the array took a pass so long that the leader lost its lease
/// before any place was written down, and so did each of its successors.
#[test]
fn one_pass_places_no_more_tasks_of_an_array_than_a_transaction_records() {
    let _alone = ONE_AT_A_TIME.lock();
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
        // The first page is written for the width too.
        assert!((2..=limit + 1).contains(&pages), "{pages} pages, {limit} in a transaction");
    });
}

#[test]
fn an_array_of_twenty_thousand_tasks_ends_although_its_leader_ends_twice() {
    let _alone = ONE_AT_A_TIME.lock();
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().start_paused(true).build().expect("a runtime");
    runtime.block_on(async {
        const TASKS: u32 = 20_000;
        let deployment = TestDeployment::new(16).await;
        deployment.exhaust_capacity();
        deployment.runs_for("j-000001", 8);
        let fields = json!({"Spokes": TASKS, "Cores": 0.25, "Gpus": 0.0, "MemoryGb": 1.0});
        deployment.submit(0, "j-000001", fields).await.expect("accepted");
        for share in [4, 2] {
            deployment.until("part of it ran", || deployment.starts() > TASKS / share).await;
            let leader = deployment.leader().expect("a leader");
            deployment.kill_node(leader);
            seconds(5).await;
            deployment.start_node(leader);
        }
        let asked = deployment.leader().expect("a leader");
        deployment.until_state(asked, "j-000001", JobState::Done).await;
        assert_eq!(deployment.starts(), TASKS, "each task started once");
        assert_no_violation(&deployment);
    });
}
