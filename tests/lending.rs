//! Lending with the scheduler as the host of the machines: three controllers, batch arrays of team
//! blue on all machines, and a service of team red whose replicas are inside its guarantee.

#[allow(dead_code)] // Each test file uses only a part of the module.
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
/// The prefix of the ids of blue's arrays, which the number of the array follows.
const BLUE_PREFIX: &str = "j-00000";
/// The job id of red's service.
const RED_JOB: &str = "j-000100";

fn settings() -> LendingSettings {
    let general = vec![("grace_s", "8"), ("worker_lease_s", "11"), ("machine_gpus", "8")];
    let red = vec![("guarantee", "1"), ("ceiling", "2")];
    let sections = [("lending", general), ("lending-team red", red)];
    parse_sections(sections.into_iter()).expect("valid settings").expect("lending is enabled")
}

/// Starts the lending of a controller.
fn start_lending(cluster: &TestDeployment, controller: usize) -> Arc<Lending> {
    let node = cluster.node(controller);
    let coordinator = coordinator(&node);
    let stop = cluster.stop_token(controller);
    tokio::spawn(coordinator.clone().run(stop.clone()));
    let lending = lending(&node, coordinator, controller as u64).expect("lending is enabled");
    tokio::spawn(lending.clone().run(stop));
    lending
}

/// Starts three controllers, with or without lending, and fills the machines with blue's arrays,
/// which save checkpoints.
async fn cluster_full_of_batch(lending_enabled: bool) -> TestDeployment {
    cluster_full_of(
        lending_enabled,
        json!({"Spokes": 8, "NotchS": 5.0, "StashS": 1.0, "ReckonS": 3600.0}),
    )
    .await
}

/// Starts three controllers, with or without lending, and fills the machines with the given arrays
/// of blue.
async fn cluster_full_of(lending_enabled: bool, array: serde_json::Value) -> TestDeployment {
    let cluster = TestDeployment::new(MACHINES).await;
    cluster.set_lending(lending_enabled.then(settings));
    cluster.exhaust_capacity();
    for controller in 0..3 {
        cluster.kill_node(controller);
        seconds(5).await;
        cluster.start_node(controller);
        if lending_enabled {
            start_lending(&cluster, controller);
        }
    }
    seconds(15).await;
    for n in 0..3 {
        let id = format!("{BLUE_PREFIX}{n}");
        cluster.runs_for(&id, 3600);
        let reply = cluster.submit(n % 3, &id, array.clone()).await;
        assert_eq!(state(&reply), Some(JobState::Pending));
    }
    cluster.until("the machines are full", || running_blue_tasks(&cluster) == 24).await;
    seconds(35).await;
    cluster
}

/// Returns the number of blue's tasks that have not exited, by the last heartbeats of the machines.
fn running_blue_tasks(cluster: &TestDeployment) -> usize {
    let heartbeats = cluster.last_heartbeats();
    let tasks = heartbeats.iter().flat_map(|heartbeat| &heartbeat.tasks);
    tasks
        .filter(|task| task.task.starts_with(BLUE_PREFIX) && task.state != TaskState::Exited)
        .count()
}

/// Returns the machines that run replicas of red's service.
fn red_machines(cluster: &TestDeployment) -> Vec<MachineId> {
    let machines = cluster.machines().into_iter();
    machines.filter(|machine| cluster.runs_on(RED_JOB, machine)).collect()
}

/// Submits red's service: two replicas, which together fill one machine.
async fn submit_red(cluster: &TestDeployment) {
    let replicas =
        json!({"Crew": "red", "Shape": "service", "Spokes": 2, "Gpus": 4.0, "ReckonS": 0.0});
    cluster.submit(1, RED_JOB, replicas).await.expect("accepted");
}

/// Returns the entries of the ledger as stored in the state service.
fn ledger_entries(cluster: &TestDeployment) -> Vec<Entry> {
    let shards = cluster.state.keys("sp/l/s/");
    let shards = shards.iter().filter_map(|key| cluster.state.value(key));
    let shards = shards.filter_map(|text| serde_json::from_str::<Shard>(&text).ok());
    shards.flat_map(|shard| shard.entries.into_values()).collect()
}

