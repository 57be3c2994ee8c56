//! Amounts of what tasks need and machines have.

use crate::protocol::{JobSpec, MachineType};

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

/// Sums of decimal amounts are compared with a little slack.
pub(super) const SLACK: f64 = 1e-6;

impl Resources {
    pub fn of_task(spec: &JobSpec) -> Self {
        Self { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
    }

    pub fn of_type(kind: &MachineType) -> Self {
        Self { cpus: kind.cpus, gpus: kind.gpus, memory_gb: kind.memory_gb }
    }

    pub fn holds(&self, need: &Self) -> bool {
        need.cpus <= self.cpus + SLACK
            && need.gpus <= self.gpus + SLACK
            && need.memory_gb <= self.memory_gb + SLACK
    }

    pub fn add(&mut self, other: &Self) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

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
