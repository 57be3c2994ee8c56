//! Rules of the protocol that are checked whenever a task starts.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use stonewheel::{protocol::TaskState, store};

use super::{
    deployment::{Inner, TestDeployment},
    lock,
    workers::Worker,
};

impl TestDeployment {
    /// Rules broken so far.
    pub fn violations(&self) -> Vec<String> {
        lock(&self.inner).violations.clone()
    }

    /// Notes a broken rule that a test found by itself.
    pub fn record_violation(&self, what: String) {
        let mut inner = lock(&self.inner);
        if !inner.violations.contains(&what) {
            inner.violations.push(what);
        }
    }
}

impl Inner {
    /// Whether a task that just started keeps its job's and its team's bounds.
    pub(super) fn check_start(&mut self, task: &str, zone: &Arc<str>, spot: bool) {
        let job = task.split('/').next().unwrap_or_default();
        let Some(spec) = self.specs.get(job).cloned() else {
            return self.violations.push(format!("a task of an unknown job started: {task}"));
        };
        self.violations.extend(self.checker.start(&spec, task));
        if self
            .cancellation_answers
            .get(job)
            .is_some_and(|at| at.elapsed() > Duration::from_secs(36))
        {
            self.violations.push(format!("ran_cancelled: {task} started"));
        }
        for needed in &spec.dependencies {
            let done = self.store.value(&store::end_key(needed));
            if !done.is_some_and(|end| end.contains(r#""s":"done""#)) {
                self.violations.push(format!("too_early: {task} before {needed}"));
            }
        }
        if spec.zone.as_ref().is_some_and(|z| z != zone) || (spot && !spec.spot) {
            self.violations.push(format!("wrong_place: {task} in {zone}"));
        }
        // The rest takes a look at all machines.
        if &*spec.team != "red" && !spec.one_zone && !spec.spread {
            return;
        }
        let live = |w: &Worker| -> Vec<String> {
            let live = w.tasks.iter().filter(|(_, on)| on.state != TaskState::Exited);
            live.map(|(task, _)| task.split('/').next().unwrap_or_default().to_owned()).collect()
        };
        let mut team = 0.0;
        let mut zones: HashMap<Arc<str>, u32> = HashMap::new();
        for worker in self.workers.values() {
            for other in live(worker) {
                let of = self.specs.get(&other);
                team += of.filter(|s| s.team == spec.team).map_or(0.0, |s| s.gpus);
                if other == job {
                    *zones.entry(worker.zone.clone()).or_default() += 1;
                }
            }
        }
        if &*spec.team == "red" && team > 16.0 {
            self.violations.push(format!("quota: {team} GPUs with {task}"));
        }
        let wrong = (spec.one_zone && zones.len() > 1)
            || (spec.spread && zones.values().any(|n| *n > spec.tasks.div_ceil(2)));
        if wrong {
            self.violations.push(format!("wrong_place: {task} in {zone}"));
        }
    }

    /// Tasks of these jobs that are on machines, as broken rules.
    pub(super) fn live_tasks_of(&self, jobs: &HashSet<String>) -> Vec<String> {
        let mut found = Vec::new();
        for (machine, worker) in &self.workers {
            for (task, on) in &worker.tasks {
                let job = task.split('/').next().unwrap_or_default();
                if on.state != TaskState::Exited && jobs.contains(job) {
                    found.push(format!("ran_cancelled: {job} on {machine}"));
                }
            }
        }
        found
    }
}
