//! An in-memory replica starter. It logs the starts that it carries out, so that tests
//! count actual starts instead of those that the activation records state.

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
/// Time that a caller waits for a response that was lost.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A start that was carried out.
#[derive(Clone, Debug, PartialEq)]
pub struct LoggedStart {
    pub model: String,
    pub generation: u64,
    pub epoch: u64,
    pub job: String,
    pub started_at: Instant,
}

#[derive(Clone, Debug)]
struct Job {
    model: String,
    /// None if the replica never answers.
    ready_at: Option<Instant>,
    exited: bool,
    stopped: bool,
}

impl Job {
    fn is_live(&self) -> bool {
        !self.exited && !self.stopped
    }

    fn is_ready(&self, now: Instant) -> bool {
        self.is_live() && self.ready_at.is_some_and(|ready_at| ready_at <= now)
    }
}

#[derive(Default)]
struct State {
    startup_time: Duration,
    /// Highest fencing token seen, by model.
    epochs: HashMap<String, u64>,
    jobs: BTreeMap<String, Job>,
    /// Ids of users' jobs, which an order must not take over or stop.
    user_jobs: HashSet<String>,
    /// Number of the next start orders whose job ids become ids of users' jobs.
    next_ids_of_users: u32,
    starts: Vec<LoggedStart>,
    /// Orders refused because an order with a higher fencing token was seen before.
    refused_orders: Vec<ReplicaOrder>,
    /// Starts that were carried out while another job of the model was live.
    violations: Vec<String>,
    /// Number of the next starts whose replicas never answer.
    hanging_starts: u32,
    /// Number of the next starts whose replicas exit immediately.
    failing_starts: u32,
    /// Whether start orders are rejected permanently.
    reject_starts: bool,
}

/// The starter, shared by the clients of all controllers.
#[derive(Clone)]
pub struct InMemoryStarter {
    state: Arc<Mutex<State>>,
    pub callers: Callers,
}

