//! Pages: the durable records of a job's placements and progress, and how they
//! keep within the size that a value may have, now and after that limit falls.
//!
//! A page covers a fixed range of tasks, which follows from its number. While
//! controllers of the version before may lead, that range must be the one that
//! they use too: they read pages of any layout, but rewrite their own, and what
//! another layout left beside them would come back to life. That range follows
//! from today's limit, so a page full of places may exceed the coming one. Two
//! things keep it within:
//!
//! - Places are given only while the page's record fits the smaller limit. An
//!   exit never makes a record longer.
//! - A page that an older version filled beyond that is not written until it
//!   fits: some of its tasks are stopped, and no exit is cleared from a worker
//!   before it is durable.
//!
//! Work that must start as a whole may never fit such a page. It gets pages of
//! smaller ranges once every member has said that it knows them, which ends the
//! time in which older versions lead (`Features` in `peers.rs`). A page then
//! names the size of its range.

use std::ops::Range;

use tracing::{info, warn};

use super::{Job, Leader};
use crate::{
    fleet::TaskKey,
    protocol::{JobId, JobSpec, Shape},
    settings::{LARGEST_BINDING_BYTES, Settings},
    store::{self, Page, TaskRange},
};

/// A page's record without any task: its keys, the attempt and the width.
const EMPTY_PAGE_BYTES: usize = 96;

/// The punctuation of one binding in a page's record.
const BINDING_PUNCTUATION: usize = r#"[,,"",,],"#.len();

/// The punctuation of one run of completed tasks.
const RUN_PUNCTUATION: usize = "[,],".len();

fn digits(number: u64) -> usize {
    number.checked_ilog10().map_or(1, |log| log as usize + 1)
}

/// The longest machine name and the highest incarnation that a new binding may
/// have.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LongestNames {
    pub machine_bytes: usize,
    pub incarnation: u64,
}

fn binding_bytes(
    task: u32,
    attempt: u64,
    machine_bytes: usize,
    incarnation: u64,
    zone: u8,
) -> usize {
    digits(task.into())
        + digits(attempt)
        + machine_bytes
        + digits(incarnation)
        + digits(zone.into())
        + BINDING_PUNCTUATION
}

impl Job {
    fn tasks_of_page(&self, page: u32) -> Range<u32> {
        let first = page.saturating_mul(self.page_tasks);
        first..first.saturating_add(self.page_tasks).min(self.spec.tasks)
    }

    /// The page that covers a task.
    pub(super) fn page_of(&self, task: u32) -> u32 {
        task / self.page_tasks
    }

    /// Whether a page holds places whose start waits for its record.
    pub(super) fn awaits_record(&self, page: u32) -> bool {
        let range = self.tasks_of_page(page);
        self.bound.range(range).any(|(_, b)| !b.durable)
    }

    pub(super) fn page(&self, page: u32) -> Page {
        let range = self.tasks_of_page(page);
        let bound =
            self.bound.range(range.clone()).map(|(task, binding)| binding.record(*task)).collect();
        let mut done: Vec<TaskRange> = Vec::new();
        for task in range.filter(|t| self.done.contains(t)) {
            match done.last_mut() {
                Some(range) if range.first + range.count == task => range.count += 1,
                _ => done.push(TaskRange { first: task, count: 1 }),
            }
        }
        let width = (page == 0 && self.width > 0).then_some(self.width);
        Page { attempt: self.attempt, width, bound, done, tasks: None }
    }

    /// No less than what the record of a page takes.
    fn page_bytes(&self, page: u32) -> usize {
        let content = self.page(page);
        let bound = content.bound.iter().map(|bound| {
            binding_bytes(
                bound.task,
                bound.attempt,
                bound.machine.len(),
                bound.incarnation,
                bound.zone,
            )
        });
        let done = content
            .done
            .iter()
            .map(|range| digits(range.first.into()) + digits(range.count.into()) + RUN_PUNCTUATION);
        EMPTY_PAGE_BYTES + bound.sum::<usize>() + done.sum::<usize>()
    }

