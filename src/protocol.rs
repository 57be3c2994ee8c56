//! Every struct that crosses a wire, in the field's standard terms.
//!
//! The wire's own names appear only here, as serde renames; the rest of the
//! program speaks of jobs, tasks, machines, sessions and fencing tokens.

use std::{collections::HashSet, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;
use thiserror::Error;

/// Names of jobs and machines are shared by many tables, so they are counted
/// references rather than copies.
pub type JobId = Arc<str>;
pub type MachineId = Arc<str>;

/// A request body above this size is refused before it is read to its end.
pub const BODY_LIMIT: usize = 64 * 1024;
/// The most tasks a job may have.
pub const MAX_TASKS: u32 = 100_000;
/// Names (images, classes, zones) beyond this length are taken for mistakes.
const NAME_LIMIT: usize = 200;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    #[serde(rename = "batch")]
    Array,
    #[serde(rename = "ensemble")]
    Gang,
    #[serde(rename = "service")]
    Service,
}

/// Ordered from the least to the most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    BestEffort,
    Standard,
    High,
    Production,
}

/// A job as its user describes it. The durable job record is the same text.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "Ref")]
    pub id: JobId,
    #[serde(rename = "Grain")]
    pub class: Arc<str>,
    #[serde(rename = "Crew")]
    pub team: Arc<str>,
    #[serde(rename = "Shape")]
    pub shape: Shape,
    #[serde(rename = "Rank")]
    pub priority: Priority,
    #[serde(rename = "Spokes")]
    pub tasks: u32,
    #[serde(rename = "Cores")]
    pub cpus: f64,
    #[serde(rename = "Gpus")]
    pub gpus: f64,
    #[serde(rename = "MemoryGb")]
    pub memory_gb: f64,
    #[serde(rename = "Mould")]
    pub image: Arc<str>,
    #[serde(rename = "ImageGb")]
    pub image_gb: f64,
    #[serde(rename = "Frames", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<Arc<str>>>,
    #[serde(rename = "Yard", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<Arc<str>>,
    #[serde(rename = "Together")]
    pub one_zone: bool,
    #[serde(rename = "Scatter")]
    pub spread: bool,
    #[serde(rename = "Driftwood")]
    pub spot: bool,
    #[serde(rename = "ReckonS")]
    pub estimate_s: f64,
    #[serde(rename = "NotchS")]
    pub checkpoint_s: f64,
    #[serde(rename = "StashS")]
    pub save_s: f64,
    #[serde(rename = "DueS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts.
    #[serde(
        rename = "Awaits",
        default,
        deserialize_with = "null_as_empty",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub dependencies: Vec<JobId>,
}

fn null_as_empty<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<JobId>, D::Error> {
    Ok(Option::deserialize(deserializer)?.unwrap_or_default())
}

/// What is wrong with a submission, in one sentence for its user.
#[derive(Debug, Error)]
pub enum SubmissionError {
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("Ref is not a job id")]
    JobId,
    #[error("Spokes must lie within 1 and {MAX_TASKS}")]
    TaskCount,
    #[error("{field} must be a number of at least 0")]
    Amount { field: &'static str },
    #[error("names must have 1 to {NAME_LIMIT} bytes")]
    NameLength,
    #[error("Frames must name a type or be null")]
    NoMachineType,
    #[error("Awaits names {0:?}, which is not a job id")]
    DependencyId(JobId),
    #[error("Awaits must not name the job itself")]
    DependsOnItself,
}

impl JobSpec {
    /// Reads a submission.
    pub fn parse(body: &[u8]) -> Result<Self, SubmissionError> {
        let mut spec: Self = serde_json::from_slice(body)?;
        spec.check()?;
        let mut named = HashSet::new();
        spec.dependencies.retain(|dependency| named.insert(dependency.clone()));
        Ok(spec)
    }

    /// The job's id alone, of a body that may be wrong in every other way.
    pub fn id_of(body: &[u8]) -> Option<JobId> {
        #[derive(Deserialize)]
        struct Named {
            #[serde(rename = "Ref")]
            id: JobId,
        }
        let named: Named = serde_json::from_slice(body).ok()?;
        is_job_id(&named.id).then_some(named.id)
    }

