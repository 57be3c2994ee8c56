//! Pins the JSON bodies that users, workers, the cloud and the state service exchange with
//! controllers: changes here break compatibility with deployed workers and clients.

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

const REPORT: &str = r#"{"Millstone":"n-000231","Endpoint":"10.0.0.7:9000","Frame":"g8","Yard":"a","Driftwood":true,"Turning":12,"Tick":34,"Warrant":5,"WarningS":30.0,"Spokes":[{"Spoke":"j-000007/0","Try":4,"Stance":"ended","Cause":"stopped","Saved":true},{"Spoke":"j-000007/1","Try":3,"Stance":"running","Cause":null,"Saved":null}]}"#;
const LEAST_REPORT: &str =
    r#"{"Millstone":"n-000231","Frame":"g8","Yard":"a","Turning":12,"Tick":34}"#;
const LEAST_REPORT_WRITTEN: &str = r#"{"Millstone":"n-000231","Endpoint":"","Frame":"g8","Yard":"a","Driftwood":false,"Turning":12,"Tick":34,"Warrant":0,"WarningS":null,"Spokes":[]}"#;
const REPORT_ANSWER: &str = r#"{"Warrant":5,"Orders":[{"Verb":"run","Spoke":"j-000007/0","Try":4},{"Verb":"halt","Spoke":"j-000007/1","Try":3,"RespiteS":2.5},{"Verb":"clear","Spoke":"j-000007/2","Try":2}]}"#;
const DIRECT_ORDERS: &str =
    r#"{"Warrant":5,"Turning":12,"Orders":[{"Verb":"run","Spoke":"j-000007/0","Try":4}]}"#;
const MISDIRECTED: &str = r#"{"Miller":"m-1"}"#;

const MACHINE_TYPES: &str = r#"{"Frames":[{"Label":"g8","Cores":96.0,"Gpus":8.0,"MemoryGb":768.0,"LocalGb":900.0,"PullGbPerS":0.5,"Hourly":12.5,"LowPrice":4.25,"ReadyS":75.0,"Yards":["a","b"]}]}"#;
const LEAST_MACHINE_TYPES: &str = r#"{"Frames":[{"Label":"c1","Cores":4.0,"MemoryGb":16.0}]}"#;
const RENTAL: &str = r#"{"Hire":"m-0-17","Frame":"g8","Yard":"a","Driftwood":true,"HowMany":3}"#;
const MACHINE_NAMES: &str = r#"{"Millstones":["n-000231","n-000007"]}"#;
const MACHINE_LIST: &str = r#"{"Millstones":[{"Ref":"n-000231","Frame":"g8","Yard":"a","Driftwood":true,"Endpoint":"10.0.0.7:9000","Stance":"starting","HeldS":61.5}],"HasNext":true}"#;
const LEAST_MACHINE_LIST: &str =
    r#"{"Millstones":[{"Ref":"n-000007","Frame":"c1","Yard":"b","Stance":"failed"}]}"#;

const ITEM_PAGE: &str =
    r#"{"Items":[{"Key":"sw/token","Value":[1, "two"],"Stamp":7}],"HasNext":true,"Ledger":9}"#;
const TRANSACTION: &str = r#"{"When":[{"Key":"sw/lead","Stamp":7},{"Key":"sw/e/j-1","Stamp":0}],"Writes":[{"Put":"sw/lead","Value":{"a":1},"Tenure":3},{"Put":"sw/token","Value":5},{"Drop":"sw/j/j-1"}]}"#;
const COMMITTED: &str = r#"{"Ledger":9}"#;
const REFUSED: &str = r#"{"failed":["sw/lead","sw/token"]}"#;
const LEASE_GRANT: &str = r#"{"Tenure":3}"#;
const LEASE_REQUEST: &str = r#"{"LifeMs":3667}"#;
const EVENTS: &str =
    r#"{"Ledger":9,"News":[{"Put":"sw/token","Value":5,"Stamp":8},{"Drop":"sw/j/j-1","Stamp":9}]}"#;

fn written<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("json")
}

/// The text is read as this value. Not all bodies can be compared but by their debug form.
fn is_read<T: Debug + DeserializeOwned>(text: &str, value: &T) {
    let read: T = serde_json::from_str(text).expect(text);
    assert_eq!(format!("{read:?}"), format!("{value:?}"), "{text}");
}

