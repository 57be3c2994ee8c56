//! The interface through which the executor starts, probes and stops replicas.

use futures_util::future::BoxFuture;
use stonewheel_protocol::Condition;
use thiserror::Error;

/// The replica that an order concerns, and the owner that gives the order.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaOrder {
    /// The name of the service.
    pub service: String,
    /// The replica's number.
    pub number: u32,
    /// The id of the job that the replica runs as.
    pub job: String,
    /// The version that the replica runs.
    pub version: String,
    /// The owner's fencing token. An order with a lower token than an earlier order is
    /// refused.
    pub epoch: u64,
    /// The version of the service's record that the order was decided on. The order is
    /// refused once the record has changed.
    pub fence: Condition,
}

/// The result of a probe of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The replica is not placed: it waits for free capacity in the fleet.
    NoCapacity,
    /// The replica is placed on a machine, and doesn't answer.
    Unresponsive {
        /// The machine that the replica is on.
        machine: String,
    },
    /// The replica answers.
    Answering {
        /// The machine that the replica is on.
        machine: String,
        /// The endpoint at which the replica answers.
        endpoint: String,
    },
    /// The replica's job has ended, and won't run again.
    Gone,
}

/// Why an order was not carried out, or may not have been.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum HostError {
    /// The order is outdated: the service's record or owner has changed since.
    #[error("the order is out of date")]
    Stale,
    /// The order can never be carried out.
    #[error("rejected: {0}")]
    Rejected(String),
    /// The order may have been carried out or not; a repeat is safe.
    #[error("unavailable: {0}")]
    Unavailable(String),
}

/// Starts, probes and stops replicas. Every call may be repeated: the same order takes
/// effect once.
pub trait ReplicaHost: Send + Sync {
    /// Requests the start of a replica.
    fn start(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<(), HostError>>;

    /// Probes a replica.
    fn probe(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<ProbeResult, HostError>>;

    /// Stops a replica permanently: a later start of the same replica has no effect.
    fn stop(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<(), HostError>>;
}
