//! Lending through the scheduler: three controllers, batch of one team on all machines,
//! and replicas of another that are inside its guarantee.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use std::{sync::Arc, time::Duration};

use common::{TestDeployment, assert_no_violation, job, seconds, state};
use serde_json::json;
use stonewheel::{
    coordination::coordinator,
    lending::{Lending, lending},
    protocol::{JobSpec, JobState, MachineId, TaskState},
    scheduler::{
        BoundView, Decisions, JobView, MachineKind, MachineView, Reservation, Resources, Snapshot,
        decide,
    },
};
use stonewheel_lending::{
    Bounds, LendingSettings,
    claim::{ClaimRecord, claims_prefix},
    ledger::{Entry, LoanState, Shard},
    parse_sections,
};
use tokio::time::{Instant, sleep};

const MACHINES: u32 = 3;
/// Blue's arrays; each one's number follows.
const BLUE: &str = "j-00000";
/// Red's service.
const RED: &str = "j-000100";

fn settings() -> LendingSettings {
    let general = vec![("grace_s", "8"), ("worker_lease_s", "11"), ("machine_gpus", "8")];
    let red = vec![("guarantee", "1"), ("ceiling", "2")];
    let sections = [("lending", general), ("lending-team red", red)];
    parse_sections(sections.into_iter()).expect("valid").expect("switched on")
}

fn start(cluster: &TestDeployment, at: usize) -> Arc<Lending> {
    let node = cluster.node(at);
    let coordinator = coordinator(&node);
    let stop = cluster.stop_token(at);
    tokio::spawn(coordinator.clone().run(stop.clone()));
    let lending = lending(&node, coordinator, at as u64).expect("switched on");
    tokio::spawn(lending.clone().run(stop));
    lending
}

/// Three controllers that lend, and machines full of blue's arrays.
async fn full_of_batch(on: bool) -> TestDeployment {
    full_of(on, json!({"Spokes": 8, "NotchS": 5.0, "StashS": 1.0, "ReckonS": 3600.0})).await
}

async fn full_of(on: bool, array: serde_json::Value) -> TestDeployment {
    let cluster = TestDeployment::new(MACHINES).await;
    cluster.set_lending(on.then(settings));
    cluster.exhaust_capacity();
    for at in 0..3 {
        cluster.kill_node(at);
        seconds(5).await;
        cluster.start_node(at);
        if on {
            start(&cluster, at);
        }
    }
    seconds(15).await;
    for n in 0..3 {
        let id = format!("{BLUE}{n}");
        cluster.runs_for(&id, 3600);
        let reply = cluster.submit(n % 3, &id, array.clone()).await;
        assert_eq!(state(&reply), Some(JobState::Pending));
    }
    cluster.until("the machines are full", || blue_tasks(&cluster) == 24).await;
    seconds(35).await;
    cluster
}

/// Machines that run a task of each job, summed.
fn blue_tasks(cluster: &TestDeployment) -> usize {
    let heartbeats = cluster.last_heartbeats();
    let tasks = heartbeats.iter().flat_map(|heartbeat| &heartbeat.tasks);
    tasks.filter(|task| task.task.starts_with(BLUE) && task.state != TaskState::Exited).count()
}

fn red_machines(cluster: &TestDeployment) -> Vec<MachineId> {
    let machines = cluster.machines().into_iter();
    machines.filter(|machine| cluster.runs_on(RED, machine)).collect()
}

async fn submit_red(cluster: &TestDeployment) {
    let replicas =
        json!({"Crew": "red", "Shape": "service", "Spokes": 2, "Gpus": 4.0, "ReckonS": 0.0});
    cluster.submit(1, RED, replicas).await.expect("accepted");
}

fn entries(cluster: &TestDeployment) -> Vec<Entry> {
    let shards = cluster.state.keys("sp/l/s/");
    let shards = shards.iter().filter_map(|key| cluster.state.value(key));
    let shards = shards.filter_map(|text| serde_json::from_str::<Shard>(&text).ok());
    shards.flat_map(|shard| shard.entries.into_values()).collect()
}

/// Phases pass in milliseconds.
async fn until_phase(cluster: &TestDeployment, phase: LoanState) {
    let limit = Instant::now() + bound();
    while !entries(cluster).iter().any(|entry| entry.state == phase) {
        assert!(Instant::now() < limit, "never came to {phase:?}: {:?}", entries(cluster));
        sleep(Duration::from_millis(2)).await;
    }
}

