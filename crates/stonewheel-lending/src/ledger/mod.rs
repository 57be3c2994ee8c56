//! The ledger: which claim each machine is lent or granted to. Holds the entries as last read from
//! their shards, and prepares the writes for changes.

mod entry;
mod shard;
mod transition;

use std::{collections::BTreeMap, sync::Arc};

use stonewheel_coordination::{Records, put};
use stonewheel_protocol::{Condition, Write};
use stonewheel_state::StateError;
use tracing::error;

pub use entry::{
    Change, ChangeReason, Entry, LoanId, LoanState, MAX_HISTORY_CHANGES, TransitionError,
};
pub use shard::{MAX_ENTRY_BYTES, Shard, shard_count, shard_key, shard_of};
pub use transition::Transition;

pub use crate::names::MAX_NAME_BYTES;
use crate::names::MachineName;

/// A shard as last read.
#[derive(Clone, Debug, Default)]
struct StoredShard {
    version: u64,
    /// None if there is no record or it can't be parsed.
    shard: Option<Arc<Shard>>,
}

/// The ledger as last read. A shard is parsed again only when its version changed.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    shards: Vec<StoredShard>,
    entries: BTreeMap<MachineName, Entry>,
    unreadable_shards: usize,
    /// The largest value that the state service accepts, in bytes.
    value_bytes: usize,
}

/// The write of one changed shard, as part of a transaction.
#[derive(Debug)]
pub struct ShardWrite {
    /// The condition that the shard still has the version that was read.
    pub condition: Condition,
    /// The write of the changed shard.
    pub write: Write,
    /// The changes that the write contains.
    pub transitions: Vec<Transition>,
}

impl Ledger {
    /// Creates an empty ledger with a number of shards. `value_bytes`: the largest value that the
    /// state service accepts.
    pub fn new(shards: u32, value_bytes: usize) -> Self {
        let shards = vec![StoredShard::default(); shards as usize];
        Self { shards, value_bytes, ..Self::default() }
    }

    /// Updates the ledger from the current records.
    pub fn refresh(&mut self, records: &Records) {
        for number in 0..self.shards.len() {
            let key = shard_key(number as u32);
            let version = records.version(&key);
            if self.shards[number].version != version {
                let shard = records.get::<Shard>(&key).map(|stored| Arc::new(stored.value));
                self.replace(number, version, shard);
            }
        }
    }

    fn replace(&mut self, number: usize, version: u64, shard: Option<Arc<Shard>>) {
        let old = std::mem::replace(&mut self.shards[number], StoredShard { version, shard });
        for machine in old.shard.iter().flat_map(|shard| shard.entries.keys()) {
            self.entries.remove(machine);
        }
        self.unreadable_shards = self.shards.iter().filter(|stored| stored.is_unreadable()).count();
        match &self.shards[number].shard {
            Some(shard) => {
                let entries = shard.entries.iter().map(|(name, e)| (name.clone(), e.clone()));
                self.entries.extend(entries);
            }
            None if version > 0 => {
                error!(shard = number, "ledger shard unreadable, its machines are left unchanged")
            }
            None => {}
        }
    }

    /// Returns the number of shards.
    pub fn shards(&self) -> u32 {
        self.shards.len() as u32
    }

    /// Returns the number of shards that can't be parsed.
    pub fn unreadable_shards(&self) -> usize {
        self.unreadable_shards
    }

    /// Whether the shard of a machine can be read. If it can't, the machine may have an entry that
    /// is not known here.
    pub fn can_read(&self, machine: &str) -> bool {
        let number = shard_of(machine, self.shards()) as usize;
        self.shards.get(number).is_some_and(|stored| !stored.is_unreadable())
    }

    /// Whether a machine's entry can be written: its shard can be read and has capacity for the
    /// entry.
    pub fn can_write(&self, machine: &str) -> bool {
        let stored = self.shards.get(shard_of(machine, self.shards()) as usize);
        stored.is_some_and(|stored| match &stored.shard {
            Some(shard) => shard.has_capacity_for(machine, self.value_bytes),
            None => stored.version == 0 && machine.len() <= MAX_NAME_BYTES,
        })
    }

    /// Returns a machine's entry. None: the machine is available, provided that its shard can be
    /// read.
    pub fn get(&self, machine: &str) -> Option<&Entry> {
        self.entries.get(machine)
    }

    /// Returns all entries, by machine.
    pub fn entries(&self) -> impl Iterator<Item = (&MachineName, &Entry)> {
        self.entries.iter()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the ledger has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the writes for a set of changes, one per shard. Leaves out changes of shards that
    /// can't be read, and new entries for which a shard has no capacity.
    pub fn writes(&self, transitions: Vec<Transition>) -> Result<Vec<ShardWrite>, StateError> {
        let mut by_shard: BTreeMap<u32, Vec<Transition>> = BTreeMap::new();
        for transition in
            transitions.into_iter().filter(|transition| self.can_read(&transition.machine))
        {
            by_shard
                .entry(shard_of(&transition.machine, self.shards()))
                .or_default()
                .push(transition);
        }
        let writes = by_shard.into_iter().map(|(number, changes)| self.write(number, changes));
        writes.collect()
    }

    fn write(&self, number: u32, changes: Vec<Transition>) -> Result<ShardWrite, StateError> {
        let stored = &self.shards[number as usize];
        let mut shard = stored.shard.as_deref().cloned().unwrap_or_default();
        let mut transitions = Vec::new();
        for change in changes {
            if shard.set(&change, self.value_bytes) {
                transitions.push(change);
            } else {
                error!(
                    shard = number,
                    machine = %change.machine,
                    "ledger shard full, change not written"
                );
            }
        }
        let key = shard_key(number);
        let condition = Condition { key: key.clone(), version: stored.version };
        // An empty shard is deleted: a missing record (version 0) is read as an empty shard.
        let write =
            if shard.entries.is_empty() { Write::Delete { key } } else { put(key, &shard, None)? };
        Ok(ShardWrite { condition, write, transitions })
    }

    /// Applies a change in memory only, for plans and simulations.
    pub fn set(&mut self, transition: &Transition) {
        match &transition.after {
            Some(entry) => self.entries.insert(transition.machine.clone(), entry.clone()),
            None => self.entries.remove(&transition.machine),
        };
    }
}

impl StoredShard {
    fn is_unreadable(&self) -> bool {
        self.version > 0 && self.shard.is_none()
    }
}