/// The value is written as this text, and the text is read as the value.
fn both_ways<T: Debug + Serialize + DeserializeOwned>(value: &T, text: &str) {
    assert_eq!(written(value), text);
    is_read(text, value);
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
fn values_of_enums() {
    both_ways(&Shape::Array, r#""batch""#);
    both_ways(&Shape::Gang, r#""ensemble""#);
    both_ways(&Shape::Service, r#""service""#);
    both_ways(&Priority::BestEffort, r#""best_effort""#);
    both_ways(&Priority::Standard, r#""standard""#);
    both_ways(&Priority::High, r#""high""#);
    both_ways(&Priority::Production, r#""production""#);
    both_ways(&JobState::Pending, r#""pending""#);
    both_ways(&JobState::Running, r#""running""#);
    both_ways(&JobState::Done, r#""done""#);
    both_ways(&JobState::Cancelled, r#""aborted""#);
    both_ways(&TaskState::Fetching, r#""fetching""#);
    both_ways(&TaskState::Waiting, r#""waiting""#);
    both_ways(&TaskState::Running, r#""running""#);
    both_ways(&TaskState::Saving, r#""flushing""#);
    both_ways(&TaskState::Exited, r#""ended""#);
    both_ways(&ExitCause::Done, r#""done""#);
    both_ways(&ExitCause::Stopped, r#""stopped""#);
    both_ways(&ExitCause::Peers, r#""peers""#);
    both_ways(&ExitCause::Alone, r#""alone""#);
    both_ways(&ExitCause::Error, r#""error""#);
    both_ways(&ExitCause::InsufficientCapacity, r#""full""#);
    both_ways(&ExitCause::Busy, r#""busy""#);
    both_ways(&ExitCause::Unknown, r#""unknown""#);
    both_ways(&CommandKind::Start, r#""run""#);
    both_ways(&CommandKind::Stop, r#""halt""#);
    both_ways(&CommandKind::Forget, r#""clear""#);
    both_ways(&MachineState::Booting, r#""starting""#);
    both_ways(&MachineState::Running, r#""running""#);
    both_ways(&MachineState::Failed, r#""failed""#);
}

#[test]
fn bodies_of_users() {
    both_ways(&array_job(), ARRAY_JOB);
    both_ways(&plain_job(), PLAIN_JOB);
    let nulls = r#""Frames":null,"Yard":null,"DueS":null,"Awaits":null,"Together""#;
    is_read(&PLAIN_JOB.replace(r#""Together""#, nulls), &plain_job());
    let status = JobStatus { id: "j-000007".into(), state: JobState::Running, done: 4, running: 2 };
    assert_eq!(written(&status), JOB_STATUS);
    assert_eq!(written(&ErrorBody { error: "Ref is not a job id".into() }), ERROR);
}

#[test]
fn submissions_are_limited_as_before() {
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
fn bodies_of_workers() {
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
    both_ways(&heartbeat, REPORT);
    is_read(r#"{"Spoke":"j-000007/1","Try":3,"Stance":"running"}"#, &running);
    let least = WorkerHeartbeat {
        address: String::new(),
        spot: false,
        token: 0,
        notice_s: None,
        tasks: Vec::new(),
        ..heartbeat
    };
    both_ways(&least, LEAST_REPORT_WRITTEN);
    is_read(LEAST_REPORT, &least);

    let start = command(CommandKind::Start, "j-000007/0", 4, None);
    let stop = command(CommandKind::Stop, "j-000007/1", 3, Some(2.5));
    let forget = command(CommandKind::Forget, "j-000007/2", 2, None);
    both_ways(
        &HeartbeatResponse { token: 5, commands: vec![start.clone(), stop, forget] },
        REPORT_ANSWER,
    );
    both_ways(&DirectCommands { token: 5, incarnation: 12, commands: vec![start] }, DIRECT_ORDERS);
    assert_eq!(written(&Redirect { report_to: Some("m-1".into()) }), MISDIRECTED);
    assert_eq!(written(&Redirect { report_to: None }), "{}");
}

#[test]
fn bodies_of_the_cloud() {
    let full = MachineType {
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
    both_ways(&MachineTypes { types: vec![full] }, MACHINE_TYPES);
    let least = MachineType {
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
    is_read(LEAST_MACHINE_TYPES, &MachineTypes { types: vec![least] });
    let rental = ProvisionRequest {
        request: "m-0-17".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 3,
    };
    both_ways(&rental, RENTAL);
    let machines = vec!["n-000231".into(), "n-000007".into()];
    both_ways(&MachineNames { machines }, MACHINE_NAMES);
    let listed = ListedMachine {
        id: "n-000231".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        address: "10.0.0.7:9000".into(),
        state: MachineState::Booting,
        age_s: 61.5,
    };
    both_ways(&MachineList { machines: vec![listed], more: true }, MACHINE_LIST);
    let least = ListedMachine {
        id: "n-000007".into(),
        machine_type: "c1".into(),
        zone: "b".into(),
        spot: false,
        address: String::new(),
        state: MachineState::Failed,
        age_s: 0.0,
    };
    is_read(LEAST_MACHINE_LIST, &MachineList { machines: vec![least], more: false });
}

#[test]
fn bodies_of_the_state_service() {
    let item = Item { key: "sw/token".into(), value: raw(r#"[1, "two"]"#), version: 7 };
    is_read(ITEM_PAGE, &ItemPage { items: vec![item], more: true, revision: 9 });
    let empty = ItemPage { items: Vec::new(), more: false, revision: 9 };
    is_read(r#"{"Items":[],"Ledger":9}"#, &empty);

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
    assert_eq!(written(&transaction), TRANSACTION);
    assert_eq!(written(&Transaction::default()), r#"{"When":[],"Writes":[]}"#);
    is_read(COMMITTED, &Committed { revision: 9 });
    is_read(REFUSED, &FailedConditions { failed: vec!["sw/lead".into(), "sw/token".into()] });
    is_read("{}", &FailedConditions { failed: Vec::new() });
    both_ways(&LeaseGrant { lease: 3 }, LEASE_GRANT);
    assert_eq!(written(&LeaseRequest { ttl_ms: 3667 }), LEASE_REQUEST);
    let put =
        Event { put: Some("sw/token".into()), delete: None, value: Some(raw("5")), version: 8 };
    let delete = Event { put: None, delete: Some("sw/j/j-1".into()), value: None, version: 9 };
    is_read(EVENTS, &Events { revision: 9, events: vec![put, delete] });
    is_read(r#"{"Ledger":9}"#, &Events { revision: 9, events: Vec::new() });
}
