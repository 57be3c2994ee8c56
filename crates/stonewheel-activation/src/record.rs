//! The durable state of a model: one record, changed only by compare-and-set.
//!
//! | key | value | lifetime |
//! | --- | --- | --- |
//! | `sp/a/m/{model}` | [`ActivationRecord`] | never deleted: it outlives all controllers |
//! | `sp/a/u/{model}/{member}` | [`UseMarker`]: the controller forwards requests to the model | until the controller deletes it or its session's lease ends |
//! | `sp/a/j/{job}` | the replica starter's marker that a job was started for a model | until the job is stopped |

use serde::{Deserialize, Serialize};
use stonewheel_coordination::Owner;

/// Returns the key of a model's record.
pub fn record_key(model: &str) -> String {
    format!("sp/a/m/{model}")
}

/// Returns the common prefix of the keys of a model's use markers.
pub fn use_marker_prefix(model: &str) -> String {
    use_marker_key(model, "")
}

/// Returns the key of a controller's use marker for a model.
pub fn use_marker_key(model: &str, member: &str) -> String {
    format!("sp/a/u/{model}/{member}")
}

/// Returns the key that marks a job as started for a model.
pub fn job_key(job: &str) -> String {
    format!("sp/a/j/{job}")
}

/// Marks that a controller forwards requests to a model. The marker's key is attached to
/// the lease of the controller's session and ends with it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UseMarker {
    /// The lease that the marker is attached to.
    pub lease: u64,
}

/// The durable state of a model.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ActivationRecord {
    /// Number of cold starts so far; never decreases.
    pub generation: u64,
    /// Fencing token: increases whenever the owner changes, and never decreases.
    pub epoch: u64,
    /// Whether replicas run, and who starts or stops them.
    pub state: ModelState,
}

/// Whether a model has replicas.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelState {
    /// No replica runs and none is being started.
    #[serde(rename = "asleep")]
    ScaledToZero,
    /// The last cold start was given up. Requests are refused for `retry_s`; a later
    /// request begins a new one.
    Failed {
        /// Why the start failed, for the operator.
        reason: String,
    },
    /// Replicas run, or are being started or stopped.
    Active(Activation),
}

/// One cold start of a model and the replicas that it brought up, until they are
/// stopped.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Activation {
    /// The controller process that carries out the activation.
    pub owner: Owner,
    /// Number of the start attempt within this generation, from 1.
    pub attempt: u32,
    /// Id of the job whose tasks are the replicas. The id is stored before the job is
    /// submitted, so that a repeated submission uses the same id.
    pub job: String,
    /// Stage that the activation has reached.
    pub stage: Stage,
}

/// Stage of an activation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The start of the replicas is yet to be requested, or was requested and no replica
    /// answers yet.
    Starting,
    /// The model serves requests.
    Ready {
        /// Endpoints of the replicas that answer; empty while none does.
        endpoints: Vec<String>,
    },
    /// No controller uses the model. A request returns it to [`Stage::Ready`].
    Draining {
        /// Endpoints of the replicas, which still run.
        endpoints: Vec<String>,
    },
    /// The replicas are being stopped. Their job is never used again.
    Stopping {
        /// What follows once they are stopped.
        then: AfterStop,
    },
}

/// What follows once the replicas of an attempt are stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AfterStop {
    /// The model has no replicas until the next request.
    #[serde(rename = "sleep")]
    ScaleToZero,
    /// The next attempt of the same generation begins.
    Retry,
    /// The cold start is given up: the model becomes [`ModelState::Failed`].
    GiveUp,
}

impl Default for ActivationRecord {
    /// Returns the state of a model that has no record yet.
    fn default() -> Self {
        Self { generation: 0, epoch: 0, state: ModelState::ScaledToZero }
    }
}

impl ActivationRecord {
    /// Returns the activation, unless the model has no replicas.
    pub fn activation(&self) -> Option<&Activation> {
        match &self.state {
            ModelState::Active(activation) => Some(activation),
            ModelState::ScaledToZero | ModelState::Failed { .. } => None,
        }
    }

    /// Returns the endpoints that requests may be forwarded to; none unless the model is
    /// ready.
    pub fn ready_endpoints(&self) -> Option<&[String]> {
        match &self.activation()?.stage {
            Stage::Ready { endpoints } => Some(endpoints),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
