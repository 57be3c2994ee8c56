//! Between workers and controllers: heartbeats, and the commands that answer them or
//! are sent directly.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::MachineId;

/// What a task on a machine is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// It fetches its image.
    Fetching,
    /// It is ready, and waits for the other tasks of its gang.
    Waiting,
    /// It runs.
    Running,
    /// It was stopped, and saves a checkpoint within its grace period.
    #[serde(rename = "flushing")]
    Saving,
    /// It has exited; the worker keeps it in mind until told to forget it.
    #[serde(rename = "ended")]
    Exited,
}

/// Why a task exited, or was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// It completed.
    Done,
    /// A command stopped it.
    Stopped,
    /// Another task of its gang exited.
    Peers,
    /// The other tasks of its gang did not come.
    Alone,
    /// It failed.
    Error,
    /// Its start was refused: the machine has too little room.
    #[serde(rename = "full")]
    InsufficientCapacity,
    /// Its start was refused: another attempt of the task is still there.
    Busy,
    /// The command named an attempt that the worker doesn't know.
    Unknown,
}

/// One task in a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task as `{job}/{number}`.
    #[serde(rename = "Spoke")]
    pub task: String,
    /// The attempt that this is.
    #[serde(rename = "Try")]
    pub attempt: u64,
    /// What it is doing.
    #[serde(rename = "Stance")]
    pub state: TaskState,
    /// Why it exited, if it did.
    #[serde(rename = "Cause", default)]
    pub cause: Option<ExitCause>,
    /// Whether a stopped task saved a checkpoint.
    #[serde(rename = "Saved", default)]
    pub saved: Option<bool>,
}

/// A worker's periodic message: itself, its machine and the status of its tasks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// The worker's machine.
    #[serde(rename = "Millstone")]
    pub machine: MachineId,
    /// Where it takes direct commands.
    #[serde(rename = "Endpoint", default)]
    pub address: String,
    /// The machine's type.
    #[serde(rename = "Frame")]
    pub machine_type: Arc<str>,
    /// The machine's zone.
    #[serde(rename = "Yard")]
    pub zone: Arc<str>,
    /// Whether it is a spot machine.
    #[serde(rename = "Driftwood", default)]
    pub spot: bool,
    /// It rises when the worker ends all its tasks since its lease expired.
    #[serde(rename = "Turning")]
    pub incarnation: u64,
    /// The order of heartbeats within an incarnation.
    #[serde(rename = "Tick")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "Warrant", default)]
    pub token: u64,
    /// Seconds until the cloud takes the machine back, once that is announced.
    #[serde(rename = "WarningS", default)]
    pub notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "Spokes", default)]
    pub tasks: Vec<TaskStatus>,
}

/// What a worker is told to do with a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandKind {
    /// Start an attempt.
    #[serde(rename = "run")]
    Start,
    /// Stop an attempt, after its grace period if there is one.
    #[serde(rename = "halt")]
    Stop,
    /// Drop an attempt that has exited.
    #[serde(rename = "clear")]
    Forget,
}

/// A command to a worker that concerns one attempt of a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskCommand {
    /// What to do.
    #[serde(rename = "Verb")]
    pub op: CommandKind,
    /// The task as `{job}/{number}`.
    #[serde(rename = "Spoke")]
    pub task: String,
    /// The attempt to start, stop or forget.
    #[serde(rename = "Try")]
    pub attempt: u64,
    /// For a stop: seconds to save a checkpoint in.
    #[serde(rename = "RespiteS", skip_serializing_if = "Option::is_none")]
    pub grace_s: Option<f64>,
}

/// The response to a heartbeat by the leader. It also renews the worker's lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The fencing token of the commands: the worker refuses lower ones from then on.
    #[serde(rename = "Warrant")]
    pub token: u64,
    /// What to do with its tasks.
    #[serde(rename = "Orders")]
    pub commands: Vec<TaskCommand>,
}

/// Commands sent to a worker's own address. The response is a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DirectCommands {
    /// The commands' fencing token.
    #[serde(rename = "Warrant")]
    pub token: u64,
    /// The incarnation that they are meant for; any other one refuses them.
    #[serde(rename = "Turning")]
    pub incarnation: u64,
    /// What to do with its tasks.
    #[serde(rename = "Orders")]
    pub commands: Vec<TaskCommand>,
}

/// The response to a heartbeat by a controller that doesn't lead.
#[derive(Clone, Debug, Serialize)]
pub struct Redirect {
    /// The address of the leader, if it is known.
    #[serde(rename = "Miller", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}
