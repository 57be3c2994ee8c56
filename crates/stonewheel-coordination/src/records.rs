//! The shared records as a controller last read them.

use std::collections::{BTreeMap, HashMap};

use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use stonewheel_protocol::{Events, Item, Write};
use stonewheel_state::Versioned;
use tracing::error;

use crate::session::{Owner, Session, session_key};

/// The records, as of `revision`, and what this process committed since.
#[derive(Debug, Default)]
pub struct Records {
    pub(crate) revision: u64,
    pub(crate) loaded: bool,
    held: BTreeMap<String, Versioned<Box<RawValue>>>,
    /// Keys that this process deleted, with the revision of that: the watch may still
    /// bring their former values.
    deleted: HashMap<String, u64>,
}

impl Records {
    /// Whether all records were read at least once.
    pub fn loaded(&self) -> bool {
        self.loaded
    }

    /// Takes a full reading in place of what is held, and what changed since it
    /// began.
    pub(crate) fn replace(&mut self, items: Vec<Item>, began: u64, since: Events) {
        let old = std::mem::take(self);
        *self = Self { revision: began, deleted: old.deleted, ..Self::default() };
        for item in items {
            self.put(&item.key, &item.value, item.version);
        }
        self.apply(since);
        // What this process committed while the reading was under way.
        let revision = self.revision;
        for (key, held) in old.held.into_iter().filter(|(_, held)| held.version > revision) {
            self.put(&key, &held.value, held.version);
        }
        self.loaded = true;
    }

    /// Applies what a watch brought; true if anything changed.
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

    /// Records what this process committed, before the watch brings it.
    pub(crate) fn record(&mut self, writes: &[Write], revision: u64) {
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

    /// Puts a value in place unless a newer one is there, or a later deletion known.
    fn put(&mut self, key: &str, raw: &RawValue, version: u64) -> bool {
        let gone = self.deleted.get(key).is_some_and(|deleted| *deleted >= version);
        let newer = self.held.get(key).is_none_or(|held| held.version < version);
        if gone || !newer {
            return false;
        }
        self.held.insert(key.to_owned(), Versioned { version, value: raw.to_owned() });
        true
    }

    /// Removes a value unless a newer one is there.
    fn delete(&mut self, key: &str, version: u64) -> bool {
        let older = self.held.get(key).is_some_and(|held| held.version < version);
        older && self.held.remove(key).is_some()
    }

    /// A record. One that can't be decoded is treated as absent, but keeps its version.
    pub fn get<T: DeserializeOwned>(&self, key: &str) -> Option<Versioned<T>> {
        let held = self.held.get(key)?;
        let value = serde_json::from_str(held.value.get())
            .inspect_err(|error| error!(key, %error, "record unreadable"))
            .ok()?;
        Some(Versioned { version: held.version, value })
    }

    /// The version of a key; 0 if it doesn't exist.
    pub fn version(&self, key: &str) -> u64 {
        self.held.get(key).map_or(0, |held| held.version)
    }

    /// The keys that begin with a prefix, in order, without it.
    pub fn key_suffixes<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a str> {
        let from = self.held.range(prefix.to_owned()..);
        from.map_while(move |(key, _)| key.strip_prefix(prefix))
    }

    /// Whether this very process holds a session.
    pub fn is_alive(&self, owner: &Owner) -> bool {
        let session = self.get::<Session>(&session_key(&owner.member));
        session.is_some_and(|session| session.value.incarnation == owner.incarnation)
    }

    /// The names of the controllers that have a session, in order.
    pub fn live_members(&self) -> Vec<String> {
        self.key_suffixes(&session_key("")).map(str::to_owned).collect()
    }

    /// How many live controllers come before this one, by name: who acts for one that
    /// is gone leaves a moment to each of them.
    pub fn rank(&self, member: &str) -> u32 {
        let before = self.live_members().into_iter().filter(|live| live.as_str() < member);
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }
}

#[cfg(test)]
mod tests;
