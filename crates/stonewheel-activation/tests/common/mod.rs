//! Several controllers' activators over the stand-ins of the state service and of
//! what starts replicas.

pub mod controllers;
pub mod farm;
pub mod house;
pub mod loopback;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use farm::Farm;
use stonewheel_activation::{
    ActivationSettings, Activator, Listen, ModelSettings, Refusal, parse_sections,
    record::{ActivationRecord, record_key},
};
use stonewheel_testing::{MemState, spawn_coordinator, timing};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

/// How long a session outlives its last renewal.
pub const SESSION: Duration = Duration::from_secs(11);
/// How long a replica takes to answer.
pub const BOOT: Duration = Duration::from_secs(20);
/// How long a request takes once it passes.
pub const WORK: Duration = Duration::from_millis(200);

/// The settings of a model that takes `BOOT` to load.
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

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Answered,
    Refused(Refusal),
    /// It passed, but no replica was there for it.
    Broken,
}

struct Running {
    activator: Arc<Activator>,
    stop: CancellationToken,
    /// The name by which its calls are known.
    client: String,
}

/// Some controllers.
#[derive(Clone)]
pub struct Fleet {
    pub state: MemState,
    pub farm: Farm,
    settings: ActivationSettings,
    size: usize,
    running: Arc<Mutex<BTreeMap<usize, Running>>>,
    seeds: Arc<Mutex<u64>>,
}

impl Fleet {
    /// `size` controllers that know these models, all up.
    pub async fn new(size: usize, settings: ActivationSettings) -> Self {
        let fleet = Self::idle(size, settings, BOOT);
        for at in 0..size {
            fleet.start(at);
        }
        sleep(Duration::from_secs(2)).await;
        fleet
    }

    /// The same before any of them is up.
    pub fn idle(size: usize, settings: ActivationSettings, boot: Duration) -> Self {
        Self {
            state: MemState::default(),
            farm: Farm::new(boot),
            settings,
            size,
            running: Arc::default(),
            seeds: Arc::default(),
        }
    }

    /// Some controllers and one model.
    pub async fn with_router(size: usize) -> Self {
        Self::new(size, settings(&[("router", model_settings(&[]))])).await
    }

    /// Starts a process of a controller.
    pub fn start(&self, at: usize) -> Arc<Activator> {
        let seed = {
            let mut seeds = self.seeds.lock().expect("not poisoned");
            *seeds += 1;
            *seeds
        };
        let client = format!("m-{at}#{seed}");
        let stop = CancellationToken::new();
        let place = (at, self.size);
        let coordinator =
            spawn_coordinator(&self.state, &client, place, seed, timing(SESSION), &stop);
        let starter = self.farm.client(&client);
        let activator = Activator::new(coordinator, self.settings.clone(), starter, seed);
        tokio::spawn(activator.clone().run(stop.clone()));
        let running = Running { activator: activator.clone(), stop, client };
        self.running.lock().expect("not poisoned").insert(at, running);
        activator
    }

    /// Ends a controller without notice: its lease runs out by itself.
    pub fn kill(&self, at: usize) {
        let running = self.running.lock().expect("not poisoned").remove(&at).expect("it runs");
        self.state.refuse(&running.client, true);
        self.farm.callers.end(&running.client);
        running.stop.cancel();
    }

    /// Ends a controller in an orderly way.
    pub fn shut_down(&self, at: usize) {
        let running = self.running.lock().expect("not poisoned").remove(&at).expect("it runs");
        running.stop.cancel();
    }

    fn client_of(&self, at: usize) -> String {
        self.running.lock().expect("not poisoned")[&at].client.clone()
    }

    /// Lets a controller stand still.
    pub fn pause(&self, at: usize, seconds: u64) {
        let client = self.client_of(at);
        let until = Instant::now() + Duration::from_secs(seconds);
        self.state.freeze(&client, until);
        self.farm.callers.freeze(&client, until);
    }

    /// The state service refuses this controller alone.
    pub fn refuse(&self, at: usize, on: bool) {
        self.state.refuse(&self.client_of(at), on);
    }

    /// The controller's next transactions are carried out, but not answered.
    pub fn lose_state_answers(&self, at: usize, count: u32) {
        self.state.lose_answers(&self.client_of(at), count);
    }

    /// The same of its orders to start and stop replicas.
    pub fn mute_farm(&self, at: usize, count: u32) {
        self.farm.callers.lose_answers(&self.client_of(at), count);
    }

    pub fn activator(&self, at: usize) -> Arc<Activator> {
        self.running.lock().expect("not poisoned")[&at].activator.clone()
    }

    /// A model's record, straight from the state service.
    pub fn record(&self, model: &str) -> ActivationRecord {
        let text = self.state.value(&record_key(model));
        text.map_or_else(ActivationRecord::default, |text| {
            serde_json::from_str(&text).expect("a record")
        })
    }

    /// Which controller owns the activation under way.
    pub fn owner(&self, model: &str) -> Option<usize> {
        let record = self.record(model);
        let member = &record.activation()?.owner.member;
        member.strip_prefix("m-")?.parse().ok()
    }

    /// One request to a controller, seen through.
    pub async fn request(&self, at: usize, model: &str) -> Outcome {
        let activator = self.activator(at);
        let admission = match activator.admit(model, 100).await {
            Ok(admission) => admission,
            Err(refusal) => return Outcome::Refused(refusal),
        };
        let endpoint = admission.endpoints().next().expect("an endpoint").to_owned();
        let began = self.farm.answers(&endpoint);
        sleep(WORK).await;
        let ended = self.farm.answers(&endpoint);
        if began && ended { Outcome::Answered } else { Outcome::Broken }
    }

    /// Many requests at once, over all controllers that run.
    pub async fn burst(&self, count: usize, model: &str) -> Vec<Outcome> {
        let nodes: Vec<usize> =
            self.running.lock().expect("not poisoned").keys().copied().collect();
        let mut under_way = Vec::new();
        for number in 0..count {
            let fleet = self.clone();
            let (at, model) = (nodes[number % nodes.len()], model.to_owned());
            under_way.push(tokio::spawn(async move { fleet.request(at, &model).await }));
        }
        let mut outcomes = Vec::new();
        for request in under_way {
            outcomes.push(request.await.expect("ran"));
        }
        outcomes
    }

    /// Waits until something holds.
    pub async fn until(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let limit = Instant::now() + Duration::from_secs(600);
        while !holds(self) {
            assert!(Instant::now() < limit, "never came true: {what}: {:?}", self.record("router"));
            sleep(Duration::from_millis(5)).await;
        }
    }

    /// No two starts of a model lived at once, and no user's job was touched.
    pub fn no_rule_broken(&self) {
        assert_eq!(self.farm.broken(), Vec::<String>::new());
        for job in self.farm.taken() {
            assert!(!self.farm.was_stopped(&job), "{job} belongs to a user");
        }
    }
}
