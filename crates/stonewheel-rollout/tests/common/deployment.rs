//! The executors of several controllers over simulated servers, with steady load on the
//! service and a sampler that counts answering servers independently of the rollout's code.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use stonewheel_rollout::{
    CommandFailure, Executor, PromotionCondition, RolloutSettings,
    command::{Command, CommandKind},
    record::{Phase, ReplicaStage, ServiceRecord, service_key},
};
use stonewheel_testing::{MemState, Members, timing};
use tokio::time::{Instant, sleep};

use super::servers::Servers;

pub const SERVICE: &str = "assistant";
pub const SESSION: Duration = Duration::from_secs(11);
/// How late the load balancer learns of changes.
const BALANCER_LAG: Duration = Duration::from_secs(1);
/// How long a request takes.
const REQUEST_TIME: Duration = Duration::from_millis(500);

pub fn rollout_settings() -> RolloutSettings {
    RolloutSettings { look_s: 0.5, start_s: 20.0, soak_s: 6.0, drain_s: 3.0, most_failures: 0.1 }
}

/// The effects of a rollout on its users.
#[derive(Default)]
pub struct LoadResults {
    pub requests: AtomicU32,
    /// Requests to a server that had been stopped by an order, or was stopped by one before
    /// the request was done.
    pub cut_off_requests: AtomicU32,
    pub min_capacity: AtomicU32,
}

#[derive(Clone)]
pub struct Deployment {
    pub state: MemState,
    pub servers: Servers,
    pub load_results: Arc<LoadResults>,
    members: Arc<Members<Arc<Executor>>>,
    promote_when: Option<PromotionCondition>,
}

impl Deployment {
    /// Starts three controllers and a service of `level` replicas of version `one`, and returns
    /// once all replicas answer.
    pub async fn new(level: u32, machines: usize, servers_per_machine: usize) -> Self {
        Self::with_condition(level, machines, servers_per_machine, None).await
    }

    /// Starts the same with a promotion condition.
    pub async fn with_condition(
        level: u32,
        machines: usize,
        servers_per_machine: usize,
        promote_when: Option<&str>,
    ) -> Self {
        let parse = |text| PromotionCondition::parse(text).expect("a script");
        let (state, servers) = (MemState::default(), Servers::new(machines, servers_per_machine));
        let members = Members::new(state.clone(), servers.callers.clone(), 3, timing(SESSION));
        let deployment = Self {
            promote_when: promote_when.map(parse),
            state,
            servers,
            load_results: Arc::default(),
            members: Arc::new(members),
        };
        for controller_index in 0..3 {
            deployment.start(controller_index);
        }
        sleep(Duration::from_secs(2)).await;
        deployment.executor(0).create(SERVICE, "one", level).await.expect("created");
        deployment.wait_until("all replicas answer", |d| d.capacity() == level).await;
        deployment.wait_until("all replicas serve", |d| d.is_settled()).await;
        deployment.load_results.min_capacity.store(level, Ordering::Relaxed);
        tokio::spawn(deployment.clone().generate_load());
        tokio::spawn(deployment.clone().sample_capacity());
        sleep(BALANCER_LAG * 2).await;
        deployment
    }

    pub fn start(&self, controller_index: usize) {
        self.members.start(controller_index, |process| {
            let host = self.servers.client(process.client);
            let services = [(SERVICE.to_owned(), self.promote_when.clone())].into();
            let (coordinator, seed) = (process.coordinator.clone(), process.seed);
            let settings = rollout_settings();
            let executor = Executor::new(coordinator, settings, services, host, 8192, seed);
            tokio::spawn(executor.clone().run(process.stop.clone()));
            executor
        });
    }

    pub fn executor(&self, controller_index: usize) -> Arc<Executor> {
        self.members.part(controller_index)
    }

    /// Ends a controller without notice.
    pub fn kill(&self, controller_index: usize) {
        self.members.kill(controller_index);
    }

    /// Suspends a controller's process for this time.
    pub fn pause(&self, controller_index: usize, seconds: u64) {
        self.members.pause(controller_index, Duration::from_secs(seconds));
    }

    pub fn set_refused(&self, controller_index: usize, is_refused: bool) {
        self.members.refuse(controller_index, is_refused);
    }

    pub fn lose_state_answers(&self, controller_index: usize, count: u32) {
        self.members.lose_state_answers(controller_index, count);
    }

