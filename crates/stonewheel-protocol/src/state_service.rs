//! Messages between controllers and the state service: items, transactions, leases and
//! the changes that a watch delivers.

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
    /// The revision of the key's last change.
    #[serde(rename = "Stamp")]
    pub version: u64,
}

/// One page of a list of items, ordered by key.
#[derive(Clone, Debug, Deserialize)]
pub struct ItemPage {
    /// The items of this page.
    #[serde(rename = "Items")]
    pub items: Vec<Item>,
    /// Whether further items follow.
    #[serde(rename = "HasNext", default)]
    pub more: bool,
    /// The service's revision when the page was read.
    #[serde(rename = "Ledger")]
    pub revision: u64,
}

/// A condition of a transaction: the version that a key must have (compare-and-swap).
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "Key")]
    pub key: String,
    /// The required revision of the key's last change; 0: the key must not exist.
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
        /// The lease that the key is attached to, if any: the key is deleted when the lease
        /// ends.
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

/// Writes that are made atomically if all conditions hold.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Transaction {
    /// The conditions, all of which must hold for any write to be made.
    #[serde(rename = "When")]
    pub conditions: Vec<Condition>,
    /// The writes, which are made atomically.
    #[serde(rename = "Writes")]
    pub writes: Vec<Write>,
}

/// The response to a transaction that was committed.
#[derive(Clone, Debug, Deserialize)]
pub struct Committed {
    /// The revision of the transaction, which is the version of all keys that it wrote.
    #[serde(rename = "Ledger")]
    pub revision: u64,
}

/// The response to a transaction that was not committed because a condition failed.
#[derive(Clone, Debug, Deserialize)]
pub struct FailedConditions {
    /// The keys whose conditions failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// The response to a lease request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The number of the new lease.
    #[serde(rename = "Tenure")]
    pub lease: u64,
}

/// A request for a lease.
#[derive(Clone, Debug, Serialize)]
pub struct LeaseRequest {
    /// The time to live of the lease without renewal, in milliseconds.
    #[serde(rename = "LifeMs")]
    pub ttl_ms: u64,
}

/// One change that a watch delivers. Either `put` and `value` are set, or `delete` is.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    /// The key that was set.
    #[serde(rename = "Put", default)]
    pub put: Option<String>,
    /// The key that was deleted, by a transaction or because its lease ended.
    #[serde(rename = "Drop", default)]
    pub delete: Option<String>,
    /// The value that was set.
    #[serde(rename = "Value", default)]
    pub value: Option<Box<RawValue>>,
    /// The revision of the change. All changes of one transaction have the same revision.
    #[serde(rename = "Stamp")]
    pub version: u64,
}

/// The changes that a watch delivers, in the order of their revisions.
#[derive(Clone, Debug, Deserialize)]
pub struct Events {
    /// The revision up to which the watch has delivered all changes. The next request of
    /// the watch starts from it.
    #[serde(rename = "Ledger")]
    pub revision: u64,
    /// The changes.
    #[serde(rename = "News", default)]
    pub events: Vec<Event>,
}
