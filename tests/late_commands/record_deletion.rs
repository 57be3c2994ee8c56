//! Records of ended jobs are deleted whole, and readings miss none.

use crate::common::{
    TestDeployment, assert_no_violation, leader_harness::LeaderHarness, seconds, state,
};
use serde_json::json;
use std::time::Duration;
use stonewheel::{
    controller::Commit,
    protocol::{Events, Item, JobState, Write},
    store,
};

fn deleted_pages(commits: &[Commit]) -> usize {
    let writes = commits.iter().flat_map(|commit| &commit.writes);
    writes.filter(|w| matches!(w, Write::Delete { key } if key.starts_with("sw/p/"))).count()
}

#[tokio::test(start_paused = true)]
async fn the_records_of_an_ended_job_are_deleted_whole_however_many_there_are() {
    // As many pages as fit one transaction beside the end, and around that.
    for pages in 18..30_u32 {
        let mut harness = LeaderHarness::new(5);
        let size = harness.settings.page_tasks();
        harness.submit("j-000001", json!({"Spokes": size * pages}));
        for page in 0..pages {
            harness.revision += 1;
            let done = json!({"a": 1, "d": [[page * size, size]]});
            let value = store::to_raw_value(&done).expect("json");
            harness.watch_cache.put(&store::page_key("j-000001", page), value, harness.revision);
        }
        // Another leader goes on after the first transaction.
        let mut deleted = 0;
        for _ in 0..6 {
            harness = harness.succeed(6);
            let commits = harness.commits();
            deleted += deleted_pages(&commits);
            let most = harness.settings.state_limits().transaction_writes;
            assert!(commits.iter().all(|commit| commit.writes.len() <= most));
            harness.commit(commits);
        }
        assert_eq!(deleted as u32, pages, "a page stays without its job");
        assert!(harness.watch_cache.pages.is_empty() && harness.watch_cache.jobs.is_empty());
        assert!(harness.watch_cache.ended_jobs.contains("j-000001"));
    }
}

/// What a job's records are, as a reading of all records has them.
fn item(key: String, value: serde_json::Value, version: u64) -> Item {
    Item { key, value: store::to_raw_value(&value).expect("json"), version }
}

#[tokio::test(start_paused = true)]
async fn no_job_is_dropped_before_its_end_is_recorded() {
    let mut harness = LeaderHarness::new(5);
    harness.submit("j-000001", json!({}));
    harness.submit("j-000002", json!({"Awaits": ["j-000001"]}));
    harness.submit("j-000003", json!({"Awaits": ["j-000002"]}));
    harness.cancel("j-000001");
    // All records are read again. The ends were read before the one in the
    // middle ended, the jobs after it was dropped: it is in neither.
    let cancelled = json!({"s": "aborted", "d": 0});
    let spec = serde_json::to_value(&*harness.watch_cache.jobs["j-000003"].spec).expect("json");
    let version = harness.watch_cache.jobs["j-000003"].version;
    let items = vec![
        item(store::end_key("j-000001"), cancelled, harness.revision),
        item(store::job_key("j-000003"), spec, version),
    ];
    let torn = Events { revision: harness.revision, events: Vec::new() };
    let changes = harness.watch_cache.replace(items, harness.revision, torn);
    harness.leader.on_changes(&changes, &harness.watch_cache, harness.now);
    for commit in harness.commits() {
        let drops = |w: &Write| *w.key() == *store::job_key("j-000003");
        let ends = |w: &Write| *w.key() == *store::end_key("j-000003");
        let lost = commit.writes.iter().any(drops) && !commit.writes.iter().any(ends);
        assert!(!lost, "an accepted job would be forgotten: {:?}", commit.writes);
    }
}

#[tokio::test(start_paused = true)]
async fn a_reading_that_overlaps_cancellations_forgets_no_dependant() {
    // Chains are cancelled while every controller reads all records again.
    let deployment = TestDeployment::new(2).await;
    deployment.runs_for("j-000001", 500);
    let mut ids = vec!["j-000001".to_owned()];
    assert!(state(&deployment.submit(0, "j-000001", json!({})).await).is_some());
    for number in 2..120 {
        let id = format!("j-{number:06}");
        let needs = json!({"Awaits": [ids[ids.len() / 2]]});
        assert!(state(&deployment.submit(number % 3, &id, needs).await).is_some());
        ids.push(id);
    }
    assert_eq!(state(&deployment.cancel(0, "j-000001").await), Some(JobState::Cancelled));
    // From now on every few changes make a reading necessary.
    deployment.state.set_window(1);
    deployment.state.set_slow(Duration::from_millis(150));
    seconds(30).await;
    deployment.state.set_window(1000);
    deployment.state.set_slow(Duration::ZERO);
    seconds(10).await;
    assert!(deployment.state.too_old() > 0, "no reading overlapped");
    for id in &ids {
        let told = deployment.status(1, id).await;
        assert_eq!(state(&told), Some(JobState::Cancelled), "{id}: {told:?}");
    }
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn records_are_read_whole_although_parts_of_the_reading_fail() {
    let deployment = TestDeployment::new(1).await;
    // A few dozen parts, each of which may fail.
    for number in 0..1500 {
        let end = store::to_raw_value(&json!({"s": "done", "d": 1})).expect("json");
        let key = store::end_key(&format!("j-{number:06}"));
        deployment
            .state
            .commit(Vec::new(), vec![Write::Put { key, value: end, lease: None }])
            .expect("written");
    }
    let node = (deployment.leader().expect("a leader") + 1) % 3;
    deployment.kill_node(node);
    deployment.state.set_failing(Some((7, 0.3)));
    deployment.start_node(node);
    seconds(30).await;
    deployment.state.set_failing(None);
    assert!(deployment.node(node).is_healthy(), "it has read the records");
    assert_eq!(state(&deployment.status(node, "j-001499").await), Some(JobState::Done));
}
