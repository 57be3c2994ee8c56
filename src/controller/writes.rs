//! Selection of the records to write, their order, and the transactions that write them.

use std::cmp::Reverse;

use super::{Leader, pending_writes::PageKey};
use crate::{
    protocol::{Condition, JobId, JobState, Write},
    state::MAX_IN_FLIGHT,
    store::{self, JobEnd, Page, WatchCache},
};

/// A transaction to commit.
#[derive(Debug)]
pub struct Commit {
    /// The conditions under which the transaction is committed.
    pub conditions: Vec<Condition>,
    /// The writes, of which either all or none are carried out.
    pub writes: Vec<Write>,
    /// The purpose of the transaction.
    pub kind: CommitKind,
}

/// The purpose of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum CommitKind {
    /// Writes a page, the record of the placements and progress of a range of a job's tasks.
    Page {
        /// The job.
        job: JobId,
        /// The page's number within the job.
        page: u32,
        /// The content of the page.
        content: Page,
    },
    /// Creates a job's end record, deletes the other records of an ended job, or both.
    End {
        /// The job.
        job: JobId,
    },
    /// Writes the record of the machine types.
    Types,
}

impl Leader {
    /// Returns the transactions that are due, up to the limit on writes in flight. Job ends
    /// come first, then pages with new placements by priority and arrival, then other pages.
    /// The order matters because tasks start only once their pages are written: after a loss of
    /// hundreds of tasks, the write budget decides which ones restart first.
    ///
    /// `spare_writes`: how many writes the budget has beyond the reserve for urgent ones. Pages
    /// without new placements are limited to these: no start waits for them, and the more
    /// exits a delayed page collects, the fewer writes are needed.
    pub fn take_commits(&mut self, watch_cache: &WatchCache, spare_writes: usize) -> Vec<Commit> {
        let leadership =
            Condition { key: store::LEADER_KEY.into(), version: self.leader_record_version };
        let mut commits = self.end_commits(&leadership, watch_cache);
        commits.extend(self.types_commit(&leadership, watch_cache));
        for key in self.due_pages(spare_writes) {
            commits.extend(self.page_commit(key, &leadership, watch_cache));
        }
        commits
    }

    /// Returns the transactions for job ends that may be written now. Jobs beyond the limit on
    /// cancellations in flight are checked again later.
    fn end_commits(&mut self, leadership: &Condition, watch_cache: &WatchCache) -> Vec<Commit> {
        let max_cancellations = self.settings.state_limits().transaction_writes;
        let mut commits = Vec::new();
        for id in self.writes.take_end_checks() {
            if watch_cache.dependencies.is_cancelled(&id)
                && !self.writes.begin_cancellation(&id, max_cancellations)
            {
                self.writes.schedule_end_check(id);
            } else if let Some(commit) = self.end_commit(&id, leadership, watch_cache) {
                commits.push(commit);
            } else if self.jobs.get(&id).is_none_or(|job| !job.end_in_flight) {
                self.writes.finish_cancellation(&id);
            }
        }
        commits
    }

    /// Returns the transaction for the machine types if their record is out of date.
    fn types_commit(&mut self, leadership: &Condition, watch_cache: &WatchCache) -> Option<Commit> {
        let types = self.types.take_unstored()?;
        let version = watch_cache.machine_types.as_ref().map_or(0, |types| types.version);
        let value = store::to_raw_value(&*types).ok()?;
        let key = store::MACHINE_TYPES_KEY.to_owned();
        Some(Commit {
            conditions: vec![leadership.clone(), Condition { key: key.clone(), version }],
            writes: vec![Write::Put { key, value, lease: None }],
            kind: CommitKind::Types,
        })
    }

    /// Returns the maximum number of pages in flight.
    fn max_pages_in_flight(&self) -> usize {
        self.settings.state_limits().transaction_writes * MAX_IN_FLIGHT
    }

    /// Returns the pages to write next: pages with new placements, then up to `spare_writes`
    /// others, all within the limit on pages in flight.
    fn due_pages(&self, spare_writes: usize) -> Vec<PageKey> {
        let available = self.max_pages_in_flight().saturating_sub(self.writes.pages_in_flight());
        if available == 0 {
            return Vec::new();
        }
        let due = self.writes.due().map(|key| {
            let job = self.jobs.get(&key.job);
            let has_new_placements = job.is_some_and(|job| job.has_new_placements(key.page));
            let rank = job.map(|job| (Reverse(job.priority), job.arrival));
            (!has_new_placements, rank, key)
        });
        let mut due: Vec<_> = due.collect();
        due.sort();
        due.truncate(available);
        let urgent = due.iter().take_while(|(can_wait, ..)| !can_wait).count();
        due.truncate(urgent.saturating_add(spare_writes));
        due.into_iter().map(|(.., key)| key.clone()).collect()
    }

