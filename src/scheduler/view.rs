//! The state that a pass decides on: machines, jobs and what is bound where.

use std::sync::Arc;

use super::resources::Resources;
use crate::protocol::{JobId, JobSpec, MachineId, Priority, Shape};

/// A kind of machine that the cloud provides. Ordered by its fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineKind {
    /// The machine type's place among the types on offer.
    pub machine_type: usize,
    /// The zone's place in the settings.
    pub zone: u8,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// A machine as a pass sees it.
#[derive(Clone, Debug)]
pub struct MachineView {
    /// The machine's name; empty for one that is yet to be provisioned.
    pub id: MachineId,
    /// The machine type's place among the types on offer.
    pub machine_type: usize,
    /// The zone's place in the settings.
    pub zone: u8,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// What no task uses, being stopped or not. It may be negative.
    pub free: Resources,
    /// What tasks that are being stopped here will give back.
    pub stopping: Resources,
    /// Takes tasks now; otherwise it is still booting.
    pub ready: bool,
    /// Holds no task.
    pub empty: bool,
    /// A place on it was given or kept in this pass.
    pub allocated_in_pass: bool,
    /// It is reclaimed for one job.
    pub reservation: Option<Reservation>,
    /// The images that it holds.
    pub images: Vec<Arc<str>>,
}

/// A machine that is reclaimed for one job, and given to no other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The job.
    pub job: JobId,
    /// The grant is durable: before it nothing is placed there.
    pub granted: bool,
}

impl MachineView {
    /// Its kind.
    pub fn kind(&self) -> MachineKind {
        MachineKind { machine_type: self.machine_type, zone: self.zone, spot: self.spot }
    }

    /// Whether a job may count on its room: it is reserved for no other job.
    pub fn open_to(&self, job: &JobId) -> bool {
        self.reservation.as_ref().is_none_or(|reservation| reservation.job == *job)
    }

    /// Whether a job's tasks may be placed on it now.
    pub fn takes_tasks_of(&self, job: &JobId) -> bool {
        self.open_to(job) && self.reservation.as_ref().is_none_or(|held| held.granted)
    }
}

/// A task that is bound to a machine, as a pass sees it.
#[derive(Clone, Debug)]
pub struct BoundView {
    /// The task's number.
    pub task: u32,
    /// The machine's place in the snapshot; none if the snapshot doesn't have it.
    pub machine: Option<usize>,
    /// The zone's place in the settings.
    pub zone: u8,
    /// Whether it is being stopped.
    pub stopping: bool,
    /// Has run for long enough to be moved without harm to any objective.
    pub movable: bool,
    /// Seconds of work that stopping it now would lose.
    pub lost_work_s: f64,
}

impl BoundView {
    /// Stands for the task of a place that is kept in this pass.
    pub const TENTATIVE: u32 = u32::MAX;

    /// A place kept on a machine, as if a task were bound there. `stopping`: what is
    /// there is being stopped first.
    pub fn tentative(machine: usize, zone: u8, stopping: bool) -> Self {
        let machine = Some(machine);
        Self { task: Self::TENTATIVE, machine, zone, stopping, movable: false, lost_work_s: 0.0 }
    }
}

/// A job as a pass sees it.
#[derive(Clone, Debug)]
pub struct JobView {
    /// The job.
    pub id: JobId,
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
    /// Order of arrival.
    pub arrival: u64,
    /// The highest priority among the job and those that depend on it.
    pub priority: Priority,
    /// Tasks that could start now, lowest first.
    pub pending: Vec<u32>,
    /// Tasks not done yet.
    pub remaining: u32,
    /// Tasks that are bound to machines.
    pub bound: Vec<BoundView>,
    /// Width granted, or 0 for a job not admitted yet.
    pub width: u32,
    /// Seconds left to meet its class's objective for waiting, if it has one.
    pub remaining_wait_s: Option<f64>,
    /// Fits its team's guarantee together with the team's earlier jobs.
    pub guaranteed: bool,
    /// Starts nothing now: it backs off after a failure, or its records lack room.
    pub blocked: bool,
    /// Machines that failed its tasks.
    pub avoided_machines: Vec<MachineId>,
}

impl JobView {
    /// Tasks that its width still lets start.
    pub fn startable(&self) -> usize {
        if self.blocked {
            return 0;
        }
        match self.spec.shape {
            Shape::Service => self.pending.len(),
            // All tasks of a gang start together, after the last attempt's
            // tasks are gone.
            Shape::Gang if self.bound.is_empty() => self.pending.len(),
            Shape::Gang => 0,
            Shape::Array => {
                self.pending.len().min((self.width as usize).saturating_sub(self.bound.len()))
            }
        }
    }
}
