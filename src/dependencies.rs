//! The graph of unfinished jobs and the jobs that they depend on.
//!
//! It answers three questions about a job: does it still wait for another one,
//! is it cancelled together with one that it depends on, and which priority does
//! it inherit from its dependants. The graph does no I/O and is updated by
//! change: the cost of an update is proportional to the jobs that it affects.
//!
//! Edges can't form a cycle, so none is searched for: a job names only jobs
//! that were accepted before it, and what it names never changes.
//!
//! A job becomes ready only when all its dependencies are recorded as done, and a
//! recorded end is final. A job that is cancelled with another one has therefore
//! never been ready, and has never had a task.

use std::collections::{BTreeSet, HashMap, HashSet};

use crate::protocol::{JobId, Priority};

/// How a job that others may depend on ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All its tasks completed.
    Done,
    /// Its user cancelled it, or a job that it depends on.
    Cancelled,
}

/// What an update of the graph means for other jobs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// Jobs all of whose dependencies are done now.
    pub ready: Vec<JobId>,
    /// Jobs that are cancelled because one that they depend on is.
    pub cancelled: Vec<JobId>,
    /// Jobs whose effective priority changed.
    pub priority_changed: Vec<JobId>,
}

#[derive(Clone, Debug)]
struct Node {
    own_priority: Priority,
    /// The highest priority among the job and all its dependants.
    effective_priority: Priority,
    dependencies: Vec<JobId>,
    /// Those of `dependencies` that are not done.
    unfinished: HashSet<JobId>,
    cancelled: bool,
}

/// Unfinished jobs with their dependencies and dependants.
#[derive(Clone, Debug, Default)]
pub struct DependencyGraph {
    nodes: HashMap<JobId, Node>,
    /// Direct dependants by the job that they depend on, known here or not.
    dependants: HashMap<JobId, BTreeSet<JobId>>,
}

impl DependencyGraph {
    /// Adds an unfinished job. `outcome` returns how a job ended, if it did.
    pub fn insert(
        &mut self,
        job: &JobId,
        priority: Priority,
        dependencies: &[JobId],
        outcome: impl Fn(&JobId) -> Option<Outcome>,
    ) -> Effects {
        let mut effects = Effects::default();
        let mut cancelled = false;
        let mut unfinished = HashSet::new();
        for dependency in dependencies {
            match outcome(dependency) {
                Some(Outcome::Done) => {}
                Some(Outcome::Cancelled) => cancelled = true,
                None => {
                    cancelled |= self.is_cancelled(dependency);
                    unfinished.insert(dependency.clone());
                    self.dependants.entry(dependency.clone()).or_default().insert(job.clone());
                }
            }
        }
        let node = Node {
            own_priority: priority,
            effective_priority: priority,
            dependencies: dependencies.to_vec(),
            unfinished,
            cancelled: false,
        };
        self.nodes.insert(job.clone(), node);
        // Dependants may have been added first when all records are read.
        self.update_priorities(vec![job.clone()], &mut effects);
        if cancelled {
            self.cancel_from(job, &mut effects);
        } else {
            self.update_priorities(dependencies.to_vec(), &mut effects);
        }
        effects
    }

    /// A job ended: its dependants have one dependency less, or are cancelled
    /// with it.
    pub fn end(&mut self, job: &JobId, outcome: Outcome) -> Effects {
        let mut effects = Effects::default();
        match outcome {
            Outcome::Done => {
                for dependant in self.dependants.get(job).into_iter().flatten() {
                    let Some(node) = self.nodes.get_mut(dependant) else { continue };
                    node.unfinished.remove(job);
                    if node.unfinished.is_empty() && !node.cancelled {
                        effects.ready.push(dependant.clone());
                    }
                }
            }
            Outcome::Cancelled => {
                for dependant in self.dependants.get(job).cloned().unwrap_or_default() {
                    self.cancel_from(&dependant, &mut effects);
                }
            }
        }
        self.dependants.remove(job);
        self.remove(job, &mut effects);
        effects
    }

    /// Marks a job and all its dependants, direct and indirect, as cancelled.
    fn cancel_from(&mut self, job: &JobId, effects: &mut Effects) {
        let mut pending = vec![job.clone()];
        while let Some(job) = pending.pop() {
            let Some(node) = self.nodes.get_mut(&job) else { continue };
            if std::mem::replace(&mut node.cancelled, true) {
                continue;
            }
            let dependencies = node.dependencies.clone();
            effects.cancelled.push(job.clone());
            pending.extend(self.dependants.get(&job).into_iter().flatten().cloned());
            self.update_priorities(dependencies, effects);
        }
    }

    fn remove(&mut self, job: &JobId, effects: &mut Effects) {
        let Some(node) = self.nodes.remove(job) else { return };
        for dependency in &node.dependencies {
            if let Some(dependants) = self.dependants.get_mut(dependency) {
                dependants.remove(job);
                if dependants.is_empty() {
                    self.dependants.remove(dependency);
                }
            }
        }
        self.update_priorities(node.dependencies, effects);
    }

    /// Brings the effective priorities of these jobs, and of all that they depend
    /// on, up to date.
    fn update_priorities(&mut self, mut pending: Vec<JobId>, effects: &mut Effects) {
        while let Some(job) = pending.pop() {
            let dependants = self.dependants.get(&job).into_iter().flatten();
            let inherited = dependants
                .filter_map(|dependant| self.nodes.get(dependant))
                .filter(|node| !node.cancelled)
                .map(|node| node.effective_priority)
                .max();
            let Some(node) = self.nodes.get_mut(&job) else { continue };
            let effective = inherited.map_or(node.own_priority, |p| p.max(node.own_priority));
            if std::mem::replace(&mut node.effective_priority, effective) != effective {
                effects.priority_changed.push(job);
                pending.extend(node.dependencies.iter().cloned());
            }
        }
    }

    /// Whether a dependency of the job is not done yet, or the graph doesn't know the
    /// job: nothing is started without knowing what it waits for.
    pub fn is_waiting(&self, job: &str) -> bool {
        self.nodes.get(job).is_none_or(|node| !node.unfinished.is_empty() || node.cancelled)
    }

    /// Whether it is cancelled with a job that it depends on, and its own end is not
    /// recorded yet.
    pub fn is_cancelled(&self, job: &str) -> bool {
        self.nodes.get(job).is_some_and(|node| node.cancelled)
    }

    /// The highest priority among an unfinished job and all its dependants.
    pub fn effective_priority(&self, job: &str) -> Option<Priority> {
        self.nodes.get(job).map(|node| node.effective_priority)
    }
}

#[cfg(test)]
mod tests;
