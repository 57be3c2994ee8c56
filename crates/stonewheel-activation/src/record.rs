//! The durable state of a model: one record, changed by compare-and-set alone.
//!
//! | key | value | held by |
//! | --- | --- | --- |
//! | `sp/a/m/{model}` | [`ActivationRecord`] | nobody: it outlives all controllers |
//! | `sp/a/u/{model}/{member}` | [`UseMarker`]: the controller forwards requests to the model | its session's lease |
//! | `sp/a/j/{job}` | the replica starter's proof that a job is ours | until the job is stopped |

use serde::{Deserialize, Serialize};
use stonewheel_coordination::Owner;

/// The key of a model's record.
pub fn record_key(model: &str) -> String {
    format!("sp/a/m/{model}")
}

/// What the keys of all use markers of a model begin with.
pub fn use_marker_prefix(model: &str) -> String {
    use_marker_key(model, "")
}

/// The key of a controller's use marker for a model.
pub fn use_marker_key(model: &str, member: &str) -> String {
    format!("sp/a/u/{model}/{member}")
}

/// The key that marks a job as started for a model.
pub fn job_key(job: &str) -> String {
    format!("sp/a/j/{job}")
}

/// A controller forwards requests to a model; attached to its lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UseMarker {
    /// The lease that it is attached to.
    pub lease: u64,
}

/// The state of a model.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ActivationRecord {
    /// Counts cold starts that were decided on; it only rises.
    pub generation: u64,
    /// Fencing token: it rises whenever the owner changes, and never falls.
    pub epoch: u64,
    /// What the model is doing.
    pub state: ModelState,
}

/// What a model is doing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelState {
    /// No replica runs and none is being started.
    #[serde(rename = "asleep")]
    ScaledToZero,
    /// All attempts of the last start failed; the next one waits a while.
    Failed {
        /// Why, for the operator.
        reason: String,
    },
    /// Replicas run, or are being started or stopped.
    Active(Activation),
}

/// A start under way, and what became of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Activation {
    /// Who drives it.
    pub owner: Owner,
    /// Which attempt of this generation it is, from 1.
    pub attempt: u32,
    /// The job whose tasks are the replicas. It is durable before the job is
    /// submitted, so that whoever repeats the submission names the same one.
    pub job: String,
    /// How far it is.
    pub stage: Stage,
}

/// How far an activation is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The start is to be asked for, or has been.
    Starting,
    /// Replicas answer.
    Ready {
        /// Where they answer.
        endpoints: Vec<String>,
    },
    /// No controller uses the model; it may still be called back.
    Draining {
        /// Where its replicas still answer.
        endpoints: Vec<String>,
    },
    /// The replicas are to be stopped. There is no way back to the same job.
    Stopping {
        /// What comes next.
        then: AfterStop,
    },
}

/// What follows once the replicas are stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AfterStop {
    /// The model sleeps.
    #[serde(rename = "sleep")]
    ScaleToZero,
    /// The next attempt of the same generation begins.
    Retry,
    /// The start is given up.
    GiveUp,
}

impl Default for ActivationRecord {
    /// The state of a model that has no record yet.
    fn default() -> Self {
        Self { generation: 0, epoch: 0, state: ModelState::ScaledToZero }
    }
}

impl ActivationRecord {
    /// The activation under way, if there is one.
    pub fn activation(&self) -> Option<&Activation> {
        match &self.state {
            ModelState::Active(activation) => Some(activation),
            ModelState::ScaledToZero | ModelState::Failed { .. } => None,
        }
    }

    /// Where replicas answer that may take requests.
    pub fn ready_endpoints(&self) -> Option<&[String]> {
        match &self.activation()?.stage {
            Stage::Ready { endpoints } => Some(endpoints),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
