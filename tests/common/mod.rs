//! Stand-ins in memory for the state service, the cloud, the workers and the
//! network between them, under paused time.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

pub mod invariants;
pub mod leader_harness;

use futures_util::future::BoxFuture;
use serde_json::json;
use stonewheel::{
    cloud::{CloudApi, CloudError},
    http::client::CallError,
    node::{HeartbeatReply, Node, Unavailable, UserReply},
    peers,
    protocol::{
        CommandKind, DirectCommands, ExitCause, Features, JobSpec, JobState, ListedMachine,
        MachineId, MachineList, MachineState, MachineType, ProvisionRequest, TaskCommand,
        TaskState, TaskStatus, WorkerHeartbeat,
    },
    settings::{Member, NextStateLimits, Settings},
    store,
    worker_client::WorkerApi,
};
use stonewheel_activation::ActivationSettings;
use stonewheel_lending::LendingSettings;
use stonewheel_rollout::Rollouts;
use tokio::{
    sync::Semaphore,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

use invariants::Checker;
pub use stonewheel_testing::{LateCommands, MemState};

pub const SETTINGS: &str = r#"
member = "m-0"
zone = "a"
public_addr = "127.0.0.1:1"
internal_addr = "127.0.0.1:2"
[services]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[cluster]
size = 3
zones = ["a", "b"]
time_bound_ms = 1000.0
[[cluster.teams]]
name = "red"
gpus = 8.0
gpus_max = 16.0
[[cluster.teams]]
name = "blue"
[cluster.workers]
report_s = 1.0
lease_s = 11.0
gang_wait_s = 40.0
gang_peer_s = 8.0
cancel_s = 36.0
[cluster.state]
rps = 150.0
write_rps = 60.0
value_kb = 8.0
txn_ops = 24
[cluster.cloud]
rps = 8.0
list_lag_s = 3.0
[cluster.quota]
core_share = 0.08
mem_mb = 40.0
fd_limit = 600
"#;

/// With limits of the state service that are to come.
pub fn settings_with_coming_limits(member: &str) -> Settings {
    let mut settings = settings(member);
    settings.cluster.state.next =
        NextStateLimits { rps: None, write_rps: Some(42.0), value_kb: Some(2.0), txn_ops: Some(8) };
    settings
}

pub fn settings(member: &str) -> Settings {
    Settings::parse("test.toml", &SETTINGS.replace("m-0", member)).expect("valid settings")
}

/// What a fleet of so many times the usual size needs, see `docs/operations.md`.
pub fn scale_settings(settings: &mut Settings, scale: f64) {
    let cluster = &mut settings.cluster;
    cluster.state.rps *= scale;
    cluster.state.write_rps *= scale;
    cluster.cloud.rps *= scale;
    cluster.quota.core_share *= scale;
    cluster.quota.mem_mb *= scale;
    cluster.quota.fd_limit = (f64::from(cluster.quota.fd_limit) * scale) as u32;
}

pub fn machine_type() -> MachineType {
    MachineType {
        name: "g8".into(),
        cpus: 64.0,
        gpus: 8.0,
        memory_gb: 256.0,
        cache_gb: 800.0,
        fetch_gb_per_s: 2.0,
        price: 20.0,
        spot_price: 6.0,
        boot_s: 20.0,
        zones: vec!["a".into(), "b".into()],
    }
}

/// A submission with the given fields in place of the usual ones.
pub fn job(id: &str, changes: serde_json::Value) -> Vec<u8> {
    let mut job = json!({
        "Ref": id, "Grain": "train", "Crew": "blue", "Shape": "batch", "Rank": "standard",
        "Spokes": 2, "Cores": 4.0, "Gpus": 1.0, "MemoryGb": 8.0, "Mould": "img", "ImageGb": 1.0,
        "Frames": null, "Yard": null, "Together": false, "Scatter": false, "Driftwood": false,
        "ReckonS": 20.0, "NotchS": 0.0, "StashS": 0.0, "DueS": null
    });
    for (key, value) in changes.as_object().expect("an object") {
        job[key] = value.clone();
    }
    serde_json::to_vec(&job).expect("json")
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().expect("not poisoned")
}

/// Waits until heartbeats are due, or a node wants them to leave at once.
async fn wait_for_heartbeats(nodes: &[Option<(Arc<Node>, CancellationToken)>], most: Duration) {
    let urgent = nodes.iter().flatten().map(|(node, _)| {
        let mut urgent = node.peers.immediate_heartbeats();
        Box::pin(async move { urgent.changed().await })
    });
    let urgent: Vec<_> = urgent.collect();
    if urgent.is_empty() {
        return sleep(most).await;
    }
    let _ = tokio::time::timeout(most, futures_util::future::select_all(urgent)).await;
}

/// Lets time pass.
pub async fn seconds(n: u64) {
    sleep(Duration::from_secs(n)).await;
}

/// The state that a user was told, if any.
pub fn state(reply: &Result<UserReply, Unavailable>) -> Option<JobState> {
    match reply {
        Ok(UserReply::Known(status) | UserReply::Created(status)) => Some(status.state),
        _ => None,
    }
}

/// No rule that the world judges was broken so far.
pub fn no_rule_broken(world: &World) {
    assert!(world.broken().is_empty(), "{:?}", world.broken());
}

// Cloud and workers.

/// How long a call takes.
const LATENCY: Duration = Duration::from_millis(3);

/// `lease_s` of the settings.
const WORKER_LEASE: Duration = Duration::from_secs(11);

/// How long a worker waits for the answer to a heartbeat.
const REPORT_PATIENCE: Duration = Duration::from_secs(4);

/// Where late commands come from: no cut of a controller holds them back.
const LATE: usize = usize::MAX;

#[derive(Clone, Debug)]
struct OnMachine {
    attempt: u64,
    state: TaskState,
    cause: Option<ExitCause>,
    since: Instant,
}

struct Worker {
    zone: Arc<str>,
    spot: bool,
    incarnation: u64,
    sequence: u64,
    token: u64,
    /// When the last answered report was sent.
    leased: Instant,
    tasks: BTreeMap<String, OnMachine>,
    /// The nodes that it can't reach.
    cut_from: BTreeSet<usize>,
    /// Answers to its heartbeats are lost.
    deaf: bool,
    /// Its reports reach nobody, but direct commands reach it.
    mute: bool,
    /// It stands still; direct commands wait until it goes on.
    hung: bool,
    waiting: Vec<DirectCommands>,
    fails: bool,
    last: Option<WorkerHeartbeat>,
}

#[derive(Default)]
struct Site {
    nodes: Vec<Option<(Arc<Node>, CancellationToken)>>,
    workers: BTreeMap<MachineId, Worker>,
    rented: HashMap<String, Vec<MachineId>>,
    next: u32,
    broken: Vec<String>,
    /// Nodes that speak as the version before does.
    of_the_version_before: BTreeSet<usize>,
    /// Reports to a node that a worker is cut from hang until it gives up, rather
    /// than fail at once.
    cuts_hang: bool,
    /// Nodes cut off from the other controllers.
    severed: BTreeSet<usize>,
    starts: u32,
    sold_out: bool,
    coming_limits: bool,
    seeds: u64,
    specs: HashMap<String, JobSpec>,
    /// When users were told that these are cancelled, and what else is final.
    told: HashMap<String, Instant>,
    finals: HashMap<String, JobState>,
    /// The records, for what tasks may start.
    store: MemState,
    /// How long a task runs; services never end.
    run: HashMap<String, Duration>,
    /// Which direct commands come late.
    late_commands: Option<LateCommands>,
    /// Until when these nodes stand still.
    frozen: HashMap<usize, Instant>,
    /// Holds what workers run against the records.
    checker: Checker,
    /// Whether every second machine that is up from the start is in the second zone.
    spread: bool,
    /// Models that scale to zero, for nodes that start from now on.
    activation: Option<ActivationSettings>,
    /// Services that are rolled out in steps, likewise.
    rollouts: Option<Rollouts>,
    lending: Option<LendingSettings>,
    /// How many times the usual settings' rates and sockets there are, if not once.
    scale: Option<f64>,
}

/// Where a machine's worker answers, as the cloud lists it.
pub fn address_of(machine: &str) -> SocketAddr {
    let number: u16 = machine.trim_start_matches("n-").parse().expect("a machine of the stand-in");
    let [high, low] = number.to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 9000))
}

