//! Between controllers and the cloud: machine types, provisioning, the machine list.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::MachineId;

/// A type of machine that can be provisioned.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// The type's name, by which it is requested.
    #[serde(rename = "Label")]
    pub name: Arc<str>,
    /// CPU cores.
    #[serde(rename = "Cores")]
    pub cpus: f64,
    /// GPUs.
    #[serde(rename = "Gpus", default)]
    pub gpus: f64,
    /// Memory in GB.
    #[serde(rename = "MemoryGb")]
    pub memory_gb: f64,
    /// Local storage for images, in GB.
    #[serde(rename = "LocalGb", default)]
    pub cache_gb: f64,
    /// How fast an image is fetched, in GB a second; 0: at once.
    #[serde(rename = "PullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price of an hour.
    #[serde(rename = "Hourly", default)]
    pub price: f64,
    /// Price of an hour as a spot machine.
    #[serde(rename = "LowPrice", default)]
    pub spot_price: f64,
    /// Usual time from the request until the machine runs, in seconds.
    #[serde(rename = "ReadyS", default)]
    pub boot_s: f64,
    /// Zones that offer the type.
    #[serde(rename = "Yards", default)]
    pub zones: Vec<Arc<str>>,
}

/// All types on offer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineTypes {
    /// The types in the cloud's order.
    #[serde(rename = "Frames")]
    pub types: Vec<MachineType>,
}

/// A request for machines of one type, zone and price class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisionRequest {
    /// The request's name. It is used for one request only: the cloud takes a second
    /// one of that name for a repetition, and provisions nothing more.
    #[serde(rename = "Hire")]
    pub request: String,
    /// The machine type's name.
    #[serde(rename = "Frame")]
    pub machine_type: Arc<str>,
    /// The zone.
    #[serde(rename = "Yard")]
    pub zone: Arc<str>,
    /// Whether spot machines are asked for.
    #[serde(rename = "Driftwood")]
    pub spot: bool,
    /// How many machines.
    #[serde(rename = "HowMany")]
    pub count: u32,
}

/// The names of some machines: in a response those that were provisioned, in a
/// request those that are to be deleted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// Their names.
    #[serde(rename = "Millstones")]
    pub machines: Vec<MachineId>,
}

/// The state of a machine as the cloud reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineState {
    /// It boots; its worker can't send heartbeats yet.
    #[serde(rename = "starting")]
    Booting,
    /// It has booted.
    #[serde(rename = "running")]
    Running,
    /// It failed to boot, or was lost.
    #[serde(rename = "failed")]
    Failed,
}

/// A machine in the cloud's list, which lags behind what was provisioned and deleted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedMachine {
    /// The machine's name.
    #[serde(rename = "Ref")]
    pub id: MachineId,
    /// Its type's name.
    #[serde(rename = "Frame")]
    pub machine_type: Arc<str>,
    /// Its zone.
    #[serde(rename = "Yard")]
    pub zone: Arc<str>,
    /// Whether it is a spot machine.
    #[serde(rename = "Driftwood", default)]
    pub spot: bool,
    /// Where its worker takes direct commands; empty as long as that is unknown.
    #[serde(rename = "Endpoint", default)]
    pub address: String,
    /// What the cloud says of it.
    #[serde(rename = "Stance")]
    pub state: MachineState,
    /// Time since it was provisioned, in seconds.
    #[serde(rename = "HeldS", default)]
    pub age_s: f64,
}

/// One page of the cloud's list of machines, in the order of their names.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines of this page.
    #[serde(rename = "Millstones")]
    pub machines: Vec<ListedMachine>,
    /// Whether further pages follow.
    #[serde(rename = "HasNext", default)]
    pub more: bool,
}
