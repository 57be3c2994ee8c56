//! A controller's cache of the shared records.

use std::collections::{BTreeMap, HashMap};

use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use stonewheel_protocol::{Events, Item, Write};
use stonewheel_state::Versioned;
use tracing::error;

use crate::session::{Owner, Session, session_key};

/// The records as of `revision`, with the changes that this process committed since.
#[derive(Debug, Default)]
pub struct Records {
    pub(crate) revision: u64,
    pub(crate) loaded: bool,
    entries: BTreeMap<String, Versioned<Box<RawValue>>>,
    /// Keys that this process deleted, with the revision of the deletion. The watch may
    /// still deliver older values of these keys, which must not be restored.
    deleted: HashMap<String, u64>,
}

impl Records {
    /// Whether all records were read, and the watch has not fallen too far behind since.
    pub fn loaded(&self) -> bool {
        self.loaded
    }

    /// Replaces all records by `items`, which were read from `start_revision` on, and
    /// applies the changes since that revision.
    pub(crate) fn replace(&mut self, items: Vec<Item>, start_revision: u64, changes: Events) {
        let old = std::mem::take(self);
        *self = Self { revision: start_revision, deleted: old.deleted, ..Self::default() };
        for item in items {
            self.put(&item.key, &item.value, item.version);
        }
        self.apply(changes);
        // Keep the changes that this process committed while the records were read.
        let revision = self.revision;
        for (key, entry) in old.entries.into_iter().filter(|(_, entry)| entry.version > revision) {
            self.put(&key, &entry.value, entry.version);
        }
        self.loaded = true;
    }

    /// Applies the changes that a watch delivered. Returns whether any record changed.
    pub(crate) fn apply(&mut self, events: Events) -> bool {
        let mut changed = false;
        for event in events.events {
            if event.version <= self.revision {
                continue;
            }
            changed |= match (event.put, event.value, event.delete) {
                (Some(key), Some(value), _) => self.put(&key, &value, event.version),
                (_, _, Some(key)) => self.delete(&key, event.version),
                _ => false,
            };
        }
        self.revision = self.revision.max(events.revision);
        let revision = self.revision;
        self.deleted.retain(|_, version| *version > revision);
        changed
    }

    /// Applies writes that this process committed, before the watch delivers them.
    pub(crate) fn apply_committed(&mut self, writes: &[Write], revision: u64) {
        for write in writes {
            match write {
                Write::Put { key, value, .. } => {
                    self.put(key, value, revision);
                }
                Write::Delete { key } => {
                    self.delete(key, revision);
                    self.deleted.insert(key.clone(), revision);
                }
            }
        }
    }

    /// Sets a value, unless a value of the same or a higher version, or a deletion at the
    /// same or a later revision, is known. Returns whether the value was set.
    fn put(&mut self, key: &str, raw: &RawValue, version: u64) -> bool {
        let is_deleted = self.deleted.get(key).is_some_and(|deleted| *deleted >= version);
        let is_newer = self.entries.get(key).is_none_or(|entry| entry.version < version);
        if is_deleted || !is_newer {
            return false;
        }
        self.entries.insert(key.to_owned(), Versioned { version, value: raw.to_owned() });
        true
    }

    /// Removes a value, unless its version is the same or higher. Returns whether the value
    /// was removed.
    fn delete(&mut self, key: &str, version: u64) -> bool {
        let is_older = self.entries.get(key).is_some_and(|entry| entry.version < version);
        is_older && self.entries.remove(key).is_some()
    }

    /// Returns a record. A record that can't be decoded is treated as absent here, while
    /// [`Self::version`] still returns its version.
    pub fn get<T: DeserializeOwned>(&self, key: &str) -> Option<Versioned<T>> {
        let entry = self.entries.get(key)?;
        let value = serde_json::from_str(entry.value.get())
            .inspect_err(|error| error!(key, %error, "undecodable record treated as absent"))
            .ok()?;
        Some(Versioned { version: entry.version, value })
    }

    /// The version of a key; 0 if it doesn't exist.
    pub fn version(&self, key: &str) -> u64 {
        self.entries.get(key).map_or(0, |entry| entry.version)
    }

    /// Returns the keys that begin with `prefix`, in order and without the prefix.
    pub fn key_suffixes<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a str> {
        let from_prefix = self.entries.range(prefix.to_owned()..);
        from_prefix.map_while(move |(key, _)| key.strip_prefix(prefix))
    }

    /// Whether the process `owner` holds a session. False if another process of the same
    /// controller holds it.
    pub fn is_alive(&self, owner: &Owner) -> bool {
        let session = self.get::<Session>(&session_key(&owner.member));
        session.is_some_and(|session| session.value.incarnation == owner.incarnation)
    }

    /// Returns the names of the controllers that have a session, in order.
    pub fn live_members(&self) -> Vec<String> {
        self.key_suffixes(&session_key("")).map(str::to_owned).collect()
    }

    /// Returns the number of controllers with a session whose names sort before `member`. A
    /// controller that takes over from a lost one leaves some time to each of them first, so
    /// that the controllers don't all try at the same time.
    pub fn rank(&self, member: &str) -> u32 {
        let before = self.live_members().into_iter().filter(|live| live.as_str() < member);
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }
}

#[cfg(test)]
mod tests;