/// The machine at an address, which may be its name.
pub fn machine_at(address: &str) -> MachineId {
    match address.parse::<SocketAddr>() {
        Ok(SocketAddr::V4(address)) => {
            let [.., high, low] = address.ip().octets();
            format!("n-{:06}", u16::from_be_bytes([high, low])).into()
        }
        _ => address.into(),
    }
}

/// A whole deployment in memory.
#[derive(Clone, Default)]
pub struct World {
    pub state: MemState,
    site: Arc<Mutex<Site>>,
}

impl CloudApi for World {
    fn machine_types(&self) -> BoxFuture<'_, Result<Vec<MachineType>, CloudError>> {
        Box::pin(async { Ok(vec![machine_type()]) })
    }

    fn provision(
        &self,
        rental: ProvisionRequest,
    ) -> BoxFuture<'_, Result<Vec<MachineId>, CloudError>> {
        Box::pin(async move {
            sleep(Duration::from_millis(100)).await;
            let mut site = lock(&self.site);
            if let Some(names) = site.rented.get(&rental.request) {
                return Ok(names.clone());
            }
            if site.sold_out {
                return Err(CloudError::NoCapacity);
            }
            let mut names = Vec::new();
            for _ in 0..rental.count {
                site.next += 1;
                let name: MachineId = format!("n-{:06}", site.next).into();
                names.push(name.clone());
                self.boot(name, rental.zone.clone(), rental.spot, Duration::from_secs(20));
            }
            site.rented.insert(rental.request, names.clone());
            Ok(names)
        })
    }

    fn delete(&self, machines: Vec<MachineId>) -> BoxFuture<'_, Result<(), CloudError>> {
        Box::pin(async move {
            sleep(Duration::from_millis(100)).await;
            let mut site = lock(&self.site);
            for machine in machines {
                site.workers.remove(&machine);
            }
            Ok(())
        })
    }

    fn list(&self, since: &str) -> BoxFuture<'_, Result<MachineList, CloudError>> {
        let since = since.to_owned();
        Box::pin(async move {
            let site = lock(&self.site);
            let machines = site
                .workers
                .iter()
                .filter(|(id, _)| ***id > *since)
                .map(|(id, w)| ListedMachine {
                    id: id.clone(),
                    machine_type: "g8".into(),
                    zone: w.zone.clone(),
                    spot: w.spot,
                    address: address_of(id).to_string(),
                    state: MachineState::Running,
                    age_s: 0.0,
                })
                .collect();
            Ok(MachineList { machines, more: false })
        })
    }
}

