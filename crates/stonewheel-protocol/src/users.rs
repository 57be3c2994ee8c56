//! Between users and controllers: submissions, states of jobs, errors.

use std::{collections::HashSet, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize};
use thiserror::Error;

use super::JobId;

/// The most tasks a job may have.
pub const MAX_TASKS: u32 = 100_000;
/// Names (images, classes, zones) of more bytes are taken for mistakes.
const MAX_NAME_BYTES: usize = 200;

/// How the tasks of a job run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// A job array: independent tasks.
    #[serde(rename = "batch")]
    Array,
    /// Gang scheduling: all tasks start together, and none goes on without the others.
    #[serde(rename = "ensemble")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "service")]
    Service,
}

/// How urgent a job is, ordered from the least to the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// The least urgent.
    BestEffort,
    /// The usual one.
    Standard,
    /// More urgent than the usual one.
    High,
    /// The most urgent.
    Production,
}

/// A job as its user describes it. The durable job record is the same text.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Chosen by the user: a repeated submission with it is answered as the first.
    #[serde(rename = "Ref")]
    pub id: JobId,
    /// The class of work, which objectives name.
    #[serde(rename = "Grain")]
    pub class: Arc<str>,
    /// The team whose quota it uses.
    #[serde(rename = "Crew")]
    pub team: Arc<str>,
    /// How its tasks run.
    #[serde(rename = "Shape")]
    pub shape: Shape,
    /// Its own priority; jobs that depend on it can raise the effective one.
    #[serde(rename = "Rank")]
    pub priority: Priority,
    /// How many tasks it has, 1 to [`MAX_TASKS`].
    #[serde(rename = "Spokes")]
    pub tasks: u32,
    /// CPU cores of each task.
    #[serde(rename = "Cores")]
    pub cpus: f64,
    /// GPUs of each task.
    #[serde(rename = "Gpus")]
    pub gpus: f64,
    /// Memory of each task, in GB.
    #[serde(rename = "MemoryGb")]
    pub memory_gb: f64,
    /// The image that its tasks run.
    #[serde(rename = "Mould")]
    pub image: Arc<str>,
    /// Size of the image in GB.
    #[serde(rename = "ImageGb")]
    pub image_gb: f64,
    /// The machine types that it may use; none: any.
    #[serde(rename = "Frames", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<Arc<str>>>,
    /// The zone that it must run in, if it must.
    #[serde(rename = "Yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<Arc<str>>,
    /// Whether all its tasks must run in one zone.
    #[serde(rename = "Together")]
    pub one_zone: bool,
    /// Whether its tasks must run on different machines.
    #[serde(rename = "Scatter")]
    pub spread: bool,
    /// Whether it may run on spot machines.
    #[serde(rename = "Driftwood")]
    pub spot: bool,
    /// The user's estimate of how long a task runs, in seconds.
    #[serde(rename = "ReckonS")]
    pub estimate_s: f64,
    /// Seconds of work between two checkpoints; 0: it saves none.
    #[serde(rename = "NotchS")]
    pub checkpoint_s: f64,
    /// Seconds that saving a checkpoint takes.
    #[serde(rename = "StashS")]
    pub save_s: f64,
    /// Seconds from its submission by which it should be done.
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
    /// The body is not the JSON of a job.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The job's id has not the form of one.
    #[error("Ref is not a job id")]
    JobId,
    /// It has no task or too many.
    #[error("Spokes must lie within 1 and {MAX_TASKS}")]
    TaskCount,
    /// An amount is negative, infinite or not a number.
    #[error("{field} must be a number of at least 0")]
    Amount {
        /// Its name in the body.
        field: &'static str,
    },
    /// A name is empty or too long.
    #[error("names must have 1 to {MAX_NAME_BYTES} bytes")]
    NameLength,
    /// The list of machine types is empty.
    #[error("Frames must name a type or be null")]
    NoMachineType,
    /// A dependency has not the form of a job id.
    #[error("Awaits names {0:?}, which is not a job id")]
    DependencyId(JobId),
    /// It depends on itself.
    #[error("Awaits must not name the job itself")]
    DependsOnItself,
}

impl JobSpec {
    /// Reads a submission. A dependency that is named twice counts once.
    ///
    /// # Errors
    ///
    /// If it is not the JSON of a job, or a field has a value that it must not have.
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
        self.check_amounts()?;
        self.check_names()?;
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

    fn check_amounts(&self) -> Result<(), SubmissionError> {
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
        Ok(())
    }

    fn check_names(&self) -> Result<(), SubmissionError> {
        let mut names = vec![&self.class, &self.team, &self.image];
        names.extend(self.zone.iter());
        names.extend(self.types.iter().flatten());
        if names.iter().any(|name| name.is_empty() || name.len() > MAX_NAME_BYTES) {
            return Err(SubmissionError::NameLength);
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
    /// None of its tasks runs.
    #[serde(rename = "pending")]
    Pending,
    /// Some of its tasks are bound to machines.
    #[serde(rename = "running")]
    Running,
    /// All its tasks completed.
    #[serde(rename = "done")]
    Done,
    /// Its user cancelled it, or a job that it depends on was.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The state of a job with its counts, as its user gets it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobStatus {
    /// The job.
    #[serde(rename = "Ref")]
    pub id: JobId,
    /// Its state.
    #[serde(rename = "Stance")]
    pub state: JobState,
    /// Completed tasks.
    pub done: u32,
    /// Tasks that are bound to machines.
    pub running: u32,
}

/// The body of an error response: one sentence.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    /// The sentence.
    pub error: String,
}
