//! Pins the JSON bodies that users, workers, the cloud and the state service exchange with
//! controllers. Changes here break compatibility with deployed workers and clients.

use std::fmt::Debug;

use serde::{Serialize, de::DeserializeOwned};
use serde_json::value::RawValue;
use stonewheel::protocol::{
    BODY_LIMIT, CommandKind, Committed, Condition, DirectCommands, ErrorBody, Event, Events,
    ExitCause, FailedConditions, HeartbeatResponse, Item, ItemPage, JobSpec, JobState, JobStatus,
    LeaseGrant, LeaseRequest, ListedMachine, MAX_TASKS, MachineList, MachineNames, MachineState,
    MachineType, MachineTypes, Priority, ProvisionRequest, Redirect, Shape, TaskCommand, TaskState,
    TaskStatus, Transaction, WorkerHeartbeat, Write, is_job_id,
};

const ARRAY_JOB: &str = r#"{"Ref":"j-000007","Grain":"train","Crew":"blue","Shape":"batch","Rank":"best_effort","Spokes":3,"Cores":2.5,"Gpus":1.0,"MemoryGb":8.0,"Mould":"img","ImageGb":1.5,"Frames":["g8","g4"],"Yard":"a","Together":true,"Scatter":false,"Driftwood":true,"ReckonS":20.0,"NotchS":10.0,"StashS":2.0,"DueS":90.0,"Awaits":["j-000001","j-000002"]}"#;
const PLAIN_JOB: &str = r#"{"Ref":"j-8","Grain":"serve","Crew":"red","Shape":"service","Rank":"production","Spokes":1,"Cores":1.0,"Gpus":0.0,"MemoryGb":4.0,"Mould":"web","ImageGb":0.0,"Together":false,"Scatter":true,"Driftwood":false,"ReckonS":0.0,"NotchS":0.0,"StashS":0.0}"#;
const JOB_STATUS: &str = r#"{"Ref":"j-000007","Stance":"running","done":4,"running":2}"#;
const ERROR: &str = r#"{"error":"Ref is not a job id"}"#;

const HEARTBEAT: &str = r#"{"Millstone":"n-000231","Endpoint":"10.0.0.7:9000","Frame":"g8","Yard":"a","Driftwood":true,"Turning":12,"Tick":34,"Warrant":5,"WarningS":30.0,"Spokes":[{"Spoke":"j-000007/0","Try":4,"Stance":"ended","Cause":"stopped","Saved":true},{"Spoke":"j-000007/1","Try":3,"Stance":"running","Cause":null,"Saved":null}]}"#;
const MINIMAL_HEARTBEAT: &str =
    r#"{"Millstone":"n-000231","Frame":"g8","Yard":"a","Turning":12,"Tick":34}"#;
const MINIMAL_HEARTBEAT_ENCODED: &str = r#"{"Millstone":"n-000231","Endpoint":"","Frame":"g8","Yard":"a","Driftwood":false,"Turning":12,"Tick":34,"Warrant":0,"WarningS":null,"Spokes":[]}"#;
const HEARTBEAT_RESPONSE: &str = r#"{"Warrant":5,"Orders":[{"Verb":"run","Spoke":"j-000007/0","Try":4},{"Verb":"halt","Spoke":"j-000007/1","Try":3,"RespiteS":2.5},{"Verb":"clear","Spoke":"j-000007/2","Try":2}]}"#;
const DIRECT_COMMANDS: &str =
    r#"{"Warrant":5,"Turning":12,"Orders":[{"Verb":"run","Spoke":"j-000007/0","Try":4}]}"#;
const REDIRECT: &str = r#"{"Miller":"m-1"}"#;

const MACHINE_TYPES: &str = r#"{"Frames":[{"Label":"g8","Cores":96.0,"Gpus":8.0,"MemoryGb":768.0,"LocalGb":900.0,"PullGbPerS":0.5,"Hourly":12.5,"LowPrice":4.25,"ReadyS":75.0,"Yards":["a","b"]}]}"#;
const MINIMAL_MACHINE_TYPES: &str = r#"{"Frames":[{"Label":"c1","Cores":4.0,"MemoryGb":16.0}]}"#;
const PROVISION_REQUEST: &str =
    r#"{"Hire":"m-0-17","Frame":"g8","Yard":"a","Driftwood":true,"HowMany":3}"#;
const MACHINE_NAMES: &str = r#"{"Millstones":["n-000231","n-000007"]}"#;
const MACHINE_LIST: &str = r#"{"Millstones":[{"Ref":"n-000231","Frame":"g8","Yard":"a","Driftwood":true,"Endpoint":"10.0.0.7:9000","Stance":"starting","HeldS":61.5}],"HasNext":true}"#;
const MINIMAL_MACHINE_LIST: &str =
    r#"{"Millstones":[{"Ref":"n-000007","Frame":"c1","Yard":"b","Stance":"failed"}]}"#;

