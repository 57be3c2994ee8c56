//! Activators of several controllers over an in-memory state service and an in-memory
//! replica starter, for tests under paused time.

pub mod controllers;
pub mod http_starter;
pub mod in_memory_starter;
pub mod loopback;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use in_memory_starter::InMemoryStarter;
use stonewheel_activation::{
    ActivationSettings, Activator, Listen, ModelSettings, Refusal, parse_sections,
    record::{ActivationRecord, record_key},
};
use stonewheel_testing::{MemState, spawn_coordinator, timing};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

/// Time from the last renewal of a session until the session expires.
pub const SESSION_TTL: Duration = Duration::from_secs(11);
/// Time from the start of a replica until the replica answers.
pub const STARTUP_TIME: Duration = Duration::from_secs(20);
/// Time that a replica takes to process a request.
pub const REQUEST_TIME: Duration = Duration::from_millis(200);

/// Returns the settings of a model that takes `STARTUP_TIME` to load, with `changes`
/// applied.
pub fn model_settings(changes: &[(&'static str, &'static str)]) -> ModelSettings {
    let mut pairs = BTreeMap::from([
        ("team", "red"),
        ("class", "rush"),
        ("image", "router"),
        ("image_gb", "34.3"),
        ("cpus", "11"),
        ("gpus", "2"),
        ("memory_gb", "50"),
        ("port", "8000"),
        ("load_s", "20"),
        ("start_s", "60"),
        ("hold_s", "120"),
        ("idle_s", "60"),
        ("awake_s", "40"),
        ("look_s", "1"),
        ("backoff_s", "4"),
        ("retry_s", "15"),
    ]);
    pairs.extend(changes.iter().copied());
    let sections = [
        ("activation", vec![("listen", "127.0.0.1:0")]),
        ("model any", pairs.into_iter().collect()),
    ];
    let settings = parse_sections(sections.into_iter()).expect("valid").expect("switched on");
    settings.models["any"].clone()
}

/// Returns settings with these models.
pub fn settings(models: &[(&str, ModelSettings)]) -> ActivationSettings {
    ActivationSettings {
        listen: Listen::Port(0),
        hold_requests: 2000.0,
        hold_kb: 4096.0,
        request_kb: 64.0,
        request_s: 10.0,
        outage_s: 20.0,
        models: models.iter().map(|(name, model)| ((*name).to_owned(), model.clone())).collect(),
    }
}

/// Result of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Answered,
    Refused(Refusal),
    /// The request was admitted, but its replica did not answer throughout the request.
    ReplicaUnavailable,
}

/// A running controller.
struct Running {
    activator: Arc<Activator>,
    stop: CancellationToken,
    /// Name that the state service and the replica starter know the controller by.
    client: String,
}

/// Controllers that share a state service and a replica starter.
#[derive(Clone)]
pub struct Fleet {
    pub state: MemState,
    pub starter: InMemoryStarter,
    settings: ActivationSettings,
    size: usize,
    running: Arc<Mutex<BTreeMap<usize, Running>>>,
    seeds: Arc<Mutex<u64>>,
}

impl Fleet {
    /// Creates and starts `size` controllers with these settings.
    pub async fn new(size: usize, settings: ActivationSettings) -> Self {
        let fleet = Self::not_started(size, settings, STARTUP_TIME);
        for index in 0..size {
            fleet.start(index);
        }
        sleep(Duration::from_secs(2)).await;
        fleet
    }

    /// Creates the fleet without starting any controller.
    pub fn not_started(size: usize, settings: ActivationSettings, startup_time: Duration) -> Self {
        Self {
            state: MemState::default(),
            starter: InMemoryStarter::new(startup_time),
            settings,
            size,
            running: Arc::default(),
            seeds: Arc::default(),
        }
    }

    /// Creates and starts `size` controllers with one model, `router`.
    pub async fn with_router(size: usize) -> Self {
        Self::new(size, settings(&[("router", model_settings(&[]))])).await
    }

    /// Starts a process of a controller, with a new incarnation and random seed.
    pub fn start(&self, index: usize) -> Arc<Activator> {
        let seed = {
            let mut seeds = self.seeds.lock().expect("not poisoned");
            *seeds += 1;
            *seeds
        };
        let client = format!("m-{index}#{seed}");
        let stop = CancellationToken::new();
        let position = (index, self.size);
        let coordinator =
            spawn_coordinator(&self.state, &client, position, seed, timing(SESSION_TTL), &stop);
        let starter = self.starter.client(&client);
        let activator = Activator::new(coordinator, self.settings.clone(), starter, seed);
        tokio::spawn(activator.clone().run(stop.clone()));
        let running = Running { activator: activator.clone(), stop, client };
        self.running.lock().expect("not poisoned").insert(index, running);
        activator
    }