    /// Those of `pending` whose places their pages have room for.
    pub(super) fn with_room(
        &self,
        pending: Vec<u32>,
        value_bytes: usize,
        names: LongestNames,
    ) -> Vec<u32> {
        let tasks = self.page_tasks.min(self.spec.tasks) as usize;
        if tasks * LARGEST_BINDING_BYTES <= value_bytes {
            return pending;
        }
        let attempt = self.attempt + pending.len() as u64;
        let mut room = std::collections::BTreeMap::new();
        pending
            .into_iter()
            .filter(|&task| {
                let page = self.page_of(task);
                let left = room
                    .entry(page)
                    .or_insert_with(|| value_bytes.saturating_sub(self.page_bytes(page)));
                let need =
                    binding_bytes(task, attempt, names.machine_bytes, names.incarnation, u8::MAX);
                let fits = need <= *left;
                *left -= if fits { need } else { 0 };
                fits
            })
            .collect()
    }
}

/// Tasks of each page of a job that has none yet.
pub(super) fn tasks_per_page(settings: &Settings, spec: &JobSpec, small_pages: bool) -> u32 {
    let tasks = settings.page_tasks();
    let whole = spec.shape != Shape::Array;
    let crowded = spec.tasks.min(tasks) as usize * LARGEST_BINDING_BYTES
        > settings.state_limits().value_bytes;
    if whole && crowded && small_pages { settings.small_page_tasks() } else { tasks }
}

impl Leader {
    /// Every member knows pages of smaller ranges: the time of older versions
    /// is over.
    pub fn allow_small_pages(&mut self) {
        if std::mem::replace(&mut self.small_pages, true) {
            return;
        }
        info!("all controllers know small pages");
        for job in self.jobs.values_mut().filter(|job| job.attempt == 0 && job.pages.is_empty()) {
            job.page_tasks = tasks_per_page(&self.settings, &job.spec, true);
        }
        self.note_change();
    }

    pub(super) fn longest_names(&self) -> LongestNames {
        let machines = &self.fleet.machines;
        LongestNames {
            machine_bytes: machines.keys().map(|id| id.len()).max().unwrap_or(0),
            incarnation: machines.values().map(|machine| machine.seen.0).max().unwrap_or(0),
        }
    }

    /// Notes that the page of a task has to be written.
    pub(super) fn mark_page(&mut self, key: &TaskKey) {
        let Some(job) = self.jobs.get(&key.0) else { return };
        let page = (key.0.clone(), job.page_of(key.1));
        self.oversized.remove(&page);
        self.dirty.insert(page);
    }

    /// A job's records are gone: none of its pages has to be written any more,
    /// and its exits may be cleared.
    pub(super) fn forget_pages(&mut self, id: &JobId) {
        let all = (id.clone(), 0)..=(id.clone(), u32::MAX);
        for pages in [&mut self.dirty, &mut self.oversized] {
            let of_job: Vec<_> = pages.range(all.clone()).cloned().collect();
            for page in of_job {
                pages.remove(&page);
            }
        }
    }

    /// Whether what is known of a task is not durable yet.
    pub(super) fn unwritten(&self, key: &TaskKey) -> bool {
        let page_tasks =
            self.jobs.get(&key.0).map_or(self.settings.page_tasks(), |job| job.page_tasks);
        let page = (key.0.clone(), key.1 / page_tasks);
        self.dirty.contains(&page)
            || self.inflight.contains(&page)
            || self.oversized.contains(&page)
    }

    /// The record of a page, unless an older version filled it beyond what a
    /// value may take: then some of its tasks are stopped first.
    pub(super) fn page_record(
        &mut self,
        key: &(JobId, u32),
    ) -> Option<(Page, Box<serde_json::value::RawValue>)> {
        let limit = self.settings.state_limits().value_bytes;
        let common = self.settings.page_tasks();
        let job = self.jobs.get(&key.0)?;
        let mut content = job.page(key.1);
        content.tasks = (job.page_tasks != common).then_some(job.page_tasks);
        let value = store::value(&content).ok()?;
        if value.get().len() <= limit {
            return Some((content, value));
        }
        let surplus =
            (value.get().len() - limit).div_ceil(value.get().len() / content.bound.len().max(1));
        warn!(job = %key.0, page = key.1, surplus, "a page is too large to be written");
        self.oversized.insert(key.clone());
        for bound in content.bound.iter().rev().take(surplus) {
            self.stop_later.insert((key.0.clone(), bound.task));
        }
        None
    }
}
