//! Scale to zero with the real scheduler: cold starts as service jobs, with several
//! controllers, some of which crash. Guards against a second job of a model and against
//! changes to jobs of users.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use common::{TestDeployment, assert_no_violation, job, machine_at, state};
use futures_util::future::BoxFuture;
use serde_json::json;
use stonewheel::{
    activation::activator,
    coordination::coordinator,
    node::InternalJobReply,
    protocol::{Condition, JobSpec, JobState},
    replica_jobs::ReplicaProbe,
};
use stonewheel_activation::{ActivationSettings, Activator, Refusal, parse_sections};
use tokio::time::{Instant, sleep};

fn activation_settings() -> ActivationSettings {
    let model = [
        ("team", "red"),
        ("class", "rush"),
        ("image", "router"),
        ("image_gb", "1"),
        ("cpus", "4"),
        ("gpus", "2"),
        ("memory_gb", "8"),
        ("replicas", "2"),
        ("port", "8000"),
        ("load_s", "30"),
        ("hold_s", "200"),
        ("idle_s", "60"),
        ("awake_s", "30"),
        ("look_s", "1"),
    ];
    let sections =
        [("activation", vec![("listen", "127.0.0.1:0")]), ("model router", model.to_vec())];
    parse_sections(sections.into_iter()).expect("valid").expect("switched on")
}

/// Health check of replicas: a replica answers while a task of an internal job runs on its
/// machine.
struct MemProbe(TestDeployment);

impl ReplicaProbe for MemProbe {
    fn is_healthy(&self, endpoint: SocketAddr, _: &str) -> BoxFuture<'_, bool> {
        let machine = machine_at(&endpoint.to_string());
        Box::pin(async move {
            sleep(Duration::from_millis(5)).await;
            assert_eq!(endpoint.port(), 8000);
            self.0.internal_jobs().iter().any(|job| self.0.runs_on(job, &machine))
        })
    }
}

trait InternalJobs {
    /// Returns the jobs that were started for a model and not stopped yet, by their marker
    /// keys.
    fn internal_jobs(&self) -> Vec<String>;
    /// Returns the number of machines on which tasks of a job run.
    fn machine_count(&self, job: &str) -> usize;
}

impl InternalJobs for TestDeployment {
    fn internal_jobs(&self) -> Vec<String> {
        let keys = self.state.keys("sp/a/j/");
        keys.iter().map(|key| key.trim_start_matches("sp/a/j/").to_owned()).collect()
    }

    fn machine_count(&self, job: &str) -> usize {
        self.machines().iter().filter(|machine| self.runs_on(job, machine)).count()
    }
}

/// Three controllers of one fleet, some of which run an activator.
#[derive(Clone)]
struct Deployment {
    cluster: TestDeployment,
    activators: Arc<Mutex<BTreeMap<usize, Arc<Activator>>>>,
}

impl Deployment {
    /// Creates a fleet of `machines`; the controllers `activation_nodes` run an activator.
    async fn new(machines: u32, activation_nodes: &[usize]) -> Self {
        let cluster = TestDeployment::new(machines).await;
        cluster.set_activation(Some(activation_settings()));
        let deployment = Self { cluster, activators: Arc::default() };
        for index in activation_nodes {
            deployment.cluster.kill_node(*index);
            sleep(Duration::from_secs(5)).await;
            deployment.start(*index);
        }
        sleep(Duration::from_secs(10)).await;
        deployment
    }

    fn start(&self, index: usize) {
        self.cluster.start_node(index);
        let probe = Arc::new(MemProbe(self.cluster.clone()));
        let node = self.cluster.node(index);
        let coordinator = coordinator(&node);
        tokio::spawn(coordinator.clone().run(self.cluster.stop_token(index)));
        let activator = activator(&node, coordinator, probe, index as u64).expect("switched on");
        tokio::spawn(activator.clone().run(self.cluster.stop_token(index)));
        self.activators.lock().expect("not poisoned").insert(index, activator);
    }

    fn kill(&self, index: usize) {
        self.cluster.kill_node(index);
        // A crashed controller does not revoke its lease, which expires.
        self.cluster.state.refuse(&format!("m-{index}"), true);
        self.activators.lock().expect("not poisoned").remove(&index);
    }

