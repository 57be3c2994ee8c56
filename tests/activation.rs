//! Scale to zero onto the scheduler: cold starts as service jobs, with several
//! controllers and machines, some of which end.

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

/// A replica answers while its task runs on its machine.
struct MemProbe(TestDeployment);

impl ReplicaProbe for MemProbe {
    fn answers(&self, endpoint: SocketAddr, _: &str) -> BoxFuture<'_, bool> {
        let machine = machine_at(&endpoint.to_string());
        Box::pin(async move {
            sleep(Duration::from_millis(5)).await;
            assert_eq!(endpoint.port(), 8000);
            self.0.jobs_of_our_own().iter().any(|job| self.0.runs_on(job, &machine))
        })
    }
}

trait OwnJobs {
    /// Jobs that were started for a model and not stopped yet, by their markers.
    fn jobs_of_our_own(&self) -> Vec<String>;
    /// All that was ever submitted for a model and is in the records.
    fn machines_with(&self, job: &str) -> usize;
}

impl OwnJobs for TestDeployment {
    fn jobs_of_our_own(&self) -> Vec<String> {
        let keys = self.state.keys("sp/a/j/");
        keys.iter().map(|key| key.trim_start_matches("sp/a/j/").to_owned()).collect()
    }

    fn machines_with(&self, job: &str) -> usize {
        self.machines().iter().filter(|machine| self.runs_on(job, machine)).count()
    }
}

/// Three controllers with the part switched on, over the same fleet.
#[derive(Clone)]
struct Deployment {
    cluster: TestDeployment,
    activators: Arc<Mutex<BTreeMap<usize, Arc<Activator>>>>,
}

impl Deployment {
    /// `with`: the controllers that run the part.
    async fn new(machines: u32, with: &[usize]) -> Self {
        let cluster = TestDeployment::new(machines).await;
        cluster.set_activation(Some(activation_settings()));
        let deployment = Self { cluster, activators: Arc::default() };
        for at in with {
            deployment.cluster.kill_node(*at);
            sleep(Duration::from_secs(5)).await;
            deployment.start(*at);
        }
        sleep(Duration::from_secs(10)).await;
        deployment
    }

    fn start(&self, at: usize) {
        self.cluster.start_node(at);
        let probe = Arc::new(MemProbe(self.cluster.clone()));
        let node = self.cluster.node(at);
        let coordinator = coordinator(&node);
        tokio::spawn(coordinator.clone().run(self.cluster.stop_token(at)));
        let activator = activator(&node, coordinator, probe, at as u64).expect("switched on");
        tokio::spawn(activator.clone().run(self.cluster.stop_token(at)));
        self.activators.lock().expect("not poisoned").insert(at, activator);
    }

    fn kill(&self, at: usize) {
        self.cluster.kill_node(at);
        // It gives nothing back: its lease runs out by itself.
        self.cluster.state.refuse(&format!("m-{at}"), true);
        self.activators.lock().expect("not poisoned").remove(&at);
    }

