//! Messages between users and controllers: job submissions, job states and errors.

use std::{collections::HashSet, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize};
use thiserror::Error;

use super::JobId;

/// The maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;
/// The maximum length in bytes of the names in a submission (class, team, image, zone,
/// machine types). A longer name is taken for a mistake of the user.
const MAX_NAME_BYTES: usize = 200;

/// How the tasks of a job run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// A job array: independent tasks.
    #[serde(rename = "batch")]
    Array,
    /// Gang scheduling: all tasks start together, and no task continues without the others.
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
    /// The lowest priority.
    BestEffort,
    /// The usual priority.
    Standard,
    /// A priority above the usual one.
    High,
    /// The highest priority.
    Production,
}

/// A job as its user describes it. The durable job record has the same JSON format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's id, chosen by the user. A repeated submission with the same id gets the
    /// same response as the first one.
    #[serde(rename = "Ref")]
    pub id: JobId,
    /// The class of the job. Objectives in the settings refer to classes.
    #[serde(rename = "Grain")]
    pub class: Arc<str>,
    /// The team whose quota the job uses.
    #[serde(rename = "Crew")]
    pub team: Arc<str>,
    /// How the job's tasks run.
    #[serde(rename = "Shape")]
    pub shape: Shape,
    /// The job's own priority. Its effective priority can be higher because of jobs that
    /// depend on it.
    #[serde(rename = "Rank")]
    pub priority: Priority,
    /// The number of tasks, from 1 to [`MAX_TASKS`].
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
    /// The image that the tasks run.
    #[serde(rename = "Mould")]
    pub image: Arc<str>,
    /// Size of the image, in GB.
    #[serde(rename = "ImageGb")]
    pub image_gb: f64,
    /// The machine types that the job may use; `None`: any type.
    #[serde(rename = "Frames", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<Arc<str>>>,
    /// The zone that the job must run in; `None`: any zone.
    #[serde(rename = "Yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<Arc<str>>,
    /// Whether all tasks must run in the same zone.
    #[serde(rename = "Together")]
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in the same zone.
    #[serde(rename = "Scatter")]
    pub spread: bool,
    /// Whether the tasks may run on spot machines.
    #[serde(rename = "Driftwood")]
    pub spot: bool,
    /// The user's estimate of how long a task runs, in seconds.
    #[serde(rename = "ReckonS")]
    pub estimate_s: f64,
    /// Time between two checkpoints of a task, in seconds of work; 0: tasks save no
    /// checkpoints.
    #[serde(rename = "NotchS")]
    pub checkpoint_s: f64,
    /// Time that saving a checkpoint takes, in seconds.
    #[serde(rename = "StashS")]
    pub save_s: f64,
    /// The time from the submission until the job should be done, in seconds.
    #[serde(rename = "DueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// The jobs that must be done before any task of this job starts.
    #[serde(
        rename = "Awaits",
        default,
        deserialize_with = "null_as_empty",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub dependencies: Vec<JobId>,
}

/// Deserializes a list that may be `null`, which stands for an empty list.
fn null_as_empty<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<JobId>, D::Error> {
    Ok(Option::deserialize(deserializer)?.unwrap_or_default())
}

/// The reason why a submission is invalid. Its text is sent to the user.
#[derive(Debug, Error)]
pub enum SubmissionError {
    /// The body is not JSON that describes a job.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The job's id doesn't have the form of a job id.
    #[error("Ref is not a job id")]
    JobId,
    /// The job has no tasks or more than [`MAX_TASKS`].
    #[error("Spokes must lie within 1 and {MAX_TASKS}")]
    TaskCount,
    /// An amount is negative, infinite or not a number.
    #[error("{field} must be a number of at least 0")]
    Amount {
        /// The name of the field in the body.
        field: &'static str,
    },
    /// A name is empty or too long.
    #[error("names must have 1 to {MAX_NAME_BYTES} bytes")]
    NameLength,
    /// The list of machine types is empty.
    #[error("Frames must name a type or be null")]
    NoMachineType,
    /// A dependency doesn't have the form of a job id.
    #[error("Awaits names {0:?}, which is not a job id")]
    DependencyId(JobId),
    /// The job depends on itself.
    #[error("Awaits must not name the job itself")]
    DependsOnItself,
}

impl JobSpec {
    /// Parses the body of a submission. Repeated dependencies are removed.
    ///
    /// # Errors
    ///
    /// If the body is not JSON that describes a job, or a field has an invalid value.
    pub fn parse(body: &[u8]) -> Result<Self, SubmissionError> {
        let mut spec: Self = serde_json::from_slice(body)?;
        spec.check()?;
        let mut seen = HashSet::new();
        spec.dependencies.retain(|dependency| seen.insert(dependency.clone()));
        Ok(spec)
    }

    /// Parses only the job's id from the body of a submission, whose other fields may be
    /// missing or invalid. Returns `None` if there is no valid id.
    pub fn id_of(body: &[u8]) -> Option<JobId> {
        #[derive(Deserialize)]
        struct IdOnly {
            #[serde(rename = "Ref")]
            id: JobId,
        }
        let submission: IdOnly = serde_json::from_slice(body).ok()?;
        is_job_id(&submission.id).then_some(submission.id)
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
        if let Some(invalid) = self.dependencies.iter().find(|id| !is_job_id(id)) {
            return Err(SubmissionError::DependencyId(invalid.clone()));
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

/// Whether a text has the form of a job id: `j-` and 1 to 20 decimal digits.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("j-").is_some_and(|digits| {
        (1..=20).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit())
    })
}

/// The state of a job as its user sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// None of the job's tasks is bound to a machine, and the job has not ended.
    #[serde(rename = "pending")]
    Pending,
    /// At least one of the job's tasks is bound to a machine.
    #[serde(rename = "running")]
    Running,
    /// All of the job's tasks completed.
    #[serde(rename = "done")]
    Done,
    /// The job was cancelled by its user, or because a job that it depends on was cancelled.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The state of a job and the counts of its tasks, as reported to its user.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobStatus {
    /// The job's id.
    #[serde(rename = "Ref")]
    pub id: JobId,
    /// The job's state.
    #[serde(rename = "Stance")]
    pub state: JobState,
    /// The number of completed tasks.
    pub done: u32,
    /// The number of tasks that are bound to machines.
    pub running: u32,
}

/// The body of an error response.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    /// The reason, in one sentence.
    pub error: String,
}