impl World {
    /// Three controllers and some ordinary machines in zone `a`.
    pub async fn new(machines: u32) -> Self {
        Self::default().begin(machines).await
    }

    /// The same, where limits of the state service are to come.
    pub async fn with_coming_limits(machines: u32) -> Self {
        Self::in_upgrade(machines, &[]).await
    }

    /// The same, while these nodes are still of the version before.
    pub async fn in_upgrade(machines: u32, old: &[usize]) -> Self {
        let world = Self::default();
        lock(&world.site).coming_limits = true;
        for node in old {
            world.set_of_the_version_before(*node, true);
        }
        world.begin(machines).await
    }

    /// The same with machines in both zones.
    pub async fn in_two_zones(machines: u32) -> Self {
        let world = Self::default();
        lock(&world.site).spread = true;
        world.begin(machines).await
    }

    /// The same with rates and sockets for a fleet of `scale` times the usual size.
    pub async fn in_two_zones_scaled(machines: u32, scale: f64) -> Self {
        let world = Self::default();
        lock(&world.site).spread = true;
        lock(&world.site).scale = Some(scale);
        world.begin(machines).await
    }

    async fn begin(self, machines: u32) -> Self {
        let world = self;
        {
            let mut site = lock(&world.site);
            site.nodes = vec![None, None, None];
            site.store = world.state.clone();
            site.checker.watch(world.state.clone());
        }
        for node in 0..3 {
            world.start_node(node);
        }
        tokio::spawn(world.clone().links());
        tokio::spawn(world.clone().judge());
        for number in 0..machines {
            let second = lock(&world.site).spread && number % 2 == 1;
            world.add_machine(if second { "b" } else { "a" });
        }
        world
            .until("a leader knows the machine types", || {
                world.leader().is_some() && world.state.value("sw/types").is_some()
            })
            .await;
        // The watch brings them to every node.
        sleep(Duration::from_secs(1)).await;
        world
    }

    /// Nodes that start from now on know these models.
    pub fn set_activation(&self, activation: Option<ActivationSettings>) {
        lock(&self.site).activation = activation;
    }

    /// Nodes that start from now on know these services.
    pub fn set_rollouts(&self, rollouts: Option<Rollouts>) {
        lock(&self.site).rollouts = rollouts;
    }

    /// Nodes that start from now on lend by these settings.
    pub fn set_lending(&self, lending: Option<LendingSettings>) {
        lock(&self.site).lending = lending;
    }

    /// A node's stop token, for what runs beside it.
    pub fn stop_token(&self, at: usize) -> CancellationToken {
        lock(&self.site).nodes[at].as_ref().expect("it runs").1.child_token()
    }

    /// Whether a task of this job runs on a machine.
    pub fn runs_on(&self, job: &str, machine: &str) -> bool {
        let site = lock(&self.site);
        let Some(worker) = site.workers.get(machine) else { return false };
        let of_job = |task: &str| task.split('/').next() == Some(job);
        worker.tasks.iter().any(|(task, on)| of_job(task) && on.state == TaskState::Running)
    }

    pub fn add_machine(&self, zone: &str) {
        let name: MachineId = {
            let mut site = lock(&self.site);
            site.next += 1;
            format!("n-{:06}", site.next).into()
        };
        self.boot(name, zone.into(), false, Duration::ZERO);
    }

