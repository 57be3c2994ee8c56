//! What is written, in which order, and what a write's outcome means.

use tokio::time::Instant;
use tracing::info;

use super::{Ended, Leader};
use crate::{
    protocol::{Condition, JobId, JobState, Write},
    state::MAX_IN_FLIGHT,
    store::{self, JobEnd, Page, WatchCache},
};

/// One write for the committer.
#[derive(Debug)]
pub struct Commit {
    pub conditions: Vec<Condition>,
    pub writes: Vec<Write>,
    pub kind: CommitKind,
}

#[derive(Clone, Debug, PartialEq)]
pub enum CommitKind {
    Page {
        job: JobId,
        page: u32,
        content: Page,
    },
    /// The job's end, or the dropping of an ended job's records.
    End {
        job: JobId,
    },
    Types,
}

impl Leader {
    /// Writes that are due, as many as may be under way at once: after a loss
    /// of hundreds of tasks the budget decides who comes back first, so ends go
    /// first, then pages with new places by priority and arrival, then the
    /// rest. A page leaves only once at a time, so what it says of a task is
    /// never overtaken by an older version.
    ///
    /// `spare`: how many writes the budget has beyond what is kept for urgent
    /// ones. Pages without new places wait for those: nobody waits for them, and
    /// the more exits one of them takes in, the fewer are written.
    pub fn take_commits(&mut self, watch_cache: &WatchCache, spare: usize) -> Vec<Commit> {
        let mut commits = Vec::new();
        let lead = Condition { key: store::LEADER_KEY.into(), version: self.lead_version };
        for id in std::mem::take(&mut self.ending) {
            if watch_cache.dependencies.is_cancelled(&id) && !self.may_cancel(&id) {
                self.ending.insert(id);
            } else if let Some(commit) = self.end_commit(&id, &lead, watch_cache) {
                commits.push(commit);
            } else if self.jobs.get(&id).is_none_or(|job| !job.ending) {
                self.cancelling.remove(&id);
            }
        }
        if !self.types_stored && !self.types.is_empty() {
            self.types_stored = true;
            let version = watch_cache.machine_types.as_ref().map_or(0, |types| types.version);
            if let Ok(value) = store::value(&*self.types) {
                let key = store::MACHINE_TYPES_KEY.to_owned();
                commits.push(Commit {
                    conditions: vec![lead.clone(), Condition { key: key.clone(), version }],
                    writes: vec![Write::Put { key, value, lease: None }],
                    kind: CommitKind::Types,
                });
            }
        }
        for key in self.due_pages(spare) {
            commits.extend(self.page_commit(key, &lead, watch_cache));
        }
        commits
    }

    /// Whether the end of a job that is cancelled with another one may be
    /// written now. Its users are told without that record, so thousands of
    /// these must not hold up other writes.
    fn may_cancel(&mut self, id: &JobId) -> bool {
        let room = self.cancelling.len() < self.settings.state_limits().transaction_writes;
        if room {
            self.cancelling.insert(id.clone());
        }
        room
    }

    fn writes_under_way(&self) -> usize {
        self.settings.state_limits().transaction_writes * MAX_IN_FLIGHT
    }

    /// The pages that should be written next.
    fn due_pages(&self, spare: usize) -> Vec<(JobId, u32)> {
        let room = self.writes_under_way().saturating_sub(self.inflight.len());
        if room == 0 {
            return Vec::new();
        }
        let mut due: Vec<_> = self
            .dirty
            .iter()
            .filter(|key| !self.inflight.contains(*key))
            .map(|key| {
                let job = self.jobs.get(&key.0);
                let places = job.is_some_and(|j| j.awaits_record(key.1));
                let rank = job.map(|j| (std::cmp::Reverse(j.priority), j.arrival));
                (!places, rank, key)
            })
            .collect();
        due.sort();
        due.truncate(room);
        let urgent = due.iter().take_while(|(can_wait, ..)| !can_wait).count();
        due.truncate(urgent.saturating_add(spare));
        due.into_iter().map(|(.., key)| key.clone()).collect()
    }