fn bound() -> Duration {
    let bounds = Bounds::of(&settings(), Duration::from_secs(11), Duration::from_secs(1), 3);
    bounds.reclaim + bounds.takeover
}

/// A job of red, which is guaranteed 8 GPUs, or of blue, which is guaranteed none, with its
/// tasks bound to machine 0.
fn job_view(id: &str, arrival: u64, changes: serde_json::Value, bound: bool) -> JobView {
    let spec = Arc::new(JobSpec::parse(&job(id, changes)).expect("a submission"));
    let place = |task| BoundView {
        task,
        machine: Some(0),
        zone: 0,
        stopping: false,
        movable: true,
        lost_work_s: 0.0,
    };
    JobView {
        id: spec.id.clone(),
        arrival,
        priority: spec.priority,
        pending: if bound { Vec::new() } else { (0..spec.tasks).collect() },
        remaining: spec.tasks,
        bound: if bound { (0..spec.tasks).map(place).collect() } else { Vec::new() },
        width: spec.tasks,
        remaining_wait_s: None,
        guaranteed: false,
        blocked: false,
        avoided_machines: Vec::new(),
        spec,
    }
}

/// A pass with one full machine, reserved for red's job.
fn pass(jobs: Vec<JobView>, free_gpus: f64, granted: bool) -> Decisions {
    let settings = common::settings("m-0");
    let machine = MachineView {
        id: "n-000001".into(),
        machine_type: 0,
        zone: 0,
        spot: false,
        free: Resources { cpus: 20.0, gpus: free_gpus, memory_gb: 100.0 },
        stopping: Resources::default(),
        ready: true,
        empty: false,
        allocated_in_pass: false,
        reservation: Some(Reservation { job: RED.into(), granted }),
        images: Vec::new(),
    };
    decide(Snapshot {
        settings: &settings,
        types: &[common::machine_type()],
        machines: vec![machine],
        jobs,
        usage: Default::default(),
        exhausted: [0, 1].map(|zone| MachineKind { machine_type: 0, zone, spot: false }).into(),
        headroom_machines: 0,
        headroom_spot_machines: 0,
        headroom_capacity: 0.0,
        round: true,
        candidates_evaluated: Default::default(),
    })
}

#[test]
fn a_pass_stops_on_a_reserved_machine_only_what_saves_beyond_its_guarantee() {
    let saves = json!({"NotchS": 5.0, "StashS": 1.0});
    let inside = json!({"Crew": "red", "NotchS": 5.0, "StashS": 1.0});
    let serves = json!({"Shape": "service", "Spokes": 1});
    let waits = json!({"Crew": "red", "Shape": "service", "Spokes": 1, "Gpus": 4.0});
    let jobs = vec![
        job_view("j-000001", 1, saves, true),
        job_view("j-000002", 2, inside, true),
        job_view("j-000003", 3, serves, true),
        job_view("j-000004", 4, json!({}), true),
        job_view(RED, 5, waits, false),
    ];
    let decisions = pass(jobs, 1.0, false);
    let stopped: Vec<&str> = decisions.stop.iter().map(|stop| &*stop.job).collect();
    assert_eq!(stopped, ["j-000001", "j-000001"]);
    assert!(decisions.stop.iter().all(|stop| !stop.without_grace), "with time to save");
    assert_eq!(decisions.place, []);
}

#[test]
fn a_reserved_machine_takes_its_job_alone_and_only_once_it_is_granted() {
    let waits = json!({"Crew": "red", "Shape": "service", "Spokes": 1, "Gpus": 4.0});
    let urgent = json!({"Rank": "production", "Shape": "service", "Spokes": 1});
    for granted in [false, true] {
        let jobs = vec![
            job_view("j-000001", 1, urgent.clone(), false),
            job_view(RED, 5, waits.clone(), false),
        ];
        let placed = pass(jobs, 8.0, granted).place;
        let jobs: Vec<&str> = placed.iter().map(|placed| &*placed.job).collect();
        assert_eq!(jobs, if granted { vec![RED] } else { vec![] });
    }
}