    /// Ends a controller as a crash does: its lease is not revoked but expires.
    pub fn kill(&self, index: usize) {
        let running = self.running.lock().expect("not poisoned").remove(&index).expect("it runs");
        self.state.refuse(&running.client, true);
        self.starter.callers.end(&running.client);
        running.stop.cancel();
    }

    /// Shuts a controller down in an orderly way, which revokes its lease.
    pub fn shut_down(&self, index: usize) {
        let running = self.running.lock().expect("not poisoned").remove(&index).expect("it runs");
        running.stop.cancel();
    }

    fn client_of(&self, index: usize) -> String {
        self.running.lock().expect("not poisoned")[&index].client.clone()
    }

    /// Suspends the calls of a controller to the state service and the replica starter,
    /// as if its process were suspended.
    pub fn pause(&self, index: usize, seconds: u64) {
        let client = self.client_of(index);
        let until = Instant::now() + Duration::from_secs(seconds);
        self.state.freeze(&client, until);
        self.starter.callers.freeze(&client, until);
    }

    /// Sets whether the state service refuses the calls of this controller.
    pub fn set_state_refused(&self, index: usize, on: bool) {
        self.state.refuse(&self.client_of(index), on);
    }

    /// Loses the responses to the controller's next `count` transactions, which are still
    /// carried out.
    pub fn lose_state_responses(&self, index: usize, count: u32) {
        self.state.lose_answers(&self.client_of(index), count);
    }

    /// Loses the responses to the controller's next `count` calls of the replica starter,
    /// which are still carried out.
    pub fn lose_starter_responses(&self, index: usize, count: u32) {
        self.starter.callers.lose_answers(&self.client_of(index), count);
    }

    /// Returns the activator of a running controller.
    pub fn activator(&self, index: usize) -> Arc<Activator> {
        self.running.lock().expect("not poisoned")[&index].activator.clone()
    }

    /// Returns a model's record as the state service stores it.
    pub fn record(&self, model: &str) -> ActivationRecord {
        let text = self.state.value(&record_key(model));
        text.map_or_else(ActivationRecord::default, |text| {
            serde_json::from_str(&text).expect("a record")
        })
    }

    /// Returns the index of the controller that owns the current activation.
    pub fn owner(&self, model: &str) -> Option<usize> {
        let record = self.record(model);
        let member = &record.activation()?.owner.member;
        member.strip_prefix("m-")?.parse().ok()
    }

    /// Sends one request to a controller and returns the result.
    pub async fn request(&self, index: usize, model: &str) -> Outcome {
        let activator = self.activator(index);
        let admission = match activator.admit(model, 100).await {
            Ok(admission) => admission,
            Err(refusal) => return Outcome::Refused(refusal),
        };
        let endpoint = admission.endpoints().next().expect("an endpoint").to_owned();
        let was_ready = self.starter.is_ready(&endpoint);
        sleep(REQUEST_TIME).await;
        let is_ready = self.starter.is_ready(&endpoint);
        if was_ready && is_ready { Outcome::Answered } else { Outcome::ReplicaUnavailable }
    }

    /// Sends `count` requests at the same time, spread over all running controllers.
    pub async fn burst(&self, count: usize, model: &str) -> Vec<Outcome> {
        let indexes: Vec<usize> =
            self.running.lock().expect("not poisoned").keys().copied().collect();
        let mut requests = Vec::new();
        for number in 0..count {
            let fleet = self.clone();
            let (index, model) = (indexes[number % indexes.len()], model.to_owned());
            requests.push(tokio::spawn(async move { fleet.request(index, &model).await }));
        }
        let mut outcomes = Vec::new();
        for request in requests {
            outcomes.push(request.await.expect("ran"));
        }
        outcomes
    }

    /// Waits until `holds` returns true; `condition` describes the condition.
    pub async fn wait_until(&self, condition: &str, holds: impl Fn(&Self) -> bool) {
        let limit = Instant::now() + Duration::from_secs(600);
        while !holds(self) {
            assert!(
                Instant::now() < limit,
                "never came true: {condition}: {:?}",
                self.record("router")
            );
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// Asserts that no two jobs of a model were live at the same time and that no user's
    /// job was stopped.
    pub fn assert_no_violation(&self) {
        assert_eq!(self.starter.violations(), Vec::<String>::new());
        for job in self.starter.user_jobs() {
            assert!(!self.starter.was_stopped(&job), "{job} was stopped but belongs to a user");
        }
    }
}