    fn page_commit(
        &mut self,
        key: (JobId, u32),
        lead: &Condition,
        watch_cache: &WatchCache,
    ) -> Option<Commit> {
        self.dirty.remove(&key);
        let job = self.jobs.get(&key.0)?;
        // An ended job's pages only matter while tasks are bound.
        if (job.ended.is_some() && job.bound.is_empty()) || job.remaining() == 0 {
            return None;
        }
        let (content, value) = self.page_record(&key)?;
        let job = self.jobs.get_mut(&key.0)?;
        job.pages.insert(key.1);
        let page = store::page_key(&key.0, key.1);
        let job_key = store::job_key(&key.0);
        let arrival = job.arrival;
        let version =
            watch_cache.pages.get(&key.0).and_then(|p| p.get(&key.1)).map_or(0, |p| p.version);
        self.inflight.insert(key.clone());
        Some(Commit {
            // Conditioned on the job too: a first page that is carried out late,
            // when the job is over and its pages are gone, finds version 0 again.
            conditions: vec![
                lead.clone(),
                Condition { key: job_key, version: arrival },
                Condition { key: page.clone(), version },
            ],
            writes: vec![Write::Put { key: page, value, lease: None }],
            kind: CommitKind::Page { job: key.0, page: key.1, content },
        })
    }

    /// Creates the end record of a job whose tasks are all done, and drops
    /// the bulky records of one that has ended and left every machine.
    fn end_commit(
        &mut self,
        id: &JobId,
        lead: &Condition,
        watch_cache: &WatchCache,
    ) -> Option<Commit> {
        let job = self.jobs.get(id)?;
        if job.ending || !job.bound.is_empty() {
            return None;
        }
        if self.inflight.range((id.clone(), 0)..=(id.clone(), u32::MAX)).next().is_some() {
            // Asked again when that write is through.
            return None;
        }
        let mut conditions = vec![lead.clone()];
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
        self.jobs.get_mut(id)?.ending = true;
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

    /// A write is durable. The watch cache has it already.
    pub fn committed(&mut self, kind: &CommitKind, watch_cache: &WatchCache, now: Instant) {
        match kind {
            CommitKind::Page { job: id, page, content } => {
                self.inflight.remove(&(id.clone(), *page));
                let Some(job) = self.jobs.get_mut(id) else { return };
                for bound in &content.bound {
                    if let Some(binding) = job.bound.get_mut(&bound.task)
                        && binding.attempt == bound.attempt
                    {
                        binding.durable = true;
                        if !binding.seen {
                            self.needs_command.push(binding.machine.clone());
                        }
                    }
                }
                if job.ended.is_some() || job.remaining() == 0 {
                    self.ending.insert(id.clone());
                }
            }
            CommitKind::End { job: id } => {
                self.cancelling.remove(id);
                let Some(job) = self.jobs.get_mut(id) else { return };
                job.ending = false;
                if watch_cache.ended_jobs.contains(id) {
                    job.ended.get_or_insert(Ended::learned(now));
                }
                if watch_cache.jobs.contains_key(id) {
                    // More pages than one transaction drops.
                    self.ending.insert(id.clone());
                } else {
                    let arrival = job.arrival;
                    info!(job = %id, "ended");
                    self.jobs.remove(id);
                    self.forget_pages(id);
                    self.order.remove(&(arrival, id.clone()));
                }
            }
            CommitKind::Types => {}
        }
    }

    /// A write did not happen, as far as the fresh watch cache tells: again.
    pub fn not_committed(&mut self, kind: CommitKind, watch_cache: &WatchCache, now: Instant) {
        match kind {
            CommitKind::Page { job, page, .. } => {
                self.inflight.remove(&(job.clone(), page));
                // If the job is over by now, its end replaces the page.
                self.ending.insert(job.clone());
                self.dirty.insert((job, page));
            }
            CommitKind::End { job: id } => {
                self.cancelling.remove(&id);
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.ending = false;
                    // Cancelled in the meantime: the first end wins.
                    if watch_cache.ended_jobs.contains(&id) {
                        job.ended.get_or_insert(Ended::learned(now));
                    }
                    self.ending.insert(id);
                }
            }
            CommitKind::Types => self.types_stored = false,
        }
    }

    pub fn has_writes(&self) -> bool {
        !self.dirty.is_empty() || !self.ending.is_empty() || !self.types_stored
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
