//! A fleet simulated in ticks: machines that may be lost, replicas that load, answer, fail
//! and move to other machines, and an owner that may be replaced.

pub mod deployment;
pub mod servers;

use std::collections::BTreeMap;

use stonewheel_coordination::Owner;
use stonewheel_rollout::{
    command::{Command, CommandError, CommandKind, apply},
    planner::{
        Facts, ReplicaHealth, ReplicaObservation, ReplicaObservations, Step, Verdict, decide,
    },
    record::{Phase, Replica, ReplicaStage, ServiceRecord},
};

/// Ticks from a replica's placement on a machine to its first answer.
const LOAD_TICKS: u32 = 3;
/// Ticks without an answer after which a start counts as failed.
const START_TIMEOUT_TICKS: u32 = 8;
/// Ticks of the soak time of a step.
const SOAK_TICKS: u32 = 4;
/// Ticks for which a replica drains.
const DRAIN_TICKS: u32 = 2;

pub type Planner = fn(&Facts<'_>) -> Step;

#[derive(Clone, Debug, Default)]
struct SimulatedReplica {
    machine: Option<usize>,
    ticks_placed: u32,
    ticks_draining: u32,
    stopped: bool,
}

/// The fleet, and the record of its service.
pub struct Fleet {
    pub record: ServiceRecord,
    replicas: BTreeMap<u32, SimulatedReplica>,
    /// Whether each machine is up.
    machines: Vec<bool>,
    /// Whether machines take further replicas.
    pub has_free_capacity: bool,
    /// Versions whose replicas never answer.
    pub broken_versions: Vec<String>,
    /// Replicas that don't answer in odd ticks.
    pub flapping_replicas: Vec<u32>,
    owner_number: u64,
    start_requested: Vec<u32>,
    unresponsive_ticks: BTreeMap<u32, u32>,
    missed_probes: BTreeMap<u32, u32>,
    soaked_ticks: u32,
    ticks: u32,
    commands: u32,
    planner: Planner,
    /// Writes of the planner that reduced the capacity to less than the level.
    pub level_violations: Vec<String>,
}

impl Fleet {
    /// Creates a fleet with `level` answering replicas of version `one`, spread over the
    /// machines.
    pub fn new(level: u32, machines: usize, planner: Planner) -> Self {
        let mut record = ServiceRecord {
            epoch: 0,
            owner: None,
            version: "one".into(),
            next_replica: 0,
            replicas: Vec::new(),
            rollout: None,
            commands: Vec::new(),
        };
        let mut replicas = BTreeMap::new();
        for _ in 0..level {
            let number = record.add_replica("one", 1000);
            let machine = Some(number as usize % machines);
            let simulated = SimulatedReplica {
                machine,
                ticks_placed: LOAD_TICKS,
                ..SimulatedReplica::default()
            };
            replicas.insert(number, simulated);
        }
        for replica in &mut record.replicas {
            replica.stage = ReplicaStage::Serving;
        }
        Self {
            record,
            replicas,
            machines: vec![true; machines],
            has_free_capacity: true,
            broken_versions: Vec::new(),
            flapping_replicas: Vec::new(),
            owner_number: 1,
            start_requested: Vec::new(),
            unresponsive_ticks: BTreeMap::new(),
            missed_probes: BTreeMap::new(),
            soaked_ticks: 0,
            ticks: 0,
            commands: 0,
            planner,
            level_violations: Vec::new(),
        }
    }

    fn answers(&self, replica: &Replica) -> bool {
        let Some(simulated) = self.replicas.get(&replica.number) else { return false };
        let up = simulated.machine.is_some_and(|machine| self.machines[machine]);
        let flaps = self.flapping_replicas.contains(&replica.number) && self.ticks % 2 == 1;
        up && !flaps
            && simulated.ticks_placed >= LOAD_TICKS
            && !self.broken_versions.contains(&replica.version)
    }

    /// Returns how many replicas take requests and answer.
    pub fn capacity(&self) -> u32 {
        let serving = self.record.replicas.iter().filter(|r| r.stage == ReplicaStage::Serving);
        serving.filter(|replica| self.answers(replica)).count() as u32
    }

    pub fn observations(&self) -> ReplicaObservations {
        let observation = |replica: &Replica| {
            let simulated = self.replicas.get(&replica.number);
            let machine = simulated.and_then(|simulated| simulated.machine);
            let health = match (simulated, machine) {
                (None, _) => ReplicaHealth::Unknown,
                _ if self.answers(replica) => ReplicaHealth::Answering,
                (_, Some(_)) => ReplicaHealth::Unresponsive,
                (_, None) => ReplicaHealth::NoCapacity,
            };
            let overdue = self
                .unresponsive_ticks
                .get(&replica.number)
                .is_some_and(|n| *n > START_TIMEOUT_TICKS);
            let flaps = self.missed_probes.get(&replica.number).is_some_and(|n| *n > 3);
            ReplicaObservation {
                health,
                machine: machine.map(|machine| format!("n-{machine}")),
                start_requested: self.start_requested.contains(&replica.number),
                failure: (overdue || flaps).then(|| "it does not answer".into()),
                drained: simulated.is_some_and(|simulated| simulated.ticks_draining >= DRAIN_TICKS),
                stopped: simulated.is_some_and(|simulated| simulated.stopped),
            }
        };
        ReplicaObservations(
            self.record.replicas.iter().map(|r| (r.number, observation(r))).collect(),
        )
    }

    /// Applies a command, as any controller may.
    pub fn command(&mut self, kind: CommandKind) -> Result<(), CommandError> {
        self.commands += 1;
        let command = Command { id: format!("c-{}", self.commands), kind };
        if let Some(next) = apply(&self.record, &command, &self.observations())? {
            self.record = next;
        }
        Ok(())
    }

    pub fn start(&mut self, steps: &[u8], surge: u32) -> Result<(), CommandError> {
        self.command(CommandKind::Start { to: "two".into(), steps: steps.to_vec(), surge })
    }

    pub fn lose_machine(&mut self, machine: usize) {
        let machine = machine % self.machines.len();
        if self.machines.iter().filter(|up| **up).count() > 1 {
            self.machines[machine] = false;
            for simulated in self.replicas.values_mut().filter(|r| r.machine == Some(machine)) {
                (simulated.machine, simulated.ticks_placed) = (None, 0);
            }
        }
    }

    pub fn restore_machine(&mut self, machine: usize) {
        let machine = machine % self.machines.len();
        self.machines[machine] = true;
    }

    /// Replaces the owner by one that knows nothing but the record.
    pub fn replace_owner(&mut self) {
        self.owner_number += 1;
        self.start_requested.clear();
        self.unresponsive_ticks.clear();
        self.missed_probes.clear();
        self.soaked_ticks = 0;
        for simulated in self.replicas.values_mut() {
            simulated.ticks_draining = 0;
        }
    }

    pub fn phase(&self) -> Option<Phase> {
        self.record.rollout.as_ref().map(|rollout| rollout.phase)
    }

    /// Advances the fleet by one tick, in which the owner takes steps until it waits.
    pub fn tick(&mut self) {
        self.ticks += 1;
        self.place();
        self.probe();
        for _ in 0..50 {
            if !self.take_step() {
                return;
            }
        }
        panic!("the planner still takes steps after 50 in one tick: {:?}", self.record);
    }

    fn place(&mut self) {
        let up: Vec<usize> = (0..self.machines.len()).filter(|m| self.machines[*m]).collect();
        for (number, simulated) in &mut self.replicas {
            if simulated.machine.is_none() && self.has_free_capacity && !simulated.stopped {
                simulated.machine = up.get(*number as usize % up.len()).copied();
            } else if simulated.machine.is_some() {
                simulated.ticks_placed += 1;
            }
        }
    }

    fn probe(&mut self) {
        let replicas = self.record.replicas.clone();
        for replica in &replicas {
            let answers = self.answers(replica);
            let placed = self
                .replicas
                .get(&replica.number)
                .is_some_and(|simulated| simulated.machine.is_some());
            let unresponsive = self.unresponsive_ticks.entry(replica.number).or_default();
            *unresponsive = if placed && !answers { *unresponsive + 1 } else { 0 };
            if replica.stage == ReplicaStage::Serving && placed && !answers {
                *self.missed_probes.entry(replica.number).or_default() += 1;
            }
            if let Some(simulated) = self.replicas.get_mut(&replica.number)
                && replica.stage == ReplicaStage::Draining
            {
                simulated.ticks_draining += 1;
            }
        }
        let soaking = self.phase() == Some(Phase::Soaking);
        self.soaked_ticks = if soaking { self.soaked_ticks + 1 } else { 0 };
    }

    /// Takes one step of the owner. Returns false if the owner waits.
    fn take_step(&mut self) -> bool {
        let me =
            Owner { member: format!("m-{}", self.owner_number), incarnation: self.owner_number };
        let observations = self.observations();
        let verdict =
            if self.soaked_ticks >= SOAK_TICKS { Verdict::Healthy } else { Verdict::Undecided };
        let step = (self.planner)(&Facts {
            me: &me,
            record: &self.record,
            session_valid: true,
            owner_alive: self.record.owner.as_ref() == Some(&me),
            may_adopt: true,
            observations: &observations,
            verdict: &verdict,
            job_id_base: 1000,
        });
        match step {
            Step::Wait(_) => return false,
            Step::Write(next) => self.write(*next),
            Step::Start(number) => {
                self.start_requested.push(number);
                self.replicas.entry(number).or_default();
            }
            Step::Stop(number) => {
                let simulated = self.replicas.entry(number).or_default();
                (simulated.stopped, simulated.machine) = (true, None);
            }
        }
        true
    }

    fn write(&mut self, next: ServiceRecord) {
        let before = self.capacity();
        let old = std::mem::replace(&mut self.record, next);
        let after = self.capacity();
        let rollout = self.record.rollout.as_ref();
        let level = rollout.map_or(0, |rollout| rollout.level);
        if after < before && after < level {
            self.level_violations.push(format!("{before} to {after} of {level}: {old:?}"));
        }
        if self.phase() != Some(Phase::Soaking) {
            self.soaked_ticks = 0;
        }
    }

    /// Advances the fleet until the rollout is over and all replicas serve. Returns false if
    /// that takes more than this many ticks.
    pub fn run_until_settled(&mut self, ticks: u32) -> bool {
        for _ in 0..ticks {
            self.tick();
            let over = self.phase().is_none_or(Phase::is_over);
            let settled = self.record.replicas.iter().all(|r| r.stage == ReplicaStage::Serving);
            if over && settled {
                return true;
            }
        }
        false
    }

    pub fn distinct_versions(&self) -> Vec<&str> {
        let mut versions: Vec<&str> =
            self.record.replicas.iter().map(|replica| replica.version.as_str()).collect();
        versions.dedup();
        versions
    }
}

/// The planner of the crate.
pub fn planner_under_test(facts: &Facts<'_>) -> Step {
    decide(facts)
}

/// A faulty planner that frees capacity by draining: like the crate's planner, but it drains
/// an old replica for each new one as soon as the new one is recorded.
pub fn planner_draining_first(facts: &Facts<'_>) -> Step {
    let step = decide(facts);
    let Step::Write(mut next) = step else { return step };
    let starting = next.replicas.iter().filter(|r| r.stage == ReplicaStage::Starting).count();
    let draining = next.replicas.iter().filter(|r| r.stage == ReplicaStage::Draining).count();
    if starting > draining
        && let Some(old) = next
            .replicas
            .iter_mut()
            .find(|r| r.version == "one" && r.stage == ReplicaStage::Serving)
    {
        old.stage = ReplicaStage::Draining;
    }
    Step::Write(next)
}
