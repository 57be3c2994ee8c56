//! Invariants that must hold whenever a worker starts a task. They compare the worker with the
//! durable records; the leader's view is not used, because it may be wrong.

use std::collections::{BTreeSet, HashMap};

use stonewheel::{
    protocol::{JobSpec, MachineId},
    store::{self, Page},
};

use super::MemState;

/// Start of a task that a worker has executed.
#[derive(Clone, Debug)]
struct Start {
    attempt: u64,
    machine: MachineId,
    incarnation: u64,
}

/// Compares every task start with the records.
#[derive(Default)]
pub struct Checker {
    records: MemState,
    /// Latest start of each task.
    latest: HashMap<String, Start>,
    /// Machines that have ever started each task.
    machines: HashMap<String, BTreeSet<MachineId>>,
}

impl Checker {
    /// Sets the records to compare with.
    pub fn watch(&mut self, records: MemState) {
        self.records = records;
    }

    /// Notes that a worker starts a task.
    pub fn record_start(
        &mut self,
        task: &str,
        attempt: u64,
        machine: &MachineId,
        incarnation: u64,
    ) {
        let start = Start { attempt, machine: machine.clone(), incarnation };
        self.latest.insert(task.into(), start);
        self.machines.entry(task.into()).or_default().insert(machine.clone());
    }

    /// Returns all machines that have ever started the task.
    pub fn machines_of(&self, task: &str) -> impl Iterator<Item = &MachineId> {
        self.machines.get(task).into_iter().flatten()
    }

    /// Returns a violation if the records do not bind the task's latest start: the same
    /// attempt, machine and incarnation. No scheduler accounts for a task without such a
    /// record: its capacity may be assigned to other tasks, its job may have ended, and its
    /// exit would be ignored.
    pub fn check_latest_start(&self, spec: &JobSpec, task: &str) -> Option<String> {
        let start = self.latest.get(task)?;
        let number: u32 = task.rsplit('/').next()?.parse().ok()?;
        let pages = self.records.keys(&format!("sw/p/{}/", spec.id));
        let bound = pages.iter().filter_map(|key| self.records.value(key)).any(|text| {
            let page: Page = serde_json::from_str(&text).unwrap_or_default();
            page.bound.iter().any(|bound| {
                bound.task == number
                    && bound.attempt == start.attempt
                    && bound.machine == start.machine
                    && bound.incarnation == start.incarnation
            })
        });
        let ended = self.records.value(&store::end_key(&spec.id));
        (!bound).then(|| format!("orphaned: {task} {start:?} is in no record; its job: {ended:?}"))
    }
}
