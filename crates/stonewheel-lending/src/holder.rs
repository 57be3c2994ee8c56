//! Who lends and reclaims: one controller at a time, with a fencing token that rises.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use stonewheel_coordination::Owner;

/// The key of the holder's record.
pub const HOLDER_KEY: &str = "sp/l/holder";

/// The holder's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct HolderRecord {
    /// The fencing token: it rises with each holder.
    pub epoch: u64,
    /// Who holds; none: it was given back.
    #[schemars(with = "serde_json::Value")]
    pub owner: Option<Owner>,
    /// How many shards the ledger has. It is settled by the first holder.
    pub shards: u32,
}

impl HolderRecord {
    /// The record of the next holder. `shards`: what the first one lays the ledger out
    /// for.
    pub fn successor(before: Option<&Self>, owner: Owner, shards: u32) -> Self {
        let owner = Some(owner);
        match before {
            Some(before) => Self { epoch: before.epoch + 1, owner, shards: before.shards },
            None => Self { epoch: 1, owner, shards },
        }
    }

    /// The record once its holder gave it back.
    pub fn released_by_holder(&self) -> Self {
        Self { owner: None, ..self.clone() }
    }
}
