//! The durable records and the watch cache of them that every node keeps warm.
//!
//! All records share one prefix, so one watch gives one total order:
//!
//! | key | value | written by |
//! | --- | --- | --- |
//! | `sw/lead` | the leader, attached to its lease | a candidate |
//! | `sw/token` | the last fencing token, never leased | a candidate |
//! | `sw/types` | the machine types last seen | the leader |
//! | `sw/stray` | who turned reports away while it can't hear the leader | any node |
//! | `sw/j/{job}` | the job as submitted, never changed | any node |
//! | `sw/p/{job}/{page}` | placements and progress of some tasks | the leader |
//! | `sw/e/{job}` | how the job ended, created once, kept for ever | leader (done), any node (cancelled) |

mod ended_jobs;
mod recent_cancellations;

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::{
    dependencies::{DependencyGraph, Effects, Outcome},
    protocol::{
        Event, Events, Item, JobId, JobSpec, JobState, JobStatus, MachineId, MachineType, is_job_id,
    },
};

pub use ended_jobs::EndedJobs;
pub use recent_cancellations::RecentCancellations;

pub const KEY_PREFIX: &str = "sw/";
pub const LEADER_KEY: &str = "sw/lead";
pub const TOKEN_KEY: &str = "sw/token";
pub const MACHINE_TYPES_KEY: &str = "sw/types";
pub const REJECTED_HEARTBEATS_KEY: &str = "sw/stray";
const ENDS: &str = "sw/e/";

pub fn job_key(id: &str) -> String {
    format!("sw/j/{id}")
}

pub fn end_key(id: &str) -> String {
    format!("{ENDS}{id}")
}

pub fn page_key(id: &str, page: u32) -> String {
    format!("sw/p/{id}/{page}")
}

/// Any value of ours as the state service takes it.
pub fn value<T: Serialize>(value: &T) -> Result<Box<RawValue>, serde_json::Error> {
    serde_json::value::to_raw_value(value)
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub member: String,
    /// Drawn at each start, so that a node knows its former self from itself.
    pub incarnation: u64,
    pub token: u64,
    pub lease: u64,
}

/// A task that is bound to a machine. It is stored as an array of its fields,
/// for pages are limited by their size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "BoundTaskFields", into = "BoundTaskFields")]
pub struct BoundTask {
    pub task: u32,
    pub attempt: u64,
    pub machine: MachineId,
    /// The machine's incarnation in which it was bound.
    pub incarnation: u64,
    /// The zone's place in the settings.
    pub zone: u8,
}

type BoundTaskFields = (u32, u64, MachineId, u64, u8);

impl From<BoundTaskFields> for BoundTask {
    fn from((task, attempt, machine, incarnation, zone): BoundTaskFields) -> Self {
        Self { task, attempt, machine, incarnation, zone }
    }
}

impl From<BoundTask> for BoundTaskFields {
    fn from(bound: BoundTask) -> Self {
        (bound.task, bound.attempt, bound.machine, bound.incarnation, bound.zone)
    }
}

/// Placements and progress of the tasks of one page. Short names, because
/// the page is what limits how many tasks fit a value.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The highest attempt number ever used here.
    #[serde(rename = "a", default)]
    pub attempt: u64,
    /// Width granted by the last round (first page only).
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub width: Option<u32>,
    #[serde(rename = "b", default, skip_serializing_if = "Vec::is_empty")]
    pub bound: Vec<BoundTask>,
    /// Completed tasks as (first, how many).
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u32)>,
    /// Tasks that each page of this job covers, if not the usual number.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub tasks: Option<u32>,
}

impl Page {
    pub fn done_count(&self) -> u32 {
        self.done.iter().map(|(_, n)| n).sum()
    }
}

/// How a job ended. The first record wins and is kept for ever.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobEnd {
    #[serde(rename = "s")]
    pub state: JobState,
    #[serde(rename = "d")]
    pub done: u32,
}

impl JobEnd {
    /// What the end means to jobs that depend on the one that ended.
    /// None for a state that is not final: its dependants go on waiting.
    pub fn outcome(&self) -> Option<Outcome> {
        match self.state {
            JobState::Done => Some(Outcome::Done),
            JobState::Cancelled => Some(Outcome::Cancelled),
            JobState::Pending | JobState::Running => None,
        }
    }
}

