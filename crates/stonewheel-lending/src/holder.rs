//! The record of the ledger's holder: the one controller that lends and reclaims machines, with a
//! fencing token that increases with each holder.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use stonewheel_coordination::Owner;

/// The key of the holder's record.
pub const HOLDER_KEY: &str = "sp/l/holder";

/// The record of the ledger's holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct HolderRecord {
    /// The fencing token, which increases with each holder.
    pub epoch: u64,
    /// The controller that holds the ledger. None: its holder released the ledger.
    #[schemars(with = "serde_json::Value")]
    pub owner: Option<Owner>,
    /// The number of shards of the ledger. The first holder sets it, and it never changes.
    pub shards: u32,
}

impl HolderRecord {
    /// Returns the record of the next holder. `shards`: the number of shards if this is the first
    /// holder.
    pub fn successor(before: Option<&Self>, owner: Owner, shards: u32) -> Self {
        let owner = Some(owner);
        match before {
            Some(before) => Self { epoch: before.epoch + 1, owner, shards: before.shards },
            None => Self { epoch: 1, owner, shards },
        }
    }

    /// Returns the record after its holder released the ledger.
    pub fn released_by_holder(&self) -> Self {
        Self { owner: None, ..self.clone() }
    }
}
