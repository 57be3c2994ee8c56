//! Between workers and controllers: reports, and the orders that answer them or
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

/// One task in a report.
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

/// All that a worker says of itself and of its machine's tasks.
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

/// What a worker is ordered to do with a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    #[serde(rename = "run")]
    Start,
    #[serde(rename = "halt")]
    Stop,
    #[serde(rename = "clear")]
    Forget,
}

/// One order to a worker.
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

/// The answer to a report by whoever may give orders.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReportAnswer {
    #[serde(rename = "Warrant")]
    pub token: u64,
    #[serde(rename = "Orders")]
    pub orders: Vec<Order>,
}

/// Orders sent to a worker's own address.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DirectOrders {
    #[serde(rename = "Warrant")]
    pub token: u64,
    #[serde(rename = "Turning")]
    pub session: u64,
    #[serde(rename = "Orders")]
    pub orders: Vec<Order>,
}

/// The answer of a controller that may not give orders.
#[derive(Clone, Debug, Serialize)]
pub struct Misdirected {
    #[serde(rename = "Miller", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}