fn changes_of(effects: Effects) -> impl Iterator<Item = Change> {
    let cancelled = effects.cancelled.into_iter().map(Change::Ended);
    let ready = effects.ready.into_iter().map(Change::Ready);
    let priority_changed = effects.priority_changed.into_iter().map(Change::PriorityChanged);
    cancelled.chain(ready).chain(priority_changed)
}

#[derive(Clone, Debug)]
pub struct PageEntry {
    pub version: u64,
    pub raw: Box<RawValue>,
    done: u32,
    running: u32,
}

impl PageEntry {
    pub fn new(version: u64, raw: Box<RawValue>) -> Self {
        let (done, running) = match serde_json::from_str::<Page>(raw.get()) {
            Ok(page) => (page.done_count(), page.bound.len() as u32),
            Err(e) => {
                tracing::error!(error = %e, "a page record can't be read");
                (0, 0)
            }
        };
        Self { version, raw, done, running }
    }
}

#[derive(Clone, Debug)]
pub struct JobEntry {
    /// The creation's revision: the order of arrival.
    pub version: u64,
    pub spec: Arc<JobSpec>,
}

/// What a change to the watch cache means to a leader.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    Arrived(JobId),
    /// All that the job depends on is done.
    Ready(JobId),
    /// The job ended, or is cancelled with one that it depends on.
    Ended(JobId),
    /// The job's effective priority changed.
    PriorityChanged(JobId),
    Leader,
    HeartbeatsRejected,
}

/// The replicated watch cache, as of `revision`.
#[derive(Default)]
pub struct WatchCache {
    pub revision: u64,
    pub loaded: bool,
    pub lead: Option<(u64, LeaderRecord)>,
    pub token: (u64, u64),
    pub types: Option<(u64, Arc<Vec<MachineType>>)>,
    pub jobs: HashMap<JobId, JobEntry>,
    pub pages: HashMap<JobId, BTreeMap<u32, PageEntry>>,
    pub ends: EndedJobs,
    /// What the jobs that have not ended depend on.
    pub dependencies: DependencyGraph,
    /// Accepted jobs whose records can't be read: they are neither run nor
    /// called unknown.
    pub unreadable: HashSet<JobId>,
    /// Jobs cancelled lately, by the revision of their end.
    pub cancelled: RecentCancellations,
}

impl WatchCache {
    /// An empty watch cache, for heartbeats that tell up to so many cancellations.
    pub fn with_notice_limit(cancellations: usize) -> Self {
        Self { cancelled: RecentCancellations::with_notice_limit(cancellations), ..Self::default() }
    }

    /// Jobs that were cancelled after `revision`, the first `most` of them, and
    /// whether these are all.
    pub fn cancelled_since(&self, revision: u64, most: usize) -> (Vec<(String, u64, u32)>, bool) {
        let (later, all) = self.cancelled.since(revision, most);
        let done = |id: &JobId| self.ends.get(id).map_or(0, |end| end.done);
        (later.into_iter().map(|(at, id)| (id.to_string(), at, done(id))).collect(), all)
    }

    /// Takes in the ends among the records of a part of a reading, and returns
    /// what changed and the other records. An end is final, so it need not wait
    /// for the rest of the reading, and what a reading holds until it is whole
    /// doesn't grow with the jobs of the past.
    pub fn note_ends(&mut self, mut items: Vec<Item>) -> (Vec<Change>, Vec<Item>) {
        let is_end = |item: &mut Item| item.key.starts_with(ENDS);
        let ends: Vec<Item> = items.extract_if(.., is_end).collect();
        let noted = |item: Item| self.put(&item.key, item.value, item.version);
        (ends.into_iter().flat_map(noted).collect(), items)
    }

    /// Takes a full reading in place of what is held. Returns what changed.
    ///
    /// A reading takes several requests, and records change meanwhile, so what
    /// `items` hold is of no single revision: a job's record and its end may both
    /// be missing. `since` is what changed after the reading began, in order; with
    /// it the watch cache is that of one revision.
    pub fn replace(&mut self, items: Vec<Item>, began: u64, since: Events) -> Vec<Change> {
        let mut old = std::mem::take(self);
        // An end is final: none is ever read again as something else.
        self.ends = std::mem::take(&mut old.ends);
        self.cancelled = std::mem::take(&mut old.cancelled);
        let mut changes = vec![Change::Leader];
        for item in items {
            changes.extend(self.put(&item.key, item.value, item.version));
        }
        self.revision = began;
        changes.extend(self.apply(since.events, since.revision));
        let revision = self.revision;
        self.keep_later(&old, revision);
        for id in old.jobs.keys().filter(|id| !self.jobs.contains_key(*id)) {
            changes.push(Change::Ended(id.clone()));
        }
        // Their ends may have been noted before the jobs were known.
        for id in self.jobs.keys().filter(|id| self.ends.contains(id)) {
            changes.push(Change::Ended(id.clone()));
        }
        self.loaded = true;
        changes
    }

