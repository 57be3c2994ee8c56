//! Stand-in servers: replicas on machines, that load, answer, fail and are stopped. They
//! refuse orders of whoever was replaced, and keep their own log.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use futures_util::future::BoxFuture;
use stonewheel_rollout::{HostError, ProbeResult, ReplicaHost, ReplicaOrder};
use stonewheel_testing::Callers;
use tokio::time::{Instant, sleep};

const LATENCY: Duration = Duration::from_millis(10);
const PATIENCE: Duration = Duration::from_secs(1);
/// How long a server loads until it answers.
pub const LOAD: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
struct Server {
    version: String,
    machine: Option<usize>,
    /// Since when it has its place.
    placed: Instant,
    /// It never answers.
    dud: bool,
    stopped: bool,
}

#[derive(Default)]
struct State {
    machines: Vec<bool>,
    /// Servers that one machine holds.
    capacity: usize,
    servers: BTreeMap<String, Server>,
    epoch: u64,
    /// Servers of these versions that start from now on never answer.
    duds: BTreeSet<String>,
    /// Servers of these versions answer in even seconds only.
    flapping: BTreeSet<String>,
    starts: u32,
    stops: HashMap<String, u32>,
    refused: u32,
    began: Option<Instant>,
}

impl State {
    fn answers(&self, server: &Server) -> bool {
        let up = server.machine.is_some_and(|machine| self.machines[machine]);
        let second = self.began.map_or(0, |began| began.elapsed().as_secs());
        let flaps = self.flapping.contains(&server.version) && second % 2 == 1;
        up && !server.stopped && !server.dud && !flaps && server.placed.elapsed() >= LOAD
    }

    /// Gives places to servers that have none.
    fn place(&mut self) {
        let waiting: Vec<String> = self
            .servers
            .iter()
            .filter(|(_, server)| server.machine.is_none() && !server.stopped)
            .map(|(job, _)| job.clone())
            .collect();
        for job in waiting {
            let held = |machine: usize| {
                let on = |s: &&Server| s.machine == Some(machine) && !s.stopped;
                self.servers.values().filter(on).count()
            };
            let up = (0..self.machines.len()).filter(|machine| self.machines[*machine]);
            let emptiest = up.min_by_key(|machine| held(*machine));
            if let Some(machine) = emptiest.filter(|machine| held(*machine) < self.capacity)
                && let Some(server) = self.servers.get_mut(&job)
            {
                (server.machine, server.placed) = (Some(machine), Instant::now());
            }
        }
    }
}

/// The stand-in.
#[derive(Clone)]
pub struct Servers {
    state: Arc<Mutex<State>>,
    pub callers: Callers,
}

impl Servers {
    pub fn new(machines: usize, capacity: usize) -> Self {
        let state = Arc::new(Mutex::new(State {
            machines: vec![true; machines],
            capacity,
            began: Some(Instant::now()),
            ..State::default()
        }));
        Self { state, callers: Callers::default() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    pub fn client(&self, name: &str) -> Arc<dyn ReplicaHost> {
        Arc::new(Client { servers: self.clone(), name: name.into() })
    }

    pub fn answers(&self, job: &str) -> bool {
        let state = self.lock();
        state.servers.get(job).is_some_and(|server| state.answers(server))
    }

    /// Whether a server was stopped by an order.
    pub fn was_stopped(&self, job: &str) -> bool {
        self.lock().servers.get(job).is_some_and(|server| server.stopped)
    }

    pub fn starts(&self) -> u32 {
        self.lock().starts
    }

    /// How often the most often stopped server was stopped.
    pub fn most_stops_of_one(&self) -> u32 {
        self.lock().stops.values().copied().max().unwrap_or(0)
    }

    pub fn refused(&self) -> u32 {
        self.lock().refused
    }

    /// The machine that holds most servers of a version.
    pub fn fullest(&self, version: &str) -> usize {
        let state = self.lock();
        let held = |machine: &usize| {
            let on = |s: &&Server| s.machine == Some(*machine) && s.version == version;
            state.servers.values().filter(on).count()
        };
        (0..state.machines.len()).max_by_key(held).expect("there are machines")
    }

    /// A machine is gone; its servers load again elsewhere.
    pub fn lose_machine(&self, machine: usize) {
        let mut state = self.lock();
        state.machines[machine] = false;
        for server in state.servers.values_mut().filter(|s| s.machine == Some(machine)) {
            server.machine = None;
        }
        state.place();
    }

    pub fn set_capacity(&self, capacity: usize) {
        let mut state = self.lock();
        state.capacity = capacity;
        state.place();
    }

    pub fn let_starts_fail(&self, version: &str) {
        self.lock().duds.insert(version.into());
    }

    pub fn let_flap(&self, version: &str) {
        self.lock().flapping.insert(version.into());
    }
}

impl State {
    fn accept(&mut self, order: &ReplicaOrder) -> Result<(), HostError> {
        if order.epoch < self.epoch {
            self.refused += 1;
            return Err(HostError::Stale);
        }
        self.epoch = order.epoch;
        Ok(())
    }

    fn start(&mut self, order: &ReplicaOrder) -> Result<(), HostError> {
        self.accept(order)?;
        if !self.servers.contains_key(&order.job) {
            self.starts += 1;
            let server = Server {
                version: order.version.clone(),
                machine: None,
                placed: Instant::now(),
                dud: self.duds.contains(&order.version),
                stopped: false,
            };
            self.servers.insert(order.job.clone(), server);
            self.place();
        }
        Ok(())
    }

    fn probe(&mut self, order: &ReplicaOrder) -> Result<ProbeResult, HostError> {
        let Some(server) = self.servers.get(&order.job) else { return Ok(ProbeResult::NoCapacity) };
        let Some(machine) = server.machine.filter(|_| !server.stopped) else {
            return Ok(if server.stopped { ProbeResult::Gone } else { ProbeResult::NoCapacity });
        };
        let machine = format!("n-{machine}");
        Ok(if self.answers(server) {
            ProbeResult::Answering { machine, endpoint: order.job.clone() }
        } else {
            ProbeResult::Unresponsive { machine }
        })
    }

    fn stop(&mut self, order: &ReplicaOrder) -> Result<(), HostError> {
        self.accept(order)?;
        if let Some(server) = self.servers.get_mut(&order.job)
            && !server.stopped
        {
            server.stopped = true;
            server.machine = None;
            *self.stops.entry(order.job.clone()).or_default() += 1;
            self.place();
        }
        Ok(())
    }
}

struct Client {
    servers: Servers,
    name: String,
}

impl Client {
    async fn call<T>(
        &self,
        work: impl FnOnce(&mut State) -> Result<T, HostError>,
    ) -> Result<T, HostError> {
        self.servers.callers.arrive(&self.name, LATENCY).await;
        let answer = work(&mut self.servers.lock());
        if self.servers.callers.loses_answer(&self.name) {
            sleep(PATIENCE).await;
            return Err(HostError::Unavailable("no answer".into()));
        }
        answer
    }
}

impl ReplicaHost for Client {
    fn start(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<(), HostError>> {
        let order = order.clone();
        Box::pin(async move { self.call(|state| state.start(&order)).await })
    }

    fn probe(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<ProbeResult, HostError>> {
        let order = order.clone();
        Box::pin(async move { self.call(|state| state.probe(&order)).await })
    }

    fn stop(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<(), HostError>> {
        let order = order.clone();
        Box::pin(async move { self.call(|state| state.stop(&order)).await })
    }
}