    pub fn lose_host_answers(&self, controller_index: usize, count: u32) {
        self.members.lose_other_answers(controller_index, count);
    }

    /// Reads the service's record from the state service.
    pub fn record(&self) -> ServiceRecord {
        let text = self.state.value(&service_key(SERVICE)).expect("a service");
        serde_json::from_str(&text).expect("a record")
    }

    pub fn owner(&self) -> Option<usize> {
        let owner = self.record().owner?;
        owner.member.strip_prefix("m-")?.parse().ok()
    }

    pub fn phase(&self) -> Option<Phase> {
        self.record().rollout.map(|rollout| rollout.phase)
    }

    /// Returns how many servers take requests and answer.
    pub fn capacity(&self) -> u32 {
        let record = self.record();
        let serving = record.replicas.iter().filter(|r| r.stage == ReplicaStage::Serving);
        serving.filter(|replica| self.servers.answers(&replica.job)).count() as u32
    }

    pub fn is_settled(&self) -> bool {
        let record = self.record();
        let over = record.rollout.as_ref().is_none_or(|rollout| rollout.phase.is_over());
        over && record.replicas.iter().all(|r| r.stage == ReplicaStage::Serving)
    }

    pub fn distinct_versions(&self) -> Vec<String> {
        let mut versions: Vec<String> =
            self.record().replicas.into_iter().map(|replica| replica.version).collect();
        versions.dedup();
        versions
    }

    pub async fn wait_until(&self, condition: &str, holds: impl Fn(&Self) -> bool) {
        let deadline = Instant::now() + Duration::from_secs(1800);
        while !holds(self) {
            assert!(
                Instant::now() < deadline,
                "condition never held: {condition}: {:#?}",
                self.record()
            );
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub async fn command(
        &self,
        controller_index: usize,
        id: &str,
        kind: CommandKind,
    ) -> Result<(), CommandFailure> {
        let command = Command { id: id.into(), kind };
        self.executor(controller_index).command(SERVICE, &command).await
    }

    pub async fn roll_out(
        &self,
        controller_index: usize,
        surge: u32,
    ) -> Result<(), CommandFailure> {
        let kind = CommandKind::Start { to: "two".into(), steps: vec![20, 50, 100], surge };
        self.command(controller_index, &format!("c-{controller_index}"), kind).await
    }

    pub fn min_capacity(&self) -> u32 {
        self.load_results.min_capacity.load(Ordering::Relaxed)
    }

    /// Asserts that no order cut off a request, and that the capacity never fell below the
    /// level.
    pub fn assert_nothing_lost(&self, level: u32) {
        assert_eq!(
            self.load_results.cut_off_requests.load(Ordering::Relaxed),
            0,
            "requests cut off"
        );
        assert!(self.load_results.requests.load(Ordering::Relaxed) > 0);
        assert!(self.min_capacity() >= level, "capacity fell to {}", self.min_capacity());
        assert!(self.servers.max_stops_per_server() <= 1, "a replica was stopped twice");
    }

    async fn sample_capacity(self) {
        loop {
            self.load_results.min_capacity.fetch_min(self.capacity(), Ordering::Relaxed);
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends steady requests by a load balancer whose view of the servers lags.
    async fn generate_load(self) {
        let mut views: Vec<(Instant, Vec<String>)> = Vec::new();
        for number in 0_usize.. {
            let now = Instant::now();
            let record = self.record();
            let serving = record.replicas.iter().filter(|r| r.stage == ReplicaStage::Serving);
            let answering = serving.filter(|replica| self.servers.answers(&replica.job));
            views.push((now, answering.map(|replica| replica.job.clone()).collect()));
            views.retain(|(seen_at, _)| now.duration_since(*seen_at) <= BALANCER_LAG);
            let view = &views[0].1;
            if !view.is_empty() {
                tokio::spawn(self.clone().send_request(view[number % view.len()].clone()));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    async fn send_request(self, job: String) {
        self.load_results.requests.fetch_add(1, Ordering::Relaxed);
        let stopped = self.servers.was_stopped(&job);
        sleep(REQUEST_TIME).await;
        // Only orders count: requests cut off by the loss of a machine are not the rollout's
        // fault.
        if stopped || self.servers.was_stopped(&job) {
            self.load_results.cut_off_requests.fetch_add(1, Ordering::Relaxed);
        }
    }
}