    /// Keeps what this node noted at once while the reading was under way, and
    /// may have told users: the reading may be older. An accepted job must not
    /// look ended because of that, nor a cancelled one unknown.
    fn keep_later(&mut self, old: &Self, revision: u64) {
        // Those who follow the watch cache heard of all this when it was noted.
        for job in old.jobs.values().filter(|job| job.version > revision) {
            let _ = self.note_job(job.clone());
        }
        for (id, pages) in &old.pages {
            for (number, page) in pages.iter().filter(|(_, page)| page.version > revision) {
                let held = self.pages.entry(id.clone()).or_default();
                if held.get(number).is_none_or(|p| p.version < page.version) {
                    held.insert(*number, page.clone());
                }
            }
        }
        if let Some((version, lead)) = old.lead.as_ref().filter(|(v, _)| *v > revision)
            && self.lead.as_ref().is_none_or(|(v, _)| v < version)
        {
            self.lead = Some((*version, lead.clone()));
        }
        self.token = self.token.max(old.token);
    }

    fn note_job(&mut self, job: JobEntry) -> Vec<Change> {
        let id = job.spec.id.clone();
        if self.jobs.contains_key(&id) {
            return Vec::new();
        }
        let mut changes = vec![Change::Arrived(id.clone())];
        if !self.ends.contains(&id) {
            let outcome = |needed: &JobId| self.ends.get(needed).and_then(|end| end.outcome());
            let spec = &job.spec;
            let effects = self.dependencies.insert(&id, spec.priority, &spec.dependencies, outcome);
            changes.extend(changes_of(effects));
        }
        self.jobs.insert(id, job);
        changes
    }

    fn note_end(&mut self, id: JobId, end: JobEnd) -> Vec<Change> {
        if self.ends.contains(&id) {
            return Vec::new();
        }
        self.ends.insert(&id, end);
        let effects = end.outcome().map(|outcome| self.dependencies.end(&id, outcome));
        let mut changes = vec![Change::Ended(id)];
        changes.extend(changes_of(effects.unwrap_or_default()));
        changes
    }

    /// Applies what a watch brought. Changes already seen are passed over, so
    /// several watches may bring the same ones.
    pub fn apply(&mut self, events: Vec<Event>, revision: u64) -> Vec<Change> {
        let mut changes = Vec::new();
        for event in events {
            if event.version <= self.revision {
                continue;
            }
            if let (Some(key), Some(value)) = (&event.put, event.value) {
                changes.extend(self.put(key, value, event.version));
            } else if let Some(key) = &event.delete {
                changes.extend(self.delete(key, event.version));
            }
        }
        self.revision = self.revision.max(revision);
        changes
    }

    /// Takes in one record, unless a newer version is held already (a
    /// committed write is noted at once, before the watch brings it).
    pub fn put(&mut self, key: &str, raw: Box<RawValue>, version: u64) -> Vec<Change> {
        self.try_put(key, raw, version).unwrap_or_default()
    }

