//! The adapter from stepped rollouts to the scheduler. Each replica of a service is a service job
//! with one task, and a version of the service is the image that the task runs.

use std::{collections::BTreeMap, sync::Arc};

use futures_util::future::BoxFuture;
use stonewheel_coordination::Coordinator;
use stonewheel_rollout::{
    Executor, HostError, ProbeResult, ReplicaHost, ReplicaOrder, ServiceSettings, record::job_key,
};

use crate::{
    node::Node,
    replica_jobs::{
        JobOrder, JobProbe, ReplicaJobError, ReplicaJobs, ReplicaProbe, ReplicaRequirements,
    },
};

/// Starts, probes and stops replicas as service jobs of one task each.
pub struct SchedulerHost {
    jobs: ReplicaJobs,
    services: BTreeMap<String, ServiceSettings>,
}

impl SchedulerHost {
    fn service(&self, order: &ReplicaOrder) -> Result<&ServiceSettings, HostError> {
        let unknown = || HostError::Rejected(format!("no service {}", order.service));
        self.services.get(&order.service).ok_or_else(unknown)
    }

    async fn start_job(&self, order: &ReplicaOrder) -> Result<(), HostError> {
        let requirements = requirements(self.service(order)?, &order.version);
        let marker = job_key(&order.job);
        Ok(self.jobs.start(job_order(order, &marker), &requirements).await?)
    }

    async fn probe_job(&self, order: &ReplicaOrder) -> Result<ProbeResult, HostError> {
        let service = self.service(order)?;
        let placed = match self.jobs.probe(&order.job, service.port as u16, &service.health).await {
            JobProbe::Gone => return Ok(ProbeResult::Gone),
            JobProbe::Pending => return Ok(ProbeResult::NoCapacity),
            JobProbe::Placed(placed) => placed,
        };
        let Some(replica) = placed.into_iter().next() else { return Ok(ProbeResult::NoCapacity) };
        let machine = replica.machine.to_string();
        let endpoint = replica.endpoint.to_string();
        Ok(if replica.is_healthy {
            ProbeResult::Answering { machine, endpoint }
        } else {
            ProbeResult::Unresponsive { machine }
        })
    }

    async fn stop_job(&self, order: &ReplicaOrder) -> Result<(), HostError> {
        let marker = job_key(&order.job);
        Ok(self.jobs.stop(job_order(order, &marker)).await?)
    }
}

impl ReplicaHost for SchedulerHost {
    fn start(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<(), HostError>> {
        let order = order.clone();
        Box::pin(async move { self.start_job(&order).await })
    }

    fn probe(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<ProbeResult, HostError>> {
        let order = order.clone();
        Box::pin(async move { self.probe_job(&order).await })
    }

    fn stop(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<(), HostError>> {
        let order = order.clone();
        Box::pin(async move { self.stop_job(&order).await })
    }
}

fn job_order<'a>(order: &'a ReplicaOrder, marker: &'a str) -> JobOrder<'a> {
    JobOrder { job: &order.job, fence: &order.fence, marker }
}

fn requirements<'a>(service: &'a ServiceSettings, version: &'a str) -> ReplicaRequirements<'a> {
    ReplicaRequirements {
        team: &service.team,
        class: &service.class,
        priority: &service.priority,
        image: version,
        image_gb: service.image_gb,
        cpus: service.cpus,
        gpus: service.gpus,
        memory_gb: service.memory_gb,
        replicas: 1,
    }
}

impl From<ReplicaJobError> for HostError {
    fn from(error: ReplicaJobError) -> Self {
        match error {
            // Job ids have 16 random digits, so a collision is practically impossible. As a
            // rejection it is reported and the rollout is rolled back.
            ReplicaJobError::IdTaken => Self::Rejected(error.to_string()),
            ReplicaJobError::Stale => Self::Stale,
            ReplicaJobError::Rejected(reason) => Self::Rejected(reason),
            ReplicaJobError::Unavailable(reason) => Self::Unavailable(reason),
        }
    }
}

/// Creates this controller's rollout executor. Returns `None` if the operators' settings don't
/// enable rollouts.
pub fn executor(
    node: &Arc<Node>,
    coordinator: Arc<Coordinator>,
    probe: Arc<dyn ReplicaProbe>,
    seed: u64,
) -> Option<Arc<Executor>> {
    let settings = node.settings.operator.rollout.clone()?;
    let jobs = ReplicaJobs::new(node.clone(), probe);
    let services = settings.services.iter();
    let gates = services.map(|(name, service)| (name.clone(), service.promote_when.clone()));
    let gates = gates.collect();
    let host = Arc::new(SchedulerHost { jobs, services: settings.services.clone() });
    let max_record_bytes = node.settings.state_limits().value_bytes;
    Some(Executor::new(coordinator, settings.times, gates, host, max_record_bytes, seed))
}