    /// Sends `count` requests at the same time, spread over all controllers that run an
    /// activator.
    async fn burst(&self, count: usize) -> Vec<Result<(), Refusal>> {
        let activators: Vec<_> =
            self.activators.lock().expect("not poisoned").values().cloned().collect();
        let requests = (0..count).map(|number| {
            let activator = activators[number % activators.len()].clone();
            tokio::spawn(async move { activator.admit("router", 10).await.map(drop) })
        });
        let requests: Vec<_> = requests.collect();
        let mut outcomes = Vec::new();
        for request in requests {
            outcomes.push(request.await.expect("ran"));
        }
        outcomes
    }

    fn record(&self) -> serde_json::Value {
        let text = self.cluster.state.value("sp/a/m/router").unwrap_or_else(|| "null".into());
        serde_json::from_str(&text).expect("a record")
    }

    fn owner(&self) -> Option<usize> {
        let record = self.record();
        let member = record["state"]["active"]["owner"]["member"].as_str()?;
        member.strip_prefix("m-")?.parse().ok()
    }
}

#[tokio::test(start_paused = true)]
async fn cold_start_submits_one_service_job_and_scale_to_zero_cancels_it() {
    let deployment = Deployment::new(3, &[0, 1, 2]).await;
    let outcomes = deployment.burst(300).await;
    assert!(outcomes.iter().all(Result::is_ok), "{outcomes:?}");
    let cluster = &deployment.cluster;
    let jobs = cluster.internal_jobs();
    assert_eq!(jobs.len(), 1);
    let status = cluster.status(0, &jobs[0]).await;
    assert_eq!(state(&status), Some(JobState::Running));
    // The record lists the endpoint of each replica once the replica answers.
    sleep(Duration::from_secs(20)).await;
    let endpoints = deployment.record()["state"]["active"]["stage"]["ready"]["endpoints"].clone();
    assert_eq!(endpoints.as_array().map(Vec::len), Some(cluster.machine_count(&jobs[0])));
    cluster.until("asleep", || deployment.record()["state"] == "asleep").await;
    assert_eq!(cluster.internal_jobs(), Vec::<String>::new());
    sleep(Duration::from_secs(3)).await;
    assert_eq!(cluster.machine_count(&jobs[0]), 0);
    assert_eq!(state(&cluster.status(1, &jobs[0]).await), Some(JobState::Cancelled));
    assert_no_violation(cluster);
}

/// Kills the owner's whole controller at several times of a cold start. Its scheduler, which
/// may be the leader, ends with it.
#[tokio::test(start_paused = true)]
async fn cold_start_is_adopted_when_its_owner_crashes() {
    for after_ms in [5, 20, 50, 200, 1000, 4000] {
        let deployment = Deployment::new(3, &[0, 1, 2]).await;
        let burst = tokio::spawn({
            let deployment = deployment.clone();
            async move { deployment.burst(3).await }
        });
        sleep(Duration::from_millis(after_ms)).await;
        let Some(owner) = deployment.owner() else {
            burst.abort();
            continue;
        };
        deployment.kill(owner);
        let outcomes = deployment.burst(20).await;
        assert!(outcomes.iter().all(Result::is_ok), "{after_ms} ms: {outcomes:?}");
        assert_eq!(deployment.cluster.internal_jobs().len(), 1, "{after_ms} ms");
        assert_eq!(deployment.record()["generation"], 1, "{after_ms} ms");
        assert_no_violation(&deployment.cluster);
    }
}

#[tokio::test(start_paused = true)]
async fn requests_are_held_then_refused_with_retry_after_when_the_fleet_is_full() {
    let deployment = Deployment::new(1, &[0, 1, 2]).await;
    let cluster = &deployment.cluster;
    cluster.exhaust_capacity();
    let other_job = json!({"Shape": "service", "Spokes": 1, "Rank": "production", "Gpus": 8.0});
    cluster.submit(0, "j-000001", other_job).await.expect("accepted");
    sleep(Duration::from_secs(10)).await;
    let began = Instant::now();
    let outcomes = deployment.burst(3).await;
    assert!(
        outcomes
            .iter()
            .all(|o| matches!(o, Err(Refusal::Starting { .. } | Refusal::Failed { .. }))),
        "{outcomes:?}"
    );
    // Requests are refused after `hold_s`, or earlier once all attempts have failed.
    assert!(began.elapsed() <= Duration::from_secs(301), "{:?}", began.elapsed());
    assert!(cluster.internal_jobs().len() <= 1);
    assert_no_violation(cluster);
}

