//! Amounts of resources.

use crate::protocol::{JobSpec, MachineType};

/// The resources that a task needs or a machine has.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// CPU cores.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

/// Rounding error that comparisons of summed decimal amounts allow for, in cores, GPUs or GB.
pub(super) const RESOURCE_TOLERANCE: f64 = 1e-6;

impl Resources {
    /// The resources that one task of a job needs.
    pub fn of_task(spec: &JobSpec) -> Self {
        Self { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
    }

    /// The resources of an empty machine of a type.
    pub fn of_type(machine_type: &MachineType) -> Self {
        let MachineType { cpus, gpus, memory_gb, .. } = *machine_type;
        Self { cpus, gpus, memory_gb }
    }

    /// Whether `need` fits into these resources.
    pub fn has_capacity_for(&self, need: &Self) -> bool {
        need.cpus <= self.cpus + RESOURCE_TOLERANCE
            && need.gpus <= self.gpus + RESOURCE_TOLERANCE
            && need.memory_gb <= self.memory_gb + RESOURCE_TOLERANCE
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Self) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Subtracts `other`; the result may be negative.
    pub fn sub(&mut self, other: &Self) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    /// The dominant share: the greatest share of `total` that any resource takes. A resource of
    /// which `total` has none doesn't count.
    pub fn share_of(&self, total: &Self) -> f64 {
        let share = |need: f64, have: f64| if have > 0.0 { need / have } else { 0.0 };
        share(self.cpus, total.cpus)
            .max(share(self.gpus, total.gpus))
            .max(share(self.memory_gb, total.memory_gb))
    }
}
