//! Layout of the durable records. `tests/stored_samples.rs` and `tests/upgrade.rs` pin
//! the layout, because controllers of the previous and of the next version read the same
//! records.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::{
    dependencies::Outcome,
    protocol::{JobState, MachineId},
};

/// Serializes a record's value to the JSON text that the state service stores.
///
/// # Errors
///
/// If the value cannot be represented in JSON.
pub fn to_raw_value<T: Serialize>(value: &T) -> Result<Box<RawValue>, serde_json::Error> {
    serde_json::value::to_raw_value(value)
}

/// The controller process that leads, and its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The controller's name in the settings.
    pub member: String,
    /// A random number drawn when the process starts, so that a restarted controller
    /// can tell a record of its previous process from its own.
    pub incarnation: u64,
    /// The first fencing token of the term.
    pub token: u64,
    /// The lease that the record is attached to.
    pub lease: u64,
}

/// A task that is bound to a machine. Stored as an array of its fields without field
/// names, because the size of a page is limited.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "BoundTaskFields", into = "BoundTaskFields")]
pub struct BoundTask {
    /// The task's number within its job.
    pub task: u32,
    /// The number of this attempt to run the task; a later attempt has a higher number.
    pub attempt: u64,
    /// The machine that the task is bound to.
    pub machine: MachineId,
    /// The machine's incarnation at the time of the binding.
    pub incarnation: u64,
    /// The index of the machine's zone in the settings.
    pub zone: u8,
}

type BoundTaskFields = (u32, u64, MachineId, u64, u8);

impl From<BoundTaskFields> for BoundTask {
    fn from((task, attempt, machine, incarnation, zone): BoundTaskFields) -> Self {
        Self { task, attempt, machine, incarnation, zone }
    }
}

impl From<BoundTask> for BoundTaskFields {
    fn from(bound: BoundTask) -> Self {
        (bound.task, bound.attempt, bound.machine, bound.incarnation, bound.zone)
    }
}

/// A range of tasks with consecutive numbers. Stored as an array of its fields, like
/// [`BoundTask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "TaskRangeFields", into = "TaskRangeFields")]
pub struct TaskRange {
    /// The lowest task number.
    pub first: u32,
    /// The number of tasks.
    pub count: u32,
}

type TaskRangeFields = (u32, u32);

impl From<TaskRangeFields> for TaskRange {
    fn from((first, count): TaskRangeFields) -> Self {
        Self { first, count }
    }
}

impl From<TaskRange> for TaskRangeFields {
    fn from(range: TaskRange) -> Self {
        (range.first, range.count)
    }
}

/// Placements and progress of the tasks of one page. The stored field names are short,
/// because the size limit of a value limits how many tasks fit a page.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The highest attempt number ever used for a task of this page.
    #[serde(rename = "a", default)]
    pub attempt: u64,
    /// The job's width in tasks that the last scheduling round granted. Set on the
    /// first page only.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub width: Option<u32>,
    /// Tasks that are bound to a machine.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub bound: Vec<BoundTask>,
    /// Completed tasks, in ascending order.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<TaskRange>,
    /// The number of tasks that each page of this job covers. None if it is the default
    /// number.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub tasks: Option<u32>,
}

impl Page {
    /// Returns the number of completed tasks of the page.
    pub fn done_count(&self) -> u32 {
        self.done.iter().map(|range| range.count).sum()
    }
}

/// How a job ended. The record that is created first wins and is never deleted.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobEnd {
    /// The final state.
    #[serde(rename = "s")]
    pub state: JobState,
    /// The number of completed tasks.
    #[serde(rename = "d")]
    pub done: u32,
}

impl JobEnd {
    /// Returns the outcome for the jobs that depend on the ended job, or none for a
    /// state that is not final: the dependent jobs keep waiting.
    pub fn outcome(&self) -> Option<Outcome> {
        match self.state {
            JobState::Done => Some(Outcome::Done),
            JobState::Cancelled => Some(Outcome::Cancelled),
            JobState::Pending | JobState::Running => None,
        }
    }
}
