//! Amounts of what tasks need and machines have.

use crate::protocol::{JobSpec, MachineType};

/// What a task needs, or a machine has.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// CPU cores.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

/// Sums of decimal amounts are compared with a little slack.
pub(super) const SLACK: f64 = 1e-6;

impl Resources {
    /// What one task of a job needs.
    pub fn of_task(spec: &JobSpec) -> Self {
        Self { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
    }

    /// What an empty machine of a type has.
    pub fn of_type(machine_type: &MachineType) -> Self {
        let MachineType { cpus, gpus, memory_gb, .. } = *machine_type;
        Self { cpus, gpus, memory_gb }
    }

    /// Whether `need` fits.
    pub fn has_capacity_for(&self, need: &Self) -> bool {
        need.cpus <= self.cpus + SLACK
            && need.gpus <= self.gpus + SLACK
            && need.memory_gb <= self.memory_gb + SLACK
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

    /// The share of `total` that the scarcest resource takes.
    pub fn share_of(&self, total: &Self) -> f64 {
        let share = |need: f64, have: f64| if have > 0.0 { need / have } else { 0.0 };
        share(self.cpus, total.cpus)
            .max(share(self.gpus, total.gpus))
            .max(share(self.memory_gb, total.memory_gb))
    }
}
