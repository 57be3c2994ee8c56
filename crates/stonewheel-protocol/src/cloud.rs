//! Between controllers and the cloud: machine types, rentals, the machine list.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::MachineId;

/// A type of machine that can be rented.
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

/// All types on offer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineTypes {
    #[serde(rename = "Frames")]
    pub types: Vec<MachineType>,
}

/// A request for machines of one kind. Its name is used once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisionRequest {
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

/// Machines that were rented, or are to be deleted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineNames {
    #[serde(rename = "Millstones")]
    pub machines: Vec<MachineId>,
}

/// What the cloud says of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineState {
    #[serde(rename = "starting")]
    Booting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "failed")]
    Failed,
}

/// A machine in the list, which lags.
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
    pub address: String,
    #[serde(rename = "Stance")]
    pub state: MachineState,
    #[serde(rename = "HeldS", default)]
    pub age_s: f64,
}

/// One page of the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineList {
    #[serde(rename = "Millstones")]
    pub machines: Vec<ListedMachine>,
    #[serde(rename = "HasNext", default)]
    pub more: bool,
}
