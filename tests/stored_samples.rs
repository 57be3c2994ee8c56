//! Pins keys and values of the durable records, in addition to those in `upgrade.rs`. Changes here
//! break compatibility with stored data and with controllers of another version.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use std::{collections::BTreeMap, fmt::Debug};

use common::TestDeployment;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::value::RawValue;
use stonewheel::{
    node::InternalJobReply,
    protocol::{CancellationNotice, CancelledJob, Condition, JobSpec, JobState, MachineType},
    state::Versioned,
    store::{self, Change, JobEnd, LeaderRecord, WatchCache},
};
use stonewheel_activation::record as activation;
use stonewheel_coordination::{Owner, Session, session_key};
use stonewheel_rollout::{
    command::{Command, CommandKind, apply},
    planner::{ReplicaHealth, ReplicaObservation, ReplicaObservations},
    record as rollout,
};

const JOB: &str = r#"{"Ref":"j-000007","Grain":"train","Crew":"blue","Shape":"batch","Rank":"high","Spokes":3,"Cores":2.0,"Gpus":1.0,"MemoryGb":8.0,"Mould":"img","ImageGb":1.5,"Together":false,"Scatter":false,"Driftwood":false,"ReckonS":20.0,"NotchS":10.0,"StashS":2.0}"#;
const TOKEN: &str = "1048577";
const REJECTED_HEARTBEATS: &str = r#""m-1""#;
const MACHINE_TYPES: &str = r#"[{"Label":"g8","Cores":96.0,"Gpus":8.0,"MemoryGb":768.0,"LocalGb":900.0,"PullGbPerS":0.5,"Hourly":12.5,"LowPrice":4.25,"ReadyS":75.0,"Yards":["a","b"]}]"#;
/// The machine types of the simulated cloud.
const SIMULATED_MACHINE_TYPES: &str = r#"[{"Label":"g8","Cores":64.0,"Gpus":8.0,"MemoryGb":256.0,"LocalGb":800.0,"PullGbPerS":2.0,"Hourly":20.0,"LowPrice":6.0,"ReadyS":20.0,"Yards":["a","b"]}]"#;
const LEADER: &str = r#"{"member":"m-1","incarnation":77,"token":2,"lease":9}"#;
const PAGE: &str = r#"{"a":4,"b":[[0,4,"n-000231",1,0]],"d":[[1,2]]}"#;

const SERVICE: &str = r#"{"epoch":3,"owner":{"member":"m-1","incarnation":7},"version":"v1","next_replica":5,"replicas":[{"number":1,"job":"j-101","version":"v1","stage":"starting"},{"number":2,"job":"j-102","version":"v1","stage":"serving"},{"number":3,"job":"j-103","version":"v2","stage":"draining"},{"number":4,"job":"j-104","version":"v2","stage":"stopping"}],"rollout":{"id":"r-1","from":"v1","to":"v2","size":4,"level":3,"surge":2,"steps":[25,100],"step":1,"phase":"soaking","paused":true,"history":[{"phase":"stepping","step":0,"why":"an operator started it"}]},"commands":[{"id":"r-1","kind":"start v2 [25, 100] 2"}]}"#;
const IDLE_SERVICE: &str = r#"{"epoch":0,"owner":null,"version":"v1","next_replica":0,"replicas":[],"rollout":null,"commands":[]}"#;

fn raw(text: &str) -> Box<RawValue> {
    RawValue::from_string(text.into()).expect("json")
}

/// Checks that a value is stored as this text, and that the text is decoded as the value.
fn assert_stored_as<T: Debug + PartialEq + Serialize + DeserializeOwned>(value: &T, text: &str) {
    assert_eq!(store::to_raw_value(value).expect("json").get(), text);
    assert_eq!(serde_json::from_str::<T>(text).expect(text), *value, "{text}");
}

fn machine_types() -> Vec<MachineType> {
    vec![MachineType {
        name: "g8".into(),
        cpus: 96.0,
        gpus: 8.0,
        memory_gb: 768.0,
        cache_gb: 900.0,
        fetch_gb_per_s: 0.5,
        price: 12.5,
        spot_price: 4.25,
        boot_s: 75.0,
        zones: vec!["a".into(), "b".into()],
    }]
}

