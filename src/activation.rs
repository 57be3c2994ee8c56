//! The adapter from activation (scale to zero) to the scheduler. The replicas of a model are the
//! tasks of one service job. The controller that owns the model's cold start submits the job, and
//! the job is cancelled when the model scales to zero.

use std::{collections::HashMap, sync::Arc};

use futures_util::future::BoxFuture;
use stonewheel_activation::{
    Activator, ModelSettings, ReplicaOrder, ReplicaStarter, Replicas, StarterError, record::job_key,
};
use stonewheel_coordination::Coordinator;

use crate::{
    node::Node,
    replica_jobs::{
        JobOrder, JobProbe, ReplicaJobError, ReplicaJobs, ReplicaProbe, ReplicaRequirements,
    },
};

/// Starts, probes and stops replicas as the tasks of service jobs.
pub struct SchedulerStarter {
    jobs: ReplicaJobs,
    models: HashMap<String, ModelSettings>,
}

impl SchedulerStarter {
    /// Creates a starter for replicas of these models, by name.
    pub fn new(jobs: ReplicaJobs, models: HashMap<String, ModelSettings>) -> Self {
        Self { jobs, models }
    }

    /// Returns the settings of the model of an order.
    fn model(&self, order: &ReplicaOrder) -> Result<&ModelSettings, StarterError> {
        let unknown = || StarterError::Rejected(format!("no model {}", order.model));
        self.models.get(&order.model).ok_or_else(unknown)
    }

    async fn start_job(&self, order: &ReplicaOrder) -> Result<(), StarterError> {
        let requirements = requirements(self.model(order)?);
        let marker = job_key(&order.job);
        Ok(self.jobs.start(job_order(order, &marker), &requirements).await?)
    }

    async fn stop_job(&self, order: &ReplicaOrder) -> Result<(), StarterError> {
        let marker = job_key(&order.job);
        Ok(self.jobs.stop(job_order(order, &marker)).await?)
    }

    async fn probe_job(&self, order: &ReplicaOrder) -> Result<Replicas, StarterError> {
        let model = self.model(order)?;
        let placed = match self.jobs.probe(&order.job, model.port as u16, &model.health).await {
            JobProbe::Gone => return Ok(Replicas::Gone),
            JobProbe::Pending => return Ok(Replicas::Pending),
            JobProbe::Placed(placed) => placed,
        };
        let healthy = placed.iter().filter(|replica| replica.is_healthy);
        let endpoints: Vec<String> = healthy
            .map(|replica| replica.endpoint.to_string())
            .take(self.max_endpoints())
            .collect();
        Ok(if endpoints.is_empty() { Replicas::Pending } else { Replicas::Ready(endpoints) })
    }

    /// Returns the number of endpoints that always fit the model's record: they may take half of
    /// a value.
    fn max_endpoints(&self) -> usize {
        const MAX_ENDPOINT_BYTES: usize = 64;
        let value_bytes = self.jobs.node.settings.state_limits().value_bytes;
        (value_bytes / MAX_ENDPOINT_BYTES / 2).max(1)
    }
}

impl ReplicaStarter for SchedulerStarter {
    fn start(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<(), StarterError>> {
        let order = order.clone();
        Box::pin(async move { self.start_job(&order).await })
    }

    fn probe(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<Replicas, StarterError>> {
        let order = order.clone();
        Box::pin(async move { self.probe_job(&order).await })
    }

    fn stop(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<(), StarterError>> {
        let order = order.clone();
        Box::pin(async move { self.stop_job(&order).await })
    }
}

fn job_order<'a>(order: &'a ReplicaOrder, marker: &'a str) -> JobOrder<'a> {
    JobOrder { job: &order.job, fence: &order.fence, marker }
}

fn requirements(model: &ModelSettings) -> ReplicaRequirements<'_> {
    ReplicaRequirements {
        team: &model.team,
        class: &model.class,
        priority: &model.priority,
        image: &model.image,
        image_gb: model.image_gb,
        cpus: model.cpus,
        gpus: model.gpus,
        memory_gb: model.memory_gb,
        replicas: model.replicas as u32,
    }
}

impl From<ReplicaJobError> for StarterError {
    fn from(error: ReplicaJobError) -> Self {
        match error {
            ReplicaJobError::IdTaken => Self::IdTaken,
            ReplicaJobError::Stale => Self::Stale,
            ReplicaJobError::Rejected(reason) => Self::Rejected(reason),
            ReplicaJobError::Unavailable(reason) => Self::Unavailable(reason),
        }
    }
}

/// Creates this controller's activator. Returns `None` if the operators' settings don't enable
/// activation.
pub fn activator(
    node: &Arc<Node>,
    coordinator: Arc<Coordinator>,
    probe: Arc<dyn ReplicaProbe>,
    seed: u64,
) -> Option<Arc<Activator>> {
    let settings = node.settings.operator.activation.clone()?;
    let models = settings.models.clone().into_iter().collect();
    let jobs = ReplicaJobs::new(node.clone(), probe);
    let starter = Arc::new(SchedulerStarter::new(jobs, models));
    Some(Activator::new(coordinator, settings, starter, seed))
}
