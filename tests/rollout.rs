//! A stepped rollout whose replicas are service jobs of the scheduler, with three controllers,
//! a failover and the loss of a machine.

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

/// A health probe that a replica answers while a task of its job runs on the replica's machine.
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

/// Starts the rollout executor of a running controller.
fn start_executor(deployment: &TestDeployment, node_index: usize) -> Arc<Executor> {
    let node = deployment.node(node_index);
    let coordinator = coordinator(&node);
    let stop = deployment.stop_token(node_index);
    tokio::spawn(coordinator.clone().run(stop.clone()));
    let probe = Arc::new(MemProbe(deployment.clone()));
    let executor = executor(&node, coordinator, probe, node_index as u64).expect("switched on");
    tokio::spawn(executor.clone().run(stop));
    executor
}

/// Returns the stored record of the service.
fn service_record(deployment: &TestDeployment) -> ServiceRecord {
    let text = deployment.state.value(&service_key(SERVICE)).expect("a service");
    serde_json::from_str(&text).expect("a record")
}

/// Returns how many replicas in the serving stage run on a machine.
fn serving_replicas(deployment: &TestDeployment) -> usize {
    let record = service_record(deployment);
    let serving = record.replicas.iter().filter(|r| r.stage == ReplicaStage::Serving);
    let machines = deployment.machines();
    serving.filter(|r| machines.iter().any(|machine| deployment.runs_on(&r.job, machine))).count()
}

/// A failover and a lost machine during a rollout must not lower the number of serving replicas
/// below the level.
#[tokio::test(start_paused = true)]
async fn rollout_keeps_its_level_across_a_failover_and_the_loss_of_a_machine() {
    let deployment = TestDeployment::new(8).await;
    deployment.set_rollouts(Some(rollouts()));
    let mut executors = Vec::new();
    for node_index in 0..3 {
        deployment.kill_node(node_index);
        sleep(Duration::from_secs(5)).await;
        deployment.start_node(node_index);
        executors.push(start_executor(&deployment, node_index));
    }
    sleep(Duration::from_secs(10)).await;
    executors[0].create(SERVICE, "img-1", LEVEL).await.expect("deployed");
    let again = executors[1].create(SERVICE, "img-1", LEVEL).await;
    assert_eq!(again, Err(CommandFailure::Refused(CommandError::AlreadyDeployed)));
    deployment
        .until("the level is reached", || serving_replicas(&deployment) == LEVEL as usize)
        .await;
    sleep(Duration::from_secs(10)).await;
    assert_eq!(executors[2].endpoints(SERVICE).await.map(|e| e.len()), Some(LEVEL as usize));
    let command = Command {
        id: "c-1".into(),
        kind: CommandKind::Start { to: "img-2".into(), steps: vec![50, 100], surge: 3 },
    };
    executors[1].command(SERVICE, &command).await.expect("accepted");
    let leader = deployment.leader().expect("a leader");
    sleep(Duration::from_secs(12)).await;
    deployment.kill_node(leader);
    // Includes the time from the loss of the machine until its replicas are replaced.
    let mut min_serving = usize::MAX;
    for tick in 0..2000 {
        if tick == 100 {
            let job = service_record(&deployment).replicas[0].job.clone();
            let machine = deployment.machines().into_iter().find(|m| deployment.runs_on(&job, m));
            deployment.remove_machine(&machine.expect("the replica runs"));
        }
        min_serving = min_serving.min(serving_replicas(&deployment));
        if service_record(&deployment).rollout.is_some_and(|rollout| rollout.phase.is_over()) {
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    let record = service_record(&deployment);
    assert_eq!(record.rollout.map(|rollout| rollout.phase), Some(Phase::Done));
    assert!(record.replicas.iter().all(|replica| replica.version == "img-2"));
    assert!(min_serving >= LEVEL as usize, "{min_serving} replicas served");
    let remaining: Vec<String> = deployment.state.keys("sp/r/j/");
    assert_eq!(remaining.len(), LEVEL as usize, "all others were withdrawn: {remaining:?}");
    assert_no_violation(&deployment);
}
