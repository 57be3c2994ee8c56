//! What must hold whenever a worker starts a task, judged by the worker and the
//! durable records alone, not by what a leader believes.

use std::collections::{BTreeSet, HashMap};

use stonewheel::{
    protocol::{JobSpec, MachineId},
    store::{self, Page},
};

use super::MemState;

/// A start as the worker carried it out.
#[derive(Clone, Debug)]
struct Start {
    attempt: u64,
    machine: MachineId,
    incarnation: u64,
}

/// Holds every start against the records.
#[derive(Default)]
pub struct Checker {
    records: MemState,
    latest: HashMap<String, Start>,
    machines: HashMap<String, BTreeSet<MachineId>>,
}

impl Checker {
    pub fn watch(&mut self, records: MemState) {
        self.records = records;
    }

    /// Notes that a worker starts a task.
    pub fn placed(&mut self, task: &str, attempt: u64, machine: &MachineId, incarnation: u64) {
        let start = Start { attempt, machine: machine.clone(), incarnation };
        self.latest.insert(task.into(), start);
        self.machines.entry(task.into()).or_default().insert(machine.clone());
    }

    /// All machines that ever started a task.
    pub fn machines_of(&self, task: &str) -> impl Iterator<Item = &MachineId> {
        self.machines.get(task).into_iter().flatten()
    }

    /// What the start that was noted last breaks: the records must bind exactly
    /// this attempt to this machine and incarnation. A task that starts without
    /// that is one that no scheduler accounts for: its place may be given to
    /// others, its job be over, and its exit mean nothing.
    pub fn start(&self, spec: &JobSpec, task: &str) -> Option<String> {
        let start = self.latest.get(task)?;
        let number: u32 = task.rsplit('/').next()?.parse().ok()?;
        let pages = self.records.keys(&format!("sw/p/{}/", spec.id));
        let bound = pages.iter().filter_map(|key| self.records.value(key)).any(|text| {
            let page: Page = serde_json::from_str(&text).unwrap_or_default();
            page.bound.iter().any(|b| {
                b.task == number
                    && b.attempt == start.attempt
                    && b.machine == start.machine
                    && b.incarnation == start.incarnation
            })
        });
        let ended = self.records.value(&store::end_key(&spec.id));
        (!bound).then(|| format!("orphaned: {task} {start:?} is in no record; its job: {ended:?}"))
    }
}
