//! The records of the version before, as fixed samples, and the state service's
//! limits that fall while the service runs.

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
const LEADER_KEY: &str = r#"{"member":"m-1","incarnation":77,"token":5,"lease":9}"#;

fn raw(text: &str) -> Box<RawValue> {
    RawValue::from_string(text.into()).expect("json")
}

/// What is read of a sample is written as the same text again.
fn stays<T: serde::Serialize + serde::de::DeserializeOwned>(sample: &str) -> T {
    let read: T = serde_json::from_str(sample).expect("readable");
    assert_eq!(store::to_raw_value(&read).expect("json").get(), sample);
    read
}

#[test]
fn records_of_the_version_before_are_read_and_written_byte_for_byte() {
    let spec: JobSpec = stays(JOB);
    assert!(spec.dependencies.is_empty());
    let page: Page = stays(PAGE);
    assert_eq!((page.bound.len(), page.done_count()), (2, 1));
    let end: JobEnd = stays(END);
    assert_eq!(end.state, JobState::Cancelled);
    let lead: LeaderRecord = stays(LEADER_KEY);
    assert_eq!(lead.token, 5);
}

#[test]
fn what_is_new_stands_in_fields_of_its_own() {
    // The version before passes over fields that it doesn't know, and never
    // writes a job's record again.
    let with = JOB.replace("\"DueS\":90.0}", "\"DueS\":90.0,\"Awaits\":[\"j-000001\"]}");
    let spec: JobSpec = stays(&with);
    assert_eq!(spec.dependencies.len(), 1);
    let page: Page = stays(&PAGE.replace("[[1,1]]}", "[[1,1]],\"t\":32}"));
    assert_eq!(page.tasks, Some(32));
}

#[test]
fn keys_of_a_later_version_are_passed_over() {
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
async fn when_the_limits_fall_nothing_that_is_written_is_too_large() {
    let deployment = TestDeployment::with_coming_limits(3).await;
    let tiny = |tasks: u32| json!({"Spokes": tasks, "Gpus": 0.0, "Cores": 1.0, "MemoryGb": 1.0});
    for id in ["j-000001", "j-000002", "j-000003"] {
        deployment.runs_for(id, 6);
    }
    assert!(deployment.submit(0, "j-000001", tiny(128)).await.is_ok());
    deployment.until("it runs", || deployment.starts() > 30).await;
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

#[tokio::test(start_paused = true)]
async fn limits_below_the_announced_ones_cost_no_leadership_and_no_loop() {
    let deployment = TestDeployment::with_coming_limits(3).await;
    let leader = deployment.leader();
    // Less than the settings say: a page of some tasks is refused.
    deployment.state.lower_limits(100, 8);
    let tiny = json!({"Spokes": 40, "Gpus": 0.0, "Cores": 1.0, "MemoryGb": 1.0});
    let refused = deployment.submit(0, "j-000001", tiny.clone()).await;
    assert!(matches!(refused, Ok(stonewheel::node::UserReply::Malformed(_))), "{refused:?}");
    deployment.state.lower_limits(700, 8);
    assert!(deployment.submit(0, "j-000002", tiny).await.is_ok());
    let before = deployment.state.rejected();
    sleep(Duration::from_secs(30)).await;
    let tries = deployment.state.rejected() - before;
    assert!((1..8).contains(&tries), "{tries} tries in 30 s");
    assert_eq!(deployment.leader(), leader);
    // Work that fits goes on meanwhile.
    deployment.runs_for("j-000003", 3);
    let small = json!({"Spokes": 2});
    assert!(deployment.submit(1, "j-000003", small).await.is_ok());
    deployment.until_state(1, "j-000003", JobState::Done).await;
}

#[tokio::test(start_paused = true)]
async fn a_write_that_is_too_large_fails_alone() {
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
    // All three wait together and so leave in one transaction.
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

#[tokio::test(start_paused = true)]
async fn no_finer_page_is_written_before_the_last_controller_is_upgraded() {
    let deployment = TestDeployment::in_upgrade(3, &[0, 2]).await;
    let gang = json!({"Shape": "ensemble", "Spokes": 100, "Gpus": 0.0, "Cores": 1.0,
        "MemoryGb": 1.0});
    assert!(deployment.submit(1, "j-000001", gang).await.is_ok());
    // Work that fits a common page goes on in a mixed set.
    deployment.runs_for("j-000002", 3);
    assert!(deployment.submit(1, "j-000002", json!({"Spokes": 2})).await.is_ok());
    deployment.until_state(1, "j-000002", JobState::Done).await;
    for upgraded in [0, 2] {
        assert!(deployment.state.keys("sw/p/j-000001/").is_empty());
        assert!(deployment.machines_of("j-000001").is_empty());
        // One is killed and comes back new; leaders change with it.
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
