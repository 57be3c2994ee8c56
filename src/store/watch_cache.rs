//! The in-memory copy of the durable records, kept current by a watch of the state
//! service.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
};

use serde::Deserialize;
use serde_json::value::RawValue;

use super::{
    changes::{Change, changes_from_effects},
    ended_jobs::EndedJobs,
    entries::{JobEntry, PageEntry},
    keys::RecordKey,
    recent_cancellations::RecentCancellations,
    records::{JobEnd, LeaderRecord},
};
use crate::{
    dependencies::DependencyGraph,
    protocol::{Event, JobId, JobSpec, JobState, MachineType, is_job_id},
    state::Versioned,
};

/// The records as of one revision, plus the writes that this controller has committed
/// since.
///
/// A record is only replaced by a later version of the same record: the controller's
/// own writes are put into the cache as soon as they are committed, and the watch
/// delivers them again later.
#[derive(Default)]
pub struct WatchCache {
    /// The revision up to which the watch has been applied.
    pub revision: u64,
    /// Whether all records have been read, so that a watch from `revision` keeps the
    /// cache current.
    pub loaded: bool,
    /// The leader record, or none if no controller leads.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The highest fencing token that has been assigned to a term.
    pub token: Versioned<u64>,
    /// The machine types that the cloud offered last.
    pub machine_types: Option<Versioned<Arc<Vec<MachineType>>>>,
    /// Jobs whose submission record still exists. An ended job stays here until the
    /// leader has deleted the job's records.
    pub jobs: HashMap<JobId, JobEntry>,
    /// The pages of each job, by page number.
    pub pages: HashMap<JobId, BTreeMap<u32, PageEntry>>,
    /// How each ended job ended.
    pub ended_jobs: EndedJobs,
    /// The dependencies of the jobs that have not ended.
    pub dependencies: DependencyGraph,
    /// Accepted jobs whose submission record cannot be decoded. They are not run, but
    /// are not reported as unknown either.
    pub unreadable_jobs: HashSet<JobId>,
    /// The latest cancellations, by the revision of the end record.
    pub recent_cancellations: RecentCancellations,
}

impl WatchCache {
    /// Returns an empty watch cache for heartbeats that carry up to `notice_limit`
    /// cancelled jobs each.
    pub fn with_notice_limit(notice_limit: usize) -> Self {
        Self {
            recent_cancellations: RecentCancellations::with_notice_limit(notice_limit),
            ..Self::default()
        }
    }

    /// Applies the events of a watch, and returns the changes. `revision`: the revision
    /// up to which the events are complete. Events up to the cache's revision are
    /// skipped, so several watches may deliver the same events.
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

    /// Puts a written value into the cache, and returns the changes. Does nothing if the
    /// cache already has the same or a newer version, because the controller's
    /// own writes are put on commit, before the watch delivers them. A value that cannot be decoded is
    /// skipped, with two exceptions: an undecodable leader record counts as no leader,
    /// and a job with an undecodable submission is added to `unreadable_jobs`.
    pub fn put(&mut self, key: &str, raw: Box<RawValue>, version: u64) -> Vec<Change> {
        match RecordKey::parse(key) {
            Some(RecordKey::Leader) => self.put_leader(key, &raw, version),
            Some(RecordKey::Token) => {
                self.put_token(key, &raw, version);
                Vec::new()
            }
            Some(RecordKey::MachineTypes) => {
                self.put_machine_types(key, &raw, version);
                Vec::new()
            }
            Some(RecordKey::RejectedHeartbeats) => vec![Change::HeartbeatsRejected],
            Some(RecordKey::Job(name)) if is_job_id(name) => self.put_job(key, name, &raw, version),
            Some(RecordKey::JobEnd(name)) if is_job_id(name) => {
                self.put_end(key, name, &raw, version)
            }
            Some(RecordKey::Page { job, page }) => {
                self.put_page(job, page, raw, version);
                Vec::new()
            }
            Some(RecordKey::Job(_) | RecordKey::JobEnd(_)) | None => Vec::new(),
        }
    }

    fn put_leader(&mut self, key: &str, raw: &RawValue, version: u64) -> Vec<Change> {
        if !is_newer(version, self.leader.as_ref()) {
            return Vec::new();
        }
        self.leader = decode(key, raw).map(|value| Versioned { version, value });
        vec![Change::Leader]
    }

    fn put_token(&mut self, key: &str, raw: &RawValue, version: u64) {
        if version > self.token.version
            && let Some(value) = decode(key, raw)
        {
            self.token = Versioned { version, value };
        }
    }

