//! What starts and stops the replicas of a model.

use futures_util::future::BoxFuture;
use stonewheel_protocol::Condition;
use thiserror::Error;

/// Which replicas are meant, and by whose right.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaOrder {
    /// The model.
    pub model: String,
    /// Which cold start of the model.
    pub generation: u64,
    /// The owner's fencing token: orders with a lower one than was seen before are
    /// refused.
    pub epoch: u64,
    /// The job whose tasks the replicas are.
    pub job: String,
    /// The version of the model's record that the order was decided on. Whoever
    /// carries it out in the state service makes its change conditional on this.
    pub fence: Condition,
}

/// What the replicas do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Replicas {
    /// They are being started; none answers yet.
    Pending,
    /// These answer.
    Ready(Vec<String>),
    /// They are gone for good.
    Gone,
}

/// Why an order was not carried out, or may not have been.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StarterError {
    /// The record has moved on since: somebody else acts now.
    #[error("the order is out of date")]
    Stale,
    /// The job's id belongs to a job that is not ours.
    #[error("the job's id is taken")]
    IdTaken,
    /// It can never be carried out.
    #[error("rejected: {0}")]
    Rejected(String),
    /// It may have been carried out or not; a repeat is safe.
    #[error("unavailable: {0}")]
    Unavailable(String),
}

/// Starts and stops replicas. Every call may be repeated: the same order has its
/// effect once.
pub trait ReplicaStarter: Send + Sync {
    /// Asks for the replicas.
    fn start(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<(), StarterError>>;

    /// Looks at them.
    fn probe(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<Replicas, StarterError>>;

    /// Stops them; afterwards no start with this job has any effect. A job that is
    /// not ours is left alone.
    fn stop(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<(), StarterError>>;
}