    fn page_commit(
        &mut self,
        key: PageKey,
        leadership: &Condition,
        watch_cache: &WatchCache,
    ) -> Option<Commit> {
        self.writes.clear_dirty(&key);
        let job = self.jobs.get(&key.job)?;
        // The pages of an ended job are needed only while tasks are bound.
        if (job.ended.is_some() && job.bound.is_empty()) || job.remaining() == 0 {
            return None;
        }
        let (content, value) = self.page_record(&key)?;
        let job = self.jobs.get_mut(&key.job)?;
        job.pages.insert(key.page);
        let arrival = job.arrival;
        self.writes.begin_write(key.clone());
        let PageKey { job, page } = key;
        let page_key = store::page_key(&job, page);
        let pages = watch_cache.pages.get(&job);
        let version = pages.and_then(|pages| pages.get(&page)).map_or(0, |page| page.version);
        Some(Commit {
            // The condition on the job's record is needed for a new page, whose own condition is
            // version 0: a delayed write could otherwise recreate the page after the job has
            // ended and its pages were deleted.
            conditions: vec![
                leadership.clone(),
                Condition { key: store::job_key(&job), version: arrival },
                Condition { key: page_key.clone(), version },
            ],
            writes: vec![Write::Put { key: page_key, value, lease: None }],
            kind: CommitKind::Page { job, page, content },
        })
    }

    /// Returns the transaction that ends a job without bound tasks: it creates the end record
    /// if there is none, and deletes the job's other records, or as many of them as one
    /// transaction may write.
    fn end_commit(
        &mut self,
        id: &JobId,
        leadership: &Condition,
        watch_cache: &WatchCache,
    ) -> Option<Commit> {
        let job = self.jobs.get(id)?;
        if job.end_in_flight || !job.bound.is_empty() {
            return None;
        }
        if self.writes.has_page_in_flight(id) {
            // The end is checked again when the page's write has finished.
            return None;
        }
        let mut conditions = vec![leadership.clone()];
        let mut writes = Vec::new();
        if !watch_cache.ended_jobs.contains(id) {
            // No record is deleted before the end record exists: without it the job's outcome
            // would be lost, and the jobs that depend on it would wait indefinitely.
            let end = self.end_of(id, watch_cache)?;
            let key = store::end_key(id);
            conditions.push(Condition { key: key.clone(), version: 0 });
            writes.push(Write::Put { key, value: store::to_raw_value(&end).ok()?, lease: None });
        }
        let max_deletions = self.settings.state_limits().transaction_writes - writes.len();
        writes.extend(record_deletions(id, watch_cache, max_deletions));
        self.jobs.get_mut(id)?.end_in_flight = true;
        Some(Commit { conditions, writes, kind: CommitKind::End { job: id.clone() } })
    }

    /// Returns how a job without an end record ended, if this leader may record that. None if
    /// the job has not ended, or if another controller writes its end record.
    fn end_of(&self, id: &JobId, watch_cache: &WatchCache) -> Option<JobEnd> {
        let job = self.jobs.get(id)?;
        if watch_cache.dependencies.is_cancelled(id) {
            return Some(JobEnd { state: JobState::Cancelled, done: 0 });
        }
        let done = job.ended.is_none() && job.remaining() == 0;
        done.then_some(JobEnd { state: JobState::Done, done: job.spec.tasks })
    }

    /// Whether there may be records to write.
    pub fn has_writes(&self) -> bool {
        !self.writes.is_empty() || !self.types.is_stored()
    }
}

/// Returns up to `max_deletions` deletions of an ended job's records: first its pages, and last
/// the job's own record.
fn record_deletions(id: &JobId, watch_cache: &WatchCache, max_deletions: usize) -> Vec<Write> {
    let pages = watch_cache.pages.get(id).into_iter().flat_map(|pages| pages.keys());
    let pages = pages.map(|page| store::page_key(id, *page));
    let all = pages.chain(std::iter::once(store::job_key(id)));
    all.take(max_deletions).map(|key| Write::Delete { key }).collect()
}
