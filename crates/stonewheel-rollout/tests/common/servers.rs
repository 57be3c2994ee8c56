//! Simulated servers: replicas on machines that load, answer, fail and are stopped. They
//! refuse orders of former owners, and count starts, stops and refused orders.

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
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a server loads on its machine until it answers.
pub const LOAD_TIME: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
struct Server {
    version: String,
    machine: Option<usize>,
    /// When the server was placed on its machine.
    placed_at: Instant,
    /// Whether the server was started while its version was broken.
    never_answers: bool,
    stopped: bool,
}

#[derive(Default)]
struct State {
    machines: Vec<bool>,
    /// The most servers on one machine.
    servers_per_machine: usize,
    servers: BTreeMap<String, Server>,
    epoch: u64,
    /// Versions whose servers never answer if they start from now on.
    broken_versions: BTreeSet<String>,
    /// Versions whose servers answer in even seconds only.
    flapping_versions: BTreeSet<String>,
    starts: u32,
    stops: HashMap<String, u32>,
    refused_orders: u32,
    started_at: Option<Instant>,
}

impl State {
    fn answers(&self, server: &Server) -> bool {
        let up = server.machine.is_some_and(|machine| self.machines[machine]);
        let second = self.started_at.map_or(0, |started_at| started_at.elapsed().as_secs());
        let flaps = self.flapping_versions.contains(&server.version) && second % 2 == 1;
        up && !server.stopped
            && !server.never_answers
            && !flaps
            && server.placed_at.elapsed() >= LOAD_TIME
    }

    /// Places servers that have no machine, each on the machine with the fewest servers.
    fn place(&mut self) {
        let waiting: Vec<String> = self
            .servers
            .iter()
            .filter(|(_, server)| server.machine.is_none() && !server.stopped)
            .map(|(job, _)| job.clone())
            .collect();
        for job in waiting {
            let servers_on = |machine: usize| {
                let is_on = |s: &&Server| s.machine == Some(machine) && !s.stopped;
                self.servers.values().filter(is_on).count()
            };
            let up = (0..self.machines.len()).filter(|machine| self.machines[*machine]);
            let least_loaded = up.min_by_key(|machine| servers_on(*machine));
            if let Some(machine) =
                least_loaded.filter(|machine| servers_on(*machine) < self.servers_per_machine)
                && let Some(server) = self.servers.get_mut(&job)
            {
                (server.machine, server.placed_at) = (Some(machine), Instant::now());
            }
        }
    }
}

/// A shared handle to the simulated servers.
#[derive(Clone)]
pub struct Servers {
    state: Arc<Mutex<State>>,
    pub callers: Callers,
}

impl Servers {
    pub fn new(machines: usize, servers_per_machine: usize) -> Self {
        let state = Arc::new(Mutex::new(State {
            machines: vec![true; machines],
            servers_per_machine,
            started_at: Some(Instant::now()),
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

    /// Returns the largest number of stops of a single server.
    pub fn max_stops_per_server(&self) -> u32 {
        self.lock().stops.values().copied().max().unwrap_or(0)
    }

    pub fn refused_orders(&self) -> u32 {
        self.lock().refused_orders
    }

    /// Returns the machine with the most servers of a version.
    pub fn machine_with_most_servers(&self, version: &str) -> usize {
        let state = self.lock();
        let servers_on = |machine: &usize| {
            let is_on = |s: &&Server| s.machine == Some(*machine) && s.version == version;
            state.servers.values().filter(is_on).count()
        };
        (0..state.machines.len()).max_by_key(servers_on).expect("there are machines")
    }

    /// Removes a machine. Its servers load again on other machines.
    pub fn lose_machine(&self, machine: usize) {
        let mut state = self.lock();
        state.machines[machine] = false;
        for server in state.servers.values_mut().filter(|s| s.machine == Some(machine)) {
            server.machine = None;
        }
        state.place();
    }

    pub fn set_servers_per_machine(&self, servers_per_machine: usize) {
        let mut state = self.lock();
        state.servers_per_machine = servers_per_machine;
        state.place();
    }

    pub fn break_new_servers(&self, version: &str) {
        self.lock().broken_versions.insert(version.into());
    }

    pub fn make_flapping(&self, version: &str) {
        self.lock().flapping_versions.insert(version.into());
    }
}

impl State {
    fn check_epoch(&mut self, order: &ReplicaOrder) -> Result<(), HostError> {
        if order.epoch < self.epoch {
            self.refused_orders += 1;
            return Err(HostError::Stale);
        }
        self.epoch = order.epoch;
        Ok(())
    }

    fn start(&mut self, order: &ReplicaOrder) -> Result<(), HostError> {
        self.check_epoch(order)?;
        if !self.servers.contains_key(&order.job) {
            self.starts += 1;
            let server = Server {
                version: order.version.clone(),
                machine: None,
                placed_at: Instant::now(),
                never_answers: self.broken_versions.contains(&order.version),
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
        self.check_epoch(order)?;
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
            sleep(CALL_TIMEOUT).await;
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
