//! Messages between controllers and the cloud: machine types, provisioning and the list of
//! machines.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::MachineId;

/// A type of machine that can be provisioned.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// The type's name, by which it is requested.
    #[serde(rename = "Label")]
    pub name: Arc<str>,
    /// CPU cores of a machine.
    #[serde(rename = "Cores")]
    pub cpus: f64,
    /// GPUs of a machine.
    #[serde(rename = "Gpus", default)]
    pub gpus: f64,
    /// Memory of a machine, in GB.
    #[serde(rename = "MemoryGb")]
    pub memory_gb: f64,
    /// Local storage for the image cache, in GB.
    #[serde(rename = "LocalGb", default)]
    pub cache_gb: f64,
    /// The rate at which a machine fetches images, in GB per second; 0: fetching takes no
    /// time.
    #[serde(rename = "PullGbPerS", default)]
    pub fetch_gb_per_s: f64,
    /// Price per hour as an on-demand machine.
    #[serde(rename = "Hourly", default)]
    pub price: f64,
    /// Price per hour as a spot machine.
    #[serde(rename = "LowPrice", default)]
    pub spot_price: f64,
    /// Usual time from the provision request until the machine runs, in seconds.
    #[serde(rename = "ReadyS", default)]
    pub boot_s: f64,
    /// Zones that offer the type.
    #[serde(rename = "Yards", default)]
    pub zones: Vec<Arc<str>>,
}

/// All machine types that the cloud offers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineTypes {
    /// The machine types, in the cloud's order.
    #[serde(rename = "Frames")]
    pub types: Vec<MachineType>,
}

/// A request for machines of one type, zone and price class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisionRequest {
    /// The request's name, which makes retries idempotent: the cloud takes a second
    /// request of the same name for a repetition and provisions no further machines. Each
    /// new request needs a new name.
    #[serde(rename = "Hire")]
    pub request: String,
    /// The machine type's name.
    #[serde(rename = "Frame")]
    pub machine_type: Arc<str>,
    /// The zone to provision the machines in.
    #[serde(rename = "Yard")]
    pub zone: Arc<str>,
    /// Whether to provision spot machines.
    #[serde(rename = "Driftwood")]
    pub spot: bool,
    /// The number of machines.
    #[serde(rename = "HowMany")]
    pub count: u32,
}

/// Names of machines: in the response to a provision request the provisioned machines, in
/// a deletion request the machines to delete.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names of the machines.
    #[serde(rename = "Millstones")]
    pub machines: Vec<MachineId>,
}

/// The state of a machine as the cloud reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineState {
    /// The machine is booting; its worker can't send heartbeats yet.
    #[serde(rename = "starting")]
    Booting,
    /// The machine has booted.
    #[serde(rename = "running")]
    Running,
    /// The machine failed to boot, or was lost.
    #[serde(rename = "failed")]
    Failed,
}

/// A machine in the cloud's list. The list may not yet include the latest provisioned
/// machines, and may still include deleted ones.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedMachine {
    /// The machine's name.
    #[serde(rename = "Ref")]
    pub id: MachineId,
    /// The name of the machine's type.
    #[serde(rename = "Frame")]
    pub machine_type: Arc<str>,
    /// The machine's zone.
    #[serde(rename = "Yard")]
    pub zone: Arc<str>,
    /// Whether it is a spot machine.
    #[serde(rename = "Driftwood", default)]
    pub spot: bool,
    /// The address at which the machine's worker accepts direct commands; empty while the
    /// cloud doesn't know it.
    #[serde(rename = "Endpoint", default)]
    pub address: String,
    /// The state of the machine according to the cloud.
    #[serde(rename = "Stance")]
    pub state: MachineState,
    /// Time since the machine was provisioned, in seconds.
    #[serde(rename = "HeldS", default)]
    pub age_s: f64,
}

/// One page of the cloud's list of machines, ordered by name.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines of this page.
    #[serde(rename = "Millstones")]
    pub machines: Vec<ListedMachine>,
    /// Whether further pages follow.
    #[serde(rename = "HasNext", default)]
    pub more: bool,
}