    fn check(&self) -> Result<(), SubmissionError> {
        if !is_job_id(&self.id) {
            return Err(SubmissionError::JobId);
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(SubmissionError::TaskCount);
        }
        let amounts = [
            ("Cores", self.cpus),
            ("Gpus", self.gpus),
            ("MemoryGb", self.memory_gb),
            ("ImageGb", self.image_gb),
            ("ReckonS", self.estimate_s),
            ("NotchS", self.checkpoint_s),
            ("StashS", self.save_s),
            ("DueS", self.deadline_s.unwrap_or(0.0)),
        ];
        for (field, amount) in amounts {
            if !amount.is_finite() || amount < 0.0 {
                return Err(SubmissionError::Amount { field });
            }
        }
        let mut names = vec![&self.class, &self.team, &self.image];
        names.extend(self.zone.iter());
        names.extend(self.types.iter().flatten());
        if names.iter().any(|n| n.is_empty() || n.len() > NAME_LIMIT) {
            return Err(SubmissionError::NameLength);
        }
        if self.types.as_ref().is_some_and(Vec::is_empty) {
            return Err(SubmissionError::NoMachineType);
        }
        if let Some(wrong) = self.dependencies.iter().find(|id| !is_job_id(id)) {
            return Err(SubmissionError::DependencyId(wrong.clone()));
        }
        if self.dependencies.contains(&self.id) {
            return Err(SubmissionError::DependsOnItself);
        }
        Ok(())
    }
}

/// Whether a name has the one form that job ids take.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("j-")
        .is_some_and(|n| (1..=20).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit()))
}

/// The state of a job as its user sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    #[serde(rename = "pending")]
    Pending,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "aborted")]
    Cancelled,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobStatus {
    #[serde(rename = "Ref")]
    pub id: JobId,
    #[serde(rename = "Stance")]
    pub state: JobState,
    pub done: u32,
    pub running: u32,
}

#[derive(Debug, Serialize)]
pub struct ErrorBody {
    pub error: String,
}