fn owner() -> Owner {
    Owner { member: "m-1".into(), incarnation: 7 }
}

#[test]
fn keys() {
    for (key, text) in [
        (store::KEY_PREFIX.to_owned(), "sw/"),
        (store::LEADER_KEY.to_owned(), "sw/lead"),
        (store::TOKEN_KEY.to_owned(), "sw/token"),
        (store::MACHINE_TYPES_KEY.to_owned(), "sw/types"),
        (store::REJECTED_HEARTBEATS_KEY.to_owned(), "sw/stray"),
        (store::job_key("j-000007"), "sw/j/j-000007"),
        (store::page_key("j-000007", 12), "sw/p/j-000007/12"),
        (store::end_key("j-000007"), "sw/e/j-000007"),
        (stonewheel_coordination::PREFIX.to_owned(), "sp/"),
        (session_key("m-1"), "sp/c/m-1"),
        (activation::record_key("router"), "sp/a/m/router"),
        (activation::use_marker_prefix("router"), "sp/a/u/router/"),
        (activation::use_marker_key("router", "m-1"), "sp/a/u/router/m-1"),
        (activation::job_key("j-91"), "sp/a/j/j-91"),
        (rollout::service_key("matcher"), "sp/r/s/matcher"),
        (rollout::job_key("j-101"), "sp/r/j/j-101"),
        (rollout::command_prefix("matcher"), "sp/r/c/matcher/"),
        (rollout::command_key("matcher", "r-1 é"), "sp/r/c/matcher/722d3120c3a9"),
    ] {
        assert_eq!(key, text);
    }
}

#[test]
fn longest_command_key_fits_the_state_service() {
    const MAX_KEY_BYTES: usize = 200;
    let key = rollout::command_key(&"s".repeat(64), &"i".repeat(64));
    assert_eq!(key.len(), MAX_KEY_BYTES);
}

