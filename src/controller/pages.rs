//! Pages: the durable records of a job's placements and progress, and how they
//! keep within the size that a value may have, now and after that limit falls.
//!
//! A page is one record; it holds the placements and the completed tasks of a range of a
//! job's tasks. It covers a fixed range of tasks, which follows from its number. While
//! controllers of the version before may lead, that range must be the one that
//! they use too: they read pages of any layout, but rewrite their own, and what
//! another layout left beside them would become valid again. That range follows
//! from today's limit, so a page full of placements may exceed the coming one. Two
//! things keep it within:
//!
//! - Tasks are placed only while the page's record fits the smaller limit. An
//!   exit never makes a record longer.
//! - A page that an older version filled beyond that is not written until it
//!   fits: some of its tasks are stopped, and workers forget no exit before it is
//!   durable.
//!
//! Work that must start as a whole may never fit such a page. It gets pages of
//! smaller ranges once every member has said that it knows them, which ends the
//! time in which older versions lead (`Features` in `peers.rs`). A page then
//! names the size of its range.

use std::{collections::BTreeMap, ops::Range};

use serde_json::value::RawValue;
use tracing::{info, warn};

use super::{Leader, job::Job, pending_writes::PageKey};
use crate::{
    fleet::TaskKey,
    protocol::{JobSpec, Shape},
    settings::{MAX_BINDING_BYTES, Settings},
    store::{self, BoundTask, Page, TaskRange},
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
    machine_bytes: usize,
    incarnation: u64,
}

/// The number of bytes that one binding takes in a page's record.
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

fn bound_task_bytes(bound: &BoundTask) -> usize {
    let machine_bytes = bound.machine.len();
    binding_bytes(bound.task, bound.attempt, machine_bytes, bound.incarnation, bound.zone)
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

    /// Whether a page holds placements whose start waits for its record.
    pub(super) fn awaits_record(&self, page: u32) -> bool {
        let range = self.tasks_of_page(page);
        self.bound.range(range).any(|(_, b)| !b.durable)
    }

    /// The content of a page, but for the size of its range.
    pub(super) fn page(&self, page: u32) -> Page {
        let range = self.tasks_of_page(page);
        let bound = self.bound.range(range.clone());
        let bound = bound.map(|(task, binding)| binding.record(*task)).collect();
        let width = (page == 0 && self.width > 0).then_some(self.width);
        Page { attempt: self.attempt, width, bound, done: self.done_runs(range), tasks: None }
    }

    /// The completed tasks of a range, as runs of consecutive ones.
    fn done_runs(&self, range: Range<u32>) -> Vec<TaskRange> {
        let mut runs: Vec<TaskRange> = Vec::new();
        for task in range.filter(|task| self.done.contains(task)) {
            match runs.last_mut() {
                Some(run) if run.first + run.count == task => run.count += 1,
                _ => runs.push(TaskRange { first: task, count: 1 }),
            }
        }
        runs
    }

    /// No less than what the record of a page takes.
    fn page_bytes(&self, page: u32) -> usize {
        let content = self.page(page);
        let bound = content.bound.iter().map(bound_task_bytes);
        let run_bytes =
            |run: &TaskRange| digits(run.first.into()) + digits(run.count.into()) + RUN_PUNCTUATION;
        let done = content.done.iter().map(run_bytes);
        EMPTY_PAGE_BYTES + bound.sum::<usize>() + done.sum::<usize>()
    }

    /// Those of `pending` whose placements their pages have room for, in values of up to
    /// `value_bytes`.
    pub(super) fn fitting_their_pages(
        &self,
        pending: Vec<u32>,
        value_bytes: usize,
        names: LongestNames,
    ) -> Vec<u32> {
        let tasks = self.page_tasks.min(self.spec.tasks) as usize;
        if tasks * MAX_BINDING_BYTES <= value_bytes {
            return pending;
        }
        let attempt = self.attempt + pending.len() as u64;
        let mut room = BTreeMap::new();
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

/// Which ranges of tasks the pages of new jobs may cover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PageLayout {
    /// The common range alone: controllers of the version before may lead.
    Common,
    /// A smaller one too, for work that must start as a whole and would not fit.
    CommonOrSmall,
}

/// Tasks of each page of a job that has none yet.
pub(super) fn tasks_per_page(settings: &Settings, spec: &JobSpec, layout: PageLayout) -> u32 {
    let tasks = settings.page_tasks();
    let whole = spec.shape != Shape::Array;
    let crowded =
        spec.tasks.min(tasks) as usize * MAX_BINDING_BYTES > settings.state_limits().value_bytes;
    if whole && crowded && layout == PageLayout::CommonOrSmall {
        settings.small_page_tasks()
    } else {
        tasks
    }
}

impl Leader {
    /// Every member knows pages of smaller ranges: no older version leads any more.
    pub fn allow_small_pages(&mut self) {
        let former = std::mem::replace(&mut self.page_layout, PageLayout::CommonOrSmall);
        if former == PageLayout::CommonOrSmall {
            return;
        }
        info!("small pages enabled on all controllers");
        let without_pages = |job: &&mut Job| job.attempt == 0 && job.pages.is_empty();
        for job in self.jobs.values_mut().filter(without_pages) {
            job.page_tasks = tasks_per_page(&self.settings, &job.spec, self.page_layout);
        }
        self.record_change();
    }

    /// The longest names that new bindings may have.
    pub(super) fn longest_names(&self) -> LongestNames {
        let machines = &self.fleet.machines;
        let incarnations = machines.values().map(|m| m.latest_heartbeat.incarnation);
        LongestNames {
            machine_bytes: machines.keys().map(|id| id.len()).max().unwrap_or(0),
            incarnation: incarnations.max().unwrap_or(0),
        }
    }

    /// Records that the page of a task has to be written.
    pub(super) fn mark_page(&mut self, key: &TaskKey) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        self.writes.mark_changed(PageKey { job: key.job.clone(), page: job.page_of(key.task) });
    }

    /// Whether what is known of a task is not durable yet.
    pub(super) fn is_unwritten(&self, key: &TaskKey) -> bool {
        let page_tasks =
            self.jobs.get(&key.job).map_or(self.settings.page_tasks(), |job| job.page_tasks);
        let page = PageKey { job: key.job.clone(), page: key.task / page_tasks };
        self.writes.is_unwritten(&page)
    }

    /// The record of a page, unless an older version filled it beyond what a
    /// value may take: then some of its tasks are stopped first.
    pub(super) fn page_record(&mut self, key: &PageKey) -> Option<(Page, Box<RawValue>)> {
        let limit = self.settings.state_limits().value_bytes;
        let usual = self.settings.page_tasks();
        let job = self.jobs.get(&key.job)?;
        let mut content = job.page(key.page);
        content.tasks = (job.page_tasks != usual).then_some(job.page_tasks);
        let value = store::value(&content).ok()?;
        let bytes = value.get().len();
        if bytes <= limit {
            return Some((content, value));
        }
        let surplus = (bytes - limit).div_ceil(bytes / content.bound.len().max(1));
        warn!(job = %key.job, page = key.page, surplus, "page too large to be written");
        let last_bound = content.bound.iter().rev().take(surplus);
        let tasks = last_bound.map(|bound| TaskKey { job: key.job.clone(), task: bound.task });
        self.writes.mark_oversized(key.clone(), tasks);
        None
    }
}
