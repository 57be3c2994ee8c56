//! Between controllers and the state service: items, transactions, leases and
//! watched changes.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A key with its value and version.
#[derive(Clone, Debug, Deserialize)]
pub struct Item {
    /// The key.
    #[serde(rename = "Key")]
    pub key: String,
    /// The value, as JSON text.
    #[serde(rename = "Value")]
    pub value: Box<RawValue>,
    /// The revision of its last change.
    #[serde(rename = "Stamp")]
    pub version: u64,
}

/// One page of a list of items, in the order of their keys.
#[derive(Clone, Debug, Deserialize)]
pub struct ItemPage {
    /// The items.
    #[serde(rename = "Items")]
    pub items: Vec<Item>,
    /// Whether further items follow.
    #[serde(rename = "HasNext", default)]
    pub more: bool,
    /// The service's revision when the page was read.
    #[serde(rename = "Ledger")]
    pub revision: u64,
}

/// A condition of a compare-and-swap: the version that a key must have.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "Key")]
    pub key: String,
    /// The revision of its last change; 0: it must not exist.
    #[serde(rename = "Stamp")]
    pub version: u64,
}

/// One change of a transaction.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum Write {
    /// Sets a key's value.
    Put {
        /// The key.
        #[serde(rename = "Put")]
        key: String,
        /// The value.
        #[serde(rename = "Value")]
        value: Box<RawValue>,
        /// The lease that the key is attached to: it is deleted when that ends.
        #[serde(rename = "Tenure", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "Drop")]
        key: String,
    },
}

impl Write {
    /// The key that is written.
    pub fn key(&self) -> &str {
        match self {
            Self::Put { key, .. } | Self::Delete { key } => key,
        }
    }
}

/// Changes that are made together, if all conditions hold.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Transaction {
    /// What must hold for any write to be made.
    #[serde(rename = "When")]
    pub conditions: Vec<Condition>,
    /// The writes, which are made together.
    #[serde(rename = "Writes")]
    pub writes: Vec<Write>,
}

/// The response to a transaction that was carried out.
#[derive(Clone, Debug, Deserialize)]
pub struct Committed {
    /// The revision that it got: the version of all that it wrote.
    #[serde(rename = "Ledger")]
    pub revision: u64,
}

/// The response to a transaction that was not carried out since a condition failed.
#[derive(Clone, Debug, Deserialize)]
pub struct FailedConditions {
    /// The keys whose conditions failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A new lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The lease's number.
    #[serde(rename = "Tenure")]
    pub lease: u64,
}

/// A request for a lease.
#[derive(Clone, Debug, Serialize)]
pub struct LeaseRequest {
    /// How long it is to last without renewal, in milliseconds.
    #[serde(rename = "LifeMs")]
    pub ttl_ms: u64,
}

/// One change that a watch delivers. Either `put` and `value` are there, or `delete`.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    /// The key that was set.
    #[serde(rename = "Put", default)]
    pub put: Option<String>,
    /// The key that was deleted, by a transaction or with its lease.
    #[serde(rename = "Drop", default)]
    pub delete: Option<String>,
    /// The value that was set.
    #[serde(rename = "Value", default)]
    pub value: Option<Box<RawValue>>,
    /// The revision of the change; those of one transaction share it.
    #[serde(rename = "Stamp")]
    pub version: u64,
}

/// The changes that a watch delivers, in the order of their revisions.
#[derive(Clone, Debug, Deserialize)]
pub struct Events {
    /// The revision up to which these are all changes: the watch goes on from it.
    #[serde(rename = "Ledger")]
    pub revision: u64,
    /// The changes.
    #[serde(rename = "News", default)]
    pub events: Vec<Event>,
}
