//! A stand-in for what starts and stops replicas. It keeps its own log, so that tests
//! count starts by what was carried out, not by what the records say.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use futures_util::future::BoxFuture;
use stonewheel_activation::{ReplicaOrder, ReplicaStarter, Replicas, StarterError};
use stonewheel_testing::Callers;
use tokio::time::{Instant, sleep};

const LATENCY: Duration = Duration::from_millis(20);
/// How long a caller waits for an answer that was lost.
const PATIENCE: Duration = Duration::from_secs(1);

/// A start that was carried out.
#[derive(Clone, Debug, PartialEq)]
pub struct LoggedStart {
    pub model: String,
    pub generation: u64,
    pub epoch: u64,
    pub job: String,
    pub at: Instant,
}

#[derive(Clone, Debug)]
struct Job {
    model: String,
    /// None: it never answers.
    ready_at: Option<Instant>,
    dead: bool,
    stopped: bool,
}

impl Job {
    fn lives(&self) -> bool {
        !self.dead && !self.stopped
    }

    fn answers(&self, now: Instant) -> bool {
        self.lives() && self.ready_at.is_some_and(|at| at <= now)
    }
}

#[derive(Default)]
struct State {
    boot: Duration,
    epochs: HashMap<String, u64>,
    jobs: BTreeMap<String, Job>,
    /// Ids of jobs that belong to users.
    taken: HashSet<String>,
    take_next: u32,
    log: Vec<LoggedStart>,
    /// Orders that came from whoever was replaced.
    refused: Vec<ReplicaOrder>,
    broken: Vec<String>,
    /// How many of the next starts never answer, and how many die at once.
    silent_starts: u32,
    dying_starts: u32,
    rejects: bool,
}

/// The stand-in.
#[derive(Clone)]
pub struct Farm {
    state: Arc<Mutex<State>>,
    pub callers: Callers,
}

