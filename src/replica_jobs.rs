//! Replicas that run as tasks of internal service jobs, for activation and rollouts.
//!
//! Jobs are submitted and cancelled on the condition that a record is unchanged (the fence), and
//! probed by the placements in the watch cache and by HTTP requests to the replicas.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures_util::future::{BoxFuture, join_all};
use hyper::{Method, StatusCode};
use stonewheel_protocol::Condition;
use thiserror::Error;

use crate::{
    http::client::HttpClient,
    node::{InternalJobReply, Node, Unavailable},
    protocol::{JobSpec, JobState, MachineId, Priority, Shape},
    settings::Settings,
    state::lock,
};

/// The maximum number of idle connections kept open to each replica for probes.
const IDLE_CONNECTIONS: usize = 1;

/// Probes whether a replica can serve requests.
pub trait ReplicaProbe: Send + Sync {
    /// Whether the replica at this endpoint responds to a GET of this path with status 200.
    fn is_healthy(&self, endpoint: SocketAddr, path: &str) -> BoxFuture<'_, bool>;
}

/// A probe that sends HTTP requests.
pub struct HttpProbe {
    client: HttpClient,
    timeout: Duration,
}

impl HttpProbe {
    /// Creates a probe with a heartbeat interval as its time-out: a replica that takes longer
    /// counts as unhealthy.
    pub fn new(settings: &Settings) -> Self {
        let timeout = settings.heartbeat_interval();
        Self { client: HttpClient::new(IDLE_CONNECTIONS, timeout, timeout / 2), timeout }
    }
}

impl ReplicaProbe for HttpProbe {
    fn is_healthy(&self, endpoint: SocketAddr, path: &str) -> BoxFuture<'_, bool> {
        let path = path.to_owned();
        Box::pin(async move {
            let call = self.client.call::<()>(Method::GET, endpoint, &path, None, self.timeout);
            call.await.is_ok_and(|response| response.status == StatusCode::OK)
        })
    }
}

/// A replica that is placed on a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedReplica {
    /// The machine that the replica is placed on.
    pub machine: MachineId,
    /// The endpoint at which the replica serves requests once it is ready.
    pub endpoint: SocketAddr,
    /// Whether the endpoint answered the latest probe with 200.
    pub is_healthy: bool,
}

/// The result of a probe of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobProbe {
    /// The job is done or cancelled.
    Gone,
    /// None of the job's tasks is placed according to this controller's watch cache.
    Pending,
    /// These replicas of the job are placed.
    Placed(Vec<PlacedReplica>),
}

/// The requirements of the replicas of a job.
#[derive(Clone, Debug)]
pub struct ReplicaRequirements<'a> {
    /// The team whose quota the job uses.
    pub team: &'a str,
    /// The class of the job.
    pub class: &'a str,
    /// The job's priority, by its name in submissions.
    pub priority: &'a str,
    /// The image that each replica runs.
    pub image: &'a str,
    /// The size of the image in GB.
    pub image_gb: f64,
    /// The CPU cores of each replica.
    pub cpus: f64,
    /// The GPUs of each replica.
    pub gpus: f64,
    /// The memory of each replica in GB.
    pub memory_gb: f64,
    /// The number of replicas.
    pub replicas: u32,
}

/// The reason why the job of a replica was not submitted or cancelled, or may not have been.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ReplicaJobError {
    /// Another job has the same id.
    #[error("its job's id is taken")]
    IdTaken,
    /// The fence failed: the record has changed since the decision.
    #[error("the order is out of date")]
    Stale,
    /// The job can never run.
    #[error("{0}")]
    Rejected(String),
    /// It isn't known whether the request was carried out. Repeating it is safe.
    #[error("{0}")]
    Unavailable(String),
}

/// The identity of a replica's job, and the condition for submitting or cancelling it.
#[derive(Clone, Copy, Debug)]
pub struct JobOrder<'a> {
    /// The job's id.
    pub job: &'a str,
    /// The condition of the transaction that submits or cancels the job.
    pub fence: &'a Condition,
    /// The key of the marker record, which exists while an internal job of this id is submitted
    /// and distinguishes it from a user's job with the same id.
    pub marker: &'a str,
}

/// Submits, cancels and probes the jobs of replicas.
pub struct ReplicaJobs {
    /// The controller that submits and cancels the jobs.
    pub node: Arc<Node>,
    probe: Arc<dyn ReplicaProbe>,
    /// Addresses of machines from the cloud's list. The address of a machine never changes.
    addresses: Mutex<HashMap<MachineId, SocketAddr>>,
}

