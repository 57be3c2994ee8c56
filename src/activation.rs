//! Scale to zero onto the scheduler: a model's replicas are the tasks of a service
//! job, which the owner of a cold start submits and, once the model sleeps, withdraws.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures_util::future::{BoxFuture, join_all};
use hyper::{Method, StatusCode};
use stonewheel_activation::{
    Activator, ModelSettings, ReplicaOrder, ReplicaStarter, Replicas, StarterError, record::job_key,
};
use stonewheel_coordination::Coordinator;

use crate::{
    http::client::HttpClient,
    node::{Node, OwnedReply, Trouble},
    protocol::{JobSpec, JobState, MachineId, Priority, Shape},
    settings::Settings,
    state::lock,
};

/// Connections kept to each replica for looks at it.
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
    /// A replica that takes longer than a report interval counts as not answering.
    pub fn new(settings: &Settings) -> Self {
        let within = settings.report();
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

/// Replicas as tasks of service jobs.
pub struct SchedulerStarter {
    node: Arc<Node>,
    models: HashMap<String, ModelSettings>,
    probe: Arc<dyn ReplicaProbe>,
    /// Addresses of machines, as the cloud named them. They never change.
    addresses: Mutex<HashMap<MachineId, SocketAddr>>,
}

impl SchedulerStarter {
    /// Starts replicas of these models through the node.
    pub fn new(
        node: Arc<Node>,
        models: HashMap<String, ModelSettings>,
        probe: Arc<dyn ReplicaProbe>,
    ) -> Self {
        Self { node, models, probe, addresses: Mutex::default() }
    }

    fn model(&self, order: &ReplicaOrder) -> Result<&ModelSettings, StarterError> {
        let unknown = || StarterError::Rejected(format!("no model {}", order.model));
        self.models.get(&order.model).ok_or_else(unknown)
    }

    async fn start_job(&self, order: &ReplicaOrder) -> Result<(), StarterError> {
        let spec = job_spec(&order.job, self.model(order)?)?;
        let marker = job_key(&order.job);
        outcome(self.node.submit_owned(&spec, &order.fence, &marker).await)
    }

    async fn stop_job(&self, order: &ReplicaOrder) -> Result<(), StarterError> {
        let marker = job_key(&order.job);
        outcome(self.node.withdraw_owned(&order.job, &order.fence, &marker).await)
    }

    /// What the records and the replicas themselves say; the state service is not
    /// asked.
    async fn look_at(&self, order: &ReplicaOrder) -> Result<Replicas, StarterError> {
        let model = self.model(order)?;
        let state = lock(&self.node.picture).status(&order.job).map(|status| status.state);
        match state {
            Some(JobState::Done | JobState::Cancelled) => return Ok(Replicas::Gone),
            // The watch may not have brought it yet.
            None | Some(JobState::Pending) => return Ok(Replicas::Pending),
            Some(JobState::Running) => {}
        }
        let mut endpoints = Vec::new();
        for machine in self.machines_of(&order.job) {
            if let Some(address) = self.address(&machine).await {
                endpoints.push(SocketAddr::new(address.ip(), model.port as u16));
            }
        }
        let asked = endpoints.iter().map(|endpoint| self.probe.answers(*endpoint, &model.health));
        let answers = join_all(asked).await;
        let answering = endpoints.iter().zip(answers).filter(|(_, answers)| *answers);
        let endpoints: Vec<String> = answering
            .map(|(endpoint, _)| endpoint.to_string())
            .take(self.most_endpoints())
            .collect();
        Ok(if endpoints.is_empty() { Replicas::Pending } else { Replicas::Ready(endpoints) })
    }

    /// As many as surely fit a record.
    fn most_endpoints(&self) -> usize {
        const LONGEST_ENDPOINT: usize = 64;
        (self.node.settings.state_limits().value_bytes / LONGEST_ENDPOINT / 2).max(1)
    }

    /// The machines that hold the job's tasks, by the records.
    fn machines_of(&self, job: &str) -> Vec<MachineId> {
        let mut machines = lock(&self.node.picture).machines_of(job);
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
            if let Ok(address) = listed.addr.parse() {
                addresses.insert(listed.id, address);
            }
        }
        addresses.get(machine).copied()
    }
}

impl ReplicaStarter for SchedulerStarter {
    fn start(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<(), StarterError>> {
        let order = order.clone();
        Box::pin(async move { self.start_job(&order).await })
    }

    fn look(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<Replicas, StarterError>> {
        let order = order.clone();
        Box::pin(async move { self.look_at(&order).await })
    }

    fn stop(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<(), StarterError>> {
        let order = order.clone();
        Box::pin(async move { self.stop_job(&order).await })
    }
}

fn outcome(reply: Result<OwnedReply, Trouble>) -> Result<(), StarterError> {
    match reply {
        Ok(OwnedReply::Done) => Ok(()),
        Ok(OwnedReply::NameTaken) => Err(StarterError::NameTaken),
        Ok(OwnedReply::Stale) => Err(StarterError::Stale),
        Ok(OwnedReply::Impossible(reason)) => Err(StarterError::Rejected(reason)),
        Err(trouble) => Err(StarterError::Unavailable(trouble.to_string())),
    }
}

/// The service job whose tasks are a model's replicas.
fn job_spec(job: &str, model: &ModelSettings) -> Result<JobSpec, StarterError> {
    let priority = match model.priority.as_str() {
        "production" => Priority::Production,
        "high" => Priority::High,
        "standard" => Priority::Standard,
        _ => Priority::BestEffort,
    };
    let spec = JobSpec {
        id: job.into(),
        class: model.class.as_str().into(),
        team: model.team.as_str().into(),
        shape: Shape::Service,
        priority,
        tasks: model.replicas as u32,
        cpus: model.cpus,
        gpus: model.gpus,
        memory_gb: model.memory_gb,
        image: model.image.as_str().into(),
        image_gb: model.image_gb,
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
    let rejected = |error: &dyn std::error::Error| StarterError::Rejected(error.to_string());
    let text = serde_json::to_vec(&spec).map_err(|error| rejected(&error))?;
    JobSpec::parse(&text).map_err(|error| rejected(&error))
}

/// The activator of this controller, if the operators' settings switch it on.
pub fn activator(
    node: &Arc<Node>,
    coordinator: Arc<Coordinator>,
    probe: Arc<dyn ReplicaProbe>,
    seed: u64,
) -> Option<Arc<Activator>> {
    let settings = node.settings.operator.activation.clone()?;
    let models = settings.models.clone().into_iter().collect();
    let starter = Arc::new(SchedulerStarter::new(node.clone(), models, probe));
    Some(Activator::new(coordinator, settings, starter, seed))
}