    /// None: the record changes nothing, or it can't be read.
    fn try_put(&mut self, key: &str, raw: Box<RawValue>, version: u64) -> Option<Vec<Change>> {
        fn read<'a, T: Deserialize<'a>>(key: &str, raw: &'a RawValue) -> Option<T> {
            serde_json::from_str(raw.get())
                .inspect_err(|e| tracing::error!(key, error = %e, "a record can't be read"))
                .ok()
        }
        match key {
            LEADER_KEY => {
                if self.lead.as_ref().is_some_and(|(v, _)| *v >= version) {
                    return None;
                }
                self.lead = read(key, &raw).map(|lead| (version, lead));
                Some(vec![Change::Leader])
            }
            TOKEN_KEY => {
                if version > self.token.0 {
                    self.token = (version, read(key, &raw)?);
                }
                None
            }
            REJECTED_HEARTBEATS_KEY => Some(vec![Change::HeartbeatsRejected]),
            MACHINE_TYPES_KEY => {
                if self.types.as_ref().is_none_or(|(v, _)| *v < version) {
                    self.types = Some((version, Arc::new(read(key, &raw)?)));
                }
                None
            }
            _ => {
                let (kind, name) = key.strip_prefix(KEY_PREFIX)?.split_once('/')?;
                match kind {
                    "j" if is_job_id(name) => {
                        if self.jobs.contains_key(name) {
                            return None;
                        }
                        let Some(spec) = read::<JobSpec>(key, &raw) else {
                            self.unreadable.insert(name.into());
                            return None;
                        };
                        Some(self.note_job(JobEntry { version, spec: Arc::new(spec) }))
                    }
                    "e" if is_job_id(name) => {
                        if self.ends.contains(name) {
                            return None;
                        }
                        let id: JobId = name.into();
                        let end: JobEnd = read(key, &raw)?;
                        if end.state == JobState::Cancelled {
                            self.cancelled.insert(version, id.clone());
                        }
                        Some(self.note_end(id, end))
                    }
                    "p" => {
                        let (name, page) = name.split_once('/')?;
                        let page = page.parse().ok()?;
                        let pages = self.pages.entry(name.into()).or_default();
                        if pages.get(&page).is_none_or(|p| p.version < version) {
                            pages.insert(page, PageEntry::new(version, raw));
                        }
                        None
                    }
                    _ => None,
                }
            }
        }
    }

    pub fn delete(&mut self, key: &str, version: u64) -> Option<Change> {
        if key == LEADER_KEY {
            // Our own taking of the key may have been noted before the watch
            // brings the end of the former one.
            if self.lead.as_ref().is_some_and(|(v, _)| *v < version) {
                self.lead = None;
            }
            return Some(Change::Leader);
        }
        let (kind, name) = key.strip_prefix(KEY_PREFIX)?.split_once('/')?;
        match kind {
            "j" if self.jobs.get(name).is_some_and(|j| j.version < version) => {
                self.jobs.remove(name);
            }
            "j" => {
                self.unreadable.remove(name);
            }
            "p" => {
                let (name, page) = name.split_once('/')?;
                let page: u32 = page.parse().ok()?;
                let pages = self.pages.get_mut(name)?;
                if pages.get(&page).is_some_and(|p| p.version < version) {
                    pages.remove(&page);
                }
                if pages.is_empty() {
                    self.pages.remove(name);
                }
            }
            _ => {}
        }
        None
    }

    /// The machines that hold tasks of a job.
    pub fn machines_of(&self, id: &str) -> Vec<MachineId> {
        let pages = self.pages.get(id).into_iter().flat_map(BTreeMap::values);
        let read = pages.filter_map(|page| serde_json::from_str::<Page>(page.raw.get()).ok());
        read.flat_map(|page| page.bound).map(|bound| bound.machine).collect()
    }

    /// The first of these jobs that this watch cache doesn't know as accepted.
    pub fn first_unknown<'a>(&self, jobs: &'a [JobId]) -> Option<&'a JobId> {
        let known = |id: &JobId| {
            self.jobs.contains_key(id) || self.ends.contains(id) || self.unreadable.contains(id)
        };
        jobs.iter().find(|id| !known(id))
    }

    /// A job's state as this watch cache has it, or none for one never accepted.
    pub fn status(&self, id: &str) -> Option<JobStatus> {
        let ended = |state, done| JobStatus { id: id.into(), state, done, running: 0 };
        if let Some(end) = self.ends.get(id) {
            return Some(ended(end.state, end.done));
        }
        let (id, _) = self.jobs.get_key_value(id)?;
        // It has never had a task, and its own end record may come later.
        if self.dependencies.is_cancelled(id) {
            return Some(ended(JobState::Cancelled, 0));
        }
        let (mut done, mut running) = (0, 0);
        for page in self.pages.get(id).into_iter().flat_map(BTreeMap::values) {
            done += page.done;
            running += page.running;
        }
        let state = if running > 0 { JobState::Running } else { JobState::Pending };
        Some(JobStatus { id: id.clone(), state, done, running })
    }
}

#[cfg(test)]
mod tests;
