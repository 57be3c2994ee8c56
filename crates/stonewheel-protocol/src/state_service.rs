//! Between controllers and the state service: items, transactions, leases and
//! watched changes.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A key with its value and version.
#[derive(Clone, Debug, Deserialize)]
pub struct Item {
    #[serde(rename = "Key")]
    pub key: String,
    #[serde(rename = "Value")]
    pub value: Box<RawValue>,
    #[serde(rename = "Stamp")]
    pub version: u64,
}

/// One page of a reading.
#[derive(Clone, Debug, Deserialize)]
pub struct ItemPage {
    #[serde(rename = "Items")]
    pub items: Vec<Item>,
    #[serde(rename = "HasNext", default)]
    pub more: bool,
    #[serde(rename = "Ledger")]
    pub revision: u64,
}

/// The version that a key must have; 0: it must not exist.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Condition {
    #[serde(rename = "Key")]
    pub key: String,
    #[serde(rename = "Stamp")]
    pub version: u64,
}

/// One change of a transaction.
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

/// Changes that are made together, if all conditions hold.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Transaction {
    #[serde(rename = "When")]
    pub conditions: Vec<Condition>,
    #[serde(rename = "Writes")]
    pub writes: Vec<Write>,
}

/// The revision that a transaction got.
#[derive(Clone, Debug, Deserialize)]
pub struct Committed {
    #[serde(rename = "Ledger")]
    pub revision: u64,
}

/// The keys whose conditions failed.
#[derive(Clone, Debug, Deserialize)]
pub struct FailedConditions {
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A new lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseGrant {
    #[serde(rename = "Tenure")]
    pub lease: u64,
}

/// How long a lease is to last without renewal.
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

/// What a watch brought, and up to which revision.
#[derive(Clone, Debug, Deserialize)]
pub struct Events {
    #[serde(rename = "Ledger")]
    pub revision: u64,
    #[serde(rename = "News", default)]
    pub events: Vec<Event>,
}