#[test]
fn scheduler_records() {
    assert_stored_as(&1_048_577_u64, TOKEN);
    assert_stored_as(&"m-1".to_owned(), REJECTED_HEARTBEATS);
    assert_stored_as(&machine_types(), MACHINE_TYPES);
    for (state, text) in [
        (JobState::Done, r#"{"s":"done","d":3}"#),
        (JobState::Cancelled, r#"{"s":"aborted","d":3}"#),
    ] {
        assert_stored_as(&JobEnd { state, done: 3 }, text);
    }
}

#[test]
fn scheduler_records_are_found_under_their_keys() {
    let mut watch_cache = WatchCache::default();
    let mut put = |key: &str, value: &str| watch_cache.put(key, raw(value), 5);
    assert_eq!(put("sw/lead", LEADER), [Change::Leader]);
    assert_eq!(put("sw/stray", REJECTED_HEARTBEATS), [Change::HeartbeatsRejected]);
    assert_eq!(put("sw/token", TOKEN), []);
    assert_eq!(put("sw/types", MACHINE_TYPES), []);
    assert_eq!(put("sw/j/j-000007", JOB), [Change::Arrived("j-000007".into())]);
    assert_eq!(put("sw/p/j-000007/12", PAGE), []);
    assert_eq!(put("sw/e/j-8", r#"{"s":"aborted","d":3}"#), [Change::Ended("j-8".into())]);
    let lead = LeaderRecord { member: "m-1".into(), incarnation: 77, token: 2, lease: 9 };
    assert_eq!(watch_cache.leader, Some(Versioned { version: 5, value: lead }));
    assert_eq!(watch_cache.token, Versioned { version: 5, value: 1_048_577 });
    assert_eq!(
        watch_cache.machine_types.as_ref().map(|types| &*types.value),
        Some(&machine_types())
    );
    let status = watch_cache.status("j-000007").expect("known");
    assert_eq!((status.done, status.running), (2, 1));
    assert_eq!(watch_cache.machines_of("j-000007"), ["n-000231".into()]);
    assert!(watch_cache.pages["j-000007"].contains_key(&12));
    let cancelled = CancelledJob { id: "j-8".into(), version: 5, done: 3 };
    let notice = CancellationNotice { since: 0, complete: true, jobs: vec![cancelled] };
    assert_eq!(watch_cache.cancelled_since(0, 9), notice);
}

#[tokio::test(start_paused = true)]
async fn running_controllers_store_the_pinned_values() {
    let deployment = TestDeployment::new(1).await;
    let submitted = serde_json::from_str(JOB).expect("json");
    deployment.submit(0, "j-000007", submitted).await.expect("accepted");
    deployment.until("the types are stored", || deployment.state.value("sw/types").is_some()).await;
    let spec = JobSpec::parse(JOB.replace("j-000007", "j-000008").as_bytes()).expect("valid");
    let fence = Condition { key: "sp/r/s/matcher".into(), version: 0 };
    let reply = deployment.node(0).submit_internal_job(&spec, &fence, "sp/r/j/j-000008").await;
    assert_eq!(reply, Ok(InternalJobReply::Done));
    for (key, text) in [
        ("sw/token", "1048576"),
        ("sw/types", SIMULATED_MACHINE_TYPES),
        ("sw/j/j-000007", JOB),
        ("sp/r/j/j-000008", r#""m-0""#),
    ] {
        assert_eq!(deployment.state.value(key).as_deref(), Some(text), "{key}");
    }
}

#[test]
fn coordination_records() {
    assert_stored_as(&Session { incarnation: 7 }, r#"{"incarnation":7}"#);
    assert_stored_as(&owner(), r#"{"member":"m-1","incarnation":7}"#);
}

#[test]
fn activation_records() {
    use stonewheel_activation::record::{
        Activation, ActivationRecord, AfterStop, ModelState, Stage, UseMarker,
    };
    assert_stored_as(&UseMarker { lease: 9 }, r#"{"lease":9}"#);
    let record = |state| ActivationRecord { generation: 4, epoch: 6, state };
    let asleep = r#"{"generation":4,"epoch":6,"state":"asleep"}"#;
    assert_stored_as(&record(ModelState::ScaledToZero), asleep);
    assert_stored_as(
        &ActivationRecord::default(),
        r#"{"generation":0,"epoch":0,"state":"asleep"}"#,
    );
    let failed = r#"{"generation":4,"epoch":6,"state":{"failed":{"reason":"no room"}}}"#;
    assert_stored_as(&record(ModelState::Failed { reason: "no room".into() }), failed);
    let endpoints = || vec!["10.0.0.7:8000".to_owned(), "10.0.0.8:8000".to_owned()];
    for (stage, text) in [
        (Stage::Starting, r#""starting""#),
        (
            Stage::Ready { endpoints: endpoints() },
            r#"{"ready":{"endpoints":["10.0.0.7:8000","10.0.0.8:8000"]}}"#,
        ),
        (
            Stage::Draining { endpoints: endpoints() },
            r#"{"draining":{"endpoints":["10.0.0.7:8000","10.0.0.8:8000"]}}"#,
        ),
        (Stage::Stopping { then: AfterStop::ScaleToZero }, r#"{"stopping":{"then":"sleep"}}"#),
        (Stage::Stopping { then: AfterStop::Retry }, r#"{"stopping":{"then":"retry"}}"#),
        (Stage::Stopping { then: AfterStop::GiveUp }, r#"{"stopping":{"then":"give_up"}}"#),
    ] {
        let active = Activation { owner: owner(), attempt: 2, job: "j-91".into(), stage };
        let text = r#"{"generation":4,"epoch":6,"state":{"active":{"owner":{"member":"m-1","incarnation":7},"attempt":2,"job":"j-91","stage":STAGE}}}"#
            .replace("STAGE", text);
        assert_stored_as(&record(ModelState::Active(active)), &text);
    }
}

fn replica(number: u32, version: &str, stage: rollout::ReplicaStage) -> rollout::Replica {
    let job = format!("j-{}", 100 + number);
    rollout::Replica { number, job, version: version.into(), stage }
}

fn service() -> rollout::ServiceRecord {
    use rollout::{DoneCommand, HistoryEntry, Phase, ReplicaStage, Rollout, ServiceRecord};
    let why = "an operator started it".into();
    let rollout = Rollout {
        id: "r-1".into(),
        from: "v1".into(),
        to: "v2".into(),
        size: 4,
        level: 3,
        surge: 2,
        steps: vec![25, 100],
        step: 1,
        phase: Phase::Soaking,
        paused: true,
        history: vec![HistoryEntry { phase: Phase::Stepping, step: 0, why }],
    };
    ServiceRecord {
        epoch: 3,
        owner: Some(owner()),
        version: "v1".into(),
        next_replica: 5,
        replicas: vec![
            replica(1, "v1", ReplicaStage::Starting),
            replica(2, "v1", ReplicaStage::Serving),
            replica(3, "v2", ReplicaStage::Draining),
            replica(4, "v2", ReplicaStage::Stopping),
        ],
        rollout: Some(rollout),
        commands: vec![DoneCommand { id: "r-1".into(), kind: "start v2 [25, 100] 2".into() }],
    }
}

fn idle_service() -> rollout::ServiceRecord {
    rollout::ServiceRecord {
        epoch: 0,
        owner: None,
        version: "v1".into(),
        next_replica: 0,
        replicas: Vec::new(),
        rollout: None,
        commands: Vec::new(),
    }
}

#[test]
fn rollout_records() {
    use rollout::Phase;
    assert_stored_as(&service(), SERVICE);
    assert_stored_as(&idle_service(), IDLE_SERVICE);
    assert_stored_as(&Phase::Stepping, r#""stepping""#);
    assert_stored_as(&Phase::Soaking, r#""soaking""#);
    assert_stored_as(&Phase::Finishing, r#""finishing""#);
    assert_stored_as(&Phase::RollingBack, r#""rolling_back""#);
    assert_stored_as(&Phase::Done, r#""done""#);
    assert_stored_as(&Phase::RolledBack, r#""rolled_back""#);
    assert_stored_as(&Phase::Aborted, r#""aborted""#);
}

#[test]
fn new_replicas_get_consecutive_numbers_and_job_ids() {
    let mut record = idle_service();
    record.add_replica("v2", 1_000);
    record.add_replica("v2", 1_000);
    let text = r#"[{"number":0,"job":"j-1000","version":"v2","stage":"starting"},{"number":1,"job":"j-1001","version":"v2","stage":"starting"}]"#;
    assert_eq!(store::to_raw_value(&record.replicas).expect("json").get(), text);
    assert_eq!(record.next_replica, 2);
}

#[test]
fn rollout_commands_are_recorded_with_the_pinned_texts() {
    let observation = ReplicaObservation {
        health: ReplicaHealth::Answering,
        machine: Some("n-000231".into()),
        ..ReplicaObservation::default()
    };
    let observations = ReplicaObservations(BTreeMap::from([(2, observation)]));
    let start = CommandKind::Start { to: "v2".into(), steps: vec![25, 100], surge: 2 };
    let with_rollout = service();
    let mut without_rollout = service();
    without_rollout.rollout = None;
    for (record, kind, text) in [
        (&without_rollout, start, r#"{"id":"c-1","kind":"start v2 [25, 100] 2"}"#),
        (&with_rollout, CommandKind::Pause, r#"{"id":"c-1","kind":"pause"}"#),
        (&with_rollout, CommandKind::Resume, r#"{"id":"c-1","kind":"resume"}"#),
        (&with_rollout, CommandKind::RollBack, r#"{"id":"c-1","kind":"roll back"}"#),
        (&with_rollout, CommandKind::Abort, r#"{"id":"c-1","kind":"abort"}"#),
    ] {
        let command = Command { id: "c-1".into(), kind };
        let after = apply(record, &command, &observations).expect("accepted").expect("new");
        let recorded = after.commands.last().expect("the command is recorded");
        assert_stored_as(recorded, text);
    }
}
