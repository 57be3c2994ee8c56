//! Upgrades: records of the previous version as fixed samples, limits of the state service that
//! are lowered while the controllers run, and controllers of two versions.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use std::{sync::Arc, time::Duration};

use common::TestDeployment;
use serde_json::{json, value::RawValue};
use stonewheel::{
    protocol::{JobSpec, JobState, Write},
    state::{Budget, StateError},
    store::{self, JobEnd, LeaderRecord, Page, WatchCache},
};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

const JOB: &str = r#"{"Ref":"j-000007","Grain":"train","Crew":"blue","Shape":"ensemble","Rank":"best_effort","Spokes":3,"Cores":2.0,"Gpus":1.0,"MemoryGb":8.0,"Mould":"img","ImageGb":1.5,"Frames":["g8"],"Yard":"a","Together":true,"Scatter":false,"Driftwood":false,"ReckonS":20.0,"NotchS":10.0,"StashS":2.0,"DueS":90.0}"#;
const PAGE: &str = r#"{"a":4,"w":3,"b":[[0,4,"n-000231",1,0],[2,3,"n-000007",12,1]],"d":[[1,1]]}"#;
const END: &str = r#"{"s":"aborted","d":1}"#;
const LEADER: &str = r#"{"member":"m-1","incarnation":77,"token":5,"lease":9}"#;

fn raw(text: &str) -> Box<RawValue> {
    RawValue::from_string(text.into()).expect("json")
}

/// Checks that a decoded sample is encoded as the same text again, and returns the decoded value.
fn assert_round_trip<T: serde::Serialize + serde::de::DeserializeOwned>(sample: &str) -> T {
    let value: T = serde_json::from_str(sample).expect("decodable");
    assert_eq!(store::to_raw_value(&value).expect("json").get(), sample);
    value
}

#[test]
fn records_of_the_previous_version_are_read_and_written_byte_for_byte() {
    let spec: JobSpec = assert_round_trip(JOB);
    assert!(spec.dependencies.is_empty());
    let page: Page = assert_round_trip(PAGE);
    assert_eq!((page.bound.len(), page.done_count()), (2, 1));
    let end: JobEnd = assert_round_trip(END);
    assert_eq!(end.state, JobState::Cancelled);
    let lead: LeaderRecord = assert_round_trip(LEADER);
    assert_eq!(lead.token, 5);
}

#[test]
fn new_information_is_stored_in_separate_fields() {
    // The previous version ignores fields that it doesn't know and never rewrites a job's
    // record, so it doesn't drop them.
    let with_dependency = JOB.replace("\"DueS\":90.0}", "\"DueS\":90.0,\"Awaits\":[\"j-000001\"]}");
    let spec: JobSpec = assert_round_trip(&with_dependency);
    assert_eq!(spec.dependencies.len(), 1);
    let page: Page = assert_round_trip(&PAGE.replace("[[1,1]]}", "[[1,1]],\"t\":32}"));
    assert_eq!(page.tasks, Some(32));
}

#[test]
fn keys_of_a_later_version_are_ignored() {
    let mut watch_cache = WatchCache::default();
    for key in ["sw/later", "sw/z/j-000001", "sw/z/j-000001/3", "sw/j/x", "elsewhere"] {
        assert!(watch_cache.put(key, raw("{\"any\":1}"), 7).is_empty(), "{key}");
        assert!(watch_cache.delete(key, 8).is_none(), "{key}");
    }
    assert!(
        watch_cache.jobs.is_empty()
            && watch_cache.ended_jobs.is_empty()
            && watch_cache.unreadable_jobs.is_empty()
    );
}

#[tokio::test(start_paused = true)]
async fn no_write_is_too_large_after_the_announced_limits_take_effect() {
    let deployment = TestDeployment::with_coming_limits(3).await;
    let tiny = |tasks: u32| json!({"Spokes": tasks, "Gpus": 0.0, "Cores": 1.0, "MemoryGb": 1.0});
    for id in ["j-000001", "j-000002", "j-000003"] {
        deployment.runs_for(id, 6);
    }
    assert!(deployment.submit(0, "j-000001", tiny(128)).await.is_ok());
    deployment.until("the first job runs", || deployment.starts() > 30).await;
    deployment.state.lower_limits(2048, 8);
    let mut pipeline = tiny(128);
    pipeline["Awaits"] = json!(["j-000001"]);
    assert!(deployment.submit(1, "j-000002", pipeline).await.is_ok());
    let gang = json!({"Shape": "ensemble", "Spokes": 100, "Gpus": 0.0, "Cores": 1.0,
        "MemoryGb": 1.0, "Awaits": ["j-000002"]});
    assert!(deployment.submit(2, "j-000003", gang).await.is_ok());
    deployment.until_state(0, "j-000003", JobState::Done).await;
    assert_eq!(deployment.state.rejected(), 0);
    assert!(deployment.violations().is_empty(), "{:?}", deployment.violations());
}