// Workers.

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    Fetching,
    Waiting,
    Running,
    #[serde(rename = "flushing")]
    Saving,
    #[serde(rename = "ended")]
    Exited,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    Done,
    Stopped,
    Peers,
    Alone,
    Error,
    #[serde(rename = "full")]
    NoRoom,
    Busy,
    Unknown,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskReport {
    #[serde(rename = "Spoke")]
    pub task: String,
    #[serde(rename = "Try")]
    pub attempt: u64,
    #[serde(rename = "Stance")]
    pub state: TaskState,
    #[serde(rename = "Cause", default)]
    pub cause: Option<Cause>,
    #[serde(rename = "Saved", default)]
    pub saved: Option<bool>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    #[serde(rename = "Millstone")]
    pub machine: MachineId,
    #[serde(rename = "Endpoint", default)]
    pub addr: String,
    #[serde(rename = "Frame")]
    pub machine_type: Arc<str>,
    #[serde(rename = "Yard")]
    pub zone: Arc<str>,
    #[serde(rename = "Driftwood", default)]
    pub spot: bool,
    #[serde(rename = "Turning")]
    pub session: u64,
    #[serde(rename = "Tick")]
    pub seq: u64,
    #[serde(rename = "Warrant", default)]
    pub token: u64,
    #[serde(rename = "WarningS", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "Spokes", default)]
    pub tasks: Vec<TaskReport>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    #[serde(rename = "run")]
    Start,
    #[serde(rename = "halt")]
    Stop,
    #[serde(rename = "clear")]
    Forget,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    #[serde(rename = "Verb")]
    pub op: Op,
    #[serde(rename = "Spoke")]
    pub task: String,
    #[serde(rename = "Try")]
    pub attempt: u64,
    #[serde(rename = "RespiteS", skip_serializing_if = "Option::is_none")]
    pub grace_s: Option<f64>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReportAnswer {
    #[serde(rename = "Warrant")]
    pub token: u64,
    #[serde(rename = "Orders")]
    pub orders: Vec<Order>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DirectOrders {
    #[serde(rename = "Warrant")]
    pub token: u64,
    #[serde(rename = "Turning")]
    pub session: u64,
    #[serde(rename = "Orders")]
    pub orders: Vec<Order>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Misdirected {
    #[serde(rename = "Miller", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

// Cloud.

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    #[serde(rename = "Label")]
    pub name: Arc<str>,
    #[serde(rename = "Cores")]
    pub cpus: f64,
    #[serde(rename = "Gpus", default)]
    pub gpus: f64,
    #[serde(rename = "MemoryGb")]
    pub memory_gb: f64,
    #[serde(rename = "LocalGb", default)]
    pub cache_gb: f64,
    #[serde(rename = "PullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "Hourly", default)]
    pub price: f64,
    #[serde(rename = "LowPrice", default)]
    pub spot_price: f64,
    #[serde(rename = "ReadyS", default)]
    pub boot_s: f64,
    #[serde(rename = "Yards", default)]
    pub zones: Vec<Arc<str>>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineTypes {
    #[serde(rename = "Frames")]
    pub types: Vec<MachineType>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rental {
    #[serde(rename = "Hire")]
    pub request: String,
    #[serde(rename = "Frame")]
    pub machine_type: Arc<str>,
    #[serde(rename = "Yard")]
    pub zone: Arc<str>,
    #[serde(rename = "Driftwood")]
    pub spot: bool,
    #[serde(rename = "HowMany")]
    pub count: u32,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineNames {
    #[serde(rename = "Millstones")]
    pub machines: Vec<MachineId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineState {
    #[serde(rename = "starting")]
    Booting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "failed")]
    Failed,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedMachine {
    #[serde(rename = "Ref")]
    pub id: MachineId,
    #[serde(rename = "Frame")]
    pub machine_type: Arc<str>,
    #[serde(rename = "Yard")]
    pub zone: Arc<str>,
    #[serde(rename = "Driftwood", default)]
    pub spot: bool,
    #[serde(rename = "Endpoint", default)]
    pub addr: String,
    #[serde(rename = "Stance")]
    pub state: MachineState,
    #[serde(rename = "HeldS", default)]
    pub age_s: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineList {
    #[serde(rename = "Millstones")]
    pub machines: Vec<ListedMachine>,
    #[serde(rename = "HasNext", default)]
    pub more: bool,
}

// State service.

#[derive(Clone, Debug, Deserialize)]
pub struct Item {
    #[serde(rename = "Key")]
    pub key: String,
    #[serde(rename = "Value")]
    pub value: Box<RawValue>,
    #[serde(rename = "Stamp")]
    pub version: u64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct ItemPage {
    #[serde(rename = "Items")]
    pub items: Vec<Item>,
    #[serde(rename = "HasNext", default)]
    pub more: bool,
    #[serde(rename = "Ledger")]
    pub revision: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Condition {
    #[serde(rename = "Key")]
    pub key: String,
    #[serde(rename = "Stamp")]
    pub version: u64,
}

#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum Write {
    Put {
        #[serde(rename = "Put")]
        key: String,
        #[serde(rename = "Value")]
        value: Box<RawValue>,
        #[serde(rename = "Tenure", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "Drop")]
        key: String,
    },
}

impl Write {
    pub fn key(&self) -> &str {
        match self {
            Self::Put { key, .. } | Self::Delete { key } => key,
        }
    }
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Transaction {
    #[serde(rename = "When")]
    pub conditions: Vec<Condition>,
    #[serde(rename = "Writes")]
    pub writes: Vec<Write>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Committed {
    #[serde(rename = "Ledger")]
    pub revision: u64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Refused {
    #[serde(default)]
    pub failed: Vec<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseGrant {
    #[serde(rename = "Tenure")]
    pub lease: u64,
}

#[derive(Clone, Debug, Serialize)]
pub struct LeaseRequest {
    #[serde(rename = "LifeMs")]
    pub ttl_ms: u64,
}

/// One change seen by a watch: a put carries a value, a delete does not.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    #[serde(rename = "Put", default)]
    pub put: Option<String>,
    #[serde(rename = "Drop", default)]
    pub delete: Option<String>,
    #[serde(rename = "Value", default)]
    pub value: Option<Box<RawValue>>,
    #[serde(rename = "Stamp")]
    pub version: u64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Events {
    #[serde(rename = "Ledger")]
    pub revision: u64,
    #[serde(rename = "News", default)]
    pub events: Vec<Event>,
}

// Between controllers (bitcode).

/// What a controller tells the others about itself, several times per worker
/// lease. It carries no authority: only the state service does.
#[derive(Clone, Debug, PartialEq, bitcode::Encode, bitcode::Decode)]
pub struct Heartbeat {
    pub member: String,
    /// Which process says this, and its how manieth heartbeat it is.
    pub mark: (u64, u64),
    /// The latest heartbeat that this node heard from the receiver as a leader:
    /// it answers no reports of workers for a while after that.
    pub echo: Option<(u64, u64)>,
    pub leads: bool,
    /// The highest fencing token this node has seen anywhere.
    pub token: u64,
    /// Whether the state service answered this node lately.
    pub state_ok: bool,
    /// Whether this node turned reports away lately: proof that workers live
    /// although the leader may not hear them.
    pub turned_reports_away: bool,
    /// The revision of this node's picture: it knows every cancellation up to it.
    pub revision: u64,
    /// What this node may have told users since the receiver's picture. It
    /// travels in a section of its own (`peers.rs`).
    pub cancellations: Option<CancellationNotice>,
}

/// What the sender's version can do, beyond the one that first had no such
/// section. It says so for good: a member never returns to an older version
/// once it has run this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, bitcode::Encode, bitcode::Decode)]
pub struct Features {
    /// It reads and writes pages whose records name the range of their tasks.
    pub small_pages: bool,
}

/// All cancellations in the sender's picture beyond a revision.
#[derive(Clone, Debug, PartialEq, bitcode::Encode, bitcode::Decode)]
pub struct CancellationNotice {
    /// The receiver's revision, as its latest heartbeat as a leader had it.
    pub since: u64,
    /// False if there are more than one heartbeat carries.
    pub all: bool,
    /// Job, revision of its end record, tasks done: the oldest first.
    pub jobs: Vec<(String, u64, u32)>,
}
