//! Between workers and controllers: reports, and the commands that answer them or
//! are sent directly.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::MachineId;

/// What a task on a machine is doing.
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

/// Why a task exited, or was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
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

/// One task in a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskStatus {
    #[serde(rename = "Spoke")]
    pub task: String,
    #[serde(rename = "Try")]
    pub attempt: u64,
    #[serde(rename = "Stance")]
    pub state: TaskState,
    #[serde(rename = "Cause", default)]
    pub cause: Option<ExitCause>,
    #[serde(rename = "Saved", default)]
    pub saved: Option<bool>,
}

/// All that a worker says of itself and of its machine's tasks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    #[serde(rename = "Millstone")]
    pub machine: MachineId,
    #[serde(rename = "Endpoint", default)]
    pub address: String,
    #[serde(rename = "Frame")]
    pub machine_type: Arc<str>,
    #[serde(rename = "Yard")]
    pub zone: Arc<str>,
    #[serde(rename = "Driftwood", default)]
    pub spot: bool,
    #[serde(rename = "Turning")]
    pub incarnation: u64,
    #[serde(rename = "Tick")]
    pub sequence: u64,
    #[serde(rename = "Warrant", default)]
    pub token: u64,
    #[serde(rename = "WarningS", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "Spokes", default)]
    pub tasks: Vec<TaskStatus>,
}

/// What a worker is ordered to do with a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandKind {
    #[serde(rename = "run")]
    Start,
    #[serde(rename = "halt")]
    Stop,
    #[serde(rename = "clear")]
    Forget,
}

/// One order to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskCommand {
    #[serde(rename = "Verb")]
    pub op: CommandKind,
    #[serde(rename = "Spoke")]
    pub task: String,
    #[serde(rename = "Try")]
    pub attempt: u64,
    #[serde(rename = "RespiteS", skip_serializing_if = "Option::is_none")]
    pub grace_s: Option<f64>,
}

/// The answer to a heartbeat by whoever may give commands.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    #[serde(rename = "Warrant")]
    pub token: u64,
    #[serde(rename = "Orders")]
    pub commands: Vec<TaskCommand>,
}

/// Orders sent to a worker's own address.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DirectCommands {
    #[serde(rename = "Warrant")]
    pub token: u64,
    #[serde(rename = "Turning")]
    pub incarnation: u64,
    #[serde(rename = "Orders")]
    pub commands: Vec<TaskCommand>,
}

/// The answer of a controller that may not give commands.
#[derive(Clone, Debug, Serialize)]
pub struct Redirect {
    #[serde(rename = "Miller", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}
