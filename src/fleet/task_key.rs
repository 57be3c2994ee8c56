//! The identity of a task across all jobs, and its name on the wire.

use std::fmt;

use crate::protocol::JobId;

/// The id of a job and the index of one of its tasks. Ordered by job, then by index.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The index of the task within its job, from 0.
    pub task: u32,
}

impl TaskKey {
    /// Parses the name of a task on the wire, such as `j-000412/3`. Returns None if the name
    /// does not have that form.
    pub fn parse(name: &str) -> Option<Self> {
        let (job, task) = name.split_once('/')?;
        Some(Self { job: job.into(), task: task.parse().ok()? })
    }
}

/// Writes the name of the task on the wire.
impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.task)
    }
}