    /// No task of a job outlives `cancel_s` after its user was told.
    async fn judge(self) {
        let limit = Duration::from_secs(36);
        loop {
            sleep(Duration::from_millis(250)).await;
            let over: Vec<String> = {
                let site = lock(&self.site);
                let late = site.told.iter().filter(|(_, at)| at.elapsed() > limit);
                late.map(|(job, _)| job.clone()).collect()
            };
            if over.is_empty() {
                continue;
            }
            let over: HashSet<String> = over.into_iter().collect();
            let mut site = lock(&self.site);
            for what in site.live_tasks_of(&over) {
                if !site.broken.contains(&what) {
                    site.broken.push(what);
                }
            }
        }
    }

    /// What a user hears, held against what any user heard before.
    fn hear(&self, id: &str, reply: &Result<UserReply, Unavailable>) {
        let mut site = lock(&self.site);
        let heard = match reply {
            Ok(UserReply::Known(status) | UserReply::Created(status)) => Some(status.state),
            Ok(_) => None,
            Err(_) => return,
        };
        match site.finals.get(id) {
            Some(told) if Some(*told) != heard => {
                let what = format!("went_back: {id} was {told:?}, now {heard:?}");
                site.broken.push(what);
            }
            _ => {}
        }
        match heard {
            Some(JobState::Cancelled) => {
                site.told.entry(id.into()).or_insert_with(Instant::now);
                site.finals.insert(id.into(), JobState::Cancelled);
            }
            Some(JobState::Done) => {
                site.finals.insert(id.into(), JobState::Done);
            }
            _ => {}
        }
    }

    pub async fn ask(&self, node: usize, id: &str) -> Result<UserReply, Unavailable> {
        let reply = self.node(node).status(id).await;
        self.hear(id, &reply);
        reply
    }

    pub async fn cancel(&self, node: usize, id: &str) -> Result<UserReply, Unavailable> {
        let reply = self.node(node).cancel(id).await;
        self.hear(id, &reply);
        reply
    }

    pub async fn submit(
        &self,
        node: usize,
        id: &str,
        changes: serde_json::Value,
    ) -> Result<UserReply, Unavailable> {
        let reply = self.node(node).submit(&job(id, changes)).await;
        self.hear(id, &reply);
        reply
    }

    pub fn start_node(&self, at: usize) {
        let name = format!("m-{at}");
        let stop = CancellationToken::new();
        let seed = {
            let mut site = lock(&self.site);
            site.seeds += 1;
            site.seeds
        };
        let (state, cloud) = (self.state.client(&name), Arc::new(self.clone()));
        let coming = lock(&self.site).coming_limits;
        let mut settings =
            if coming { settings_with_coming_limits(&name) } else { settings(&name) };
        if let Some(scale) = lock(&self.site).scale {
            scale_settings(&mut settings, scale);
        }
        let sockets = Arc::new(Semaphore::new(settings.direct_calls()));
        let workers = Arc::new(MemWorkers { world: self.clone(), at, sockets });
        // Machines stay long enough for a story to end.
        settings.operator.idle_boots = 10.0;
        settings.operator.activation = lock(&self.site).activation.clone();
        settings.operator.rollout = lock(&self.site).rollouts.clone();
        settings.operator.lending = lock(&self.site).lending.clone();
        settings.members = (0..3)
            .filter(|other| *other != at)
            .map(|other| Member {
                member: format!("m-{other}"),
                endpoint: "127.0.0.1:9".parse().expect("an address"),
            })
            .collect();
        let node = Node::new(settings, state, cloud, workers, seed);
        node.spawn_background_tasks(&stop).close();
        lock(&self.site).nodes[at] = Some((node, stop));
    }

    /// The links between the controllers.
    async fn links(self) {
        loop {
            let (nodes, severed) = {
                let site = lock(&self.site);
                (site.nodes.clone(), site.severed.clone())
            };
            wait_for_heartbeats(&nodes, Duration::from_millis(900)).await;
            for (from, sender) in nodes.iter().enumerate() {
                for (to, receiver) in nodes.iter().enumerate() {
                    let cut = severed.contains(&from) || severed.contains(&to);
                    if let (Some((sender, _)), Some((receiver, _))) = (sender, receiver)
                        && from != to
                        && !cut
                    {
                        // As over the wire.
                        let frame = peers::encode(sender.message(&format!("m-{to}")));
                        let mut message = peers::decode(&frame).expect("a heartbeat");
                        if self.is_of_the_version_before(from) {
                            message.features = Features::default();
                        }
                        receiver.on_message(message);
                    }
                }
            }
        }
    }

    /// From now on a node says no more than the version before.
    pub fn set_of_the_version_before(&self, node: usize, old: bool) {
        let mut site = lock(&self.site);
        if old {
            site.of_the_version_before.insert(node);
        } else {
            site.of_the_version_before.remove(&node);
        }
    }

