//! What is written, in which order, and what a write's outcome means.

use std::cmp::Reverse;

use super::{Leader, pending_writes::PageKey};
use crate::{
    protocol::{Condition, JobId, JobState, Write},
    state::MAX_IN_FLIGHT,
    store::{self, JobEnd, Page, WatchCache},
};

/// One transaction to commit.
#[derive(Debug)]
pub struct Commit {
    /// What must hold for the writes to happen.
    pub conditions: Vec<Condition>,
    /// The writes, which happen all or not at all.
    pub writes: Vec<Write>,
    /// What the transaction is for.
    pub kind: CommitKind,
}

/// What a transaction is for.
#[derive(Clone, Debug, PartialEq)]
pub enum CommitKind {
    /// The record of the placements and progress of a range of a job's tasks.
    Page {
        /// The job.
        job: JobId,
        /// The page's number within the job.
        page: u32,
        /// What is written.
        content: Page,
    },
    /// The job's end, or the dropping of an ended job's records.
    End {
        /// The job.
        job: JobId,
    },
    /// The record of the machine types.
    Types,
}

impl Leader {
    /// Writes that are due, as many as may be in flight at once: after a loss
    /// of hundreds of tasks the budget decides who is started again first, so ends go
    /// first, then pages with new placements by priority and arrival, then the
    /// rest.
    ///
    /// `spare`: how many writes the budget has beyond what is kept for urgent
    /// ones. Pages without new placements wait for those: nobody waits for them, and
    /// the more exits one of them takes in, the fewer are written.
    pub fn take_commits(&mut self, watch_cache: &WatchCache, spare: usize) -> Vec<Commit> {
        let leads =
            Condition { key: store::LEADER_KEY.into(), version: self.leader_record_version };
        let mut commits = self.end_commits(&leads, watch_cache);
        commits.extend(self.types_commit(&leads, watch_cache));
        for key in self.due_pages(spare) {
            commits.extend(self.page_commit(key, &leads, watch_cache));
        }
        commits
    }

    /// The ends that may be written now; the others are checked again.
    fn end_commits(&mut self, leads: &Condition, watch_cache: &WatchCache) -> Vec<Commit> {
        let max_cancellations = self.settings.state_limits().transaction_writes;
        let mut commits = Vec::new();
        for id in self.writes.take_end_checks() {
            if watch_cache.dependencies.is_cancelled(&id)
                && !self.writes.begin_cancellation(&id, max_cancellations)
            {
                self.writes.schedule_end_check(id);
            } else if let Some(commit) = self.end_commit(&id, leads, watch_cache) {
                commits.push(commit);
            } else if self.jobs.get(&id).is_none_or(|job| !job.end_in_flight) {
                self.writes.finish_cancellation(&id);
            }
        }
        commits
    }

    /// The write of the machine types, if their record is out of date.
    fn types_commit(&mut self, leads: &Condition, watch_cache: &WatchCache) -> Option<Commit> {
        let types = self.types.take_unstored()?;
        let version = watch_cache.machine_types.as_ref().map_or(0, |types| types.version);
        let value = store::value(&*types).ok()?;
        let key = store::MACHINE_TYPES_KEY.to_owned();
        Some(Commit {
            conditions: vec![leads.clone(), Condition { key: key.clone(), version }],
            writes: vec![Write::Put { key, value, lease: None }],
            kind: CommitKind::Types,
        })
    }

    /// How many pages may be in flight at once.
    fn max_pages_in_flight(&self) -> usize {
        self.settings.state_limits().transaction_writes * MAX_IN_FLIGHT
    }

    /// The pages that should be written next.
    fn due_pages(&self, spare: usize) -> Vec<PageKey> {
        let room = self.max_pages_in_flight().saturating_sub(self.writes.pages_in_flight());
        if room == 0 {
            return Vec::new();
        }
        let due = self.writes.due().map(|key| {
            let job = self.jobs.get(&key.job);
            let has_new_placements = job.is_some_and(|job| job.awaits_record(key.page));
            let rank = job.map(|job| (Reverse(job.priority), job.arrival));
            (!has_new_placements, rank, key)
        });
        let mut due: Vec<_> = due.collect();
        due.sort();
        due.truncate(room);
        let urgent = due.iter().take_while(|(can_wait, ..)| !can_wait).count();
        due.truncate(urgent.saturating_add(spare));
        due.into_iter().map(|(.., key)| key.clone()).collect()
    }

