//! The decisions of a pass.

use super::view::MachineKind;
use crate::protocol::{JobId, MachineId};

/// A task to bind to a machine.
#[derive(Debug, PartialEq)]
pub struct PlacedTask {
    /// The task's job.
    pub job: JobId,
    /// The task's number.
    pub task: u32,
    /// The machine to bind it to.
    pub machine: MachineId,
}

/// A task to stop: for work of higher priority, to move it to another machine, or to clear a
/// reserved machine.
#[derive(Debug, PartialEq)]
pub struct TaskStop {
    /// The task's job.
    pub job: JobId,
    /// The task's number.
    pub task: u32,
    /// Whether the task gets no grace period in which to save a checkpoint.
    pub without_grace: bool,
}

/// The width that an array gets in a round.
#[derive(Debug, PartialEq)]
pub struct GrantedWidth {
    /// The array.
    pub job: JobId,
    /// How many tasks of the array may run at a time.
    pub width: u32,
}

/// Machines of one kind to provision.
#[derive(Debug, PartialEq)]
pub struct ScaleOut {
    /// The kind of the machines.
    pub kind: MachineKind,
    /// How many machines of the kind.
    pub count: u32,
}

/// All decisions of a pass.
#[derive(Debug, Default, PartialEq)]
pub struct Decisions {
    /// Tasks to bind to machines.
    pub place: Vec<PlacedTask>,
    /// Tasks to stop.
    pub stop: Vec<TaskStop>,
    /// The widths of all arrays; empty between rounds.
    pub widths: Vec<GrantedWidth>,
    /// Machines to provision, in the order of their kinds.
    pub scale_out: Vec<ScaleOut>,
    /// Machines, booting or reserved for a job, that waiting jobs depend on. Their idle time starts
    /// anew, so that they are not returned to the cloud.
    pub machines_to_keep: Vec<MachineId>,
    /// How many machines were evaluated for tasks, a measure of the cost of the pass.
    pub candidates_evaluated: u64,
}
