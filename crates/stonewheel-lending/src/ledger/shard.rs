//! Shards of the ledger. Each shard is stored as one value of the state service.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{entry::Entry, transition::Transition};
use crate::names::{MAX_NAME_BYTES, MachineName, PREFIX};

/// The size of the longest possible entry in bytes, including its machine's name.
pub const MAX_ENTRY_BYTES: usize = 512;
/// The number of entries that fit into a shard is divided by this when shards are counted, since
/// the hash doesn't spread machine names evenly over the shards.
const FILL_DIVISOR: usize = 3;

/// Returns the key of a shard.
pub fn shard_key(number: u32) -> String {
    format!("{PREFIX}s/{number}")
}

/// Returns the number of shards for a number of machines, if a value has at most `value_bytes`.
pub fn shard_count(machines: u32, value_bytes: usize) -> u32 {
    let entries_per_shard = (value_bytes / MAX_ENTRY_BYTES / FILL_DIVISOR).max(1);
    machines.div_ceil(entries_per_shard as u32).max(1)
}

/// Returns the shard that a machine belongs to. The hash of its name (FNV-1a) must never change,
/// since stored shards depend on it.
pub fn shard_of(machine: &str, shards: u32) -> u32 {
    const OFFSET: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    let mix = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(PRIME);
    machine.bytes().fold(OFFSET, mix) % shards.max(1)
}

/// The entries of the machines whose names hash to this shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Shard {
    /// The entries, by machine.
    pub entries: BTreeMap<MachineName, Entry>,
}

impl Shard {
    /// Whether the shard has an entry of a machine, or capacity to add one.
    pub fn has_capacity_for(&self, machine: &str, value_bytes: usize) -> bool {
        let fits = (self.entries.len() + 1) * MAX_ENTRY_BYTES <= value_bytes;
        self.entries.contains_key(machine) || (fits && machine.len() <= MAX_NAME_BYTES)
    }

    /// Applies a change. Returns false if the shard has no capacity for a new entry. Changing an
    /// existing entry always succeeds, since every entry is counted at its maximum size.
    pub fn set(&mut self, change: &Transition, value_bytes: usize) -> bool {
        let Some(entry) = &change.after else {
            self.entries.remove(&change.machine);
            return true;
        };
        if !self.has_capacity_for(&change.machine, value_bytes) {
            return false;
        }
        self.entries.insert(change.machine.clone(), entry.clone());
        true
    }
}