/// Waits until a ledger entry is in a phase of a reclaim. Polls often, since a phase may last only
/// milliseconds.
async fn wait_until_phase(cluster: &TestDeployment, phase: LoanState) {
    let deadline = Instant::now() + max_wait();
    while !ledger_entries(cluster).iter().any(|entry| entry.state == phase) {
        assert!(
            Instant::now() < deadline,
            "phase {phase:?} not reached: {:?}",
            ledger_entries(cluster)
        );
        sleep(Duration::from_millis(2)).await;
    }
}

/// Returns the maximum wait of a claim inside its guarantee, including one takeover.
fn max_wait() -> Duration {
    let bounds = Bounds::of(&settings(), Duration::from_secs(11), Duration::from_secs(1), 3);
    bounds.reclaim + bounds.takeover
}

/// Returns a job with its tasks either bound to machine 0 or pending. By the settings of the pass,
/// red has a guarantee of 8 GPUs and blue has none.
fn job_view(id: &str, arrival: u64, changes: serde_json::Value, bound: bool) -> JobView {
    let spec = Arc::new(JobSpec::parse(&job(id, changes)).expect("a submission"));
    let bound_task = |task| BoundView {
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
        bound: if bound { (0..spec.tasks).map(bound_task).collect() } else { Vec::new() },
        width: spec.tasks,
        remaining_wait_s: None,
        guaranteed: false,
        blocked: false,
        avoided_machines: Vec::new(),
        spec,
    }
}