const ITEM_PAGE: &str =
    r#"{"Items":[{"Key":"sw/token","Value":[1, "two"],"Stamp":7}],"HasNext":true,"Ledger":9}"#;
const TRANSACTION: &str = r#"{"When":[{"Key":"sw/lead","Stamp":7},{"Key":"sw/e/j-1","Stamp":0}],"Writes":[{"Put":"sw/lead","Value":{"a":1},"Tenure":3},{"Put":"sw/token","Value":5},{"Drop":"sw/j/j-1"}]}"#;
const COMMITTED: &str = r#"{"Ledger":9}"#;
const FAILED_CONDITIONS: &str = r#"{"failed":["sw/lead","sw/token"]}"#;
const LEASE_GRANT: &str = r#"{"Tenure":3}"#;
const LEASE_REQUEST: &str = r#"{"LifeMs":3667}"#;
const EVENTS: &str =
    r#"{"Ledger":9,"News":[{"Put":"sw/token","Value":5,"Stamp":8},{"Drop":"sw/j/j-1","Stamp":9}]}"#;

fn encode<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("json")
}

/// Checks that the text is decoded as this value, by the debug form: not all bodies can be compared
/// otherwise.
fn assert_decodes<T: Debug + DeserializeOwned>(text: &str, value: &T) {
    let decoded: T = serde_json::from_str(text).expect(text);
    assert_eq!(format!("{decoded:?}"), format!("{value:?}"), "{text}");
}

/// Checks that the value is encoded as this text, and that the text is decoded as the value.
fn assert_round_trip<T: Debug + Serialize + DeserializeOwned>(value: &T, text: &str) {
    assert_eq!(encode(value), text);
    assert_decodes(text, value);
}

fn raw(text: &str) -> Box<RawValue> {
    RawValue::from_string(text.into()).expect("json")
}

fn array_job() -> JobSpec {
    JobSpec {
        id: "j-000007".into(),
        class: "train".into(),
        team: "blue".into(),
        shape: Shape::Array,
        priority: Priority::BestEffort,
        tasks: 3,
        cpus: 2.5,
        gpus: 1.0,
        memory_gb: 8.0,
        image: "img".into(),
        image_gb: 1.5,
        types: Some(vec!["g8".into(), "g4".into()]),
        zone: Some("a".into()),
        one_zone: true,
        spread: false,
        spot: true,
        estimate_s: 20.0,
        checkpoint_s: 10.0,
        save_s: 2.0,
        deadline_s: Some(90.0),
        dependencies: vec!["j-000001".into(), "j-000002".into()],
    }
}