#[tokio::test(start_paused = true)]
async fn without_lending_work_inside_a_guarantee_waits_for_others_batch() {
    let cluster = full_of_batch(false).await;
    submit_red(&cluster).await;
    sleep(bound()).await;
    assert!(red_machines(&cluster).is_empty(), "the ordinary pass stops no other team's work");
    assert_no_violation(&cluster);
}

#[tokio::test(start_paused = true)]
async fn a_machine_is_reclaimed_for_work_inside_its_guarantee_and_given_back() {
    let cluster = full_of_batch(true).await;
    let asked = Instant::now();
    submit_red(&cluster).await;
    cluster.until("red runs", || red_machines(&cluster).len() == 1).await;
    assert!(asked.elapsed() < bound(), "{:?}", asked.elapsed());
    seconds(3).await;
    assert_eq!(blue_tasks(&cluster), 16, "no more than one machine was taken");
    cluster.until("the ledger is empty again", || entries(&cluster).is_empty()).await;
    seconds(30).await;
    assert_eq!((red_machines(&cluster).len(), blue_tasks(&cluster)), (1, 16));
    cluster.cancel(2, RED).await.expect("cancelled");
    cluster.until("batch has it again", || blue_tasks(&cluster) == 24).await;
    assert_no_violation(&cluster);
}

#[tokio::test(start_paused = true)]
async fn a_leader_that_ends_in_mid_reclaim_is_succeeded_by_one_that_goes_on() {
    let phases = [LoanState::ReclaimRequested, LoanState::Released, LoanState::Granted];
    for phase in phases {
        let cluster = full_of_batch(true).await;
        let asked = Instant::now();
        submit_red(&cluster).await;
        until_phase(&cluster, phase).await;
        let leader = cluster.leader().expect("a leader");
        cluster.kill_node(leader);
        cluster.until("red runs", || red_machines(&cluster).len() == 1).await;
        assert!(asked.elapsed() < bound() * 2, "{phase:?}: {:?}", asked.elapsed());
        cluster.start_node(leader);
        start(&cluster, leader);
        seconds(60).await;
        assert_eq!(red_machines(&cluster).len(), 1, "{phase:?}");
        assert!(entries(&cluster).is_empty(), "{phase:?}: {:?}", entries(&cluster));
        assert_eq!(blue_tasks(&cluster), 16, "{phase:?}");
        let claims = cluster.state.keys(&claims_prefix());
        assert_eq!(claims, [format!("sp/l/c/{RED}.0")], "one claim outlives its leader: {phase:?}");
        assert_no_violation(&cluster);
    }
}

#[tokio::test(start_paused = true)]
async fn a_job_cancelled_in_mid_reclaim_leaves_the_machines_to_batch() {
    let cluster = full_of_batch(true).await;
    submit_red(&cluster).await;
    cluster.until("requested", || !entries(&cluster).is_empty()).await;
    cluster.cancel(0, RED).await.expect("cancelled");
    cluster.until("batch has them again", || blue_tasks(&cluster) == 24).await;
    cluster.until("the ledger is empty again", || entries(&cluster).is_empty()).await;
    let claims = cluster.state.keys(&claims_prefix());
    let standing = claims.iter().filter_map(|key| cluster.state.value(key)).filter(|text| {
        let record = serde_json::from_str::<ClaimRecord>(text);
        matches!(record, Ok(ClaimRecord::Active(_)))
    });
    assert_eq!(standing.count(), 0);
    assert_no_violation(&cluster);
}

#[tokio::test(start_paused = true)]
async fn free_machines_are_left_to_the_scheduler_and_work_that_never_saves_is_left_alone() {
    let cluster = full_of(true, json!({"Spokes": 8, "ReckonS": 3600.0})).await;
    submit_red(&cluster).await;
    seconds(30).await;
    assert_eq!((red_machines(&cluster).len(), blue_tasks(&cluster)), (0, 24));
    // Red's replicas fail there once, and avoid it then: it stays free.
    cluster.add_machine("a");
    cluster.until("it is up", || cluster.machines().len() == 4).await;
    let added = cluster.machines().into_iter().max().expect("a machine");
    cluster.set_failing(&added);
    for _ in 0..6000 {
        // Claims for free machines kept whole ones for small jobs.
        assert!(entries(&cluster).is_empty(), "{:?}", entries(&cluster));
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!((red_machines(&cluster).len(), blue_tasks(&cluster)), (0, 24));
    assert_no_violation(&cluster);
}
