//! A task's binding to a machine, and the request to stop it.

use tokio::time::Instant;

use crate::{protocol::MachineId, store::BoundTask};

/// The binding of a task to a machine. It lasts until the task is confirmed terminated.
#[derive(Clone, Debug)]
pub(super) struct Binding {
    pub(super) machine: MachineId,
    pub(super) attempt: u64,
    /// The worker's incarnation that the attempt belongs to.
    pub(super) incarnation: u64,
    /// The index of the machine's zone in the settings.
    pub(super) zone: u8,
    /// The page record that holds this binding is committed.
    pub(super) durable: bool,
    /// The number of heartbeat responses that carried the start command since a heartbeat last
    /// showed the task.
    pub(super) starts_sent: u32,
    /// A heartbeat showed the task on the machine.
    pub(super) observed: bool,
    pub(super) running_since: Option<Instant>,
    pub(super) stop: Option<StopRequest>,
}

impl Binding {
    /// Returns a new binding, whose record is not written yet.
    pub(super) fn new(machine: MachineId, attempt: u64, incarnation: u64, zone: u8) -> Self {
        Self {
            machine,
            attempt,
            incarnation,
            zone,
            durable: false,
            starts_sent: 0,
            observed: false,
            running_since: None,
            stop: None,
        }
    }

    /// Returns the binding that a page record holds.
    pub(super) fn from_record(bound: BoundTask) -> Self {
        let BoundTask { task: _, attempt, machine, incarnation, zone } = bound;
        Self { durable: true, ..Self::new(machine, attempt, incarnation, zone) }
    }

    /// Returns the form in which a page records the binding.
    pub(super) fn record(&self, task: u32) -> BoundTask {
        BoundTask {
            task,
            attempt: self.attempt,
            machine: self.machine.clone(),
            incarnation: self.incarnation,
            zone: self.zone,
        }
    }
}

/// A request to stop a task, with the grace period in which the task may save a checkpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct StopRequest {
    pub(super) requested_at: Instant,
    /// The grace period in seconds.
    pub(super) grace_s: f64,
}

/// How long a stopped task may take to save a checkpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GracePeriod {
    /// The grace period that the task's job needs.
    OfJob,
    /// No grace period.
    None,
}
