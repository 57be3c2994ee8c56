//! Several controllers' executors over the stand-ins, with steady load on the service and
//! a sampler that counts answering servers apart from the rollout's own code.

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
/// A balancer learns of changes so late.
const LAG: Duration = Duration::from_secs(1);
/// How long a request takes.
const WORK: Duration = Duration::from_millis(500);

pub fn rollout_settings() -> RolloutSettings {
    RolloutSettings { look_s: 0.5, start_s: 20.0, soak_s: 6.0, drain_s: 3.0, most_failures: 0.1 }
}

/// What users noticed.
#[derive(Default)]
pub struct Noticed {
    pub requests: AtomicU32,
    /// Requests at a server that was stopped by an order, or before it could answer.
    pub cut_off: AtomicU32,
    pub least_capacity: AtomicU32,
}

#[derive(Clone)]
pub struct Deployment {
    pub state: MemState,
    pub servers: Servers,
    pub noticed: Arc<Noticed>,
    members: Arc<Members<Arc<Executor>>>,
    promote_when: Option<PromotionCondition>,
}

impl Deployment {
    /// Three controllers and a service of `level` replicas of version `one`.
    pub async fn new(level: u32, machines: usize, capacity: usize) -> Self {
        Self::with_condition(level, machines, capacity, None).await
    }

    /// The same with a condition for each next step.
    pub async fn with_condition(
        level: u32,
        machines: usize,
        capacity: usize,
        promote_when: Option<&str>,
    ) -> Self {
        let condition = |text| PromotionCondition::parse(text).expect("a script");
        let (state, servers) = (MemState::default(), Servers::new(machines, capacity));
        let members = Members::new(state.clone(), servers.callers.clone(), 3, timing(SESSION));
        let deployment = Self {
            promote_when: promote_when.map(condition),
            state,
            servers,
            noticed: Arc::default(),
            members: Arc::new(members),
        };
        for at in 0..3 {
            deployment.start(at);
        }
        sleep(Duration::from_secs(2)).await;
        deployment.executor(0).create(SERVICE, "one", level).await.expect("created");
        deployment.until("it answers", |d| d.capacity() == level).await;
        deployment.until("it rests", |d| d.settled()).await;
        deployment.noticed.least_capacity.store(level, Ordering::Relaxed);
        tokio::spawn(deployment.clone().load());
        tokio::spawn(deployment.clone().sample());
        sleep(LAG * 2).await;
        deployment
    }

    pub fn start(&self, at: usize) {
        self.members.start(at, |process| {
            let host = self.servers.client(process.client);
            let services = [(SERVICE.to_owned(), self.promote_when.clone())].into();
            let (coordinator, seed) = (process.coordinator.clone(), process.seed);
            let settings = rollout_settings();
            let executor = Executor::new(coordinator, settings, services, host, 8192, seed);
            tokio::spawn(executor.clone().run(process.stop.clone()));
            executor
        });
    }

    pub fn executor(&self, at: usize) -> Arc<Executor> {
        self.members.part(at)
    }

    /// Ends a controller without notice.
    pub fn kill(&self, at: usize) {
        self.members.kill(at);
    }

    /// Lets a controller stand still.
    pub fn pause(&self, at: usize, seconds: u64) {
        self.members.pause(at, Duration::from_secs(seconds));
    }

    pub fn refuse(&self, at: usize, on: bool) {
        self.members.refuse(at, on);
    }

    pub fn lose_state_answers(&self, at: usize, count: u32) {
        self.members.lose_state_answers(at, count);
    }

    pub fn mute_host(&self, at: usize, count: u32) {
        self.members.lose_other_answers(at, count);
    }

    /// The record, straight from the state service.
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

    /// Servers that answer and take requests.
    pub fn capacity(&self) -> u32 {
        let record = self.record();
        let serving = record.replicas.iter().filter(|r| r.stage == ReplicaStage::Serving);
        serving.filter(|replica| self.servers.answers(&replica.job)).count() as u32
    }

    pub fn settled(&self) -> bool {
        let record = self.record();
        let over = record.rollout.as_ref().is_none_or(|rollout| rollout.phase.is_over());
        over && record.replicas.iter().all(|r| r.stage == ReplicaStage::Serving)
    }

    pub fn versions(&self) -> Vec<String> {
        let mut versions: Vec<String> =
            self.record().replicas.into_iter().map(|replica| replica.version).collect();
        versions.dedup();
        versions
    }

    pub async fn until(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let limit = Instant::now() + Duration::from_secs(1800);
        while !holds(self) {
            assert!(Instant::now() < limit, "never came true: {what}: {:#?}", self.record());
            sleep(Duration::from_millis(20)).await;
        }
    }

    pub async fn command(
        &self,
        at: usize,
        id: &str,
        kind: CommandKind,
    ) -> Result<(), CommandFailure> {
        let command = Command { id: id.into(), kind };
        self.executor(at).command(SERVICE, &command).await
    }

    pub async fn roll_out(&self, at: usize, surge: u32) -> Result<(), CommandFailure> {
        let kind = CommandKind::Start { to: "two".into(), steps: vec![20, 50, 100], surge };
        self.command(at, &format!("c-{at}"), kind).await
    }

    pub fn least_capacity(&self) -> u32 {
        self.noticed.least_capacity.load(Ordering::Relaxed)
    }

    /// No request was cut off by what we did, and the level stood throughout.
    pub fn assert_kept(&self, level: u32) {
        assert_eq!(self.noticed.cut_off.load(Ordering::Relaxed), 0, "requests cut off");
        assert!(self.noticed.requests.load(Ordering::Relaxed) > 0);
        assert!(self.least_capacity() >= level, "capacity fell to {}", self.least_capacity());
        assert!(self.servers.most_stops_of_one() <= 1, "a replica was stopped twice");
    }

    async fn sample(self) {
        loop {
            self.noticed.least_capacity.fetch_min(self.capacity(), Ordering::Relaxed);
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Steady requests by a balancer whose view lags.
    async fn load(self) {
        let mut views: Vec<(Instant, Vec<String>)> = Vec::new();
        for number in 0_usize.. {
            let now = Instant::now();
            let record = self.record();
            let serving = record.replicas.iter().filter(|r| r.stage == ReplicaStage::Serving);
            let answering = serving.filter(|replica| self.servers.answers(&replica.job));
            views.push((now, answering.map(|replica| replica.job.clone()).collect()));
            views.retain(|(at, _)| now.duration_since(*at) <= LAG);
            let view = &views[0].1;
            if !view.is_empty() {
                tokio::spawn(self.clone().request(view[number % view.len()].clone()));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    async fn request(self, job: String) {
        self.noticed.requests.fetch_add(1, Ordering::Relaxed);
        let stopped = self.servers.was_stopped(&job);
        sleep(WORK).await;
        // What a lost machine cuts off is none of our doing.
        if stopped || self.servers.was_stopped(&job) {
            self.noticed.cut_off.fetch_add(1, Ordering::Relaxed);
        }
    }
}
