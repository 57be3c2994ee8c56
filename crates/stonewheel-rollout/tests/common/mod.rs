//! A fleet played in steps of time: machines that may be lost, replicas that load, answer,
//! fail and move, and an owner that may be replaced.

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

/// Ticks from a place to the first answer.
const LOAD: u32 = 3;
/// Ticks without an answer after which a start counts as failed.
const OVERDUE: u32 = 8;
/// Ticks for which a step is watched.
const SOAK: u32 = 4;
/// Ticks for which a replica drains.
const DRAIN: u32 = 2;

pub type Planner = fn(&Facts<'_>) -> Step;

#[derive(Clone, Debug, Default)]
struct Running {
    machine: Option<usize>,
    placed: u32,
    draining: u32,
    stopped: bool,
}

/// The fleet, and the record that its owner keeps.
pub struct Fleet {
    pub record: ServiceRecord,
    replicas: BTreeMap<u32, Running>,
    /// Machines that are up.
    machines: Vec<bool>,
    pub room: bool,
    /// Versions whose replicas never answer.
    pub broken: Vec<String>,
    /// Replicas that don't answer at odd ticks.
    pub flapping: Vec<u32>,
    owner: u64,
    requested: Vec<u32>,
    silent: BTreeMap<u32, u32>,
    missed: BTreeMap<u32, u32>,
    soaked: u32,
    ticks: u32,
    commands: u32,
    planner: Planner,
    /// Steps that let fewer replicas answer than the level.
    pub undercut: Vec<String>,
}

impl Fleet {
    /// `level` replicas of version `one` that answer, over these machines.
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
            let running = Running { machine, placed: LOAD, ..Running::default() };
            replicas.insert(number, running);
        }
        for replica in &mut record.replicas {
            replica.stage = ReplicaStage::Serving;
        }
        Self {
            record,
            replicas,
            machines: vec![true; machines],
            room: true,
            broken: Vec::new(),
            flapping: Vec::new(),
            owner: 1,
            requested: Vec::new(),
            silent: BTreeMap::new(),
            missed: BTreeMap::new(),
            soaked: 0,
            ticks: 0,
            commands: 0,
            planner,
            undercut: Vec::new(),
        }
    }

    fn answers(&self, replica: &Replica) -> bool {
        let Some(running) = self.replicas.get(&replica.number) else { return false };
        let up = running.machine.is_some_and(|machine| self.machines[machine]);
        let flaps = self.flapping.contains(&replica.number) && self.ticks % 2 == 1;
        up && !flaps && running.placed >= LOAD && !self.broken.contains(&replica.version)
    }

    /// Replicas that take requests and answer.
    pub fn capacity(&self) -> u32 {
        let serving = self.record.replicas.iter().filter(|r| r.stage == ReplicaStage::Serving);
        serving.filter(|replica| self.answers(replica)).count() as u32
    }

    pub fn observations(&self) -> ReplicaObservations {
        let observation = |replica: &Replica| {
            let running = self.replicas.get(&replica.number);
            let machine = running.and_then(|running| running.machine);
            let health = match (running, machine) {
                (None, _) => ReplicaHealth::Unknown,
                _ if self.answers(replica) => ReplicaHealth::Answering,
                (_, Some(_)) => ReplicaHealth::Unresponsive,
                (_, None) => ReplicaHealth::NoCapacity,
            };
            let overdue = self.silent.get(&replica.number).is_some_and(|n| *n > OVERDUE);
            let flaps = self.missed.get(&replica.number).is_some_and(|n| *n > 3);
            ReplicaObservation {
                health,
                machine: machine.map(|machine| format!("n-{machine}")),
                start_requested: self.requested.contains(&replica.number),
                failure: (overdue || flaps).then(|| "it does not answer".into()),
                drained: running.is_some_and(|running| running.draining >= DRAIN),
                stopped: running.is_some_and(|running| running.stopped),
            }
        };
        ReplicaObservations(
            self.record.replicas.iter().map(|r| (r.number, observation(r))).collect(),
        )
    }

    /// A command, as any controller may take it.
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
            for running in self.replicas.values_mut().filter(|r| r.machine == Some(machine)) {
                (running.machine, running.placed) = (None, 0);
            }
        }
    }

    pub fn bring_machine(&mut self, machine: usize) {
        let machine = machine % self.machines.len();
        self.machines[machine] = true;
    }

    /// The owner ends; another one takes over, and knows nothing but the record.
    pub fn replace_owner(&mut self) {
        self.owner += 1;
        self.requested.clear();
        self.silent.clear();
        self.missed.clear();
        self.soaked = 0;
        for running in self.replicas.values_mut() {
            running.draining = 0;
        }
    }

    pub fn phase(&self) -> Option<Phase> {
        self.record.rollout.as_ref().map(|rollout| rollout.phase)
    }

    /// One tick of time, in which the owner does all that it can.
    pub fn tick(&mut self) {
        self.ticks += 1;
        self.place();
        self.probe();
        for _ in 0..50 {
            if !self.act() {
                return;
            }
        }
        panic!("the planner does not come to rest: {:?}", self.record);
    }

    fn place(&mut self) {
        let up: Vec<usize> = (0..self.machines.len()).filter(|m| self.machines[*m]).collect();
        for (number, running) in &mut self.replicas {
            if running.machine.is_none() && self.room && !running.stopped {
                running.machine = up.get(*number as usize % up.len()).copied();
            } else if running.machine.is_some() {
                running.placed += 1;
            }
        }
    }

    fn probe(&mut self) {
        let replicas = self.record.replicas.clone();
        for replica in &replicas {
            let answers = self.answers(replica);
            let placed =
                self.replicas.get(&replica.number).is_some_and(|running| running.machine.is_some());
            let silent = self.silent.entry(replica.number).or_default();
            *silent = if placed && !answers { *silent + 1 } else { 0 };
            if replica.stage == ReplicaStage::Serving && placed && !answers {
                *self.missed.entry(replica.number).or_default() += 1;
            }
            if let Some(running) = self.replicas.get_mut(&replica.number)
                && replica.stage == ReplicaStage::Draining
            {
                running.draining += 1;
            }
        }
        let soaking = self.phase() == Some(Phase::Soaking);
        self.soaked = if soaking { self.soaked + 1 } else { 0 };
    }

    /// One step of the owner; false if it waits.
    fn act(&mut self) -> bool {
        let me = Owner { member: format!("m-{}", self.owner), incarnation: self.owner };
        let observations = self.observations();
        let verdict = if self.soaked >= SOAK { Verdict::Healthy } else { Verdict::Undecided };
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
                self.requested.push(number);
                self.replicas.entry(number).or_default();
            }
            Step::Stop(number) => {
                let running = self.replicas.entry(number).or_default();
                (running.stopped, running.machine) = (true, None);
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
            self.undercut.push(format!("{before} to {after} of {level}: {old:?}"));
        }
        if self.phase() != Some(Phase::Soaking) {
            self.soaked = 0;
        }
    }

    /// Plays until the rollout is over and all is settled.
    pub fn settle(&mut self, ticks: u32) -> bool {
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

    pub fn versions(&self) -> Vec<&str> {
        let mut versions: Vec<&str> =
            self.record.replicas.iter().map(|replica| replica.version.as_str()).collect();
        versions.dedup();
        versions
    }
}

/// The planner of the package.
pub fn real(facts: &Facts<'_>) -> Step {
    decide(facts)
}

/// A planner that makes room by draining: the same, but it drains an old replica for
/// each new one as soon as that is named.
pub fn drains_first(facts: &Facts<'_>) -> Step {
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
