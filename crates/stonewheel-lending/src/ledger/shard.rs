//! A part of the ledger that is one value of the state service.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{entry::Entry, transition::Transition};
use crate::names::{MAX_NAME_BYTES, MachineName, PREFIX};

/// What the longest entry takes, its machine's name included.
pub const MAX_ENTRY_BYTES: usize = 512;
/// Shards are laid out for this part of the entries that fit, since names don't spread
/// evenly over them.
const FILL_DIVISOR: usize = 3;

/// The key of a shard.
pub fn shard_key(number: u32) -> String {
    format!("{PREFIX}s/{number}")
}

/// How many shards so many machines take, over values of so many bytes.
pub fn shard_count(machines: u32, value_bytes: usize) -> u32 {
    let entries_per_shard = (value_bytes / MAX_ENTRY_BYTES / FILL_DIVISOR).max(1);
    machines.div_ceil(entries_per_shard as u32).max(1)
}

/// The shard that a machine belongs to, by a hash of its name that never changes
/// (FNV-1a).
pub fn shard_of(machine: &str, shards: u32) -> u32 {
    const OFFSET: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    let mix = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(PRIME);
    machine.bytes().fold(OFFSET, mix) % shards.max(1)
}

/// Some machines' entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Shard {
    /// The entries.
    pub entries: BTreeMap<MachineName, Entry>,
}

impl Shard {
    /// Whether a machine has an entry here, or room for one.
    pub fn has_capacity_for(&self, machine: &str, value_bytes: usize) -> bool {
        let fits = (self.entries.len() + 1) * MAX_ENTRY_BYTES <= value_bytes;
        self.entries.contains_key(machine) || (fits && machine.len() <= MAX_NAME_BYTES)
    }

    /// Makes a change; false if there is no room for it. What only changes an entry
    /// always has room: it was counted at its longest.
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
