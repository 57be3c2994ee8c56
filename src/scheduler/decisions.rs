//! What a pass decides.

use crate::protocol::{JobId, MachineId};

/// A task to stop for work of higher priority, or to move.
#[derive(Debug, PartialEq)]
pub struct Stopping {
    pub job: JobId,
    pub task: u32,
    /// Without the time to save.
    pub at_once: bool,
}

#[derive(Debug, Default, PartialEq)]
pub struct Decisions {
    pub place: Vec<(JobId, u32, MachineId)>,
    pub stop: Vec<Stopping>,
    pub widths: Vec<(JobId, u32)>,
    /// (type, zone, spot, how many)
    pub rent: Vec<(usize, u8, bool, u32)>,
    /// Machines, booting or held, that waiting work counts on.
    pub awaited: Vec<MachineId>,
    /// Places weighed.
    pub weighed: u64,
}