/// Limits lower than the announced ones make some writes fail. The leader must neither lose its
/// leadership nor repeat these writes without a pause.
#[tokio::test(start_paused = true)]
async fn limits_below_the_announced_ones_cause_no_failover_and_no_tight_retry_loop() {
    let deployment = TestDeployment::with_coming_limits(3).await;
    let leader = deployment.leader();
    // Below the limits in the settings: a page with some tasks is rejected.
    deployment.state.lower_limits(100, 8);
    let tiny = json!({"Spokes": 40, "Gpus": 0.0, "Cores": 1.0, "MemoryGb": 1.0});
    let reply = deployment.submit(0, "j-000001", tiny.clone()).await;
    assert!(matches!(reply, Ok(stonewheel::node::UserReply::Malformed(_))), "{reply:?}");
    deployment.state.lower_limits(700, 8);
    assert!(deployment.submit(0, "j-000002", tiny).await.is_ok());
    let rejected_before = deployment.state.rejected();
    sleep(Duration::from_secs(30)).await;
    let attempts = deployment.state.rejected() - rejected_before;
    assert!((1..8).contains(&attempts), "{attempts} attempts in 30 s");
    assert_eq!(deployment.leader(), leader);
    // Jobs whose pages fit are still run.
    deployment.runs_for("j-000003", 3);
    let small = json!({"Spokes": 2});
    assert!(deployment.submit(1, "j-000003", small).await.is_ok());
    deployment.until_state(1, "j-000003", JobState::Done).await;
}

/// The state service rejects a transaction as a whole, so the writer has to separate the oversized
/// write from the others.
#[tokio::test(start_paused = true)]
async fn oversized_write_fails_without_the_other_writes_of_its_batch() {
    let state = common::MemState::default();
    let settings = common::settings("m-0");
    let requests = Arc::new(Budget::new(100.0));
    let writer = Arc::new(stonewheel::state::writer(state.client("m-0"), &settings, requests));
    state.lower_limits(100, 8);
    let put = |key: &str, length: usize| Write::Put {
        key: key.into(),
        value: store::to_raw_value(&"x".repeat(length)).expect("json"),
        lease: None,
    };
    // All three wait in the writer at the same time, so they are batched into one transaction.
    let (first, large, last) = tokio::join!(
        biased;
        writer.commit(Vec::new(), vec![put("sw/a", 10)]),
        writer.commit(Vec::new(), vec![put("sw/b", 200)]),
        async {
            let last = writer.commit(Vec::new(), vec![put("sw/c", 10)]);
            let run = writer.clone().run(CancellationToken::new());
            tokio::select! { result = last => result, () = run => panic!("the writer ended") }
        },
    );
    assert!(first.is_ok() && last.is_ok(), "{first:?} {last:?}");
    assert!(matches!(large, Err(StateError::Rejected(_))), "{large:?}");
    assert_eq!(state.keys("sw/"), ["sw/a", "sw/c"]);
}

/// Controllers of the previous version don't know pages of a smaller size, so none may be written
/// while one of them can become leader.
#[tokio::test(start_paused = true)]
async fn no_smaller_page_is_written_before_the_last_controller_is_upgraded() {
    let deployment = TestDeployment::in_upgrade(3, &[0, 2]).await;
    let gang = json!({"Shape": "ensemble", "Spokes": 100, "Gpus": 0.0, "Cores": 1.0,
        "MemoryGb": 1.0});
    assert!(deployment.submit(1, "j-000001", gang).await.is_ok());
    // A job that fits in a page of the usual size runs while both versions are present.
    deployment.runs_for("j-000002", 3);
    assert!(deployment.submit(1, "j-000002", json!({"Spokes": 2})).await.is_ok());
    deployment.until_state(1, "j-000002", JobState::Done).await;
    for upgraded in [0, 2] {
        assert!(deployment.state.keys("sw/p/j-000001/").is_empty());
        assert!(deployment.machines_of("j-000001").is_empty());
        // The node restarts with the new version, which may also change the leader.
        deployment.kill_node(upgraded);
        sleep(Duration::from_secs(4)).await;
        deployment.set_previous_version(upgraded, false);
        deployment.start_node(upgraded);
        sleep(Duration::from_secs(1)).await;
    }
    deployment.until("the gang runs", || !deployment.machines_of("j-000001").is_empty()).await;
    assert!(deployment.state.keys("sw/p/j-000001/").len() > 1);
    assert_eq!(deployment.state.rejected(), 0);
    assert!(deployment.violations().is_empty(), "{:?}", deployment.violations());
}
