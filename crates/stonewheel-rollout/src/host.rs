//! What starts, shows and stops replicas.

use futures_util::future::BoxFuture;
use stonewheel_protocol::Condition;
use thiserror::Error;

/// Which replica is meant, and by whose right.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaOrder {
    /// The service.
    pub service: String,
    /// The replica's number.
    pub number: u32,
    /// The job that it runs as.
    pub job: String,
    /// The version that it runs.
    pub version: String,
    /// The owner's fencing token: an order with a lower one than was seen before is
    /// refused.
    pub epoch: u64,
    /// The version of the service's record that the order was decided on.
    pub fence: Condition,
}

/// What a probe of a replica shows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// It waits for room.
    NoCapacity,
    /// It has a place, and doesn't answer.
    Unresponsive {
        /// The machine that it is on.
        machine: String,
    },
    /// It answers.
    Answering {
        /// The machine that it is on.
        machine: String,
        /// Where it answers.
        endpoint: String,
    },
    /// It is gone for good.
    Gone,
}

/// Why an order was not carried out, or may not have been.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum HostError {
    /// Somebody else acts now.
    #[error("the order is out of date")]
    Stale,
    /// It can never be carried out.
    #[error("rejected: {0}")]
    Rejected(String),
    /// It may have been carried out or not; a repeat is safe.
    #[error("unavailable: {0}")]
    Unavailable(String),
}

/// Starts, shows and stops replicas. Every call may be repeated: the same order has its
/// effect once.
pub trait ReplicaHost: Send + Sync {
    /// Asks for a replica.
    fn start(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<(), HostError>>;

    /// Probes it.
    fn probe(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<ProbeResult, HostError>>;

    /// Stops it; afterwards no start of it has any effect.
    fn stop(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<(), HostError>>;
}
