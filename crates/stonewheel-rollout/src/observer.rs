//! The probe results of a service's replicas at its owner, and the times and shares of
//! failures that follow from them.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::{
    condition::StepFigures,
    host::ProbeResult,
    planner::{ReplicaHealth, ReplicaObservation, ReplicaObservations, Verdict},
    record::{Phase, ReplicaStage, ServiceRecord},
    settings::RolloutSettings,
};

/// Probe intervals after which a probe result is stale: the replica's health is then unknown.
const STALE_PROBE_INTERVALS: u32 = 3;
/// Probes of a replica before its share of unanswered probes can count as a failure.
const MIN_PROBES_TO_JUDGE: u32 = 10;

/// The state of one replica, as observed by this controller.
#[derive(Clone, Debug, Default)]
struct ObservedReplica {
    health: ReplicaHealth,
    machine: Option<String>,
    endpoint: Option<String>,
    probed_at: Option<Instant>,
    start_requested: bool,
    rejected: Option<String>,
    stopped: bool,
    unresponsive_since: Option<Instant>,
    draining_since: Option<Instant>,
    /// Probes since the replica first answered on its machine, and how many of them went
    /// unanswered.
    probes: u32,
    failures: u32,
}

/// The step that soaks, and the epoch of the owner that observes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SoakedStep {
    epoch: u64,
    step: u32,
}

/// The observations of a service's replicas by its owner.
#[derive(Debug)]
pub(crate) struct Observer {
    settings: RolloutSettings,
    epoch: u64,
    replicas: BTreeMap<u32, ObservedReplica>,
    /// The step that soaks at present, and when its soak began.
    current_soak: Option<(SoakedStep, Instant)>,
    /// Probes of new replicas within the present soak, and how many went unanswered.
    soak_probes: u32,
    soak_failures: u32,
}

impl Observer {
    pub fn new(settings: RolloutSettings) -> Self {
        Self {
            settings,
            epoch: 0,
            replicas: BTreeMap::new(),
            current_soak: None,
            soak_probes: 0,
            soak_failures: 0,
        }
    }

    /// Updates the tracked replicas and the present soak from the record. A change of the
    /// owner discards all observations, since those of the former owner are not known here.
    pub fn update_from_record(&mut self, record: &ServiceRecord, now: Instant) {
        if record.epoch != self.epoch {
            self.epoch = record.epoch;
            self.replicas.clear();
            self.current_soak = None;
        }
        self.replicas.retain(|number, _| record.replicas.iter().any(|r| r.number == *number));
        for replica in &record.replicas {
            let observed = self.replicas.entry(replica.number).or_default();
            if replica.stage == ReplicaStage::Draining {
                observed.draining_since.get_or_insert(now);
            }
        }
        let rollout = record.active_rollout().filter(|rollout| rollout.phase == Phase::Soaking);
        let soaked_step = rollout.map(|r| SoakedStep { epoch: record.epoch, step: r.step });
        if self.current_soak.map(|(current, _)| current) != soaked_step {
            self.current_soak = soaked_step.map(|step| (step, now));
            (self.soak_probes, self.soak_failures) = (0, 0);
        }
    }

    /// Records that the start of a replica was requested, and why it was rejected if so.
    pub fn record_start(&mut self, number: u32, rejected: Option<String>) {
        let observed = self.replicas.entry(number).or_default();
        observed.start_requested = true;
        observed.rejected = rejected;
    }

    /// Records that a replica was stopped.
    pub fn record_stop(&mut self, number: u32) {
        self.replicas.entry(number).or_default().stopped = true;
    }

    /// Records a probe result. `is_new_version` tells whether the replica has the version
    /// that is rolled out.
    pub fn record_probe(
        &mut self,
        number: u32,
        probe: ProbeResult,
        is_new_version: bool,
        now: Instant,
    ) {
        let observed = self.replicas.entry(number).or_default();
        observed.probed_at = Some(now);
        let (health, machine) = match probe {
            ProbeResult::NoCapacity => (ReplicaHealth::NoCapacity, None),
            ProbeResult::Unresponsive { machine } => (ReplicaHealth::Unresponsive, Some(machine)),
            ProbeResult::Answering { machine, endpoint } => {
                observed.endpoint = Some(endpoint);
                (ReplicaHealth::Answering, Some(machine))
            }
            ProbeResult::Gone => (ReplicaHealth::Gone, None),
        };
        if machine != observed.machine {
            // The machine was lost, and the replica loads again on another one. The loss says
            // nothing about the version.
            (observed.probes, observed.failures, observed.unresponsive_since) = (0, 0, None);
        }
        (observed.health, observed.machine) = (health, machine);
        let (answers, unresponsive) = (
            observed.health == ReplicaHealth::Answering,
            observed.health == ReplicaHealth::Unresponsive,
        );
        observed.unresponsive_since =
            if unresponsive { observed.unresponsive_since.or(Some(now)) } else { None };
        // Unanswered probes count only after the first answer: until then the replica loads. A
        // replica without a machine doesn't count, because its machine was lost.
        if answers || (unresponsive && observed.probes > 0) {
            observed.probes += 1;
            observed.failures += u32::from(unresponsive);
            if is_new_version && self.current_soak.is_some() {
                self.soak_probes += 1;
                self.soak_failures += u32::from(unresponsive);
            }
        }
    }