    /// Requests over all controllers that run the part.
    async fn burst(&self, count: usize) -> Vec<Result<(), Refusal>> {
        let activators: Vec<_> =
            self.activators.lock().expect("not poisoned").values().cloned().collect();
        let requests = (0..count).map(|number| {
            let activator = activators[number % activators.len()].clone();
            tokio::spawn(async move { activator.enter("router", 10).await.map(drop) })
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
async fn a_wake_is_one_service_job_and_sleep_withdraws_it() {
    let deployment = Deployment::new(3, &[0, 1, 2]).await;
    let outcomes = deployment.burst(300).await;
    assert!(outcomes.iter().all(Result::is_ok), "{outcomes:?}");
    let cluster = &deployment.cluster;
    let jobs = cluster.jobs_of_our_own();
    assert_eq!(jobs.len(), 1);
    let status = cluster.status(0, &jobs[0]).await;
    assert_eq!(state(&status), Some(JobState::Running));
    // Both replicas, each with its endpoint as soon as it answers.
    sleep(Duration::from_secs(20)).await;
    let endpoints = deployment.record()["state"]["active"]["stage"]["ready"]["endpoints"].clone();
    assert_eq!(endpoints.as_array().map(Vec::len), Some(cluster.machines_with(&jobs[0])));
    cluster.until("asleep", || deployment.record()["state"] == "asleep").await;
    assert_eq!(cluster.jobs_of_our_own(), Vec::<String>::new());
    sleep(Duration::from_secs(3)).await;
    assert_eq!(cluster.machines_with(&jobs[0]), 0);
    assert_eq!(state(&cluster.status(1, &jobs[0]).await), Some(JobState::Cancelled));
    assert_no_violation(cluster);
}

#[tokio::test(start_paused = true)]
async fn the_owner_dies_which_also_leads_and_the_start_is_adopted() {
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
        assert_eq!(deployment.cluster.jobs_of_our_own().len(), 1, "{after_ms} ms");
        assert_eq!(deployment.record()["generation"], 1, "{after_ms} ms");
        assert_no_violation(&deployment.cluster);
    }
}

#[tokio::test(start_paused = true)]
async fn a_full_fleet_holds_requests_and_says_when_to_come_back() {
    let deployment = Deployment::new(1, &[0, 1, 2]).await;
    let cluster = &deployment.cluster;
    cluster.exhaust_capacity();
    let rival = json!({"Shape": "service", "Spokes": 1, "Rank": "production", "Gpus": 8.0});
    cluster.submit(0, "j-000001", rival).await.expect("accepted");
    sleep(Duration::from_secs(10)).await;
    let began = Instant::now();
    let outcomes = deployment.burst(3).await;
    assert!(
        outcomes
            .iter()
            .all(|o| matches!(o, Err(Refusal::Starting { .. } | Refusal::Failed { .. }))),
        "{outcomes:?}"
    );
    // `hold_s`, or once the attempts are used up.
    assert!(began.elapsed() <= Duration::from_secs(301), "{:?}", began.elapsed());
    assert!(cluster.jobs_of_our_own().len() <= 1);
    assert_no_violation(cluster);
}

#[tokio::test(start_paused = true)]
async fn two_versions_side_by_side_share_one_start() {
    // The third controller is of a version without this part, or has it switched off.
    let deployment = Deployment::new(3, &[0, 1]).await;
    let outcomes = deployment.burst(40).await;
    assert!(outcomes.iter().all(Result::is_ok), "{outcomes:?}");
    deployment.cluster.kill_node(2);
    sleep(Duration::from_secs(5)).await;
    deployment.start(2);
    sleep(Duration::from_secs(10)).await;
    let outcomes = deployment.burst(60).await;
    assert!(outcomes.iter().all(Result::is_ok), "{outcomes:?}");
    assert_eq!(deployment.cluster.jobs_of_our_own().len(), 1);
    assert_no_violation(&deployment.cluster);
}

#[tokio::test(start_paused = true)]
async fn a_job_of_our_own_is_fenced_and_a_users_job_is_left_alone() {
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
    // A user's job has the id.
    cluster
        .submit(1, "j-000007", json!({"Shape": "service", "Spokes": 1}))
        .await
        .expect("accepted");
    let reply = node.submit_internal_job(&spec("j-000007"), &fence(), "sp/a/j/j-000007").await;
    assert_eq!(reply, Ok(InternalJobReply::IdTaken));
    let reply = node.cancel_internal_job("j-000007", &fence(), "sp/a/j/j-000007").await;
    assert_eq!(reply, Ok(InternalJobReply::Done), "there is nothing of ours");
    assert_eq!(state(&cluster.status(1, "j-000007").await), Some(JobState::Pending));
    // The record changes between the decision and the submission.
    let old = fence();
    cluster.state.commit(Vec::new(), vec![put("2")]).expect("committed");
    let reply = node.submit_internal_job(&spec("j-000008"), &old, "sp/a/j/j-000008").await;
    assert_eq!(reply, Ok(InternalJobReply::Stale));
    assert_eq!(state(&cluster.status(1, "j-000008").await), None, "never accepted");
    // The answer is lost, and the repeat finds the job.
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
    let unsure = node.cancel_internal_job("j-000009", &fence(), marker).await;
    assert!(unsure.is_err(), "{unsure:?}");
    assert_eq!(
        node.cancel_internal_job("j-000009", &fence(), marker).await,
        Ok(InternalJobReply::Done)
    );
    assert_eq!(state(&cluster.status(1, "j-000009").await), Some(JobState::Cancelled));
    assert_eq!(cluster.state.value(marker), None);
    // What can never run is said so.
    let body = job("j-000010", json!({"Shape": "service", "Crew": "nobody"}));
    let impossible = JobSpec::parse(&body).expect("valid");
    let reply = node.submit_internal_job(&impossible, &fence(), "sp/a/j/j-000010").await;
    assert_eq!(reply, Ok(InternalJobReply::Impossible("no such team".into())));
    assert_no_violation(&cluster);
}
