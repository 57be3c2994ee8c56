//! Messages between workers and controllers: heartbeats, and commands, which are sent in the
//! response to a heartbeat or directly to the worker's address.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::MachineId;

/// The state of a task on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// The machine is fetching the task's image.
    Fetching,
    /// The task is ready to run and waits for the other tasks of its gang.
    Waiting,
    /// The task is running.
    Running,
    /// The task was stopped and is saving a checkpoint within its grace period.
    #[serde(rename = "flushing")]
    Saving,
    /// The task has exited. The worker keeps reporting it until it receives
    /// [`CommandKind::Forget`].
    #[serde(rename = "ended")]
    Exited,
}

/// The reason why a task exited, or why its start was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// The task completed.
    Done,
    /// The task was stopped by a command.
    Stopped,
    /// Another task of its gang exited.
    Peers,
    /// The other tasks of its gang did not start in time.
    Alone,
    /// The task failed.
    Error,
    /// The start was refused because the machine has too little free capacity.
    #[serde(rename = "full")]
    InsufficientCapacity,
    /// The start was refused because another attempt of the task is still on the machine.
    Busy,
    /// The command named an attempt that the worker doesn't know.
    Unknown,
}

/// The status of one task in a worker heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task, in the form `{job}/{number}`.
    #[serde(rename = "Spoke")]
    pub task: String,
    /// The number of the attempt to run the task.
    #[serde(rename = "Try")]
    pub attempt: u64,
    /// The state of this attempt.
    #[serde(rename = "Stance")]
    pub state: TaskState,
    /// The reason why it exited, if it has exited.
    #[serde(rename = "Cause", default)]
    pub cause: Option<ExitCause>,
    /// Whether the task saved a checkpoint after it was stopped, if it was.
    #[serde(rename = "Saved", default)]
    pub saved: Option<bool>,
}

/// A worker's periodic message about itself, its machine and its tasks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// The worker's machine.
    #[serde(rename = "Millstone")]
    pub machine: MachineId,
    /// The address at which the worker accepts direct commands.
    #[serde(rename = "Endpoint", default)]
    pub address: String,
    /// The machine's type.
    #[serde(rename = "Frame")]
    pub machine_type: Arc<str>,
    /// The machine's zone.
    #[serde(rename = "Yard")]
    pub zone: Arc<str>,
    /// Whether the machine is a spot machine.
    #[serde(rename = "Driftwood", default)]
    pub spot: bool,
    /// The worker's incarnation. It increases when the worker's lease expires, upon which
    /// the worker ends all its tasks.
    #[serde(rename = "Turning")]
    pub incarnation: u64,
    /// The sequence number of the heartbeat within the incarnation.
    #[serde(rename = "Tick")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "Warrant", default)]
    pub token: u64,
    /// The time until the cloud reclaims the machine, in seconds, if the cloud has announced
    /// it.
    #[serde(rename = "WarningS", default)]
    pub notice_s: Option<f64>,
    /// The status of all tasks on the machine.
    #[serde(rename = "Spokes", default)]
    pub tasks: Vec<TaskStatus>,
}

/// The action that a command requests of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandKind {
    /// Starts an attempt.
    #[serde(rename = "run")]
    Start,
    /// Stops an attempt, after its grace period if there is one.
    #[serde(rename = "halt")]
    Stop,
    /// Removes an attempt that has exited from the worker's reports.
    #[serde(rename = "clear")]
    Forget,
}

/// A command to a worker that concerns one attempt of a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskCommand {
    /// The requested action.
    #[serde(rename = "Verb")]
    pub op: CommandKind,
    /// The task, in the form `{job}/{number}`.
    #[serde(rename = "Spoke")]
    pub task: String,
    /// The number of the attempt to start, stop or forget.
    #[serde(rename = "Try")]
    pub attempt: u64,
    /// The grace period of a stop, in which the task can save a checkpoint, in seconds.
    #[serde(rename = "RespiteS", skip_serializing_if = "Option::is_none")]
    pub grace_s: Option<f64>,
}

/// A controller's response that accepts a worker heartbeat. It renews the worker's lease. It
/// comes from the leader, or from followers while no controller can lead
/// (`lease_renewal`).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The fencing token of the commands. From then on, the worker refuses commands with
    /// lower tokens.
    #[serde(rename = "Warrant")]
    pub token: u64,
    /// Commands for the worker's tasks.
    #[serde(rename = "Orders")]
    pub commands: Vec<TaskCommand>,
}

/// Commands that are sent to a worker's address. The response is a [`WorkerHeartbeat`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DirectCommands {
    /// The fencing token of the commands.
    #[serde(rename = "Warrant")]
    pub token: u64,
    /// The worker incarnation that the commands are meant for; any other incarnation
    /// refuses them.
    #[serde(rename = "Turning")]
    pub incarnation: u64,
    /// Commands for the worker's tasks.
    #[serde(rename = "Orders")]
    pub commands: Vec<TaskCommand>,
}

/// A controller's response to a worker heartbeat if the controller is not the leader.
#[derive(Clone, Debug, Serialize)]
pub struct Redirect {
    /// The address of the leader, if the responding controller knows it.
    #[serde(rename = "Miller", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}
