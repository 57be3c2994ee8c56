//! Who has which machine: entries in shards, as last read, and the writes for changes.

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
    /// None: it can't be read.
    shard: Option<Arc<Shard>>,
}

/// The ledger as last read. Shards are parsed anew only when they changed.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    shards: Vec<StoredShard>,
    entries: BTreeMap<MachineName, Entry>,
    unreadable: usize,
    /// The largest value that the state service takes, in bytes.
    value_bytes: usize,
}

/// A transaction's part of a change of the ledger.
#[derive(Debug)]
pub struct ShardWrite {
    /// The shard's version before.
    pub condition: Condition,
    /// The shard as it is to be.
    pub write: Write,
    /// The changes that it makes.
    pub transitions: Vec<Transition>,
}

impl Ledger {
    /// An empty ledger of so many shards, over values of so many bytes.
    pub fn new(shards: u32, value_bytes: usize) -> Self {
        let shards = vec![StoredShard::default(); shards as usize];
        Self { shards, value_bytes, ..Self::default() }
    }

    /// Takes over the current records.
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
        self.unreadable = self.shards.iter().filter(|stored| stored.is_unreadable()).count();
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

    /// How many shards it has.
    pub fn shards(&self) -> u32 {
        self.shards.len() as u32
    }

    /// Shards that can't be read.
    pub fn unreadable(&self) -> usize {
        self.unreadable
    }

    /// Whether a machine's shard can be read. Without it, the machine may have an entry.
    pub fn can_read(&self, machine: &str) -> bool {
        let number = shard_of(machine, self.shards()) as usize;
        self.shards.get(number).is_some_and(|stored| !stored.is_unreadable())
    }

    /// Whether a machine's entry can be written: its shard can be read, and has room.
    pub fn can_write(&self, machine: &str) -> bool {
        let stored = self.shards.get(shard_of(machine, self.shards()) as usize);
        stored.is_some_and(|stored| match &stored.shard {
            Some(shard) => shard.has_capacity_for(machine, self.value_bytes),
            None => stored.version == 0 && machine.len() <= MAX_NAME_BYTES,
        })
    }

    /// A machine's entry; none: it is available, if the ledger knows it.
    pub fn get(&self, machine: &str) -> Option<&Entry> {
        self.entries.get(machine)
    }

    /// All entries, by machine.
    pub fn entries(&self) -> impl Iterator<Item = (&MachineName, &Entry)> {
        self.entries.iter()
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The writes for some changes, one a shard. Changes of shards that can't be read
    /// are left out, and so are those for which a shard has no room.
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
                error!(shard = number, machine = %change.machine, "ledger shard full");
            }
        }
        let key = shard_key(number);
        let condition = Condition { key: key.clone(), version: stored.version };
        // An empty shard goes: a version of 0 is as good as an empty one.
        let write =
            if shard.entries.is_empty() { Write::Delete { key } } else { put(key, &shard, None)? };
        Ok(ShardWrite { condition, write, transitions })
    }

    /// Makes a change in memory only, for plans and simulations.
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
