//! Layout of the durable records. `stored_samples.rs` and `upgrade.rs` pin it: a
//! record is read by controllers of the version before and after.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::{
    dependencies::Outcome,
    protocol::{JobState, MachineId},
};

/// A record's value in the form that the state service stores.
///
/// # Errors
///
/// If the value cannot be represented in JSON.
pub fn to_raw_value<T: Serialize>(value: &T) -> Result<Box<RawValue>, serde_json::Error> {
    serde_json::value::to_raw_value(value)
}

/// Which controller process leads, with its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The controller's name in the settings.
    pub member: String,
    /// Drawn at random when the process starts, so that a restarted controller
    /// tells its earlier process from itself.
    pub incarnation: u64,
    /// The first fencing token of the term.
    pub token: u64,
    /// The lease that the record is attached to.
    pub lease: u64,
}

/// A task that is bound to a machine. It is stored as an array of its fields,
/// for pages are limited by their size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "BoundTaskFields", into = "BoundTaskFields")]
pub struct BoundTask {
    /// The task's number within its job.
    pub task: u32,
    /// The number of this try to run the task; a later one is always higher.
    pub attempt: u64,
    /// The machine that the task is bound to.
    pub machine: MachineId,
    /// The machine's incarnation in which it was bound.
    pub incarnation: u64,
    /// The zone's place in the settings.
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

/// Tasks with consecutive numbers. It is stored as an array of its fields, as
/// [`BoundTask`] is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "TaskRangeFields", into = "TaskRangeFields")]
pub struct TaskRange {
    /// The lowest number.
    pub first: u32,
    /// How many tasks.
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

/// Placements and progress of the tasks of one page. Its field names are short,
/// because the size of a value limits how many tasks fit a page.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The highest attempt number ever used for a task of this page.
    #[serde(rename = "a", default)]
    pub attempt: u64,
    /// Width in tasks granted by the last round (first page only).
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub width: Option<u32>,
    /// Tasks that are bound to a machine.
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub bound: Vec<BoundTask>,
    /// Completed tasks, in ascending order.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<TaskRange>,
    /// Tasks that each page of this job covers, if not the usual number.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub tasks: Option<u32>,
}

impl Page {
    /// How many tasks of the page are completed.
    pub fn done_count(&self) -> u32 {
        self.done.iter().map(|range| range.count).sum()
    }
}

/// How a job ended. The first record wins and is kept for ever.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobEnd {
    /// The final state.
    #[serde(rename = "s")]
    pub state: JobState,
    /// How many tasks were completed.
    #[serde(rename = "d")]
    pub done: u32,
}

impl JobEnd {
    /// What the end means to jobs that depend on the one that ended.
    /// None for a state that is not final: its dependants keep waiting.
    pub fn outcome(&self) -> Option<Outcome> {
        match self.state {
            JobState::Done => Some(Outcome::Done),
            JobState::Cancelled => Some(Outcome::Cancelled),
            JobState::Pending | JobState::Running => None,
        }
    }
}
