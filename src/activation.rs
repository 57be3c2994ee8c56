//! Scale to zero onto the scheduler: a model's replicas are the tasks of a service
//! job, which the owner of a cold start submits and, once the model scales to zero, cancels.

use std::{collections::HashMap, sync::Arc};

use futures_util::future::BoxFuture;
use stonewheel_activation::{
    Activator, ModelSettings, ReplicaOrder, ReplicaStarter, Replicas, StarterError, record::job_key,
};
use stonewheel_coordination::Coordinator;

use crate::{
    node::Node,
    replica_jobs::{JobOrder, JobProbe, ReplicaJobError, ReplicaJobs, ReplicaNeeds, ReplicaProbe},
};

/// Replicas as tasks of service jobs.
pub struct SchedulerStarter {
    jobs: ReplicaJobs,
    models: HashMap<String, ModelSettings>,
}

impl SchedulerStarter {
    /// Starts replicas of these models.
    pub fn new(jobs: ReplicaJobs, models: HashMap<String, ModelSettings>) -> Self {
        Self { jobs, models }
    }

    /// The settings of the model that an order is for.
    fn model(&self, order: &ReplicaOrder) -> Result<&ModelSettings, StarterError> {
        let unknown = || StarterError::Rejected(format!("no model {}", order.model));
        self.models.get(&order.model).ok_or_else(unknown)
    }

    async fn start_job(&self, order: &ReplicaOrder) -> Result<(), StarterError> {
        let needs = needs(self.model(order)?);
        let marker = job_key(&order.job);
        Ok(self.jobs.start(job_order(order, &marker), &needs).await?)
    }

    async fn stop_job(&self, order: &ReplicaOrder) -> Result<(), StarterError> {
        let marker = job_key(&order.job);
        Ok(self.jobs.stop(job_order(order, &marker)).await?)
    }

    async fn probe_at(&self, order: &ReplicaOrder) -> Result<Replicas, StarterError> {
        let model = self.model(order)?;
        let placed = match self.jobs.probe(&order.job, model.port as u16, &model.health).await {
            JobProbe::Gone => return Ok(Replicas::Gone),
            JobProbe::Pending => return Ok(Replicas::Pending),
            JobProbe::Placed(placed) => placed,
        };
        let answering = placed.iter().filter(|replica| replica.is_healthy);
        let endpoints: Vec<String> = answering
            .map(|replica| replica.endpoint.to_string())
            .take(self.max_endpoints())
            .collect();
        Ok(if endpoints.is_empty() { Replicas::Pending } else { Replicas::Ready(endpoints) })
    }

    /// As many endpoints as surely fit a record.
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
        Box::pin(async move { self.probe_at(&order).await })
    }

    fn stop(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<(), StarterError>> {
        let order = order.clone();
        Box::pin(async move { self.stop_job(&order).await })
    }
}

fn job_order<'a>(order: &'a ReplicaOrder, marker: &'a str) -> JobOrder<'a> {
    JobOrder { job: &order.job, fence: &order.fence, marker }
}

fn needs(model: &ModelSettings) -> ReplicaNeeds<'_> {
    ReplicaNeeds {
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
            ReplicaJobError::NameTaken => Self::NameTaken,
            ReplicaJobError::Stale => Self::Stale,
            ReplicaJobError::Rejected(reason) => Self::Rejected(reason),
            ReplicaJobError::Unavailable(reason) => Self::Unavailable(reason),
        }
    }
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
    let jobs = ReplicaJobs::new(node.clone(), probe);
    let starter = Arc::new(SchedulerStarter::new(jobs, models));
    Some(Activator::new(coordinator, settings, starter, seed))
}