impl ReplicaJobs {
    /// Creates a client of a controller that uses this probe for the replicas.
    pub fn new(node: Arc<Node>, probe: Arc<dyn ReplicaProbe>) -> Self {
        Self { node, probe, addresses: Mutex::default() }
    }

    /// Submits a service job whose tasks are replicas. Repeating a submission has no effect.
    pub async fn start(
        &self,
        order: JobOrder<'_>,
        requirements: &ReplicaRequirements<'_>,
    ) -> Result<(), ReplicaJobError> {
        let spec = job_spec(order.job, requirements).map_err(ReplicaJobError::Rejected)?;
        outcome(self.node.submit_internal_job(&spec, order.fence, order.marker).await)
    }

    /// Cancels a job. Repeating a cancellation has no effect.
    pub async fn stop(&self, order: JobOrder<'_>) -> Result<(), ReplicaJobError> {
        outcome(self.node.cancel_internal_job(order.job, order.fence, order.marker).await)
    }

    /// Probes a job by the watch cache and its replicas' health paths, without a call to the
    /// state service.
    pub async fn probe(&self, job: &str, port: u16, health: &str) -> JobProbe {
        let state = lock(&self.node.watch_cache).status(job).map(|status| status.state);
        match state {
            Some(JobState::Done | JobState::Cancelled) => return JobProbe::Gone,
            // An unknown job may have been submitted without the watch having received it yet.
            None | Some(JobState::Pending) => return JobProbe::Pending,
            Some(JobState::Running) => {}
        }
        let mut placed = Vec::new();
        for machine in self.machines_of(job) {
            if let Some(address) = self.address(&machine).await {
                let endpoint = SocketAddr::new(address.ip(), port);
                placed.push(PlacedReplica { machine, endpoint, is_healthy: false });
            }
        }
        let probes = placed.iter().map(|replica| self.probe.is_healthy(replica.endpoint, health));
        let results = join_all(probes).await;
        for (replica, is_healthy) in placed.iter_mut().zip(results) {
            replica.is_healthy = is_healthy;
        }
        JobProbe::Placed(placed)
    }

    /// Returns the machines that the job's tasks are placed on according to the watch cache.
    fn machines_of(&self, job: &str) -> Vec<MachineId> {
        let mut machines = lock(&self.node.watch_cache).machines_of(job);
        machines.sort_unstable();
        machines.dedup();
        machines
    }

    /// Returns the address of a machine's worker. The cloud lists machines in the order of their
    /// names, so the page that begins after the name without its last character contains the
    /// machine.
    async fn address(&self, machine: &MachineId) -> Option<SocketAddr> {
        if let Some(known) = lock(&self.addresses).get(machine) {
            return Some(*known);
        }
        let name_prefix = &machine[..machine.len().saturating_sub(1)];
        let list = self.node.cloud.list(name_prefix).await.ok()?;
        let mut addresses = lock(&self.addresses);
        for listed in list.machines {
            if let Ok(address) = listed.address.parse() {
                addresses.insert(listed.id, address);
            }
        }
        addresses.get(machine).copied()
    }
}

fn outcome(reply: Result<InternalJobReply, Unavailable>) -> Result<(), ReplicaJobError> {
    match reply {
        Ok(InternalJobReply::Done) => Ok(()),
        Ok(InternalJobReply::IdTaken) => Err(ReplicaJobError::IdTaken),
        Ok(InternalJobReply::Stale) => Err(ReplicaJobError::Stale),
        Ok(InternalJobReply::Impossible(reason)) => Err(ReplicaJobError::Rejected(reason)),
        Err(unavailable) => Err(ReplicaJobError::Unavailable(unavailable.to_string())),
    }
}

/// Returns the service job whose tasks are replicas, or the reason why it is not valid.
fn job_spec(job: &str, requirements: &ReplicaRequirements<'_>) -> Result<JobSpec, String> {
    let priority = match requirements.priority {
        "production" => Priority::Production,
        "high" => Priority::High,
        "standard" => Priority::Standard,
        _ => Priority::BestEffort,
    };
    let spec = JobSpec {
        id: job.into(),
        class: requirements.class.into(),
        team: requirements.team.into(),
        shape: Shape::Service,
        priority,
        tasks: requirements.replicas,
        cpus: requirements.cpus,
        gpus: requirements.gpus,
        memory_gb: requirements.memory_gb,
        image: requirements.image.into(),
        image_gb: requirements.image_gb,
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
    let json = serde_json::to_vec(&spec).map_err(|error| error.to_string())?;
    JobSpec::parse(&json).map_err(|error| error.to_string())
}
