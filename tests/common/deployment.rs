//! The simulated deployment: its controllers, and what all of its parts share.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{Arc, Mutex},
    time::Duration,
};

use stonewheel::{
    node::Node,
    protocol::{JobSpec, JobState, MachineId},
    settings::Member,
};
use stonewheel_activation::ActivationSettings;
use stonewheel_lending::LendingSettings;
use stonewheel_rollout::Rollouts;
use tokio::{
    sync::Semaphore,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

use super::{
    LateCommands, MemState,
    invariants::Checker,
    lock,
    settings::{scale_settings, settings, settings_with_coming_limits},
    workers::{InMemoryWorkers, Worker},
};

#[derive(Default)]
pub(super) struct Inner {
    pub(super) nodes: Vec<Option<(Arc<Node>, CancellationToken)>>,
    pub(super) workers: BTreeMap<MachineId, Worker>,
    pub(super) rented: HashMap<String, Vec<MachineId>>,
    pub(super) next: u32,
    pub(super) violations: Vec<String>,
    /// Nodes that speak as the version before does.
    pub(super) previous_version_nodes: BTreeSet<usize>,
    /// Reports to a node that a worker is cut from hang until it gives up, rather
    /// than fail at once.
    pub(super) partitions_hang: bool,
    /// Nodes partitioned from the other controllers.
    pub(super) disconnected: BTreeSet<usize>,
    pub(super) starts: u32,
    pub(super) no_capacity: bool,
    pub(super) coming_limits: bool,
    pub(super) seeds: u64,
    pub(super) specs: HashMap<String, JobSpec>,
    /// When users were told that these are cancelled, and what else is final.
    pub(super) cancellation_answers: HashMap<String, Instant>,
    pub(super) final_states: HashMap<String, JobState>,
    /// The records, for what tasks may start.
    pub(super) store: MemState,
    /// How long a task runs; services never end.
    pub(super) run: HashMap<String, Duration>,
    /// Which direct commands come late.
    pub(super) late_commands: Option<LateCommands>,
    /// Until when these nodes be paused.
    pub(super) frozen: HashMap<usize, Instant>,
    /// Holds what workers run against the records.
    pub(super) checker: Checker,
    /// Whether every second machine that is up from the start is in the second zone.
    pub(super) spread: bool,
    /// Models that scale to zero, for nodes that start from now on.
    pub(super) activation: Option<ActivationSettings>,
    /// Services that are rolled out in steps, likewise.
    pub(super) rollouts: Option<Rollouts>,
    pub(super) lending: Option<LendingSettings>,
    /// How many times the usual settings' rates and sockets there are, if not once.
    pub(super) scale: Option<f64>,
}

/// A whole deployment in memory.
#[derive(Clone, Default)]
pub struct TestDeployment {
    pub state: MemState,
    pub(super) inner: Arc<Mutex<Inner>>,
}

impl TestDeployment {
    /// Three controllers and some ordinary machines in zone `a`.
    pub async fn new(machines: u32) -> Self {
        Self::default().start(machines).await
    }

    /// The same, where limits of the state service are to come.
    pub async fn with_coming_limits(machines: u32) -> Self {
        Self::in_upgrade(machines, &[]).await
    }

    /// The same, while these nodes are still of the version before.
    pub async fn in_upgrade(machines: u32, old: &[usize]) -> Self {
        let deployment = Self::default();
        lock(&deployment.inner).coming_limits = true;
        for node in old {
            deployment.set_previous_version(*node, true);
        }
        deployment.start(machines).await
    }

    /// The same with machines in both zones.
    pub async fn in_two_zones(machines: u32) -> Self {
        let deployment = Self::default();
        lock(&deployment.inner).spread = true;
        deployment.start(machines).await
    }

    /// The same with rates and sockets for a fleet of `scale` times the usual size.
    pub async fn in_two_zones_scaled(machines: u32, scale: f64) -> Self {
        let deployment = Self::default();
        lock(&deployment.inner).spread = true;
        lock(&deployment.inner).scale = Some(scale);
        deployment.start(machines).await
    }

    pub(super) async fn start(self, machines: u32) -> Self {
        let deployment = self;
        {
            let mut inner = lock(&deployment.inner);
            inner.nodes = vec![None, None, None];
            inner.store = deployment.state.clone();
            inner.checker.watch(deployment.state.clone());
        }
        for node in 0..3 {
            deployment.start_node(node);
        }
        tokio::spawn(deployment.clone().run_links());
        tokio::spawn(deployment.clone().check_cancelled_tasks());
        for number in 0..machines {
            let second = lock(&deployment.inner).spread && number % 2 == 1;
            deployment.add_machine(if second { "b" } else { "a" });
        }
        deployment
            .until("a leader knows the machine types", || {
                deployment.leader().is_some() && deployment.state.value("sw/types").is_some()
            })
            .await;
        // The watch brings them to every node.
        sleep(Duration::from_secs(1)).await;
        deployment
    }

    /// Nodes that start from now on know these models.
    pub fn set_activation(&self, activation: Option<ActivationSettings>) {
        lock(&self.inner).activation = activation;
    }

    /// Nodes that start from now on know these services.
    pub fn set_rollouts(&self, rollouts: Option<Rollouts>) {
        lock(&self.inner).rollouts = rollouts;
    }

    /// Nodes that start from now on lend by these settings.
    pub fn set_lending(&self, lending: Option<LendingSettings>) {
        lock(&self.inner).lending = lending;
    }

    /// A node's stop token, for what runs beside it.
    pub fn stop_token(&self, at: usize) -> CancellationToken {
        lock(&self.inner).nodes[at].as_ref().expect("it runs").1.child_token()
    }

    pub fn start_node(&self, at: usize) {
        let name = format!("m-{at}");
        let stop = CancellationToken::new();
        let seed = {
            let mut inner = lock(&self.inner);
            inner.seeds += 1;
            inner.seeds
        };
        let (state, cloud) = (self.state.client(&name), Arc::new(self.clone()));
        let coming = lock(&self.inner).coming_limits;
        let mut settings =
            if coming { settings_with_coming_limits(&name) } else { settings(&name) };
        if let Some(scale) = lock(&self.inner).scale {
            scale_settings(&mut settings, scale);
        }
        let sockets = Arc::new(Semaphore::new(settings.max_direct_calls()));
        let workers = Arc::new(InMemoryWorkers { deployment: self.clone(), at, sockets });
        // Machines stay long enough for a scenario to end.
        settings.operator.idle_boots = 10.0;
        settings.operator.activation = lock(&self.inner).activation.clone();
        settings.operator.rollout = lock(&self.inner).rollouts.clone();
        settings.operator.lending = lock(&self.inner).lending.clone();
        settings.members = (0..3)
            .filter(|other| *other != at)
            .map(|other| Member {
                member: format!("m-{other}"),
                endpoint: "127.0.0.1:9".parse().expect("an address"),
            })
            .collect();
        let node = Node::new(settings, state, cloud, workers, seed);
        node.spawn_background_tasks(&stop).close();
        lock(&self.inner).nodes[at] = Some((node, stop));
    }

    /// Ends a node without any farewell.
    pub fn kill_node(&self, at: usize) {
        if let Some((_, stop)) = lock(&self.inner).nodes[at].take() {
            stop.cancel();
        }
        self.state.refuse(&format!("m-{at}"), false);
    }

    pub fn node(&self, at: usize) -> Arc<Node> {
        lock(&self.inner).nodes[at].as_ref().expect("the node runs").0.clone()
    }

    /// A node, if its process runs.
    pub fn running_node(&self, at: usize) -> Option<usize> {
        lock(&self.inner).nodes[at].as_ref().map(|_| at)
    }

    /// Who leads, as the state service has it.
    pub fn leader(&self) -> Option<usize> {
        let lead: serde_json::Value = serde_json::from_str(&self.state.value("sw/lead")?).ok()?;
        lead["member"].as_str()?.strip_prefix("m-")?.parse().ok()
    }

    pub async fn until(&self, what: &str, mut holds: impl FnMut() -> bool) {
        let limit = Instant::now() + Duration::from_secs(240);
        while !holds() {
            assert!(Instant::now() < limit, "never came true: {what}");
            sleep(Duration::from_millis(50)).await;
        }
    }
}
