//! What the owner of a rollout saw of the replicas, and since when.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::{
    condition::StepFigures,
    host::Look,
    planner::{Seen, Sighting, Sightings, Verdict},
    record::{Phase, ReplicaStage, ServiceRecord},
    settings::RolloutSettings,
};

/// A look that is older than so many intervals says nothing any more.
const STALE_LOOKS: u32 = 3;
/// Looks at a replica before its share of failures says anything.
const LEAST_LOOKS: u32 = 10;

/// What was seen of one replica.
#[derive(Clone, Debug, Default)]
struct Seeing {
    seen: Seen,
    machine: Option<String>,
    endpoint: Option<String>,
    at: Option<Instant>,
    requested: bool,
    rejected: Option<String>,
    stopped: bool,
    silent_since: Option<Instant>,
    draining_since: Option<Instant>,
    /// Looks since it first answered, and how many went unanswered.
    looks: u32,
    failures: u32,
}

/// Which step of which owner the health gate watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Watched {
    epoch: u64,
    step: u32,
}

/// What the owner saw.
#[derive(Debug)]
pub(crate) struct Observer {
    settings: RolloutSettings,
    epoch: u64,
    replicas: BTreeMap<u32, Seeing>,
    soaking: Option<(Watched, Instant)>,
    /// Looks at new replicas within the present soak, and how many went unanswered.
    soak_looks: u32,
    soak_failures: u32,
}

impl Observer {
    pub fn new(settings: RolloutSettings) -> Self {
        Self {
            settings,
            epoch: 0,
            replicas: BTreeMap::new(),
            soaking: None,
            soak_looks: 0,
            soak_failures: 0,
        }
    }

    /// Takes over what the record says. What a former owner saw is not known here.
    pub fn follow(&mut self, record: &ServiceRecord, now: Instant) {
        if record.epoch != self.epoch {
            self.epoch = record.epoch;
            self.replicas.clear();
            self.soaking = None;
        }
        self.replicas.retain(|number, _| record.replicas.iter().any(|r| r.number == *number));
        for replica in &record.replicas {
            let seeing = self.replicas.entry(replica.number).or_default();
            if replica.stage == ReplicaStage::Draining {
                seeing.draining_since.get_or_insert(now);
            }
        }
        let rollout = record.under_way().filter(|rollout| rollout.phase == Phase::Soaking);
        let watched = rollout.map(|r| Watched { epoch: record.epoch, step: r.step });
        if self.soaking.map(|(held, _)| held) != watched {
            self.soaking = watched.map(|watched| (watched, now));
            (self.soak_looks, self.soak_failures) = (0, 0);
        }
    }

    pub fn requested(&mut self, number: u32, rejected: Option<String>) {
        let seeing = self.replicas.entry(number).or_default();
        seeing.requested = true;
        seeing.rejected = rejected;
    }

    pub fn stopped(&mut self, number: u32) {
        self.replicas.entry(number).or_default().stopped = true;
    }

    /// Notes a look. `new`: the replica is of the version that is rolled out.
    pub fn looked(&mut self, number: u32, look: Look, new: bool, now: Instant) {
        let seeing = self.replicas.entry(number).or_default();
        seeing.at = Some(now);
        let (seen, machine) = match look {
            Look::NoRoom => (Seen::NoRoom, None),
            Look::Silent { machine } => (Seen::Silent, Some(machine)),
            Look::Answering { machine, endpoint } => {
                seeing.endpoint = Some(endpoint);
                (Seen::Answering, Some(machine))
            }
            Look::Gone => (Seen::Gone, None),
        };
        if machine != seeing.machine {
            // Its machine was lost, and it loads anew: that says nothing of its version.
            (seeing.looks, seeing.failures, seeing.silent_since) = (0, 0, None);
        }
        (seeing.seen, seeing.machine) = (seen, machine);
        let (answers, silent) = (seeing.seen == Seen::Answering, seeing.seen == Seen::Silent);
        seeing.silent_since = if silent { seeing.silent_since.or(Some(now)) } else { None };
        // Before the first answer it loads; while it has no place its machine was lost.
        if answers || (silent && seeing.looks > 0) {
            seeing.looks += 1;
            seeing.failures += u32::from(silent);
            if new && self.soaking.is_some() {
                self.soak_looks += 1;
                self.soak_failures += u32::from(silent);
            }
        }
    }

    /// What is known now.
    pub fn sightings(&self, now: Instant) -> Sightings {
        let stale = self.settings.look() * STALE_LOOKS;
        let sighting = |seeing: &Seeing| {
            let fresh = seeing.at.is_some_and(|at| now < at + stale);
            Sighting {
                seen: if fresh { seeing.seen } else { Seen::Unknown },
                machine: seeing.machine.clone(),
                requested: seeing.requested,
                failed: self.failure(seeing, now),
                drained: seeing
                    .draining_since
                    .is_some_and(|since| now >= since + self.settings.drain()),
                stopped: seeing.stopped,
            }
        };
        Sightings(self.replicas.iter().map(|(number, s)| (*number, sighting(s))).collect())
    }

    fn failure(&self, seeing: &Seeing, now: Instant) -> Option<String> {
        if let Some(reason) = &seeing.rejected {
            return Some(format!("a replica can't be started: {reason}"));
        }
        if seeing.silent_since.is_some_and(|since| now >= since + self.settings.start()) {
            return Some(format!("a replica did not answer for {} s", self.settings.start_s));
        }
        let most = f64::from(seeing.looks) * self.settings.most_failures;
        (seeing.looks >= LEAST_LOOKS && f64::from(seeing.failures) > most)
            .then(|| "a replica answers now and then".to_owned())
    }

    /// Where the replicas that take requests answer.
    pub fn endpoints(&self, record: &ServiceRecord, now: Instant) -> Vec<String> {
        let sightings = self.sightings(now);
        let answering = sightings.answering(record).into_iter();
        answering.filter_map(|number| self.replicas.get(&number)?.endpoint.clone()).collect()
    }

    /// What the health gate says of the step that is watched.
    pub fn verdict(&self, now: Instant) -> Verdict {
        let Some((_, since)) = self.soaking else { return Verdict::Undecided };
        let most = f64::from(self.soak_looks) * self.settings.most_failures;
        if now < since + self.settings.soak() || self.soak_looks == 0 {
            Verdict::Undecided
        } else if f64::from(self.soak_failures) > most {
            let (failures, looks) = (self.soak_failures, self.soak_looks);
            Verdict::Unhealthy(format!("{failures} of {looks} looks went unanswered"))
        } else {
            Verdict::Healthy
        }
    }

    /// What was counted of the step that is watched.
    pub fn step_figures(&self, record: &ServiceRecord, now: Instant) -> StepFigures {
        let Some(rollout) = record.under_way() else { return StepFigures::default() };
        StepFigures {
            looks: self.soak_looks,
            failures: self.soak_failures,
            answering: self.sightings(now).answering(record).len() as u32,
            level: rollout.level,
            step: rollout.step + 1,
            steps: rollout.steps.len() as u32,
        }
    }

    /// When something comes due that no look brings.
    pub fn next_due(&self, now: Instant) -> Option<Instant> {
        let drains = self.replicas.values().filter_map(|s| s.draining_since);
        let drains = drains.map(|since| since + self.settings.drain());
        let soaks = self.soaking.map(|(_, since)| since + self.settings.soak());
        drains.chain(soaks).filter(|at| *at > now).min()
    }
}