fn plain_job() -> JobSpec {
    JobSpec {
        id: "j-8".into(),
        class: "serve".into(),
        team: "red".into(),
        shape: Shape::Service,
        priority: Priority::Production,
        tasks: 1,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 4.0,
        image: "web".into(),
        image_gb: 0.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: true,
        spot: false,
        estimate_s: 0.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

fn command(op: CommandKind, task: &str, attempt: u64, grace_s: Option<f64>) -> TaskCommand {
    TaskCommand { op, task: task.into(), attempt, grace_s }
}

#[test]
fn enum_values() {
    assert_round_trip(&Shape::Array, r#""batch""#);
    assert_round_trip(&Shape::Gang, r#""ensemble""#);
    assert_round_trip(&Shape::Service, r#""service""#);
    assert_round_trip(&Priority::BestEffort, r#""best_effort""#);
    assert_round_trip(&Priority::Standard, r#""standard""#);
    assert_round_trip(&Priority::High, r#""high""#);
    assert_round_trip(&Priority::Production, r#""production""#);
    assert_round_trip(&JobState::Pending, r#""pending""#);
    assert_round_trip(&JobState::Running, r#""running""#);
    assert_round_trip(&JobState::Done, r#""done""#);
    assert_round_trip(&JobState::Cancelled, r#""aborted""#);
    assert_round_trip(&TaskState::Fetching, r#""fetching""#);
    assert_round_trip(&TaskState::Waiting, r#""waiting""#);
    assert_round_trip(&TaskState::Running, r#""running""#);
    assert_round_trip(&TaskState::Saving, r#""flushing""#);
    assert_round_trip(&TaskState::Exited, r#""ended""#);
    assert_round_trip(&ExitCause::Done, r#""done""#);
    assert_round_trip(&ExitCause::Stopped, r#""stopped""#);
    assert_round_trip(&ExitCause::Peers, r#""peers""#);
    assert_round_trip(&ExitCause::Alone, r#""alone""#);
    assert_round_trip(&ExitCause::Error, r#""error""#);
    assert_round_trip(&ExitCause::InsufficientCapacity, r#""full""#);
    assert_round_trip(&ExitCause::Busy, r#""busy""#);
    assert_round_trip(&ExitCause::Unknown, r#""unknown""#);
    assert_round_trip(&CommandKind::Start, r#""run""#);
    assert_round_trip(&CommandKind::Stop, r#""halt""#);
    assert_round_trip(&CommandKind::Forget, r#""clear""#);
    assert_round_trip(&MachineState::Booting, r#""starting""#);
    assert_round_trip(&MachineState::Running, r#""running""#);
    assert_round_trip(&MachineState::Failed, r#""failed""#);
}

#[test]
fn bodies_exchanged_with_users() {
    assert_round_trip(&array_job(), ARRAY_JOB);
    assert_round_trip(&plain_job(), PLAIN_JOB);
    let nulls = r#""Frames":null,"Yard":null,"DueS":null,"Awaits":null,"Together""#;
    assert_decodes(&PLAIN_JOB.replace(r#""Together""#, nulls), &plain_job());
    let status = JobStatus { id: "j-000007".into(), state: JobState::Running, done: 4, running: 2 };
    assert_eq!(encode(&status), JOB_STATUS);
    assert_eq!(encode(&ErrorBody { error: "Ref is not a job id".into() }), ERROR);
}

#[test]
fn submission_limits_and_error_messages() {
    assert_eq!((BODY_LIMIT, MAX_TASKS), (65_536, 100_000));
    assert_eq!(JobSpec::id_of(br#"{"Ref":"j-000007"}"#).as_deref(), Some("j-000007"));
    assert!(is_job_id("j-12345678901234567890") && !is_job_id("j-") && !is_job_id("7"));
    for (from, to, message) in [
        (r#""j-000007""#, r#""7""#, "Ref is not a job id"),
        (r#""Spokes":3"#, r#""Spokes":0"#, "Spokes must lie within 1 and 100000"),
        (r#""Cores":2.5"#, r#""Cores":-1"#, "Cores must be a number of at least 0"),
        (r#""Gpus":1.0"#, r#""Gpus":-1"#, "Gpus must be a number of at least 0"),
        (r#""MemoryGb":8.0"#, r#""MemoryGb":-1"#, "MemoryGb must be a number of at least 0"),
        (r#""ImageGb":1.5"#, r#""ImageGb":-1"#, "ImageGb must be a number of at least 0"),
        (r#""ReckonS":20.0"#, r#""ReckonS":-1"#, "ReckonS must be a number of at least 0"),
        (r#""NotchS":10.0"#, r#""NotchS":-1"#, "NotchS must be a number of at least 0"),
        (r#""StashS":2.0"#, r#""StashS":-1"#, "StashS must be a number of at least 0"),
        (r#""DueS":90.0"#, r#""DueS":-1"#, "DueS must be a number of at least 0"),
        (r#""Mould":"img""#, r#""Mould":"""#, "names must have 1 to 200 bytes"),
        (r#"["g8","g4"]"#, "[]", "Frames must name a type or be null"),
        (r#""j-000002""#, r#""x""#, r#"Awaits names "x", which is not a job id"#),
        (r#""j-000002""#, r#""j-000007""#, "Awaits must not name the job itself"),
        (r#""Ref":"j-000007","#, "", "missing field `Ref` at line 1 column 313"),
    ] {
        let error = JobSpec::parse(ARRAY_JOB.replacen(from, to, 1).as_bytes()).expect_err(message);
        assert_eq!(error.to_string(), message);
    }
}

#[test]
fn bodies_exchanged_with_workers() {
    let ended = TaskStatus {
        task: "j-000007/0".into(),
        attempt: 4,
        state: TaskState::Exited,
        cause: Some(ExitCause::Stopped),
        saved: Some(true),
    };
    let running = TaskStatus {
        task: "j-000007/1".into(),
        attempt: 3,
        state: TaskState::Running,
        cause: None,
        saved: None,
    };
    let heartbeat = WorkerHeartbeat {
        machine: "n-000231".into(),
        address: "10.0.0.7:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        incarnation: 12,
        sequence: 34,
        token: 5,
        notice_s: Some(30.0),
        tasks: vec![ended, running.clone()],
    };
    assert_round_trip(&heartbeat, HEARTBEAT);
    assert_decodes(r#"{"Spoke":"j-000007/1","Try":3,"Stance":"running"}"#, &running);
    let minimal = WorkerHeartbeat {
        address: String::new(),
        spot: false,
        token: 0,
        notice_s: None,
        tasks: Vec::new(),
        ..heartbeat
    };
    assert_round_trip(&minimal, MINIMAL_HEARTBEAT_ENCODED);
    assert_decodes(MINIMAL_HEARTBEAT, &minimal);

    let start = command(CommandKind::Start, "j-000007/0", 4, None);
    let stop = command(CommandKind::Stop, "j-000007/1", 3, Some(2.5));
    let forget = command(CommandKind::Forget, "j-000007/2", 2, None);
    assert_round_trip(
        &HeartbeatResponse { token: 5, commands: vec![start.clone(), stop, forget] },
        HEARTBEAT_RESPONSE,
    );
    assert_round_trip(
        &DirectCommands { token: 5, incarnation: 12, commands: vec![start] },
        DIRECT_COMMANDS,
    );
    assert_eq!(encode(&Redirect { report_to: Some("m-1".into()) }), REDIRECT);
    assert_eq!(encode(&Redirect { report_to: None }), "{}");
}

#[test]
fn bodies_exchanged_with_the_cloud() {
    let complete = MachineType {
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
    };
    assert_round_trip(&MachineTypes { types: vec![complete] }, MACHINE_TYPES);
    let minimal = MachineType {
        name: "c1".into(),
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 16.0,
        cache_gb: 0.0,
        fetch_gb_per_s: 0.0,
        price: 0.0,
        spot_price: 0.0,
        boot_s: 0.0,
        zones: Vec::new(),
    };
    assert_decodes(MINIMAL_MACHINE_TYPES, &MachineTypes { types: vec![minimal] });
    let request = ProvisionRequest {
        request: "m-0-17".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 3,
    };
    assert_round_trip(&request, PROVISION_REQUEST);
    let machines = vec!["n-000231".into(), "n-000007".into()];
    assert_round_trip(&MachineNames { machines }, MACHINE_NAMES);
    let listed = ListedMachine {
        id: "n-000231".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        address: "10.0.0.7:9000".into(),
        state: MachineState::Booting,
        age_s: 61.5,
    };
    assert_round_trip(&MachineList { machines: vec![listed], more: true }, MACHINE_LIST);
    let minimal = ListedMachine {
        id: "n-000007".into(),
        machine_type: "c1".into(),
        zone: "b".into(),
        spot: false,
        address: String::new(),
        state: MachineState::Failed,
        age_s: 0.0,
    };
    assert_decodes(MINIMAL_MACHINE_LIST, &MachineList { machines: vec![minimal], more: false });
}

#[test]
fn bodies_exchanged_with_the_state_service() {
    let item = Item { key: "sw/token".into(), value: raw(r#"[1, "two"]"#), version: 7 };
    assert_decodes(ITEM_PAGE, &ItemPage { items: vec![item], more: true, revision: 9 });
    let empty = ItemPage { items: Vec::new(), more: false, revision: 9 };
    assert_decodes(r#"{"Items":[],"Ledger":9}"#, &empty);

    let put =
        |key: &str, value: &str, lease| Write::Put { key: key.into(), value: raw(value), lease };
    let transaction = Transaction {
        conditions: vec![
            Condition { key: "sw/lead".into(), version: 7 },
            Condition { key: "sw/e/j-1".into(), version: 0 },
        ],
        writes: vec![
            put("sw/lead", r#"{"a":1}"#, Some(3)),
            put("sw/token", "5", None),
            Write::Delete { key: "sw/j/j-1".into() },
        ],
    };
    assert_eq!(encode(&transaction), TRANSACTION);
    assert_eq!(encode(&Transaction::default()), r#"{"When":[],"Writes":[]}"#);
    assert_decodes(COMMITTED, &Committed { revision: 9 });
    assert_decodes(
        FAILED_CONDITIONS,
        &FailedConditions { failed: vec!["sw/lead".into(), "sw/token".into()] },
    );
    assert_decodes("{}", &FailedConditions { failed: Vec::new() });
    assert_round_trip(&LeaseGrant { lease: 3 }, LEASE_GRANT);
    assert_eq!(encode(&LeaseRequest { ttl_ms: 3667 }), LEASE_REQUEST);
    let put =
        Event { put: Some("sw/token".into()), delete: None, value: Some(raw("5")), version: 8 };
    let delete = Event { put: None, delete: Some("sw/j/j-1".into()), value: None, version: 9 };
    assert_decodes(EVENTS, &Events { revision: 9, events: vec![put, delete] });
    assert_decodes(r#"{"Ledger":9}"#, &Events { revision: 9, events: Vec::new() });
}
