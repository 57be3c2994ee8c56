//! What a deployment costs where nothing happens, in counts of work: they are
//! the same on every machine, where times are not.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use std::time::Duration;

use common::{World, no_rule_broken, seconds};
use serde_json::json;
use stonewheel::protocol::JobState;
use tokio::time::{Instant, sleep};

#[tokio::test(start_paused = true)]
async fn reports_that_change_nothing_do_not_turn_the_leaders_loop() {
    const MACHINES: u64 = 200;
    const SECONDS: u64 = 20;
    let world = World::new(0).await;
    for _ in 0..MACHINES {
        // So that they don't all report at the same instant.
        sleep(Duration::from_millis(5)).await;
        world.add_machine("a");
    }
    world.submit(0, "j-000001", json!({"Shape": "service", "Spokes": 40})).await.expect("accepted");
    seconds(30).await;
    let leader = world.leader().expect("a leader");
    let effort = || world.node(leader).leader_effort().expect("it leads");
    let before = effort();
    seconds(SECONDS).await;
    let after = effort();
    assert!(after.reports - before.reports > MACHINES * SECONDS / 2, "all machines report");
    // Eight sweeps in each report interval, and what the cloud's lists and
    // rounds bring; it was a turn for nearly every report.
    let ticks = after.ticks - before.ticks;
    assert!(ticks <= 12 * SECONDS, "{ticks} ticks");
    no_rule_broken(&world);
}

#[tokio::test(start_paused = true)]
async fn a_report_that_changes_something_is_acted_on_at_once() {
    let world = World::new(1).await;
    world.runs_for("j-000001", 4);
    // Each task takes the whole machine, so every start waits for an exit.
    let fields = json!({"Spokes": 4, "Cores": 64.0, "Gpus": 8.0, "MemoryGb": 200.0});
    world.no_more_machines();
    world.submit(0, "j-000001", fields).await.expect("accepted");
    let begin = Instant::now();
    world.until_state(0, "j-000001", JobState::Done).await;
    let took = begin.elapsed().as_secs_f64();
    assert!(took < 4.0 * 4.0 + 6.0, "{took} s for four tasks of four seconds");
    no_rule_broken(&world);
}
