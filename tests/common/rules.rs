//! Protocol rules that are checked whenever a task starts.

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
    /// Returns the violations recorded so far.
    pub fn violations(&self) -> Vec<String> {
        lock(&self.inner).violations.clone()
    }

    /// Records a violation that a test has found.
    pub fn record_violation(&self, what: String) {
        let mut inner = lock(&self.inner);
        if !inner.violations.contains(&what) {
            inner.violations.push(what);
        }
    }
}

impl Inner {
    /// Records a violation for each rule of its job or its team that a task which just started
    /// breaks.
    pub(super) fn check_start(&mut self, task: &str, zone: &Arc<str>, spot: bool) {
        let job = task.split('/').next().unwrap_or_default();
        let Some(spec) = self.specs.get(job).cloned() else {
            return self.violations.push(format!("a task of an unknown job started: {task}"));
        };
        self.violations.extend(self.checker.check_latest_start(&spec, task));
        if self
            .cancellation_answers
            .get(job)
            .is_some_and(|answered_at| answered_at.elapsed() > Duration::from_secs(36))
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
        // The remaining rules need a scan of all machines, so jobs without them skip the scan.
        if &*spec.team != "red" && !spec.one_zone && !spec.spread {
            return;
        }
        let live = |w: &Worker| -> Vec<String> {
            let live = w.attempts.iter().filter(|(_, running)| running.state != TaskState::Exited);
            live.map(|((task, _), _)| task.split('/').next().unwrap_or_default().to_owned())
                .collect()
        };
        let mut team_gpus = 0.0;
        let mut zones: HashMap<Arc<str>, u32> = HashMap::new();
        for worker in self.workers.values() {
            for other in live(worker) {
                let other_spec = self.specs.get(&other);
                team_gpus += other_spec.filter(|s| s.team == spec.team).map_or(0.0, |s| s.gpus);
                if other == job {
                    *zones.entry(worker.zone.clone()).or_default() += 1;
                }
            }
        }
        if &*spec.team == "red" && team_gpus > 16.0 {
            self.violations.push(format!("quota: {team_gpus} GPUs with {task}"));
        }
        let wrong_zones = (spec.one_zone && zones.len() > 1)
            || (spec.spread && zones.values().any(|n| *n > spec.tasks.div_ceil(2)));
        if wrong_zones {
            self.violations.push(format!("wrong_place: {task} in {zone}"));
        }
    }

    /// Returns a violation for each task of these jobs that still runs on a machine.
    pub(super) fn live_tasks_of(&self, jobs: &HashSet<String>) -> Vec<String> {
        let mut violations = Vec::new();
        for (machine, worker) in &self.workers {
            for ((task, _), running) in &worker.attempts {
                let job = task.split('/').next().unwrap_or_default();
                if running.state != TaskState::Exited && jobs.contains(job) {
                    violations.push(format!("ran_cancelled: {job} on {machine}"));
                }
            }
        }
        violations
    }
}
