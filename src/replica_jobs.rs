//! Replicas as tasks of service jobs of our own: submitted and withdrawn under a fence,
//! and probed through the records and by asking them. Scale to zero and rollouts
//! share this.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures_util::future::{BoxFuture, join_all};
use hyper::{Method, StatusCode};

use crate::{
    http::client::HttpClient,
    node::Node,
    protocol::{JobSpec, JobState, MachineId, Priority, Shape},
    settings::Settings,
    state::lock,
};

/// Connections kept to each replica for probes.
const IDLE_CONNECTIONS: usize = 1;

/// Asks a replica whether it can take requests.
pub trait ReplicaProbe: Send + Sync {
    /// Whether the replica at this endpoint answers this path with 200.
    fn answers(&self, endpoint: SocketAddr, path: &str) -> BoxFuture<'_, bool>;
}

/// Asks over HTTP.
pub struct HttpProbe {
    client: HttpClient,
    within: Duration,
}

impl HttpProbe {
    /// A replica that takes longer than a heartbeat interval counts as not answering.
    pub fn new(settings: &Settings) -> Self {
        let within = settings.heartbeat_interval();
        Self { client: HttpClient::new(IDLE_CONNECTIONS, within, within / 2), within }
    }
}

impl ReplicaProbe for HttpProbe {
    fn answers(&self, endpoint: SocketAddr, path: &str) -> BoxFuture<'_, bool> {
        let path = path.to_owned();
        Box::pin(async move {
            let asked = self.client.call::<()>(Method::GET, endpoint, &path, None, self.within);
            asked.await.is_ok_and(|answer| answer.status == StatusCode::OK)
        })
    }
}

/// A replica that has a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedReplica {
    /// The machine that it is on.
    pub machine: MachineId,
    /// Where it is to answer.
    pub endpoint: SocketAddr,
    /// Whether it does.
    pub answers: bool,
}

/// What a probe of a job shows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobProbe {
    /// It is over.
    Gone,
    /// No task has a place, as far as the records are known here.
    Pending,
    /// These have one.
    Placed(Vec<PlacedReplica>),
}

/// What the replicas of a job need.
#[derive(Clone, Debug)]
pub struct ReplicaNeeds<'a> {
    /// The team that pays for it.
    pub team: &'a str,
    /// Its class of jobs.
    pub class: &'a str,
    /// Its priority, in the submission's terms.
    pub priority: &'a str,
    /// The image.
    pub image: &'a str,
    /// Its size.
    pub image_gb: f64,
    /// What each replica takes.
    pub cpus: f64,
    /// What each replica takes.
    pub gpus: f64,
    /// What each replica takes.
    pub memory_gb: f64,
    /// How many there are.
    pub replicas: u32,
}

/// Probes replicas of service jobs.
pub struct ReplicaJobs {
    /// The controller that they are submitted through.
    pub node: Arc<Node>,
    probe: Arc<dyn ReplicaProbe>,
    /// Addresses of machines, as the cloud named them. They never change.
    addresses: Mutex<HashMap<MachineId, SocketAddr>>,
}

impl ReplicaJobs {
    /// Over a controller and what asks the replicas.
    pub fn new(node: Arc<Node>, probe: Arc<dyn ReplicaProbe>) -> Self {
        Self { node, probe, addresses: Mutex::default() }
    }

    /// What the records and the replicas themselves say; the state service is not
    /// asked.
    pub async fn probe(&self, job: &str, port: u16, health: &str) -> JobProbe {
        let state = lock(&self.node.watch_cache).status(job).map(|status| status.state);
        match state {
            Some(JobState::Done | JobState::Cancelled) => return JobProbe::Gone,
            // The watch may not have brought it yet.
            None | Some(JobState::Pending) => return JobProbe::Pending,
            Some(JobState::Running) => {}
        }
        let mut places = Vec::new();
        for machine in self.machines_of(job) {
            if let Some(address) = self.address(&machine).await {
                places.push((machine, SocketAddr::new(address.ip(), port)));
            }
        }
        let asked = places.iter().map(|(_, endpoint)| self.probe.answers(*endpoint, health));
        let answers = join_all(asked).await;
        let placed = places.into_iter().zip(answers);
        JobProbe::Placed(
            placed
                .map(|((machine, endpoint), answers)| PlacedReplica { machine, endpoint, answers })
                .collect(),
        )
    }

    /// The machines that hold the job's tasks, by the records.
    fn machines_of(&self, job: &str) -> Vec<MachineId> {
        let mut machines = lock(&self.node.watch_cache).machines_of(job);
        machines.sort_unstable();
        machines.dedup();
        machines
    }

    /// Where a machine's worker answers. The cloud lists machines in the order of
    /// their names, so one page from just before it holds it.
    async fn address(&self, machine: &MachineId) -> Option<SocketAddr> {
        if let Some(known) = lock(&self.addresses).get(machine) {
            return Some(*known);
        }
        let before = &machine[..machine.len().saturating_sub(1)];
        let list = self.node.cloud.list(before).await.ok()?;
        let mut addresses = lock(&self.addresses);
        for listed in list.machines {
            if let Ok(address) = listed.address.parse() {
                addresses.insert(listed.id, address);
            }
        }
        addresses.get(machine).copied()
    }
}

/// The service job whose tasks are replicas, or why there can't be one.
pub fn job_spec(job: &str, needs: &ReplicaNeeds<'_>) -> Result<JobSpec, String> {
    let priority = match needs.priority {
        "production" => Priority::Production,
        "high" => Priority::High,
        "standard" => Priority::Standard,
        _ => Priority::BestEffort,
    };
    let spec = JobSpec {
        id: job.into(),
        class: needs.class.into(),
        team: needs.team.into(),
        shape: Shape::Service,
        priority,
        tasks: needs.replicas,
        cpus: needs.cpus,
        gpus: needs.gpus,
        memory_gb: needs.memory_gb,
        image: needs.image.into(),
        image_gb: needs.image_gb,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 0.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    };
    let text = serde_json::to_vec(&spec).map_err(|error| error.to_string())?;
    JobSpec::parse(&text).map_err(|error| error.to_string())
}
