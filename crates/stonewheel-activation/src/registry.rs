//! This part's records as a controller last read them.

use std::collections::HashMap;

use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use stonewheel_protocol::{Events, Item, Write};
use tracing::error;

use crate::record::{ActivationRecord, Owner, PREFIX, Session, UseMarker};

/// A record and its version.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Versioned<T> {
    pub version: u64,
    pub value: T,
}

/// What a change concerns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Concern {
    /// One model.
    Model(String),
    /// Which controllers live, and so all models.
    Sessions,
}

/// The records, as of `revision`, and what this process committed since.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    pub revision: u64,
    pub loaded: bool,
    records: HashMap<String, Versioned<ActivationRecord>>,
    sessions: HashMap<String, Versioned<Session>>,
    uses: HashMap<String, HashMap<String, Versioned<UseMarker>>>,
    /// Keys that this process deleted: the watch may still bring what stood there
    /// before.
    deleted: HashMap<String, u64>,
}

/// What a key of this part names.
enum Key<'a> {
    Record(&'a str),
    Session(&'a str),
    Use { model: &'a str, member: &'a str },
    Other,
}

fn parse_key(key: &str) -> Key<'_> {
    let Some((kind, name)) = key.strip_prefix(PREFIX).and_then(|rest| rest.split_once('/')) else {
        return Key::Other;
    };
    match (kind, name.split_once('/')) {
        ("m", None) => Key::Record(name),
        ("c", _) => Key::Session(name),
        ("u", Some((model, member))) => Key::Use { model, member },
        _ => Key::Other,
    }
}

fn read<T: DeserializeOwned>(key: &str, raw: &RawValue) -> Option<T> {
    serde_json::from_str(raw.get())
        .inspect_err(|e| error!(key, error = %e, "a record can't be read"))
        .ok()
}

/// Puts a value in place unless a newer one is there.
fn place<T>(
    map: &mut HashMap<String, Versioned<T>>,
    name: &str,
    version: u64,
    value: Option<T>,
) -> bool {
    let newer = map.get(name).is_none_or(|held| held.version < version);
    match value.filter(|_| newer) {
        Some(value) => {
            map.insert(name.to_owned(), Versioned { version, value });
            true
        }
        None => false,
    }
}

/// Moves what is newer than `revision` out of an older picture.
fn keep_newer<T>(
    map: &mut HashMap<String, Versioned<T>>,
    old: &mut HashMap<String, Versioned<T>>,
    revision: u64,
) {
    for (name, held) in old.drain().filter(|(_, held)| held.version > revision) {
        place(map, &name, held.version, Some(held.value));
    }
}

/// Removes a value unless a newer one is there.
fn remove<T>(map: &mut HashMap<String, Versioned<T>>, name: &str, version: u64) -> bool {
    let older = map.get(name).is_some_and(|held| held.version < version);
    older && map.remove(name).is_some()
}

impl Registry {
    /// Takes a full reading in place of what is held, and what changed since it
    /// began.
    pub fn replace(&mut self, items: Vec<Item>, began: u64, since: Events) {
        let mut old = std::mem::take(self);
        *self = Self { revision: began, deleted: old.deleted, ..Self::default() };
        for item in items {
            self.put(&item.key, &item.value, item.version);
        }
        self.apply(since);
        // What this process committed while the reading was under way.
        let revision = self.revision;
        keep_newer(&mut self.records, &mut old.records, revision);
        keep_newer(&mut self.sessions, &mut old.sessions, revision);
        for (model, uses) in &mut old.uses {
            keep_newer(self.uses.entry(model.clone()).or_default(), uses, revision);
        }
        self.loaded = true;
    }

    /// Takes what a watch brought, and tells what it concerns.
    pub fn apply(&mut self, events: Events) -> Vec<Concern> {
        let mut concerns = Vec::new();
        for event in events.events {
            if event.version <= self.revision {
                continue;
            }
            match (event.put, event.value, event.delete) {
                (Some(key), Some(value), _) => {
                    concerns.extend(self.put(&key, &value, event.version))
                }
                (_, _, Some(key)) => concerns.extend(self.delete(&key, event.version)),
                _ => {}
            }
        }
        self.revision = self.revision.max(events.revision);
        let revision = self.revision;
        self.deleted.retain(|_, version| *version > revision);
        concerns
    }

    /// Notes what this process committed, before the watch brings it.
    pub fn note(&mut self, writes: &[Write], revision: u64) {
        for write in writes {
            match write {
                Write::Put { key, value, .. } => drop(self.put(key, value, revision)),
                Write::Delete { key } => {
                    self.delete(key, revision);
                    self.deleted.insert(key.clone(), revision);
                }
            }
        }
    }

    fn put(&mut self, key: &str, raw: &RawValue, version: u64) -> Option<Concern> {
        if self.deleted.get(key).is_some_and(|deleted| *deleted >= version) {
            return None;
        }
        let (changed, concern) = match parse_key(key) {
            Key::Record(model) => (
                place(&mut self.records, model, version, read(key, raw)),
                Concern::Model(model.to_owned()),
            ),
            Key::Session(member) => {
                (place(&mut self.sessions, member, version, read(key, raw)), Concern::Sessions)
            }
            Key::Use { model, member } => {
                let uses = self.uses.entry(model.to_owned()).or_default();
                (place(uses, member, version, read(key, raw)), Concern::Model(model.to_owned()))
            }
            Key::Other => return None,
        };
        changed.then_some(concern)
    }

    fn delete(&mut self, key: &str, version: u64) -> Option<Concern> {
        let (changed, concern) = match parse_key(key) {
            Key::Record(model) => {
                (remove(&mut self.records, model, version), Concern::Model(model.to_owned()))
            }
            Key::Session(member) => {
                (remove(&mut self.sessions, member, version), Concern::Sessions)
            }
            Key::Use { model, member } => {
                let uses = self.uses.entry(model.to_owned()).or_default();
                (remove(uses, member, version), Concern::Model(model.to_owned()))
            }
            Key::Other => return None,
        };
        changed.then_some(concern)
    }

    /// A model's record, or that of one which never woke, whose version is 0.
    pub fn record(&self, model: &str) -> Versioned<ActivationRecord> {
        let never = || Versioned { version: 0, value: ActivationRecord::default() };
        self.records.get(model).cloned().unwrap_or_else(never)
    }

    /// The version of a controller's session; 0 if it has none.
    pub fn session_version(&self, member: &str) -> u64 {
        self.sessions.get(member).map_or(0, |session| session.version)
    }

    /// Whether this very process holds a session.
    pub fn lives(&self, owner: &Owner) -> bool {
        let session = self.sessions.get(&owner.member);
        session.is_some_and(|session| session.value.incarnation == owner.incarnation)
    }

    /// The names of the controllers that have a session, in order.
    pub fn live_members(&self) -> Vec<&str> {
        let mut members: Vec<&str> = self.sessions.keys().map(String::as_str).collect();
        members.sort_unstable();
        members
    }

    /// A controller's use marker for a model.
    pub fn use_marker(&self, model: &str, member: &str) -> Option<&Versioned<UseMarker>> {
        self.uses.get(model)?.get(member)
    }

    /// Whether any controller has a use marker for a model.
    pub fn used(&self, model: &str) -> bool {
        self.uses.get(model).is_some_and(|uses| !uses.is_empty())
    }
}

#[cfg(test)]
mod tests;