    fn page_commit(
        &mut self,
        key: PageKey,
        leads: &Condition,
        watch_cache: &WatchCache,
    ) -> Option<Commit> {
        self.writes.clear_dirty(&key);
        let job = self.jobs.get(&key.job)?;
        // An ended job's pages only matter while tasks are bound.
        if (job.ended.is_some() && job.bound.is_empty()) || job.remaining() == 0 {
            return None;
        }
        let (content, value) = self.page_record(&key)?;
        let job = self.jobs.get_mut(&key.job)?;
        job.pages.insert(key.page);
        let arrival = job.arrival;
        self.writes.begin(key.clone());
        let PageKey { job, page } = key;
        let page_key = store::page_key(&job, page);
        let pages = watch_cache.pages.get(&job);
        let version = pages.and_then(|pages| pages.get(&page)).map_or(0, |page| page.version);
        Some(Commit {
            // Conditioned on the job too: a first page that is carried out late,
            // when the job is over and its pages are gone, finds version 0 again.
            conditions: vec![
                leads.clone(),
                Condition { key: store::job_key(&job), version: arrival },
                Condition { key: page_key.clone(), version },
            ],
            writes: vec![Write::Put { key: page_key, value, lease: None }],
            kind: CommitKind::Page { job, page, content },
        })
    }

    /// Creates the end record of a job whose tasks are all done, and drops
    /// the bulky records of one that has ended and left every machine.
    fn end_commit(
        &mut self,
        id: &JobId,
        leads: &Condition,
        watch_cache: &WatchCache,
    ) -> Option<Commit> {
        let job = self.jobs.get(id)?;
        if job.end_in_flight || !job.bound.is_empty() {
            return None;
        }
        if self.writes.is_job_in_flight(id) {
            // Checked again when that write is through.
            return None;
        }
        let mut conditions = vec![leads.clone()];
        let mut writes = Vec::new();
        if !watch_cache.ended_jobs.contains(id) {
            // Nothing is dropped before the end is in the records: without it the
            // job would be forgotten, and what depends on it would wait for ever.
            let end = self.end_of(id, watch_cache)?;
            let key = store::end_key(id);
            conditions.push(Condition { key: key.clone(), version: 0 });
            writes.push(Write::Put { key, value: store::value(&end).ok()?, lease: None });
        }
        let room = self.settings.state_limits().transaction_writes - writes.len();
        writes.extend(dropped_records(id, watch_cache, room));
        self.jobs.get_mut(id)?.end_in_flight = true;
        Some(Commit { conditions, writes, kind: CommitKind::End { job: id.clone() } })
    }

    /// How a job without an end record ended, as far as this leader may say so.
    /// None if it has not, or if another controller's record will tell.
    fn end_of(&self, id: &JobId, watch_cache: &WatchCache) -> Option<JobEnd> {
        let job = self.jobs.get(id)?;
        if watch_cache.dependencies.is_cancelled(id) {
            return Some(JobEnd { state: JobState::Cancelled, done: 0 });
        }
        let done = job.ended.is_none() && job.remaining() == 0;
        done.then_some(JobEnd { state: JobState::Done, done: job.spec.tasks })
    }

    /// Whether anything may have to be written.
    pub fn has_writes(&self) -> bool {
        !self.writes.is_empty() || !self.types.is_stored()
    }
}

/// What one transaction drops of an ended job, in `room` writes: its pages, and
/// with the last of them the job.
fn dropped_records(id: &JobId, watch_cache: &WatchCache, room: usize) -> Vec<Write> {
    let pages = watch_cache.pages.get(id).into_iter().flat_map(|pages| pages.keys());
    let pages = pages.map(|page| store::page_key(id, *page));
    let all = pages.chain(std::iter::once(store::job_key(id)));
    all.take(room).map(|key| Write::Delete { key }).collect()
}