impl Farm {
    pub fn new(boot: Duration) -> Self {
        let state = Arc::new(Mutex::new(State { boot, ..State::default() }));
        Self { state, callers: Callers::default() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    pub fn client(&self, name: &str) -> Arc<dyn ReplicaStarter> {
        Arc::new(FarmClient { farm: self.clone(), name: name.into() })
    }

    pub fn starts(&self) -> Vec<LoggedStart> {
        self.lock().log.clone()
    }

    pub fn starts_of(&self, model: &str) -> usize {
        self.lock().log.iter().filter(|start| start.model == model).count()
    }

    pub fn refused(&self) -> usize {
        self.lock().refused.len()
    }

    pub fn broken(&self) -> Vec<String> {
        self.lock().broken.clone()
    }

    /// Jobs of a model that were started and not stopped.
    pub fn live(&self, model: &str) -> usize {
        let state = self.lock();
        state.jobs.values().filter(|job| job.model == model && job.lives()).count()
    }

    pub fn answers(&self, endpoint: &str) -> bool {
        self.lock().jobs.get(endpoint).is_some_and(|job| job.answers(Instant::now()))
    }

    pub fn was_stopped(&self, job: &str) -> bool {
        self.lock().jobs.get(job).is_some_and(|job| job.stopped)
    }

    /// Replicas of a model end by themselves.
    pub fn lose(&self, model: &str) {
        for job in self.lock().jobs.values_mut().filter(|job| job.model == model) {
            job.dead = true;
        }
    }

    /// Replicas of a model stop answering, but run on; or they answer again.
    pub fn set_silent(&self, model: &str, silent: bool) {
        let now = Instant::now();
        for job in self.lock().jobs.values_mut().filter(|job| job.model == model) {
            job.ready_at = (!silent).then_some(now);
        }
    }

    pub fn let_starts_hang(&self, count: u32) {
        self.lock().silent_starts = count;
    }

    pub fn let_starts_die(&self, count: u32) {
        self.lock().dying_starts = count;
    }

    pub fn reject(&self, on: bool) {
        self.lock().rejects = on;
    }

    /// The next ids asked for belong to jobs of users.
    pub fn take_next_names(&self, count: u32) {
        self.lock().take_next = count;
    }

    /// Users' jobs, which nobody may touch.
    pub fn taken(&self) -> Vec<String> {
        self.lock().taken.iter().cloned().collect()
    }
}

impl State {
    /// Whether an order is of somebody who was replaced.
    fn stale(&mut self, order: &ReplicaOrder) -> bool {
        let highest = self.epochs.entry(order.model.clone()).or_default();
        if order.epoch < *highest {
            self.refused.push(order.clone());
            return true;
        }
        *highest = order.epoch;
        false
    }

    fn start(&mut self, order: &ReplicaOrder) -> Result<(), StarterError> {
        if self.stale(order) {
            return Err(StarterError::Stale);
        }
        if self.rejects {
            return Err(StarterError::Rejected("no such team".into()));
        }
        if self.take_next > 0 {
            self.take_next -= 1;
            self.taken.insert(order.job.clone());
        }
        if self.taken.contains(&order.job) {
            return Err(StarterError::IdTaken);
        }
        if self.jobs.contains_key(&order.job) {
            return Ok(());
        }
        let now = Instant::now();
        let others: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.model == order.model && job.lives())
            .map(|(id, _)| id.clone())
            .collect();
        if !others.is_empty() {
            self.broken.push(format!("{} started while {others:?} live", order.job));
        }
        let hangs = self.silent_starts > 0;
        self.silent_starts = self.silent_starts.saturating_sub(1);
        let dies = self.dying_starts > 0;
        self.dying_starts = self.dying_starts.saturating_sub(1);
        self.log.push(LoggedStart {
            model: order.model.clone(),
            generation: order.generation,
            epoch: order.epoch,
            job: order.job.clone(),
            at: now,
        });
        let job = Job {
            model: order.model.clone(),
            ready_at: (!hangs).then(|| now + self.boot),
            dead: dies,
            stopped: false,
        };
        self.jobs.insert(order.job.clone(), job);
        Ok(())
    }

    fn probe(&mut self, order: &ReplicaOrder) -> Result<Replicas, StarterError> {
        let Some(job) = self.jobs.get(&order.job) else { return Ok(Replicas::Gone) };
        Ok(if !job.lives() {
            Replicas::Gone
        } else if job.answers(Instant::now()) {
            Replicas::Ready(vec![order.job.clone()])
        } else {
            Replicas::Pending
        })
    }

    fn stop(&mut self, order: &ReplicaOrder) -> Result<(), StarterError> {
        if self.stale(order) {
            return Err(StarterError::Stale);
        }
        if self.taken.contains(&order.job) {
            return Ok(());
        }
        let model = order.model.clone();
        let never = Job { model, ready_at: None, dead: true, stopped: true };
        self.jobs.entry(order.job.clone()).or_insert(never).stopped = true;
        Ok(())
    }
}

struct FarmClient {
    farm: Farm,
    name: String,
}

impl FarmClient {
    async fn call<T>(
        &self,
        work: impl FnOnce(&mut State) -> Result<T, StarterError>,
    ) -> Result<T, StarterError> {
        self.farm.callers.arrive(&self.name, LATENCY / 2).await;
        let answer = work(&mut self.farm.lock());
        if self.farm.callers.loses_answer(&self.name) {
            sleep(PATIENCE).await;
            return Err(StarterError::Unavailable("no answer".into()));
        }
        sleep(LATENCY / 2).await;
        answer
    }
}

impl ReplicaStarter for FarmClient {
    fn start(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<(), StarterError>> {
        let order = order.clone();
        Box::pin(async move { self.call(|state| state.start(&order)).await })
    }

    fn probe(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<Replicas, StarterError>> {
        let order = order.clone();
        Box::pin(async move { self.call(|state| state.probe(&order)).await })
    }

    fn stop(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<(), StarterError>> {
        let order = order.clone();
        Box::pin(async move { self.call(|state| state.stop(&order)).await })
    }
}
