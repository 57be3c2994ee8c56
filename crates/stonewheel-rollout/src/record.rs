//! The durable state of a service: its replicas, and its present or latest rollout.
//!
//! Each service has one record, `sp/r/s/{service}`, which is changed only by
//! compare-and-set. Every replica runs as a separate job, whose id is recorded here before
//! the job is submitted.

use serde::{Deserialize, Serialize};
use stonewheel_coordination::Owner;

/// How many entries of a rollout's history are kept; the oldest are dropped.
pub const MAX_HISTORY_ENTRIES: usize = 8;
/// How many commands the record itself remembers to recognize repeats; the oldest are dropped.
pub const MAX_REMEMBERED_COMMANDS: usize = 8;

/// An upper bound on the bytes of a record without its replicas: mostly the longest history
/// and the remembered commands.
const FIXED_BYTES: usize = 2048;
/// An upper bound on the bytes of a replica without the name of its version.
const REPLICA_BYTES: usize = 80;
/// Bytes of the longest reason in the history; longer ones are truncated.
const MAX_REASON_BYTES: usize = 100;

/// Returns an upper bound on the bytes of a record with this many replicas.
pub fn max_record_bytes(replicas: u32, version: &str) -> usize {
    FIXED_BYTES + replicas as usize * (REPLICA_BYTES + version.len())
}

/// Returns the key of the marker of a job that was submitted as a replica of a rollout.
pub fn job_key(job: &str) -> String {
    format!("sp/r/j/{job}")
}

/// Returns the prefix of the keys of the markers of commands that were carried out on a service
/// lately.
pub fn command_prefix(service: &str) -> String {
    format!("sp/r/c/{service}/")
}

/// Returns the key of the marker of a command. Ids may contain any characters, keys may not.
pub fn command_key(service: &str, id: &str) -> String {
    let hexadecimal: String = id.bytes().map(|byte| format!("{byte:02x}")).collect();
    format!("{}{hexadecimal}", command_prefix(service))
}

/// Returns the key of a service's record.
pub fn service_key(service: &str) -> String {
    format!("sp/r/s/{service}")
}

/// The record of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// The fencing token, which rises whenever the owner changes.
    pub epoch: u64,
    /// The controller process that drives the service.
    pub owner: Option<Owner>,
    /// The version that the service runs when no rollout is under way.
    pub version: String,
    /// The number of the next replica; numbers are not reused.
    pub next_replica: u32,
    /// The replicas that exist, those that are still to be started or stopped included.
    pub replicas: Vec<Replica>,
    /// The present or the latest rollout.
    pub rollout: Option<Rollout>,
    /// The latest commands that were carried out, oldest first.
    pub commands: Vec<DoneCommand>,
}

/// One replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// The replica's number, never reused within the service.
    pub number: u32,
    /// The id of the job that the replica runs as.
    pub job: String,
    /// The version that the replica runs.
    pub version: String,
    /// The stage of the replica's life.
    pub stage: ReplicaStage,
}

/// The stage of a replica's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaStage {
    /// The replica is to be started or was started, and has not answered yet.
    Starting,
    /// The replica has answered, and takes requests.
    Serving,
    /// The replica takes no new requests, and finishes those in progress.
    Draining,
    /// The replica is to be stopped.
    Stopping,
}

/// A rollout: the change of a service from one version to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// The id of the command that started the rollout.
    pub id: String,
    /// The version that the service ran before.
    pub from: String,
    /// The version that is rolled out.
    pub to: String,
    /// Serving replicas when the rollout began, and again when it ends.
    pub size: u32,
    /// Replicas that answered when the rollout began. No step of the rollout reduces the
    /// number of answering replicas below this level.
    pub level: u32,
    /// Replicas beyond the size that may exist at the same time.
    pub surge: u32,
    /// Percentages of the size that run the new version after each step, rising to 100.
    pub steps: Vec<u8>,
    /// The index of the present step.
    pub step: u32,
    /// The phase that the rollout is in.
    pub phase: Phase,
    /// Whether an operator has paused the rollout.
    pub paused: bool,
    /// Why each of the latest phases began, oldest first.
    pub history: Vec<HistoryEntry>,
}

/// The phase of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// New replicas start, and old ones are drained, up to the step's percentage.
    Stepping,
    /// The step's percentage is reached; the new replicas are probed for the soak time.
    Soaking,
    /// Only new replicas are left; those beyond the size are drained.
    Finishing,
    /// Old replicas are started, and new ones are drained.
    RollingBack,
    /// All replicas run the new version.
    Done,
    /// All replicas run the old version.
    RolledBack,
    /// An operator ended the rollout; replicas of both versions may serve.
    Aborted,
}

impl Phase {
    /// Whether a rollout in this phase is over.
    pub fn is_over(self) -> bool {
        matches!(self, Self::Done | Self::RolledBack | Self::Aborted)
    }
}

/// An entry of the history of a rollout: the beginning of a phase.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The phase that began.
    pub phase: Phase,
    /// The index of the step at that time.
    pub step: u32,
    /// Why the phase began.
    pub why: String,
}

/// A command that was carried out, remembered to recognize repeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoneCommand {
    /// The command's id, chosen by the caller.
    pub id: String,
    /// The text of the command: a command with the same id and another text is refused.
    pub kind: String,
}

impl Rollout {
    /// Returns the version that all replicas have at the end of the rollout: the old one
    /// while it rolls back, otherwise the new one.
    pub fn target_version(&self) -> &str {
        if self.phase == Phase::RollingBack { &self.from } else { &self.to }
    }

    /// Returns how many replicas run the new version at the end of the present step.
    pub fn new_replica_target(&self) -> u32 {
        let percent = self.steps.get(self.step as usize).copied().unwrap_or(100);
        (self.size * u32::from(percent)).div_ceil(100)
    }

    /// Whether the present step is the last one.
    pub fn is_last_step(&self) -> bool {
        self.step as usize + 1 >= self.steps.len()
    }

    /// Begins a phase and records it in the history.
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
    /// Returns the rollout, unless it is over.
    pub fn active_rollout(&self) -> Option<&Rollout> {
        self.rollout.as_ref().filter(|rollout| !rollout.phase.is_over())
    }

    /// Returns a replica by its number.
    pub fn replica_mut(&mut self, number: u32) -> Option<&mut Replica> {
        self.replicas.iter_mut().find(|replica| replica.number == number)
    }

    /// Adds a replica that is to be started, and returns its number. The id of its job is
    /// the sum of `job_id_base` and the number.
    pub fn add_replica(&mut self, version: &str, job_id_base: u64) -> u32 {
        let number = self.next_replica;
        self.next_replica += 1;
        let (version, stage) = (version.to_owned(), ReplicaStage::Starting);
        let job = format!("j-{}", job_id_base + u64::from(number));
        self.replicas.push(Replica { number, job, version, stage });
        number
    }
}
