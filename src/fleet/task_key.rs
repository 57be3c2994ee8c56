//! The identity of a task within the fleet, and its name on the wire.

use std::fmt;

use crate::protocol::JobId;

/// A job and the number of one of its tasks; ordered by job, then by number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The task's number within its job, from 0.
    pub task: u32,
}

impl TaskKey {
    /// Reads a task's name on the wire, such as `j-000412/3`. None if it is not of that form.
    pub fn parse(name: &str) -> Option<Self> {
        let (job, task) = name.split_once('/')?;
        Some(Self { job: job.into(), task: task.parse().ok()? })
    }
}

/// The task's name on the wire.
impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.task)
    }
}