impl InMemoryStarter {
    pub fn new(startup_time: Duration) -> Self {
        let state = Arc::new(Mutex::new(State { startup_time, ..State::default() }));
        Self { state, callers: Callers::default() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    /// Returns a starter whose calls are made under a name, by which tests delay them or
    /// lose their responses.
    pub fn client(&self, name: &str) -> Arc<dyn ReplicaStarter> {
        Arc::new(StarterClient { starter: self.clone(), name: name.into() })
    }

    /// Returns the starts that were carried out.
    pub fn starts(&self) -> Vec<LoggedStart> {
        self.lock().starts.clone()
    }

    pub fn starts_of(&self, model: &str) -> usize {
        self.lock().starts.iter().filter(|start| start.model == model).count()
    }

    /// Returns the number of orders refused because of a lower fencing token.
    pub fn refused(&self) -> usize {
        self.lock().refused_orders.len()
    }

    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    /// Returns the number of live jobs of a model: started, neither exited nor stopped.
    pub fn live(&self, model: &str) -> usize {
        let state = self.lock();
        state.jobs.values().filter(|job| job.model == model && job.is_live()).count()
    }

    /// Whether the replica at an endpoint, which is its job id, answers.
    pub fn is_ready(&self, endpoint: &str) -> bool {
        self.lock().jobs.get(endpoint).is_some_and(|job| job.is_ready(Instant::now()))
    }

    pub fn was_stopped(&self, job: &str) -> bool {
        self.lock().jobs.get(job).is_some_and(|job| job.stopped)
    }

    /// Makes all replicas of a model exit, as after a crash.
    pub fn end_replicas(&self, model: &str) {
        for job in self.lock().jobs.values_mut().filter(|job| job.model == model) {
            job.exited = true;
        }
    }

    /// Makes the replicas of a model stop answering while they continue to run, or answer
    /// again.
    pub fn set_unresponsive(&self, model: &str, unresponsive: bool) {
        let now = Instant::now();
        for job in self.lock().jobs.values_mut().filter(|job| job.model == model) {
            job.ready_at = (!unresponsive).then_some(now);
        }
    }

    /// Makes the replicas of the next `count` starts never answer.
    pub fn hang_next_starts(&self, count: u32) {
        self.lock().hanging_starts = count;
    }

    /// Makes the replicas of the next `count` starts exit immediately.
    pub fn fail_next_starts(&self, count: u32) {
        self.lock().failing_starts = count;
    }

    /// Sets whether start orders are rejected permanently.
    pub fn set_reject_starts(&self, on: bool) {
        self.lock().reject_starts = on;
    }

    /// Makes the job ids of the next `count` start orders belong to users' jobs.
    pub fn assign_next_ids_to_users(&self, count: u32) {
        self.lock().next_ids_of_users = count;
    }

    /// Returns the ids of users' jobs.
    pub fn user_jobs(&self) -> Vec<String> {
        self.lock().user_jobs.iter().cloned().collect()
    }
}

impl State {
    /// Whether the order has a lower fencing token than an earlier one, so that its
    /// sender no longer owns the activation.
    fn is_stale(&mut self, order: &ReplicaOrder) -> bool {
        let highest = self.epochs.entry(order.model.clone()).or_default();
        if order.epoch < *highest {
            self.refused_orders.push(order.clone());
            return true;
        }
        *highest = order.epoch;
        false
    }

    fn start(&mut self, order: &ReplicaOrder) -> Result<(), StarterError> {
        if self.is_stale(order) {
            return Err(StarterError::Stale);
        }
        if self.reject_starts {
            return Err(StarterError::Rejected("no such team".into()));
        }
        if self.next_ids_of_users > 0 {
            self.next_ids_of_users -= 1;
            self.user_jobs.insert(order.job.clone());
        }
        if self.user_jobs.contains(&order.job) {
            return Err(StarterError::IdTaken);
        }
        if self.jobs.contains_key(&order.job) {
            return Ok(());
        }
        let now = Instant::now();
        let live_jobs: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.model == order.model && job.is_live())
            .map(|(id, _)| id.clone())
            .collect();
        if !live_jobs.is_empty() {
            self.violations.push(format!("{} started while {live_jobs:?} were live", order.job));
        }
        let hangs = self.hanging_starts > 0;
        self.hanging_starts = self.hanging_starts.saturating_sub(1);
        let fails = self.failing_starts > 0;
        self.failing_starts = self.failing_starts.saturating_sub(1);
        self.starts.push(LoggedStart {
            model: order.model.clone(),
            generation: order.generation,
            epoch: order.epoch,
            job: order.job.clone(),
            started_at: now,
        });
        let job = Job {
            model: order.model.clone(),
            ready_at: (!hangs).then(|| now + self.startup_time),
            exited: fails,
            stopped: false,
        };
        self.jobs.insert(order.job.clone(), job);
        Ok(())
    }

    fn probe(&mut self, order: &ReplicaOrder) -> Result<Replicas, StarterError> {
        let Some(job) = self.jobs.get(&order.job) else { return Ok(Replicas::Gone) };
        Ok(if !job.is_live() {
            Replicas::Gone
        } else if job.is_ready(Instant::now()) {
            Replicas::Ready(vec![order.job.clone()])
        } else {
            Replicas::Pending
        })
    }

    fn stop(&mut self, order: &ReplicaOrder) -> Result<(), StarterError> {
        if self.is_stale(order) {
            return Err(StarterError::Stale);
        }
        if self.user_jobs.contains(&order.job) {
            return Ok(());
        }
        let model = order.model.clone();
        let never_started = Job { model, ready_at: None, exited: true, stopped: true };
        self.jobs.entry(order.job.clone()).or_insert(never_started).stopped = true;
        Ok(())
    }
}

/// Access of one controller to the starter.
struct StarterClient {
    starter: InMemoryStarter,
    name: String,
}

impl StarterClient {
    async fn call<T>(
        &self,
        operation: impl FnOnce(&mut State) -> Result<T, StarterError>,
    ) -> Result<T, StarterError> {
        self.starter.callers.arrive(&self.name, LATENCY / 2).await;
        let result = operation(&mut self.starter.lock());
        if self.starter.callers.loses_answer(&self.name) {
            sleep(RESPONSE_TIMEOUT).await;
            return Err(StarterError::Unavailable("no answer".into()));
        }
        sleep(LATENCY / 2).await;
        result
    }
}

impl ReplicaStarter for StarterClient {
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
