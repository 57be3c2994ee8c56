//! The durable state of a service: its replicas, and the rollout under way.
//!
//! One record a service, `sp/r/s/{service}`, changed by compare-and-set alone. Every
//! replica is a job of its own, named here before it is started.

use serde::{Deserialize, Serialize};
use stonewheel_coordination::Owner;

/// Entries of the history that are kept: the latest.
pub const MAX_HISTORY_ENTRIES: usize = 8;
/// Commands whose outcome is remembered for repeats: the latest.
pub const MAX_REMEMBERED_COMMANDS: usize = 8;

/// What the longest history and the commands take, at the most.
const FIXED_BYTES: usize = 2048;
/// What a replica takes besides the name of its version.
const REPLICA_BYTES: usize = 80;
/// The longest reason that is kept.
const MAX_REASON_BYTES: usize = 100;

/// What a record with so many replicas may take.
pub fn max_record_bytes(replicas: u32, version: &str) -> usize {
    FIXED_BYTES + replicas as usize * (REPLICA_BYTES + version.len())
}

/// The key that marks a job as a replica of ours.
pub fn job_key(job: &str) -> String {
    format!("sp/r/j/{job}")
}

/// The key of a service's record.
pub fn service_key(service: &str) -> String {
    format!("sp/r/s/{service}")
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Fencing token: it rises whenever the owner changes.
    pub epoch: u64,
    /// Who drives the rollout.
    pub owner: Option<Owner>,
    /// The version that the service runs when no rollout is under way.
    pub version: String,
    /// The number of the next replica; none is used twice.
    pub next_replica: u32,
    /// The replicas.
    pub replicas: Vec<Replica>,
    /// The rollout under way, or the last one.
    pub rollout: Option<Rollout>,
    /// Commands that were carried out.
    pub commands: Vec<DoneCommand>,
}

/// One replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Its number, unique within the service for ever.
    pub number: u32,
    /// The job that it runs as.
    pub job: String,
    /// The version that it runs.
    pub version: String,
    /// How far it is.
    pub stage: ReplicaStage,
}

/// How far a replica is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaStage {
    /// It is to be started, or has been, and has not answered yet.
    Starting,
    /// It answered, and takes requests.
    Serving,
    /// It takes no new requests, and finishes those that it has.
    Draining,
    /// It is to be stopped.
    Stopping,
}

/// A change from one version to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// The id of the command that started it.
    pub id: String,
    /// The version that stood before.
    pub from: String,
    /// The version that is rolled out.
    pub to: String,
    /// Replicas that the service has, and has again in the end.
    pub size: u32,
    /// Replicas that answered when it began: never fewer answer by its doing.
    pub level: u32,
    /// Replicas beyond the size that may exist at once.
    pub surge: u32,
    /// Percentages of the size, rising to 100.
    pub steps: Vec<u8>,
    /// The present step, from 0.
    pub step: u32,
    /// What it is doing.
    pub phase: Phase,
    /// An operator holds it.
    pub paused: bool,
    /// Why each phase began, the latest last.
    pub history: Vec<HistoryEntry>,
}

/// What a rollout is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// New replicas start, and old ones are drained as far as the step goes.
    Stepping,
    /// The step is reached; its replicas are watched.
    Soaking,
    /// Only new replicas are left; those beyond the level go.
    Finishing,
    /// The old version comes back.
    RollingBack,
    /// All replicas run the new version.
    Done,
    /// All replicas run the old version.
    RolledBack,
    /// An operator ended it where it was.
    Aborted,
}

impl Phase {
    /// Whether the rollout is over.
    pub fn is_over(self) -> bool {
        matches!(self, Self::Done | Self::RolledBack | Self::Aborted)
    }
}

/// Why a phase began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The phase.
    pub phase: Phase,
    /// The step at that time.
    pub step: u32,
    /// Why.
    pub why: String,
}

/// A command that was carried out, for whoever repeats it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoneCommand {
    /// Its id, chosen by the caller.
    pub id: String,
    /// What it was: another command with its id is refused.
    pub kind: String,
}

impl Rollout {
    /// The version that replicas are to have in the end, as things stand.
    pub fn target_version(&self) -> &str {
        if self.phase == Phase::RollingBack { &self.from } else { &self.to }
    }

    /// New replicas that the present step asks for.
    pub fn new_replica_target(&self) -> u32 {
        let percent = self.steps.get(self.step as usize).copied().unwrap_or(100);
        (self.size * u32::from(percent)).div_ceil(100)
    }

    /// Whether the present step is the last one.
    pub fn is_last_step(&self) -> bool {
        self.step as usize + 1 >= self.steps.len()
    }

    /// Begins a phase.
    pub fn enter_phase(&mut self, phase: Phase, why: impl Into<String>) {
        self.phase = phase;
        let mut why: String = why.into();
        while why.len() > MAX_REASON_BYTES {
            why.pop();
        }
        self.history.push(HistoryEntry { phase, step: self.step, why });
        let excess = self.history.len().saturating_sub(MAX_HISTORY_ENTRIES);
        self.history.drain(..excess);
    }
}

impl ServiceRecord {
    /// The rollout, unless it is over.
    pub fn active_rollout(&self) -> Option<&Rollout> {
        self.rollout.as_ref().filter(|rollout| !rollout.phase.is_over())
    }

    /// A replica by its number.
    pub fn replica_mut(&mut self, number: u32) -> Option<&mut Replica> {
        self.replicas.iter_mut().find(|replica| replica.number == number)
    }

    /// Names another replica, and its job from `job_id_base` on.
    pub fn add_replica(&mut self, version: &str, job_id_base: u64) -> u32 {
        let number = self.next_replica;
        self.next_replica += 1;
        let (version, stage) = (version.to_owned(), ReplicaStage::Starting);
        let job = format!("j-{}", job_id_base + u64::from(number));
        self.replicas.push(Replica { number, job, version, stage });
        number
    }
}