    fn is_of_the_version_before(&self, node: usize) -> bool {
        lock(&self.site).of_the_version_before.contains(&node)
    }

    /// Cuts a node's links to the other controllers.
    pub fn sever(&self, node: usize) {
        lock(&self.site).severed.insert(node);
    }

    pub fn mend(&self, node: usize) {
        lock(&self.site).severed.remove(&node);
    }

    /// Ends a node without any farewell.
    pub fn kill_node(&self, at: usize) {
        if let Some((_, stop)) = lock(&self.site).nodes[at].take() {
            stop.cancel();
        }
        self.state.refuse(&format!("m-{at}"), false);
    }

    pub fn node(&self, at: usize) -> Arc<Node> {
        lock(&self.site).nodes[at].as_ref().expect("the node runs").0.clone()
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

    pub async fn until_state(&self, node: usize, id: &str, state: JobState) {
        let limit = Instant::now() + Duration::from_secs(240);
        loop {
            if let Ok(UserReply::Known(status)) = self.node(node).status(id).await
                && status.state == state
            {
                return;
            }
            assert!(Instant::now() < limit, "{id} never became {state:?}");
            sleep(Duration::from_millis(500)).await;
        }
    }

    /// Rules broken so far.
    pub fn broken(&self) -> Vec<String> {
        lock(&self.site).broken.clone()
    }

    pub fn starts(&self) -> u32 {
        lock(&self.site).starts
    }

    /// How long each task of a job runs.
    pub fn runs_for(&self, job: &str, seconds: u64) {
        lock(&self.site).run.insert(job.into(), Duration::from_secs(seconds));
    }

    /// Machines that hold a task of a job.
    pub fn machines_of(&self, job: &str) -> Vec<MachineId> {
        let prefix = format!("{job}/");
        lock(&self.site)
            .workers
            .iter()
            .filter(|(_, w)| {
                w.tasks.iter().any(|(t, o)| t.starts_with(&prefix) && o.state != TaskState::Exited)
            })
            .map(|(id, _)| id.clone())
            .collect()
    }

    pub fn cut(&self, machine: &str, nodes: &[usize]) {
        let mut site = lock(&self.site);
        let worker = site.workers.get_mut(machine).expect("known machine");
        worker.cut_from = nodes.iter().copied().collect();
    }

    /// From now on reports to a node that a worker is cut from hang.
    pub fn let_cuts_hang(&self) {
        lock(&self.site).cuts_hang = true;
    }

    pub fn cut_if_there(&self, machine: &str, nodes: &[usize]) {
        if let Some(worker) = lock(&self.site).workers.get_mut(machine) {
            worker.cut_from = nodes.iter().copied().collect();
        }
    }

    /// A machine stops with all that is on it.
    pub fn lose(&self, machine: &str) {
        lock(&self.site).workers.remove(machine);
    }

    /// From now on the cloud rents nothing.
    pub fn no_more_machines(&self) {
        lock(&self.site).sold_out = true;
    }

    pub fn set_deaf(&self, machine: &str, deaf: bool) {
        lock(&self.site).workers.get_mut(machine).expect("known machine").deaf = deaf;
    }

    pub fn set_mute(&self, machine: &str, mute: bool) {
        lock(&self.site).workers.get_mut(machine).expect("known machine").mute = mute;
    }

    /// Lets a machine stand still, or go on with what waited for it.
    pub fn set_hung(&self, machine: &str, hung: bool) {
        let mut site = lock(&self.site);
        let worker = site.workers.get_mut(machine).expect("known machine");
        worker.hung = hung;
        if !hung {
            worker.end_overdue_incarnation();
            let waiting = std::mem::take(&mut worker.waiting);
            for commands in waiting {
                site.obey(&machine.into(), commands);
            }
        }
    }

    pub fn incarnation(&self, machine: &str) -> u64 {
        lock(&self.site).workers.get(machine).map_or(0, |w| w.incarnation)
    }

    /// The last report that a machine sent.
    pub fn last_report(&self, machine: &str) -> WorkerHeartbeat {
        lock(&self.site).workers[machine].last.clone().expect("a report")
    }

    /// Machines that are up.
    pub fn machines(&self) -> Vec<MachineId> {
        lock(&self.site).workers.keys().cloned().collect()
    }

    pub fn set_failing(&self, machine: &str) {
        lock(&self.site).workers.get_mut(machine).expect("known machine").fails = true;
    }

    /// From now on these of the direct commands come late.
    pub fn set_late_commands(&self, late: Option<LateCommands>) {
        lock(&self.site).late_commands = late;
    }

    /// A controller stands still: nothing leaves it or is answered by it, while
    /// its clock runs on.
    pub fn freeze(&self, at: usize, seconds: f64) {
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        lock(&self.site).frozen.insert(at, until);
        self.state.freeze(&format!("m-{at}"), until);
    }

    fn frozen_until(&self, at: usize) -> Option<Instant> {
        lock(&self.site).frozen.get(&at).copied().filter(|until| *until > Instant::now())
    }

    /// A node, if its process runs.
    pub fn running_node(&self, at: usize) -> Option<usize> {
        lock(&self.site).nodes[at].as_ref().map(|_| at)
    }

    /// Notes a broken rule that a test found by itself.
    pub fn note_broken(&self, what: String) {
        let mut site = lock(&self.site);
        if !site.broken.contains(&what) {
            site.broken.push(what);
        }
    }

    /// Lets a machine stand still for a while, if it is there.
    pub fn hang_for(&self, machine: &str, seconds: f64) {
        match lock(&self.site).workers.get_mut(machine) {
            Some(worker) if !worker.hung => worker.hung = true,
            _ => return,
        }
        let (world, machine) = (self.clone(), machine.to_owned());
        tokio::spawn(async move {
            sleep(Duration::from_secs_f64(seconds)).await;
            let there = lock(&world.site).workers.contains_key(machine.as_str());
            if there {
                world.set_hung(&machine, false);
            }
        });
    }

    /// Answers and commands to these machines are lost for a while.
    pub fn deafen_for(&self, machines: &[MachineId], seconds: f64) {
        let set = |world: &World, machines: &[MachineId], deaf: bool| {
            let mut site = lock(&world.site);
            for machine in machines {
                if let Some(worker) = site.workers.get_mut(machine) {
                    worker.deaf = deaf;
                }
            }
        };
        set(self, machines, true);
        let (world, machines) = (self.clone(), machines.to_vec());
        tokio::spawn(async move {
            sleep(Duration::from_secs_f64(seconds)).await;
            set(&world, &machines, false);
        });
    }

    /// The last report of each machine, as a network may hold them back.
    pub fn last_reports(&self) -> Vec<WorkerHeartbeat> {
        lock(&self.site).workers.values().filter_map(|w| w.last.clone()).collect()
    }

    /// Ids that users were told are final.
    pub fn told_final(&self, id: &str) -> Option<JobState> {
        lock(&self.site).finals.get(id).copied()
    }

    fn boot(&self, name: MachineId, zone: Arc<str>, spot: bool, after: Duration) {
        let world = self.clone();
        tokio::spawn(async move {
            sleep(after).await;
            let worker = Worker {
                zone,
                spot,
                incarnation: 1,
                sequence: 0,
                token: 0,
                leased: Instant::now(),
                tasks: BTreeMap::new(),
                cut_from: BTreeSet::new(),
                deaf: false,
                mute: false,
                hung: false,
                waiting: Vec::new(),
                fails: false,
                last: None,
            };
            lock(&world.site).workers.insert(name.clone(), worker);
            world.work(&name).await;
        });
    }

    /// A worker's life: reports, lease, commands.
    async fn work(&self, name: &MachineId) {
        let mut at = 0;
        loop {
            sleep(Duration::from_millis(950)).await;
            let sent = Instant::now();
            let Some((heartbeat, cut, deaf, mute)) = self.next_report(name) else { return };
            let Some(heartbeat) = heartbeat else { continue };
            let node = lock(&self.site).nodes[at].as_ref().map(|(n, _)| n.clone());
            let lost = mute || cut.contains(&at);
            if cut.contains(&at) && lock(&self.site).cuts_hang {
                sleep(REPORT_PATIENCE).await;
            }
            let mut reply = None;
            if let Some(node) = node.filter(|_| !lost) {
                if let Some(until) = self.frozen_until(at) {
                    // It is read when the node goes on; by then nobody waits.
                    tokio::spawn(async move {
                        tokio::time::sleep_until(until).await;
                        node.heartbeat(&heartbeat);
                    });
                    sleep(REPORT_PATIENCE).await;
                } else {
                    reply = Some(node.answer_heartbeat(&heartbeat).await);
                }
            }
            match reply.filter(|_| !deaf) {
                Some(HeartbeatReply::Commands { token, commands }) => {
                    self.learn(&commands);
                    let mut site = lock(&self.site);
                    let Some(worker) = site.workers.get_mut(name) else { return };
                    if token < worker.token {
                        continue;
                    }
                    (worker.token, worker.leased) = (token, sent);
                    for command in commands {
                        site.carry_out(name, command);
                    }
                }
                Some(HeartbeatReply::Redirect(to)) => {
                    let known = to.and_then(|m| m.strip_prefix("m-")?.parse::<usize>().ok());
                    at = known.filter(|to| *to != at).unwrap_or((at + 1) % 3);
                }
                None => {
                    sleep(Duration::from_secs(1)).await;
                    at = (at + 1) % 3;
                }
            }
        }
    }

    /// Notes the jobs of tasks that are to start, as users described them.
    fn learn(&self, commands: &[TaskCommand]) {
        for command in commands.iter().filter(|o| o.op == CommandKind::Start) {
            let id = command.task.split('/').next().unwrap_or_default();
            if lock(&self.site).specs.contains_key(id) {
                continue;
            }
            let spec = self.state.value(&store::job_key(id));
            if let Some(spec) = spec.and_then(|text| serde_json::from_str(&text).ok()) {
                lock(&self.site).specs.insert(id.into(), spec);
            }
        }
    }

    fn next_report(
        &self,
        name: &MachineId,
    ) -> Option<(Option<WorkerHeartbeat>, BTreeSet<usize>, bool, bool)> {
        let mut site = lock(&self.site);
        let Site { workers, run, .. } = &mut *site;
        let now = Instant::now();
        let worker = workers.get_mut(name)?;
        let (cut, deaf, mute) = (worker.cut_from.clone(), worker.deaf, worker.mute);
        if worker.hung {
            return Some((None, cut, deaf, mute));
        }
        worker.end_overdue_incarnation();
        for (task, on) in &mut worker.tasks {
            let job = task.split('/').next().unwrap_or_default();
            let age = now - on.since;
            if on.state == TaskState::Running && worker.fails {
                (on.state, on.cause) = (TaskState::Exited, Some(ExitCause::Error));
            } else if on.state == TaskState::Running
                && run.get(task).or(run.get(job)).is_some_and(|r| age >= *r)
            {
                (on.state, on.cause) = (TaskState::Exited, Some(ExitCause::Done));
            }
        }
        let heartbeat = worker.heartbeat(name);
        worker.last = Some(heartbeat.clone());
        Some((Some(heartbeat), cut, deaf, mute))
    }
}

impl Worker {
    fn end_overdue_incarnation(&mut self) {
        if self.leased.elapsed() > WORKER_LEASE {
            self.tasks.clear();
            self.incarnation += 1;
            self.leased = Instant::now();
        }
    }

