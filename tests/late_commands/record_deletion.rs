//! All records of an ended job are deleted, and full reads of the records that overlap changes
//! lose no job.

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

/// Returns how many pages of tasks the commits delete.
fn deleted_pages(commits: &[Commit]) -> usize {
    let writes = commits.iter().flat_map(|commit| &commit.writes);
    writes.filter(|w| matches!(w, Write::Delete { key } if key.starts_with("sw/p/"))).count()
}

/// A job with more pages than one transaction deletes must not lose the record that tells the next
/// leader to delete the rest.
#[tokio::test(start_paused = true)]
async fn all_pages_of_an_ended_job_are_deleted_across_transactions_and_leaders() {
    // Around the number of pages that fit in one transaction together with the end record.
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
        // The leader changes after each transaction, and its successor continues.
        let mut deleted = 0;
        for _ in 0..6 {
            harness = harness.succeed(6);
            let commits = harness.commits();
            deleted += deleted_pages(&commits);
            let max_writes = harness.settings.state_limits().transaction_writes;
            assert!(commits.iter().all(|commit| commit.writes.len() <= max_writes));
            harness.commit(commits);
        }
        assert_eq!(deleted as u32, pages, "a page is left without its job");
        assert!(harness.watch_cache.pages.is_empty() && harness.watch_cache.jobs.is_empty());
        assert!(harness.watch_cache.ended_jobs.contains("j-000001"));
    }
}

/// Returns a record as a full read returns it.
fn item(key: String, value: serde_json::Value, version: u64) -> Item {
    Item { key, value: store::to_raw_value(&value).expect("json"), version }
}

/// A full read may contain neither the job that another one depends on nor that job's end record.
/// The dependent job must not be deleted for that reason without an end record of its own.
#[tokio::test(start_paused = true)]
async fn job_is_not_deleted_before_its_end_is_recorded() {
    let mut harness = LeaderHarness::new(5);
    harness.submit("j-000001", json!({}));
    harness.submit("j-000002", json!({"Awaits": ["j-000001"]}));
    harness.submit("j-000003", json!({"Awaits": ["j-000002"]}));
    harness.cancel("j-000001");
    // A full read of the records overlaps the deletion of j-000002: the end records were read
    // before its end was written and the jobs after its record was deleted, so the read
    // contains neither.
    let cancelled = json!({"s": "aborted", "d": 0});
    let spec = serde_json::to_value(&*harness.watch_cache.jobs["j-000003"].spec).expect("json");
    let version = harness.watch_cache.jobs["j-000003"].version;
    let items = vec![
        item(store::end_key("j-000001"), cancelled, harness.revision),
        item(store::job_key("j-000003"), spec, version),
    ];
    let later_events = Events { revision: harness.revision, events: Vec::new() };
    let changes = harness.watch_cache.replace(items, harness.revision, later_events);
    harness.leader.on_changes(&changes, &harness.watch_cache, harness.now);
    for commit in harness.commits() {
        let drops = |w: &Write| *w.key() == *store::job_key("j-000003");
        let ends = |w: &Write| *w.key() == *store::end_key("j-000003");
        let lost = commit.writes.iter().any(drops) && !commit.writes.iter().any(ends);
        assert!(
            !lost,
            "an accepted job would be deleted without an end record: {:?}",
            commit.writes
        );
    }
}

#[tokio::test(start_paused = true)]
async fn full_read_that_overlaps_cancellations_loses_no_dependent_job() {
    // A tree of dependent jobs is cancelled while every controller repeats its full read.
    let deployment = TestDeployment::new(2).await;
    deployment.runs_for("j-000001", 500);
    let mut ids = vec!["j-000001".to_owned()];
    assert!(state(&deployment.submit(0, "j-000001", json!({})).await).is_some());
    for number in 2..120 {
        let id = format!("j-{number:06}");
        let dependency = json!({"Awaits": [ids[ids.len() / 2]]});
        assert!(state(&deployment.submit(number % 3, &id, dependency).await).is_some());
        ids.push(id);
    }
    assert_eq!(state(&deployment.cancel(0, "j-000001").await), Some(JobState::Cancelled));
    // With so small a watch window a few changes make a full read necessary.
    deployment.state.set_window(1);
    deployment.state.set_slow(Duration::from_millis(150));
    seconds(30).await;
    deployment.state.set_window(1000);
    deployment.state.set_slow(Duration::ZERO);
    seconds(10).await;
    assert!(deployment.state.too_old() > 0, "no full read was necessary");
    for id in &ids {
        let reply = deployment.status(1, id).await;
        assert_eq!(state(&reply), Some(JobState::Cancelled), "{id}: {reply:?}");
    }
    assert_no_violation(&deployment);
}

#[tokio::test(start_paused = true)]
async fn full_read_completes_although_requests_for_its_pages_fail() {
    let deployment = TestDeployment::new(1).await;
    // Enough records for a few dozen pages, the read of each of which may fail.
    for number in 0..1500 {
        let end_value = store::to_raw_value(&json!({"s": "done", "d": 1})).expect("json");
        let key = store::end_key(&format!("j-{number:06}"));
        deployment
            .state
            .commit(Vec::new(), vec![Write::Put { key, value: end_value, lease: None }])
            .expect("written");
    }
    let node = (deployment.leader().expect("a leader") + 1) % 3;
    deployment.kill_node(node);
    deployment.state.set_failing(Some((7, 0.3)));
    deployment.start_node(node);
    seconds(30).await;
    deployment.state.set_failing(None);
    assert!(deployment.node(node).is_healthy(), "the records have been read");
    assert_eq!(state(&deployment.status(node, "j-001499").await), Some(JobState::Done));
}
