//! Simulated deployment: its controllers, and the state that its components share.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{Arc, Mutex},
    time::Duration,
};

use stonewheel::{
    node::Node,
    protocol::{DirectCommands, JobSpec, JobState, MachineId},
    settings::Member,
};
use stonewheel_activation::ActivationSettings;
use stonewheel_lending::LendingSettings;
use stonewheel_rollout::Rollouts;
use stonewheel_testing::RepeatedDeliveries;
use tokio::{
    sync::Semaphore,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

use super::{
    LateCommands, MemState,
    command_cost::CommandCost,
    invariants::Checker,
    lock,
    repeated::RepeatedKind,
    settings::{scale_settings, settings, settings_with_coming_limits},
    workers::{InMemoryWorkers, Worker},
};

#[derive(Default)]
pub(super) struct Inner {
    pub(super) nodes: Vec<Option<(Arc<Node>, CancellationToken)>>,
    pub(super) workers: BTreeMap<MachineId, Worker>,
    /// Machines of each rental, by request id.
    pub(super) rented: HashMap<String, Vec<MachineId>>,
    pub(super) last_machine_number: u32,
    pub(super) violations: Vec<String>,
    /// Nodes that send only the features of the previous version.
    pub(super) previous_version_nodes: BTreeSet<usize>,
    /// Whether heartbeats to a node that a worker is partitioned from hang until the worker's
    /// timeout, instead of failing immediately.
    pub(super) partitions_hang: bool,
    /// Nodes without links to the other controllers.
    pub(super) disconnected: BTreeSet<usize>,
    /// Number of task starts on all workers so far.
    pub(super) starts: u32,
    pub(super) no_capacity: bool,
    pub(super) coming_limits: bool,
    /// Seed of the node process that started last.
    pub(super) last_seed: u64,
    /// Specifications of the jobs whose tasks were started, by job id.
    pub(super) specs: HashMap<String, JobSpec>,
    /// Instant at which a user was first told that a job is cancelled, by job id.
    pub(super) cancellation_answers: HashMap<String, Instant>,
    /// Final states that users were told, by job id.
    pub(super) final_states: HashMap<String, JobState>,
    /// Durable records, to check which tasks may start.
    pub(super) store: MemState,
    /// Run time of a task, by task or job id; tasks without an entry never end.
    pub(super) run_times: HashMap<String, Duration>,
    /// Selects the direct commands that arrive late.
    pub(super) late_commands: Option<LateCommands>,
    /// Selects the requests of which copies arrive, by the kind of request.
    pub(super) repeated: BTreeMap<RepeatedKind, RepeatedDeliveries>,
    /// What commands cost so far.
    pub(super) command_cost: CommandCost,
    /// The direct requests that workers have answered, once they are recorded.
    pub(super) answered_commands: Option<Vec<(MachineId, DirectCommands)>>,
    /// End of the suspension of each suspended node.
    pub(super) frozen_until: HashMap<usize, Instant>,
    /// Compares the tasks that workers start with the records.
    pub(super) checker: Checker,
    /// Whether every second initial machine is in the second zone.
    pub(super) two_zones: bool,
    /// Models that scale to zero, for nodes that start later.
    pub(super) activation: Option<ActivationSettings>,
    /// Services that are rolled out in steps, for nodes that start later.
    pub(super) rollouts: Option<Rollouts>,
    /// Lending settings for nodes that start later.
    pub(super) lending: Option<LendingSettings>,
    /// Factor for the rates and resource quotas of the usual settings; `None`: unscaled.
    pub(super) scale: Option<f64>,
}

/// Deployment in memory. Clones share its state.
#[derive(Clone, Default)]
pub struct TestDeployment {
    pub state: MemState,
    pub(super) inner: Arc<Mutex<Inner>>,
}

impl TestDeployment {
    /// Starts three controllers and `machines` on-demand machines in zone `a`.
    pub async fn new(machines: u32) -> Self {
        Self::default().start(machines).await
    }

    /// Starts a deployment whose settings announce lower limits of the state service.
    pub async fn with_coming_limits(machines: u32) -> Self {
        Self::in_upgrade(machines, &[]).await
    }

    /// Starts a deployment whose settings announce lower limits of the state service, with
    /// the nodes `old` still on the previous version.
    pub async fn in_upgrade(machines: u32, old: &[usize]) -> Self {
        let deployment = Self::default();
        lock(&deployment.inner).coming_limits = true;
        for node in old {
            deployment.set_previous_version(*node, true);
        }
        deployment.start(machines).await
    }

    /// Starts a deployment with machines in both zones.
    pub async fn in_two_zones(machines: u32) -> Self {
        let deployment = Self::default();
        lock(&deployment.inner).two_zones = true;
        deployment.start(machines).await
    }

    /// Starts a deployment with machines in both zones, and with rates and quotas for a fleet
    /// of `scale` times the usual size.
    pub async fn in_two_zones_scaled(machines: u32, scale: f64) -> Self {
        let deployment = Self::default();
        lock(&deployment.inner).two_zones = true;
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
            let in_second_zone = lock(&deployment.inner).two_zones && number % 2 == 1;
            deployment.add_machine(if in_second_zone { "b" } else { "a" });
        }
        deployment
            .until("a leader knows the machine types", || {
                deployment.leader().is_some() && deployment.state.value("sw/types").is_some()
            })
            .await;
        // The watch delivers the machine types to every node.
        sleep(Duration::from_secs(1)).await;
        deployment
    }

    /// Sets the models of nodes that start later.
    pub fn set_activation(&self, activation: Option<ActivationSettings>) {
        lock(&self.inner).activation = activation;
    }

    /// Sets the rollout services of nodes that start later.
    pub fn set_rollouts(&self, rollouts: Option<Rollouts>) {
        lock(&self.inner).rollouts = rollouts;
    }

    /// Sets the lending settings of nodes that start later.
    pub fn set_lending(&self, lending: Option<LendingSettings>) {
        lock(&self.inner).lending = lending;
    }

    /// Returns a child of a node's stop token, for tasks that must end with the node.
    pub fn stop_token(&self, index: usize) -> CancellationToken {
        lock(&self.inner).nodes[index].as_ref().expect("it runs").1.child_token()
    }

    pub fn start_node(&self, index: usize) {
        let name = format!("m-{index}");
        let stop = CancellationToken::new();
        let seed = {
            let mut inner = lock(&self.inner);
            inner.last_seed += 1;
            inner.last_seed
        };
        let (state, cloud) = (self.state.client(&name), Arc::new(self.clone()));
        let coming = lock(&self.inner).coming_limits;
        let mut settings =
            if coming { settings_with_coming_limits(&name) } else { settings(&name) };
        if let Some(scale) = lock(&self.inner).scale {
            scale_settings(&mut settings, scale);
        }
        let sockets = Arc::new(Semaphore::new(settings.max_direct_calls()));
        let workers =
            Arc::new(InMemoryWorkers { deployment: self.clone(), node_index: index, sockets });
        // Keeps idle machines rented until the end of a scenario.
        settings.operator.idle_boots = 10.0;
        settings.operator.activation = lock(&self.inner).activation.clone();
        settings.operator.rollout = lock(&self.inner).rollouts.clone();
        settings.operator.lending = lock(&self.inner).lending.clone();
        settings.members = (0..3)
            .filter(|other| *other != index)
            .map(|other| Member {
                member: format!("m-{other}"),
                endpoint: "127.0.0.1:9".parse().expect("an address"),
            })
            .collect();
        let node = Node::new(settings, state, cloud, workers, seed);
        node.spawn_background_tasks(&stop).close();
        lock(&self.inner).nodes[index] = Some((node, stop));
    }

    /// Kills a node's process; the node sends no message before it ends.
    pub fn kill_node(&self, index: usize) {
        if let Some((_, stop)) = lock(&self.inner).nodes[index].take() {
            stop.cancel();
        }
        self.state.refuse(&format!("m-{index}"), false);
    }

    pub fn node(&self, index: usize) -> Arc<Node> {
        lock(&self.inner).nodes[index].as_ref().expect("the node runs").0.clone()
    }

    /// Returns the node's index if its process is running.
    pub fn running_node(&self, index: usize) -> Option<usize> {
        lock(&self.inner).nodes[index].as_ref().map(|_| index)
    }

    /// Returns the index of the leader that the state service has recorded.
    pub fn leader(&self) -> Option<usize> {
        let leadership: serde_json::Value =
            serde_json::from_str(&self.state.value("sw/lead")?).ok()?;
        leadership["member"].as_str()?.strip_prefix("m-")?.parse().ok()
    }

    /// Waits until `condition` holds, for at most 240 s of simulated time.
    pub async fn until(&self, what: &str, mut condition: impl FnMut() -> bool) {
        let deadline = Instant::now() + Duration::from_secs(240);
        while !condition() {
            assert!(Instant::now() < deadline, "condition did not hold within 240 s: {what}");
            sleep(Duration::from_millis(50)).await;
        }
    }
}