    fn put_machine_types(&mut self, key: &str, raw: &RawValue, version: u64) {
        if is_newer(version, self.machine_types.as_ref())
            && let Some(types) = decode(key, raw)
        {
            self.machine_types = Some(Versioned { version, value: Arc::new(types) });
        }
    }

    fn put_job(&mut self, key: &str, name: &str, raw: &RawValue, version: u64) -> Vec<Change> {
        if self.jobs.contains_key(name) {
            return Vec::new();
        }
        let Some(spec) = decode::<JobSpec>(key, raw) else {
            self.unreadable_jobs.insert(name.into());
            return Vec::new();
        };
        self.insert_job(JobEntry { version, spec: Arc::new(spec) })
    }

    fn put_end(&mut self, key: &str, name: &str, raw: &RawValue, version: u64) -> Vec<Change> {
        if self.ended_jobs.contains(name) {
            return Vec::new();
        }
        let Some(end) = decode::<JobEnd>(key, raw) else { return Vec::new() };
        let id: JobId = name.into();
        if end.state == JobState::Cancelled {
            self.recent_cancellations.insert(version, id.clone());
        }
        self.insert_end(id, end)
    }

    fn put_page(&mut self, job: &str, page: u32, raw: Box<RawValue>, version: u64) {
        let pages = self.pages.entry(job.into()).or_default();
        if pages.get(&page).is_none_or(|current| current.version < version) {
            pages.insert(page, PageEntry::new(version, raw));
        }
    }

    pub(super) fn insert_job(&mut self, job: JobEntry) -> Vec<Change> {
        let id = job.spec.id.clone();
        if self.jobs.contains_key(&id) {
            return Vec::new();
        }
        let mut changes = vec![Change::Arrived(id.clone())];
        if !self.ended_jobs.contains(&id) {
            let outcome =
                |dependency: &JobId| self.ended_jobs.get(dependency).and_then(|end| end.outcome());
            let spec = &job.spec;
            let effects = self.dependencies.insert(&id, spec.priority, &spec.dependencies, outcome);
            changes.extend(changes_from_effects(effects));
        }
        self.jobs.insert(id, job);
        changes
    }

    fn insert_end(&mut self, id: JobId, end: JobEnd) -> Vec<Change> {
        if self.ended_jobs.contains(&id) {
            return Vec::new();
        }
        self.ended_jobs.insert(&id, end);
        let effects = end.outcome().map(|outcome| self.dependencies.end(&id, outcome));
        let mut changes = vec![Change::Ended(id)];
        changes.extend(changes_from_effects(effects.unwrap_or_default()));
        changes
    }

    /// Removes a deleted record, unless the cache has a newer version of the record.
    /// End records, the token and the machine types are never deleted.
    pub fn delete(&mut self, key: &str, version: u64) -> Option<Change> {
        match RecordKey::parse(key)? {
            RecordKey::Leader => {
                // This controller may have created its own leader record, which is put on
                // commit, before the watch delivers the deletion of the previous one.
                if self.leader.as_ref().is_some_and(|current| current.version < version) {
                    self.leader = None;
                }
                return Some(Change::Leader);
            }
            RecordKey::Job(name) => self.delete_job(name, version),
            RecordKey::Page { job, page } => self.delete_page(job, page, version),
            RecordKey::Token
            | RecordKey::MachineTypes
            | RecordKey::RejectedHeartbeats
            | RecordKey::JobEnd(_) => {}
        }
        None
    }

    fn delete_job(&mut self, name: &str, version: u64) {
        if self.jobs.get(name).is_some_and(|job| job.version < version) {
            self.jobs.remove(name);
        } else {
            self.unreadable_jobs.remove(name);
        }
    }

    fn delete_page(&mut self, job: &str, page: u32, version: u64) {
        let Some(pages) = self.pages.get_mut(job) else { return };
        if pages.get(&page).is_some_and(|current| current.version < version) {
            pages.remove(&page);
        }
        if pages.is_empty() {
            self.pages.remove(job);
        }
    }
}

/// Whether a version is later than that of the current record, or there is no current
/// record.
pub(super) fn is_newer<T>(version: u64, current: Option<&Versioned<T>>) -> bool {
    current.is_none_or(|current| current.version < version)
}

fn decode<'a, T: Deserialize<'a>>(key: &str, raw: &'a RawValue) -> Option<T> {
    serde_json::from_str(raw.get())
        .inspect_err(|error| tracing::error!(key, %error, "stored record could not be decoded"))
        .ok()
}
