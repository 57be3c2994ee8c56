//! Stepped rollout onto the scheduler: replicas as service jobs, over three controllers
//! and machines of which one is lost, while the leader ends.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use common::{TestDeployment, assert_no_violation, machine_at};
use futures_util::future::BoxFuture;
use stonewheel::{coordination::coordinator, replica_jobs::ReplicaProbe, rollout::executor};
use stonewheel_rollout::{
    CommandFailure, Executor, Rollouts,
    command::{Command, CommandError, CommandKind},
    parse_sections,
    record::{Phase, ReplicaStage, ServiceRecord, service_key},
};
use tokio::time::sleep;

const SERVICE: &str = "matcher";
const LEVEL: u32 = 4;

fn rollouts() -> Rollouts {
    let general = vec![("start_s", "60"), ("soak_s", "10"), ("drain_s", "3")];
    let service = vec![
        ("team", "blue"),
        ("class", "rush"),
        ("image_gb", "1"),
        ("cpus", "30"),
        ("gpus", "2"),
        ("memory_gb", "8"),
        ("port", "8000"),
    ];
    let sections = [("rollout", general), ("service matcher", service)];
    parse_sections(sections.into_iter()).expect("valid").expect("switched on")
}

/// A replica answers while a task of its job runs on its machine.
struct MemProbe(TestDeployment);

impl ReplicaProbe for MemProbe {
    fn is_healthy(&self, endpoint: SocketAddr, _: &str) -> BoxFuture<'_, bool> {
        let machine = machine_at(&endpoint.to_string());
        Box::pin(async move {
            sleep(Duration::from_millis(5)).await;
            let keys = self.0.state.keys("sp/r/j/");
            let jobs = keys.iter().map(|key| key.trim_start_matches("sp/r/j/"));
            jobs.into_iter().any(|job| self.0.runs_on(job, &machine))
        })
    }
}

fn start(cluster: &TestDeployment, at: usize) -> Arc<Executor> {
    let node = cluster.node(at);
    let coordinator = coordinator(&node);
    let stop = cluster.stop_token(at);
    tokio::spawn(coordinator.clone().run(stop.clone()));
    let probe = Arc::new(MemProbe(cluster.clone()));
    let executor = executor(&node, coordinator, probe, at as u64).expect("switched on");
    tokio::spawn(executor.clone().run(stop));
    executor
}

fn record(cluster: &TestDeployment) -> ServiceRecord {
    let text = cluster.state.value(&service_key(SERVICE)).expect("a service");
    serde_json::from_str(&text).expect("a record")
}

fn capacity(cluster: &TestDeployment) -> usize {
    let record = record(cluster);
    let serving = record.replicas.iter().filter(|r| r.stage == ReplicaStage::Serving);
    let machines = cluster.machines();
    serving.filter(|r| machines.iter().any(|machine| cluster.runs_on(&r.job, machine))).count()
}

#[tokio::test(start_paused = true)]
async fn a_rollout_through_the_scheduler_survives_its_leader_and_a_machine() {
    let cluster = TestDeployment::new(8).await;
    cluster.set_rollouts(Some(rollouts()));
    let mut executors = Vec::new();
    for at in 0..3 {
        cluster.kill_node(at);
        sleep(Duration::from_secs(5)).await;
        cluster.start_node(at);
        executors.push(start(&cluster, at));
    }
    sleep(Duration::from_secs(10)).await;
    executors[0].create(SERVICE, "img-1", LEVEL).await.expect("deployed");
    let again = executors[1].create(SERVICE, "img-1", LEVEL).await;
    assert_eq!(again, Err(CommandFailure::Refused(CommandError::AlreadyDeployed)));
    cluster.until("it answers", || capacity(&cluster) == LEVEL as usize).await;
    sleep(Duration::from_secs(10)).await;
    assert_eq!(executors[2].endpoints(SERVICE).await.map(|e| e.len()), Some(LEVEL as usize));
    let command = Command {
        id: "c-1".into(),
        kind: CommandKind::Start { to: "img-2".into(), steps: vec![50, 100], surge: 3 },
    };
    executors[1].command(SERVICE, &command).await.expect("accepted");
    let leader = cluster.leader().expect("a leader");
    sleep(Duration::from_secs(12)).await;
    cluster.kill_node(leader);
    // The level without the loss; the machine takes what it holds until that moved.
    let mut least = usize::MAX;
    for tick in 0..2000 {
        if tick == 100 {
            let job = record(&cluster).replicas[0].job.clone();
            let machine = cluster.machines().into_iter().find(|m| cluster.runs_on(&job, m));
            cluster.remove_machine(&machine.expect("it runs"));
        }
        least = least.min(capacity(&cluster));
        if record(&cluster).rollout.is_some_and(|rollout| rollout.phase.is_over()) {
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    let record = record(&cluster);
    assert_eq!(record.rollout.map(|rollout| rollout.phase), Some(Phase::Done));
    assert!(record.replicas.iter().all(|replica| replica.version == "img-2"));
    assert!(least >= LEVEL as usize, "{least} replicas answered");
    let live: Vec<String> = cluster.state.keys("sp/r/j/");
    assert_eq!(live.len(), LEVEL as usize, "all others were withdrawn: {live:?}");
    assert_no_violation(&cluster);
}
