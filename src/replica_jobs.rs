//! Replicas as tasks of internal service jobs: submitted and cancelled under a fence, and
//! probed through the records and over HTTP. Scale to zero and rollouts share this.

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

/// Connections kept to each replica for probes.
const IDLE_CONNECTIONS: usize = 1;

/// Probes whether a replica can take requests.
pub trait ReplicaProbe: Send + Sync {
    /// Whether the replica at this endpoint answers this path with 200.
    fn answers(&self, endpoint: SocketAddr, path: &str) -> BoxFuture<'_, bool>;
}

/// Probes over HTTP.
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

/// A replica that is placed on a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedReplica {
    /// The machine that it is on.
    pub machine: MachineId,
    /// The endpoint at which it is to answer.
    pub endpoint: SocketAddr,
    /// Whether the endpoint answers.
    pub answers: bool,
}

/// What a probe of a job shows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobProbe {
    /// It is done or cancelled.
    Gone,
    /// None of its tasks is placed, as far as the records are known here.
    Pending,
    /// These replicas are placed.
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

/// Why the job of a replica was not submitted or cancelled, or may not have been.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ReplicaJobError {
    /// Another job has its id.
    #[error("its job's id is taken")]
    NameTaken,
    /// The fence no longer holds.
    #[error("the order is out of date")]
    Stale,
    /// The job can never run.
    #[error("{0}")]
    Rejected(String),
    /// Whether it was carried out is not known; a repeat is safe.
    #[error("{0}")]
    Unavailable(String),
}

/// The identity of a replica's job, and under what it may be changed.
#[derive(Clone, Copy, Debug)]
pub struct JobOrder<'a> {
    /// The job's id.
    pub job: &'a str,
    /// The condition that must hold when the change is made.
    pub fence: &'a Condition,
    /// The key of the record that marks the job as submitted.
    pub marker: &'a str,
}

/// Submits, cancels and probes the jobs of replicas.
pub struct ReplicaJobs {
    /// The controller that they are submitted through.
    pub node: Arc<Node>,
    probe: Arc<dyn ReplicaProbe>,
    /// Addresses of machines, as the cloud named them. They never change.
    addresses: Mutex<HashMap<MachineId, SocketAddr>>,
}

impl ReplicaJobs {
    /// Over a controller, and with this probe for the replicas.
    pub fn new(node: Arc<Node>, probe: Arc<dyn ReplicaProbe>) -> Self {
        Self { node, probe, addresses: Mutex::default() }
    }

    /// Submits a service job whose tasks are replicas. A repeat has no further effect.
    pub async fn start(
        &self,
        order: JobOrder<'_>,
        needs: &ReplicaNeeds<'_>,
    ) -> Result<(), ReplicaJobError> {
        let spec = job_spec(order.job, needs).map_err(ReplicaJobError::Rejected)?;
        outcome(self.node.submit_internal_job(&spec, order.fence, order.marker).await)
    }

    /// Cancels a job. A repeat has no further effect.
    pub async fn stop(&self, order: JobOrder<'_>) -> Result<(), ReplicaJobError> {
        outcome(self.node.cancel_internal_job(order.job, order.fence, order.marker).await)
    }

    /// Probes a job by the records and its replicas' health paths, without a call to the
    /// state service.
    pub async fn probe(&self, job: &str, port: u16, health: &str) -> JobProbe {
        let state = lock(&self.node.watch_cache).status(job).map(|status| status.state);
        match state {
            Some(JobState::Done | JobState::Cancelled) => return JobProbe::Gone,
            // The watch may not have brought it yet.
            None | Some(JobState::Pending) => return JobProbe::Pending,
            Some(JobState::Running) => {}
        }
        let mut placed = Vec::new();
        for machine in self.machines_of(job) {
            if let Some(address) = self.address(&machine).await {
                let endpoint = SocketAddr::new(address.ip(), port);
                placed.push(PlacedReplica { machine, endpoint, answers: false });
            }
        }
        let probes = placed.iter().map(|replica| self.probe.answers(replica.endpoint, health));
        let answers = join_all(probes).await;
        for (replica, answers) in placed.iter_mut().zip(answers) {
            replica.answers = answers;
        }
        JobProbe::Placed(placed)
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

fn outcome(reply: Result<InternalJobReply, Unavailable>) -> Result<(), ReplicaJobError> {
    match reply {
        Ok(InternalJobReply::Done) => Ok(()),
        Ok(InternalJobReply::IdTaken) => Err(ReplicaJobError::NameTaken),
        Ok(InternalJobReply::Stale) => Err(ReplicaJobError::Stale),
        Ok(InternalJobReply::Impossible(reason)) => Err(ReplicaJobError::Rejected(reason)),
        Err(unavailable) => Err(ReplicaJobError::Unavailable(unavailable.to_string())),
    }
}

/// The service job whose tasks are replicas, or why there can't be one.
fn job_spec(job: &str, needs: &ReplicaNeeds<'_>) -> Result<JobSpec, String> {
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