    fn heartbeat(&mut self, name: &MachineId) -> WorkerHeartbeat {
        self.sequence += 1;
        let tasks = self
            .tasks
            .iter()
            .map(|(task, on)| TaskStatus {
                task: task.clone(),
                attempt: on.attempt,
                state: on.state,
                cause: on.cause,
                saved: None,
            })
            .collect();
        WorkerHeartbeat {
            machine: name.clone(),
            address: name.to_string(),
            machine_type: "g8".into(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            sequence: self.sequence,
            token: self.token,
            notice_s: None,
            tasks,
        }
    }
}

/// A node's way to the workers' own addresses.
struct MemWorkers {
    world: World,
    at: usize,
    /// Each request takes one, and waits for it, until it is answered or given up.
    sockets: Arc<Semaphore>,
}

impl WorkerApi for MemWorkers {
    fn command(
        &self,
        address: &str,
        commands: DirectCommands,
    ) -> BoxFuture<'_, Result<WorkerHeartbeat, CallError>> {
        let name = machine_at(address);
        Box::pin(async move {
            let _socket = self.sockets.acquire().await;
            sleep(LATENCY).await;
            if let Some(until) = self.world.frozen_until(self.at) {
                tokio::time::sleep_until(until).await;
            }
            self.world.learn(&commands.commands);
            let late = lock(&self.world.site).late_commands.as_mut().and_then(LateCommands::draw);
            if let Some(delay) = late {
                let world = self.world.clone();
                tokio::spawn(async move {
                    sleep(delay).await;
                    let mut site = lock(&world.site);
                    let _ = site.command(&name, LATE, commands);
                });
                sleep(Duration::from_secs(1)).await;
                return Err(CallError::Timeout);
            }
            let answer = {
                let mut site = lock(&self.world.site);
                site.command(&name, self.at, commands)
            };
            if let Some(heartbeat) = answer {
                return Ok(heartbeat);
            }
            sleep(Duration::from_secs(1)).await;
            Err(CallError::Timeout)
        })
    }
}

impl Site {
    /// Direct commands from node `from`: the worker's heartbeat, or silence.
    fn command(
        &mut self,
        name: &MachineId,
        from: usize,
        commands: DirectCommands,
    ) -> Option<WorkerHeartbeat> {
        let worker = self.workers.get_mut(name)?;
        if worker.hung {
            worker.waiting.push(commands);
            return None;
        }
        if worker.deaf || worker.cut_from.contains(&from) {
            return None;
        }
        self.obey(name, commands)
    }

