//! A task's binding to a machine, and the request to stop it.

use tokio::time::Instant;

use crate::{protocol::MachineId, store::BoundTask};

/// A task on its machine, until it is confirmed terminated.
#[derive(Clone, Debug)]
pub(super) struct Binding {
    pub(super) machine: MachineId,
    pub(super) attempt: u64,
    /// The worker's incarnation that the attempt belongs to.
    pub(super) incarnation: u64,
    /// The number of the machine's zone in the settings.
    pub(super) zone: u8,
    /// The record that binds it is committed.
    pub(super) durable: bool,
    /// Responses that carried its start command and were not followed by it.
    pub(super) starts_sent: u32,
    /// A heartbeat showed it on the machine.
    pub(super) observed: bool,
    pub(super) running_since: Option<Instant>,
    pub(super) stop: Option<StopRequest>,
}

impl Binding {
    /// A new placement, whose record is still to be written.
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

    /// The placement that a record names.
    pub(super) fn from_record(bound: BoundTask) -> Self {
        let BoundTask { task: _, attempt, machine, incarnation, zone } = bound;
        Self { durable: true, ..Self::new(machine, attempt, incarnation, zone) }
    }

    /// What a page records of it.
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

/// A request to stop a task, with the grace period that it has to save a checkpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct StopRequest {
    pub(super) requested_at: Instant,
    /// The grace period in seconds.
    pub(super) grace_s: f64,
}

/// How long a task that is stopped may take to save a checkpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GracePeriod {
    /// As long as its job needs.
    OfJob,
    /// Not at all.
    None,
}