/// Runs a scheduling pass with one machine that is reserved for red's job.
fn pass_with_reserved_machine(jobs: Vec<JobView>, free_gpus: f64, granted: bool) -> Decisions {
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
        reservation: Some(Reservation { job: RED_JOB.into(), granted }),
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
fn pass_stops_only_revocable_work_outside_its_guarantee_on_a_reserved_machine() {
    let revocable = json!({"NotchS": 5.0, "StashS": 1.0});
    let inside_guarantee = json!({"Crew": "red", "NotchS": 5.0, "StashS": 1.0});
    let service = json!({"Shape": "service", "Spokes": 1});
    let waiting = json!({"Crew": "red", "Shape": "service", "Spokes": 1, "Gpus": 4.0});
    let jobs = vec![
        job_view("j-000001", 1, revocable, true),
        job_view("j-000002", 2, inside_guarantee, true),
        job_view("j-000003", 3, service, true),
        job_view("j-000004", 4, json!({}), true),
        job_view(RED_JOB, 5, waiting, false),
    ];
    let decisions = pass_with_reserved_machine(jobs, 1.0, false);
    let stopped: Vec<&str> = decisions.stop.iter().map(|stop| &*stop.job).collect();
    assert_eq!(stopped, ["j-000001", "j-000001"]);
    assert!(decisions.stop.iter().all(|stop| !stop.without_grace), "with time to save");
    assert_eq!(decisions.place, []);
}

#[test]
fn reserved_machine_accepts_only_its_job_and_only_after_the_grant() {
    let waiting = json!({"Crew": "red", "Shape": "service", "Spokes": 1, "Gpus": 4.0});
    let urgent = json!({"Rank": "production", "Shape": "service", "Spokes": 1});
    for granted in [false, true] {
        let jobs = vec![
            job_view("j-000001", 1, urgent.clone(), false),
            job_view(RED_JOB, 5, waiting.clone(), false),
        ];
        let placed = pass_with_reserved_machine(jobs, 8.0, granted).place;
        let jobs: Vec<&str> = placed.iter().map(|placed| &*placed.job).collect();
        assert_eq!(jobs, if granted { vec![RED_JOB] } else { vec![] });
    }
}

#[tokio::test(start_paused = true)]
async fn work_inside_its_guarantee_waits_for_other_teams_batch_without_lending() {
    let cluster = cluster_full_of_batch(false).await;
    submit_red(&cluster).await;
    sleep(max_wait()).await;
    assert!(
        red_machines(&cluster).is_empty(),
        "a pass without lending stops no work of another team"
    );
    assert_no_violation(&cluster);
}

#[tokio::test(start_paused = true)]
async fn machine_is_reclaimed_for_work_inside_its_guarantee_and_returns_to_batch() {
    let cluster = cluster_full_of_batch(true).await;
    let submitted_at = Instant::now();
    submit_red(&cluster).await;
    cluster.until("red runs", || red_machines(&cluster).len() == 1).await;
    assert!(submitted_at.elapsed() < max_wait(), "{:?}", submitted_at.elapsed());
    seconds(3).await;
    assert_eq!(running_blue_tasks(&cluster), 16, "only one machine was reclaimed");
    cluster.until("the ledger is empty again", || ledger_entries(&cluster).is_empty()).await;
    seconds(30).await;
    assert_eq!((red_machines(&cluster).len(), running_blue_tasks(&cluster)), (1, 16));
    cluster.cancel(2, RED_JOB).await.expect("cancelled");
    cluster.until("batch runs on the machine again", || running_blue_tasks(&cluster) == 24).await;
    assert_no_violation(&cluster);
}

// Guards against a reclaim that ends with its leader, and against a second claim by the successor,
// which would reclaim another machine.
#[tokio::test(start_paused = true)]
async fn successor_completes_reclaim_when_leader_ends_in_any_phase() {
    let phases = [LoanState::ReclaimRequested, LoanState::Released, LoanState::Granted];
    for phase in phases {
        let cluster = cluster_full_of_batch(true).await;
        let submitted_at = Instant::now();
        submit_red(&cluster).await;
        wait_until_phase(&cluster, phase).await;
        let leader = cluster.leader().expect("a leader");
        cluster.kill_node(leader);
        cluster.until("red runs", || red_machines(&cluster).len() == 1).await;
        assert!(submitted_at.elapsed() < max_wait() * 2, "{phase:?}: {:?}", submitted_at.elapsed());
        cluster.start_node(leader);
        start_lending(&cluster, leader);
        seconds(60).await;
        assert_eq!(red_machines(&cluster).len(), 1, "{phase:?}");
        assert!(ledger_entries(&cluster).is_empty(), "{phase:?}: {:?}", ledger_entries(&cluster));
        assert_eq!(running_blue_tasks(&cluster), 16, "{phase:?}");
        let claims = cluster.state.keys(&claims_prefix());
        assert_eq!(
            claims,
            [format!("sp/l/c/{RED_JOB}.0")],
            "the same claim after the takeover: {phase:?}"
        );
        assert_no_violation(&cluster);
    }
}

#[tokio::test(start_paused = true)]
async fn machines_return_to_batch_when_the_job_is_cancelled_during_reclaim() {
    let cluster = cluster_full_of_batch(true).await;
    submit_red(&cluster).await;
    cluster.until("the reclaim is requested", || !ledger_entries(&cluster).is_empty()).await;
    cluster.cancel(0, RED_JOB).await.expect("cancelled");
    cluster.until("batch runs on all machines again", || running_blue_tasks(&cluster) == 24).await;
    cluster.until("the ledger is empty again", || ledger_entries(&cluster).is_empty()).await;
    let claims = cluster.state.keys(&claims_prefix());
    let active = claims.iter().filter_map(|key| cluster.state.value(key)).filter(|text| {
        let record = serde_json::from_str::<ClaimRecord>(text);
        matches!(record, Ok(ClaimRecord::Active(_)))
    });
    assert_eq!(active.count(), 0);
    assert_no_violation(&cluster);
}

#[tokio::test(start_paused = true)]
async fn lending_claims_no_free_machines_and_reclaims_none_from_irrevocable_work() {
    let cluster = cluster_full_of(true, json!({"Spokes": 8, "ReckonS": 3600.0})).await;
    submit_red(&cluster).await;
    seconds(30).await;
    assert_eq!((red_machines(&cluster).len(), running_blue_tasks(&cluster)), (0, 24));
    // Red's replicas fail on the added machine once and avoid it afterwards, so it stays free.
    cluster.add_machine("a");
    cluster.until("the added machine is up", || cluster.machines().len() == 4).await;
    let added = cluster.machines().into_iter().max().expect("a machine");
    cluster.set_failing(&added);
    for _ in 0..6000 {
        // Guards against claims for free machines: each would reserve a whole machine, even for a
        // job that needs only a part of it.
        assert!(ledger_entries(&cluster).is_empty(), "{:?}", ledger_entries(&cluster));
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!((red_machines(&cluster).len(), running_blue_tasks(&cluster)), (0, 24));
    assert_no_violation(&cluster);
}