    /// Returns what is known of the replicas at `now`.
    pub fn observations(&self, now: Instant) -> ReplicaObservations {
        let stale = self.settings.probe_interval() * STALE_PROBE_INTERVALS;
        let observation = |observed: &ObservedReplica| {
            let fresh = observed.probed_at.is_some_and(|probed_at| now < probed_at + stale);
            ReplicaObservation {
                health: if fresh { observed.health } else { ReplicaHealth::Unknown },
                machine: observed.machine.clone(),
                start_requested: observed.start_requested,
                failure: self.failure_reason(observed, now),
                drained: observed
                    .draining_since
                    .is_some_and(|since| now >= since + self.settings.drain_time()),
                stopped: observed.stopped,
            }
        };
        ReplicaObservations(
            self.replicas
                .iter()
                .map(|(number, observed)| (*number, observation(observed)))
                .collect(),
        )
    }

    /// Returns why a replica has failed, or `None` if it has not.
    fn failure_reason(&self, observed: &ObservedReplica, now: Instant) -> Option<String> {
        if let Some(reason) = &observed.rejected {
            return Some(format!("a replica can't be started: {reason}"));
        }
        if observed
            .unresponsive_since
            .is_some_and(|since| now >= since + self.settings.start_timeout())
        {
            return Some(format!("a replica did not answer for {} s", self.settings.start_s));
        }
        let max_failures = f64::from(observed.probes) * self.settings.most_failures;
        (observed.probes >= MIN_PROBES_TO_JUDGE && f64::from(observed.failures) > max_failures)
            .then(|| "a replica answers now and then".to_owned())
    }

    /// Returns the endpoints of the replicas that take requests and answer.
    pub fn endpoints(&self, record: &ServiceRecord, now: Instant) -> Vec<String> {
        let observations = self.observations(now);
        let answering = observations.answering(record).into_iter();
        answering.filter_map(|number| self.replicas.get(&number)?.endpoint.clone()).collect()
    }

    /// Returns the health gate's verdict on the step that soaks.
    pub fn verdict(&self, now: Instant) -> Verdict {
        let Some((_, since)) = self.current_soak else { return Verdict::Undecided };
        let max_failures = f64::from(self.soak_probes) * self.settings.most_failures;
        if now < since + self.settings.soak_time() || self.soak_probes == 0 {
            Verdict::Undecided
        } else if f64::from(self.soak_failures) > max_failures {
            let (failures, probes) = (self.soak_failures, self.soak_probes);
            Verdict::Unhealthy(format!("{failures} of {probes} looks went unanswered"))
        } else {
            Verdict::Healthy
        }
    }

    /// Returns the figures of the present step for the promotion condition.
    pub fn step_figures(&self, record: &ServiceRecord, now: Instant) -> StepFigures {
        let Some(rollout) = record.active_rollout() else { return StepFigures::default() };
        StepFigures {
            probes: self.soak_probes,
            failures: self.soak_failures,
            answering: self.observations(now).answering(record).len() as u32,
            level: rollout.level,
            step: rollout.step + 1,
            steps: rollout.steps.len() as u32,
        }
    }

    /// Returns the next instant after `now` at which a drain or the soak time ends.
    pub fn next_deadline(&self, now: Instant) -> Option<Instant> {
        let drains = self.replicas.values().filter_map(|observed| observed.draining_since);
        let drains = drains.map(|since| since + self.settings.drain_time());
        let soaks = self.current_soak.map(|(_, since)| since + self.settings.soak_time());
        drains.chain(soaks).filter(|deadline| *deadline > now).min()
    }
}
