//! Between users and controllers: submissions, states of jobs, errors.

use std::{collections::HashSet, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize};
use thiserror::Error;

use super::JobId;

/// The most tasks a job may have.
pub const MAX_TASKS: u32 = 100_000;
/// Names (images, classes, zones) beyond this length are taken for mistakes.
const NAME_LIMIT: usize = 200;

/// How the tasks of a job run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    #[serde(rename = "batch")]
    Array,
    #[serde(rename = "ensemble")]
    Gang,
    #[serde(rename = "service")]
    Service,
}

/// Ordered from the least to the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    BestEffort,
    Standard,
    High,
    Production,
}

/// A job as its user describes it. The durable job record is the same text.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "Ref")]
    pub id: JobId,
    #[serde(rename = "Grain")]
    pub class: Arc<str>,
    #[serde(rename = "Crew")]
    pub team: Arc<str>,
    #[serde(rename = "Shape")]
    pub shape: Shape,
    #[serde(rename = "Rank")]
    pub priority: Priority,
    #[serde(rename = "Spokes")]
    pub tasks: u32,
    #[serde(rename = "Cores")]
    pub cpus: f64,
    #[serde(rename = "Gpus")]
    pub gpus: f64,
    #[serde(rename = "MemoryGb")]
    pub memory_gb: f64,
    #[serde(rename = "Mould")]
    pub image: Arc<str>,
    #[serde(rename = "ImageGb")]
    pub image_gb: f64,
    #[serde(rename = "Frames", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<Arc<str>>>,
    #[serde(rename = "Yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<Arc<str>>,
    #[serde(rename = "Together")]
    pub one_zone: bool,
    #[serde(rename = "Scatter")]
    pub spread: bool,
    #[serde(rename = "Driftwood")]
    pub spot: bool,
    #[serde(rename = "ReckonS")]
    pub estimate_s: f64,
    #[serde(rename = "NotchS")]
    pub checkpoint_s: f64,
    #[serde(rename = "StashS")]
    pub save_s: f64,
    #[serde(rename = "DueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts.
    #[serde(
        rename = "Awaits",
        default,
        deserialize_with = "null_as_empty",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub dependencies: Vec<JobId>,
}

fn null_as_empty<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<JobId>, D::Error> {
    Ok(Option::deserialize(deserializer)?.unwrap_or_default())
}

/// What is wrong with a submission, in one sentence for its user.
#[derive(Debug, Error)]
pub enum SubmissionError {
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("Ref is not a job id")]
    JobId,
    #[error("Spokes must lie within 1 and {MAX_TASKS}")]
    TaskCount,
    #[error("{field} must be a number of at least 0")]
    Amount { field: &'static str },
    #[error("names must have 1 to {NAME_LIMIT} bytes")]
    NameLength,
    #[error("Frames must name a type or be null")]
    NoMachineType,
    #[error("Awaits names {0:?}, which is not a job id")]
    DependencyId(JobId),
    #[error("Awaits must not name the job itself")]
    DependsOnItself,
}

impl JobSpec {
    /// Reads a submission.
    pub fn parse(body: &[u8]) -> Result<Self, SubmissionError> {
        let mut spec: Self = serde_json::from_slice(body)?;
        spec.check()?;
        let mut named = HashSet::new();
        spec.dependencies.retain(|dependency| named.insert(dependency.clone()));
        Ok(spec)
    }

    /// The job's id alone, of a body that may be wrong in every other way.
    pub fn id_of(body: &[u8]) -> Option<JobId> {
        #[derive(Deserialize)]
        struct Named {
            #[serde(rename = "Ref")]
            id: JobId,
        }
        let named: Named = serde_json::from_slice(body).ok()?;
        is_job_id(&named.id).then_some(named.id)
    }

    fn check(&self) -> Result<(), SubmissionError> {
        if !is_job_id(&self.id) {
            return Err(SubmissionError::JobId);
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(SubmissionError::TaskCount);
        }
        let amounts = [
            ("Cores", self.cpus),
            ("Gpus", self.gpus),
            ("MemoryGb", self.memory_gb),
            ("ImageGb", self.image_gb),
            ("ReckonS", self.estimate_s),
            ("NotchS", self.checkpoint_s),
            ("StashS", self.save_s),
            ("DueS", self.deadline_s.unwrap_or(0.0)),
        ];
        for (field, amount) in amounts {
            if !amount.is_finite() || amount < 0.0 {
                return Err(SubmissionError::Amount { field });
            }
        }
        let mut names = vec![&self.class, &self.team, &self.image];
        names.extend(self.zone.iter());
        names.extend(self.types.iter().flatten());
        if names.iter().any(|n| n.is_empty() || n.len() > NAME_LIMIT) {
            return Err(SubmissionError::NameLength);
        }
        if self.types.as_ref().is_some_and(Vec::is_empty) {
            return Err(SubmissionError::NoMachineType);
        }
        if let Some(wrong) = self.dependencies.iter().find(|id| !is_job_id(id)) {
            return Err(SubmissionError::DependencyId(wrong.clone()));
        }
        if self.dependencies.contains(&self.id) {
            return Err(SubmissionError::DependsOnItself);
        }
        Ok(())
    }
}

/// Whether a name has the one form that job ids take.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("j-")
        .is_some_and(|n| (1..=20).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit()))
}

/// The state of a job as its user sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    #[serde(rename = "pending")]
    Pending,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "aborted")]
    Cancelled,
}

/// What a user is told of a job.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobStatus {
    #[serde(rename = "Ref")]
    pub id: JobId,
    #[serde(rename = "Stance")]
    pub state: JobState,
    pub done: u32,
    pub running: u32,
}

/// The body of a refusal: one sentence.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    pub error: String,
}
