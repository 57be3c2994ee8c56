//! What a pass decides.

use super::view::MachineKind;
use crate::protocol::{JobId, MachineId};

/// A task to bind to a machine.
#[derive(Debug, PartialEq)]
pub struct PlacedTask {
    /// The task's job.
    pub job: JobId,
    /// The task's number.
    pub task: u32,
    /// The machine.
    pub machine: MachineId,
}

/// A task to stop for work of higher priority, or to move.
#[derive(Debug, PartialEq)]
pub struct TaskStop {
    /// The task's job.
    pub job: JobId,
    /// The task's number.
    pub task: u32,
    /// Without the time to save a checkpoint.
    pub without_grace: bool,
}

/// The width of an array from now on.
#[derive(Debug, PartialEq)]
pub struct GrantedWidth {
    /// The array.
    pub job: JobId,
    /// How many of its tasks may run at a time.
    pub width: u32,
}

/// Machines to provision.
#[derive(Debug, PartialEq)]
pub struct ScaleOut {
    /// Their kind.
    pub kind: MachineKind,
    /// How many.
    pub count: u32,
}

/// All that a pass decides.
#[derive(Debug, Default, PartialEq)]
pub struct Decisions {
    /// Tasks to bind to machines.
    pub place: Vec<PlacedTask>,
    /// Tasks to stop.
    pub stop: Vec<TaskStop>,
    /// Widths of arrays, in a round.
    pub widths: Vec<GrantedWidth>,
    /// Machines to provision, in the order of their kinds.
    pub scale_out: Vec<ScaleOut>,
    /// Machines, booting or kept for a job, that waiting work counts on.
    pub machines_to_keep: Vec<MachineId>,
    /// How many places were evaluated: what the pass cost.
    pub candidates_evaluated: u64,
}
