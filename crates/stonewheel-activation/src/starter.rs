//! The interface through which the owner of an activation starts, probes and stops
//! replicas.

use futures_util::future::BoxFuture;
use stonewheel_protocol::Condition;
use thiserror::Error;

/// The replicas that a call concerns, and the fencing data that authorizes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaOrder {
    /// The model.
    pub model: String,
    /// Number of the model's cold start.
    pub generation: u64,
    /// The owner's fencing token: an order is refused if one with a higher token was
    /// seen before.
    pub epoch: u64,
    /// Id of the job whose tasks are the replicas.
    pub job: String,
    /// The version of the model's record that the order was decided on. A write to the
    /// state service that carries out the order is conditional on it.
    pub fence: Condition,
}

/// State of the replicas, as a probe found it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Replicas {
    /// The replicas are being started; none answers yet.
    Pending,
    /// The endpoints of the replicas that answer.
    Ready(Vec<String>),
    /// The replicas have ended and are not started again by themselves.
    Gone,
}

/// Why an order failed, or why its outcome is unknown.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StarterError {
    /// The model's record has changed since the order was decided on.
    #[error("the order is out of date")]
    Stale,
    /// The job's id belongs to a job that was not started for a model.
    #[error("the job's id is taken")]
    IdTaken,
    /// The order can never be carried out.
    #[error("rejected: {0}")]
    Rejected(String),
    /// The order may or may not have been carried out; repeating it is safe.
    #[error("unavailable: {0}")]
    Unavailable(String),
}

/// Starts, probes and stops replicas. Calls are idempotent: a repeated order takes
/// effect once.
pub trait ReplicaStarter: Send + Sync {
    /// Requests the start of the replicas.
    fn start(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<(), StarterError>>;

    /// Returns the state of the replicas.
    fn probe(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<Replicas, StarterError>>;

    /// Stops the replicas; afterwards no start with this job id has any effect. A job
    /// that was not started for a model is left alone.
    fn stop(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<(), StarterError>>;
}