    /// Direct commands are carried out whenever token and incarnation match.
    fn obey(&mut self, name: &MachineId, commands: DirectCommands) -> Option<WorkerHeartbeat> {
        let worker = self.workers.get(name)?;
        let carried = commands.token >= worker.token && commands.incarnation == worker.incarnation;
        if carried {
            for command in commands.commands {
                self.carry_out(name, command);
            }
        }
        let worker = self.workers.get_mut(name)?;
        worker.token = worker.token.max(commands.token);
        Some(worker.heartbeat(name))
    }

    /// Whether a task that just started keeps its job's and its team's bounds.
    fn check_start(&mut self, task: &str, zone: &Arc<str>, spot: bool) {
        let job = task.split('/').next().unwrap_or_default();
        let Some(spec) = self.specs.get(job).cloned() else {
            return self.broken.push(format!("a task of an unknown job started: {task}"));
        };
        self.broken.extend(self.checker.start(&spec, task));
        if self.told.get(job).is_some_and(|at| at.elapsed() > Duration::from_secs(36)) {
            self.broken.push(format!("ran_cancelled: {task} started"));
        }
        for needed in &spec.dependencies {
            let done = self.store.value(&store::end_key(needed));
            if !done.is_some_and(|end| end.contains(r#""s":"done""#)) {
                self.broken.push(format!("too_early: {task} before {needed}"));
            }
        }
        if spec.zone.as_ref().is_some_and(|z| z != zone) || (spot && !spec.spot) {
            self.broken.push(format!("wrong_place: {task} in {zone}"));
        }
        // The rest takes a look at all machines.
        if &*spec.team != "red" && !spec.one_zone && !spec.spread {
            return;
        }
        let live = |w: &Worker| -> Vec<String> {
            let live = w.tasks.iter().filter(|(_, on)| on.state != TaskState::Exited);
            live.map(|(task, _)| task.split('/').next().unwrap_or_default().to_owned()).collect()
        };
        let mut team = 0.0;
        let mut zones: HashMap<Arc<str>, u32> = HashMap::new();
        for worker in self.workers.values() {
            for other in live(worker) {
                let of = self.specs.get(&other);
                team += of.filter(|s| s.team == spec.team).map_or(0.0, |s| s.gpus);
                if other == job {
                    *zones.entry(worker.zone.clone()).or_default() += 1;
                }
            }
        }
        if &*spec.team == "red" && team > 16.0 {
            self.broken.push(format!("quota: {team} GPUs with {task}"));
        }
        let wrong = (spec.one_zone && zones.len() > 1)
            || (spec.spread && zones.values().any(|n| *n > spec.tasks.div_ceil(2)));
        if wrong {
            self.broken.push(format!("wrong_place: {task} in {zone}"));
        }
    }

    /// Tasks of these jobs that are on machines, as broken rules.
    fn live_tasks_of(&self, jobs: &HashSet<String>) -> Vec<String> {
        let mut found = Vec::new();
        for (machine, worker) in &self.workers {
            for (task, on) in &worker.tasks {
                let job = task.split('/').next().unwrap_or_default();
                if on.state != TaskState::Exited && jobs.contains(job) {
                    found.push(format!("ran_cancelled: {job} on {machine}"));
                }
            }
        }
        found
    }

    fn carry_out(&mut self, name: &MachineId, command: TaskCommand) {
        // A worker gives up its incarnation by itself, also while it stands still: it
        // may go on within its lease only.
        let running = |id: &MachineId| {
            let worker = self.workers.get(id).filter(|w| w.leased.elapsed() <= WORKER_LEASE);
            let on = worker.and_then(|w| w.tasks.get(&command.task));
            on.is_some_and(|on| on.state != TaskState::Exited)
        };
        let elsewhere = command.op == CommandKind::Start
            && self.checker.machines_of(&command.task).any(|id| id != name && running(id));
        let Some(worker) = self.workers.get_mut(name) else { return };
        match command.op {
            CommandKind::Start => {
                if worker.tasks.get(&command.task).is_some_and(|o| o.attempt >= command.attempt) {
                    return;
                }
                let incarnation = worker.incarnation;
                if elsewhere {
                    self.broken.push(format!("ran_twice: {} on {name}", command.task));
                }
                self.starts += 1;
                let (zone, spot) = (worker.zone.clone(), worker.spot);
                let on = OnMachine {
                    attempt: command.attempt,
                    state: TaskState::Running,
                    cause: None,
                    since: Instant::now(),
                };
                worker.tasks.insert(command.task.clone(), on);
                self.checker.placed(&command.task, command.attempt, name, incarnation);
                self.check_start(&command.task, &zone, spot);
            }
            CommandKind::Stop => {
                if let Some(on) = worker.tasks.get_mut(&command.task)
                    && on.state != TaskState::Exited
                {
                    (on.state, on.cause) = (TaskState::Exited, Some(ExitCause::Stopped));
                }
            }
            CommandKind::Forget => {
                worker.tasks.remove(&command.task);
            }
        }
    }
}
