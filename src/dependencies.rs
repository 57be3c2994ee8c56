//! The graph of unfinished jobs and the jobs that they depend on.
//!
//! For each job, the graph answers whether the job still waits for a dependency, whether
//! the job is cancelled because a dependency is, and which priority the job inherits from
//! its dependants. The graph does no I/O and is updated incrementally: the cost of an
//! update is proportional to the number of jobs that the update affects.
//!
//! The graph has no cycles and doesn't search for any: a job depends only on jobs that
//! were accepted before it, and its dependencies never change.
//!
//! A job becomes ready only when all its dependencies are recorded as done, and a
//! recorded end is final. A job that is cancelled with a dependency has therefore never
//! been ready and has never had a task.

use std::collections::{BTreeSet, HashMap, HashSet};

use crate::protocol::{JobId, Priority};

/// How a job ended on which others may depend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All its tasks completed.
    Done,
    /// The job was cancelled by a user, or together with a job that it depends on.
    Cancelled,
}

/// The consequences of an update of the graph for other jobs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// Jobs whose last unfinished dependency is done now.
    pub ready: Vec<JobId>,
    /// Jobs that are cancelled because one of their dependencies is.
    pub cancelled: Vec<JobId>,
    /// Jobs whose effective priority changed.
    pub priority_changed: Vec<JobId>,
}

#[derive(Clone, Debug)]
struct Node {
    /// The priority with which the job was submitted.
    base_priority: Priority,
    /// The highest priority among the job and all its dependants.
    effective_priority: Priority,
    dependencies: Vec<JobId>,
    /// Those of `dependencies` that are not done.
    unfinished_dependencies: HashSet<JobId>,
    /// The job is cancelled with a dependency, and its end is not recorded yet.
    cancelled: bool,
}

/// Unfinished jobs with their dependencies and dependants.
#[derive(Clone, Debug, Default)]
pub struct DependencyGraph {
    nodes: HashMap<JobId, Node>,
    /// Direct dependants by the job that they depend on, which need not be in `nodes`.
    dependants: HashMap<JobId, BTreeSet<JobId>>,
}

impl DependencyGraph {
    /// Adds an unfinished job. `outcome` returns how a job ended, or none if it has not.
    pub fn insert(
        &mut self,
        job: &JobId,
        priority: Priority,
        dependencies: &[JobId],
        outcome: impl Fn(&JobId) -> Option<Outcome>,
    ) -> Effects {
        let mut effects = Effects::default();
        let mut cancelled = false;
        let mut unfinished_dependencies = HashSet::new();
        for dependency in dependencies {
            match outcome(dependency) {
                Some(Outcome::Done) => {}
                Some(Outcome::Cancelled) => cancelled = true,
                None => {
                    cancelled |= self.is_cancelled(dependency);
                    unfinished_dependencies.insert(dependency.clone());
                    self.dependants.entry(dependency.clone()).or_default().insert(job.clone());
                }
            }
        }
        let node = Node {
            base_priority: priority,
            effective_priority: priority,
            dependencies: dependencies.to_vec(),
            unfinished_dependencies,
            cancelled: false,
        };
        self.nodes.insert(job.clone(), node);
        // When all records are read, dependants may have been added before this job.
        self.update_priorities(vec![job.clone()], &mut effects);
        if cancelled {
            self.cancel_from(job, &mut effects);
        } else {
            self.update_priorities(dependencies.to_vec(), &mut effects);
        }
        effects
    }

    /// Records the end of a job: its dependants wait for one dependency less, or are
    /// cancelled with the job.
    pub fn end(&mut self, job: &JobId, outcome: Outcome) -> Effects {
        let mut effects = Effects::default();
        match outcome {
            Outcome::Done => {
                for dependant in self.dependants.get(job).into_iter().flatten() {
                    let Some(node) = self.nodes.get_mut(dependant) else { continue };
                    node.unfinished_dependencies.remove(job);
                    if node.unfinished_dependencies.is_empty() && !node.cancelled {
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

    /// Removes a job and its edges to the jobs that it depends on.
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

    /// Updates the effective priorities of these jobs and, where they change, of the jobs
    /// that they depend on, directly or indirectly.
    fn update_priorities(&mut self, mut pending: Vec<JobId>, effects: &mut Effects) {
        while let Some(job) = pending.pop() {
            let dependants = self.dependants.get(&job).into_iter().flatten();
            let inherited = dependants
                .filter_map(|dependant| self.nodes.get(dependant))
                .filter(|node| !node.cancelled)
                .map(|node| node.effective_priority)
                .max();
            let Some(node) = self.nodes.get_mut(&job) else { continue };
            let effective =
                inherited.map_or(node.base_priority, |inherited| inherited.max(node.base_priority));
            if std::mem::replace(&mut node.effective_priority, effective) != effective {
                effects.priority_changed.push(job);
                pending.extend(node.dependencies.iter().cloned());
            }
        }
    }

    /// Whether the job must not start: a dependency is not done yet or is cancelled, or the
    /// job is not in the graph, so that its dependencies are unknown.
    pub fn is_waiting(&self, job: &str) -> bool {
        self.nodes
            .get(job)
            .is_none_or(|node| !node.unfinished_dependencies.is_empty() || node.cancelled)
    }

    /// Whether the job is cancelled with a job that it depends on, and its end is not
    /// recorded yet.
    pub fn is_cancelled(&self, job: &str) -> bool {
        self.nodes.get(job).is_some_and(|node| node.cancelled)
    }

    /// Returns the highest priority among an unfinished job and all its dependants.
    pub fn effective_priority(&self, job: &str) -> Option<Priority> {
        self.nodes.get(job).map(|node| node.effective_priority)
    }
}

#[cfg(test)]
mod tests;