#[tokio::test(start_paused = true)]
async fn controller_that_gains_activation_later_causes_no_second_start() {
    // The third controller has a version without activation, or has it switched off.
    let deployment = Deployment::new(3, &[0, 1]).await;
    let outcomes = deployment.burst(40).await;
    assert!(outcomes.iter().all(Result::is_ok), "{outcomes:?}");
    deployment.cluster.kill_node(2);
    sleep(Duration::from_secs(5)).await;
    deployment.start(2);
    sleep(Duration::from_secs(10)).await;
    let outcomes = deployment.burst(60).await;
    assert!(outcomes.iter().all(Result::is_ok), "{outcomes:?}");
    assert_eq!(deployment.cluster.internal_jobs().len(), 1);
    assert_no_violation(&deployment.cluster);
}

#[tokio::test(start_paused = true)]
async fn internal_job_is_fenced_and_user_job_is_left_alone() {
    let cluster = TestDeployment::new(2).await;
    let node = cluster.node(0);
    let spec = |id: &str| {
        let body = job(id, json!({"Shape": "service", "Spokes": 1}));
        JobSpec::parse(&body).expect("valid")
    };
    let put = |text: &str| {
        let raw = serde_json::value::RawValue::from_string(text.into()).expect("json");
        stonewheel::protocol::Write::Put { key: "sp/a/m/router".into(), value: raw, lease: None }
    };
    cluster.state.commit(Vec::new(), vec![put("1")]).expect("committed");
    let fence = || Condition {
        key: "sp/a/m/router".into(),
        version: cluster.state.version("sp/a/m/router"),
    };
    // The id belongs to a user's job.
    cluster
        .submit(1, "j-000007", json!({"Shape": "service", "Spokes": 1}))
        .await
        .expect("accepted");
    let reply = node.submit_internal_job(&spec("j-000007"), &fence(), "sp/a/j/j-000007").await;
    assert_eq!(reply, Ok(InternalJobReply::IdTaken));
    let reply = node.cancel_internal_job("j-000007", &fence(), "sp/a/j/j-000007").await;
    assert_eq!(reply, Ok(InternalJobReply::Done), "there is no internal job to cancel");
    assert_eq!(state(&cluster.status(1, "j-000007").await), Some(JobState::Pending));
    // The record changes between the decision and the submission.
    let old = fence();
    cluster.state.commit(Vec::new(), vec![put("2")]).expect("committed");
    let reply = node.submit_internal_job(&spec("j-000008"), &old, "sp/a/j/j-000008").await;
    assert_eq!(reply, Ok(InternalJobReply::Stale));
    assert_eq!(state(&cluster.status(1, "j-000008").await), None, "never accepted");
    // The response is lost, and the repeated submission finds the job.
    cluster.state.lose_answers("m-0", 1);
    let marker = "sp/a/j/j-000009";
    assert!(node.submit_internal_job(&spec("j-000009"), &fence(), marker).await.is_err());
    let reply = node.submit_internal_job(&spec("j-000009"), &fence(), marker).await;
    assert_eq!(reply, Ok(InternalJobReply::Done));
    let old = fence();
    cluster.state.commit(Vec::new(), vec![put("3")]).expect("committed");
    assert_eq!(
        node.cancel_internal_job("j-000009", &old, marker).await,
        Ok(InternalJobReply::Stale)
    );
    assert!(state(&cluster.status(1, "j-000009").await) != Some(JobState::Cancelled));
    cluster.state.lose_answers("m-0", 1);
    let unknown_outcome = node.cancel_internal_job("j-000009", &fence(), marker).await;
    assert!(unknown_outcome.is_err(), "{unknown_outcome:?}");
    assert_eq!(
        node.cancel_internal_job("j-000009", &fence(), marker).await,
        Ok(InternalJobReply::Done)
    );
    assert_eq!(state(&cluster.status(1, "j-000009").await), Some(JobState::Cancelled));
    assert_eq!(cluster.state.value(marker), None);
    // A job that can never run is refused as impossible.
    let body = job("j-000010", json!({"Shape": "service", "Crew": "nobody"}));
    let impossible = JobSpec::parse(&body).expect("valid");
    let reply = node.submit_internal_job(&impossible, &fence(), "sp/a/j/j-000010").await;
    assert_eq!(reply, Ok(InternalJobReply::Impossible("no such team".into())));
    assert_no_violation(&cluster);
}
