//! The machines, jobs and bound tasks of a snapshot.

use std::sync::Arc;

use super::resources::Resources;
use crate::protocol::{JobId, JobSpec, MachineId, Priority, Shape};

/// A kind of machine that the cloud provides. Ordered by its fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineKind {
    /// Index of the machine type among the types on offer.
    pub machine_type: usize,
    /// Index of the zone in the settings.
    pub zone: u8,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// A machine as a pass sees it.
#[derive(Clone, Debug)]
pub struct MachineView {
    /// The machine's id; empty for a machine that is yet to be provisioned.
    pub id: MachineId,
    /// Index of the machine type among the types on offer.
    pub machine_type: usize,
    /// Index of the zone in the settings.
    pub zone: u8,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Resources that no bound task uses; tasks that are being stopped still count. It may be
    /// negative.
    pub free: Resources,
    /// Resources that tasks that are being stopped will release.
    pub stopping: Resources,
    /// Whether it can start tasks now. Otherwise it is booting, or its zone is cut off.
    pub ready: bool,
    /// Whether no task is bound to it.
    pub empty: bool,
    /// Whether this pass has allocated or reserved capacity on it.
    pub allocated_in_pass: bool,
    /// The job that it is reserved for, if any.
    pub reservation: Option<Reservation>,
    /// The images in its cache.
    pub images: Vec<Arc<str>>,
}

/// The reservation of a machine for one job. No other job's tasks are placed on the machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The job that the machine is reserved for.
    pub job: JobId,
    /// Whether the grant is durable. Until then no task is placed on the machine.
    pub granted: bool,
}

impl MachineView {
    /// The kind of the machine.
    pub fn kind(&self) -> MachineKind {
        MachineKind { machine_type: self.machine_type, zone: self.zone, spot: self.spot }
    }

    /// Whether a job may use the machine once it has capacity: it is reserved for no other job.
    pub fn is_available_to(&self, job: &JobId) -> bool {
        self.reservation.as_ref().is_none_or(|reservation| reservation.job == *job)
    }

    /// Whether a job's tasks may be placed on the machine now.
    pub fn accepts_tasks_of(&self, job: &JobId) -> bool {
        self.is_available_to(job)
            && self.reservation.as_ref().is_none_or(|reservation| reservation.granted)
    }
}

/// A task that is bound to a machine, as a pass sees it; or capacity reserved for a task.
#[derive(Clone, Debug)]
pub struct BoundView {
    /// The task's number, or `TENTATIVE`.
    pub task: u32,
    /// Index of the machine in the snapshot; none if the snapshot doesn't list it.
    pub machine: Option<usize>,
    /// Index of the zone in the settings.
    pub zone: u8,
    /// Whether the task is being stopped.
    pub stopping: bool,
    /// Whether the task has run for long enough to be moved without affecting its job's
    /// objectives.
    pub movable: bool,
    /// Seconds of work that would be lost if the task stopped now.
    pub lost_work_s: f64,
}

impl BoundView {
    /// The task number of capacity that this pass has reserved without naming a task.
    pub const TENTATIVE: u32 = u32::MAX;

    /// Capacity reserved on a machine as if a task were bound to it. `stopping` is set if other
    /// tasks that use the capacity are being stopped first.
    pub fn tentative(machine_index: usize, zone: u8, stopping: bool) -> Self {
        let machine = Some(machine_index);
        Self { task: Self::TENTATIVE, machine, zone, stopping, movable: false, lost_work_s: 0.0 }
    }
}

/// A job as a pass sees it.
#[derive(Clone, Debug)]
pub struct JobView {
    /// The job's id.
    pub id: JobId,
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
    /// The job's number in the order of arrival.
    pub arrival: u64,
    /// The highest priority among the job and those that depend on it.
    pub priority: Priority,
    /// The numbers of the tasks that could start now, in ascending order.
    pub pending: Vec<u32>,
    /// The number of tasks that have not completed.
    pub remaining: u32,
    /// The tasks that are bound to machines, and the capacity that the pass has reserved for
    /// others.
    pub bound: Vec<BoundView>,
    /// The granted width, or 0 for a job that was not admitted yet.
    pub width: u32,
    /// Seconds until the job misses the wait objective of its class, if the class has one: 0 once
    /// the job has had an attempt, and negative once the objective is missed.
    pub remaining_wait_s: Option<f64>,
    /// Whether the job fits its team's guarantee together with the team's earlier jobs.
    pub guaranteed: bool,
    /// Whether the job may start no task now: it backs off after a failure, or it is a gang whose
    /// records have no space for all placements.
    pub blocked: bool,
    /// Machines on which its tasks failed, or may still start from earlier attempts.
    pub avoided_machines: Vec<MachineId>,
}

impl JobView {
    /// The number of tasks that may start now within the job's width.
    pub fn startable(&self) -> usize {
        if self.blocked {
            return 0;
        }
        match self.spec.shape {
            Shape::Service => self.pending.len(),
            // All tasks of a gang start together, once the tasks of its last attempt are gone.
            Shape::Gang if self.bound.is_empty() => self.pending.len(),
            Shape::Gang => 0,
            Shape::Array => {
                self.pending.len().min((self.width as usize).saturating_sub(self.bound.len()))
            }
        }
    }
}
