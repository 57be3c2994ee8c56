//! Pages: the durable records of a job's placements and progress. This module keeps them
//! within the size limit of a value, both the current limit and an announced lower one.
//!
//! A page is one record with the placements and the completed tasks of a fixed range of a
//! job's tasks, which follows from the page's number and the number of tasks per page. While
//! controllers of the previous version may lead, the number of tasks per page must be the one
//! that they use (the common layout). Those controllers read pages of any layout but write only
//! the common one, so leftover pages of another layout would count as valid again later. The
//! common layout follows from the current size limit, so a page full of placements may exceed
//! an announced lower limit. Two rules prevent that:
//!
//! - Tasks are placed only while the page's record fits the lower limit. An exit never makes a
//!   record longer.
//! - A page that an older version filled beyond the lower limit is not written until it fits:
//!   some of its tasks are stopped, and workers forget no exit before it is durable.
//!
//! A job whose tasks must all start together may never fit pages of the common layout. It gets
//! pages with fewer tasks once every member has announced that it supports them, since from
//! then on no older version leads (`Features` in `peers`). Such a page names the number of tasks
//! that it covers.

use std::{collections::BTreeMap, ops::Range};

use serde_json::value::RawValue;
use tracing::{info, warn};

use super::{Leader, job::Job, pending_writes::PageKey};
use crate::{
    fleet::TaskKey,
    protocol::{JobSpec, Shape},
    settings::{LARGEST_BINDING_BYTES, Settings},
    store::{self, BoundTask, Page, TaskRange},
};

/// An upper bound on the bytes of a page record without tasks: its JSON keys, the attempt and
/// the width.
const MAX_EMPTY_PAGE_BYTES: usize = 96;

/// The bytes of the JSON punctuation of one binding in a page record.
const BINDING_PUNCTUATION_BYTES: usize = r#"[,,"",,],"#.len();

/// The bytes of the JSON punctuation of one range of completed tasks in a page record.
const TASK_RANGE_PUNCTUATION_BYTES: usize = "[,],".len();

fn digit_count(number: u64) -> usize {
    number.checked_ilog10().map_or(1, |log| log as usize + 1)
}

/// Upper bounds on the variable fields of a new binding: the length of the longest machine name
/// in the fleet and the highest worker incarnation.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct BindingSizeBounds {
    machine_bytes: usize,
    incarnation: u64,
}

/// Returns the number of bytes that one binding takes in a page record.
fn binding_bytes(
    task: u32,
    attempt: u64,
    machine_bytes: usize,
    incarnation: u64,
    zone: u8,
) -> usize {
    digit_count(task.into())
        + digit_count(attempt)
        + machine_bytes
        + digit_count(incarnation)
        + digit_count(zone.into())
        + BINDING_PUNCTUATION_BYTES
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

    /// Returns the number of the page that covers a task.
    pub(super) fn page_of(&self, task: u32) -> u32 {
        task / self.page_tasks
    }

    /// Whether a page holds placements that are not durable yet, so that their start commands
    /// wait for the write of the page.
    pub(super) fn has_new_placements(&self, page: u32) -> bool {
        let range = self.tasks_of_page(page);
        self.bound.range(range).any(|(_, b)| !b.durable)
    }

    /// Returns the content of a page. `Page::tasks` is left empty, see `Leader::page_record`.
    pub(super) fn page(&self, page: u32) -> Page {
        let range = self.tasks_of_page(page);
        let bound = self.bound.range(range.clone());
        let bound = bound.map(|(task, binding)| binding.record(*task)).collect();
        let width = (page == 0 && self.width > 0).then_some(self.width);
        Page { attempt: self.attempt, width, bound, done: self.done_ranges(range), tasks: None }
    }

    /// Returns the completed tasks of a range as ranges of consecutive tasks.
    fn done_ranges(&self, range: Range<u32>) -> Vec<TaskRange> {
        let mut done_ranges: Vec<TaskRange> = Vec::new();
        for task in range.filter(|task| self.done.contains(task)) {
            match done_ranges.last_mut() {
                Some(latest) if latest.first + latest.count == task => latest.count += 1,
                _ => done_ranges.push(TaskRange { first: task, count: 1 }),
            }
        }
        done_ranges
    }

    /// Returns an upper bound on the bytes of a page's record.
    fn max_page_bytes(&self, page: u32) -> usize {
        let content = self.page(page);
        let bound = content.bound.iter().map(bound_task_bytes);
        let range_bytes = |range: &TaskRange| {
            digit_count(range.first.into())
                + digit_count(range.count.into())
                + TASK_RANGE_PUNCTUATION_BYTES
        };
        let done = content.done.iter().map(range_bytes);
        MAX_EMPTY_PAGE_BYTES + bound.sum::<usize>() + done.sum::<usize>()
    }

    /// Returns the tasks of `pending` whose placements fit their pages, in order, if values may
    /// have up to `max_value_bytes`.
    pub(super) fn tasks_fitting_pages(
        &self,
        pending: Vec<u32>,
        max_value_bytes: usize,
        bounds: BindingSizeBounds,
    ) -> Vec<u32> {
        let tasks = self.page_tasks.min(self.spec.tasks) as usize;
        if tasks * LARGEST_BINDING_BYTES <= max_value_bytes {
            return pending;
        }
        let max_attempt = self.attempt + pending.len() as u64;
        let mut free_bytes_by_page = BTreeMap::new();
        pending
            .into_iter()
            .filter(|&task| {
                let page = self.page_of(task);
                let free_bytes = free_bytes_by_page
                    .entry(page)
                    .or_insert_with(|| max_value_bytes.saturating_sub(self.max_page_bytes(page)));
                let needed_bytes = binding_bytes(
                    task,
                    max_attempt,
                    bounds.machine_bytes,
                    bounds.incarnation,
                    u8::MAX,
                );
                let fits = needed_bytes <= *free_bytes;
                *free_bytes -= if fits { needed_bytes } else { 0 };
                fits
            })
            .collect()
    }
}

/// The numbers of tasks that the pages of a new job may cover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PageLayout {
    /// Only the common number, since controllers of the previous version may lead.
    Common,
    /// The common number, or a smaller one for jobs whose tasks must all start together and
    /// might not fit pages of the common layout.
    CommonOrSmall,
}

/// Returns the number of tasks that each page covers, for a job without pages.
pub(super) fn tasks_per_page(settings: &Settings, spec: &JobSpec, layout: PageLayout) -> u32 {
    let common_tasks = settings.page_tasks();
    let starts_together = spec.shape != Shape::Array;
    let may_exceed_limit = spec.tasks.min(common_tasks) as usize * LARGEST_BINDING_BYTES
        > settings.state_limits().value_bytes;
    if starts_together && may_exceed_limit && layout == PageLayout::CommonOrSmall {
        settings.small_page_tasks()
    } else {
        common_tasks
    }
}

impl Leader {
    /// Allows pages with fewer tasks. Called once every member supports them, so that no older
    /// version can lead any more.
    pub fn allow_small_pages(&mut self) {
        let previous = std::mem::replace(&mut self.page_layout, PageLayout::CommonOrSmall);
        if previous == PageLayout::CommonOrSmall {
            return;
        }
        info!("small pages enabled on all controllers");
        let without_pages = |job: &&mut Job| job.attempt == 0 && job.pages.is_empty();
        for job in self.jobs.values_mut().filter(without_pages) {
            job.page_tasks = tasks_per_page(&self.settings, &job.spec, self.page_layout);
        }
        self.record_change();
    }

    /// Returns upper bounds on the variable fields of new bindings.
    pub(super) fn binding_size_bounds(&self) -> BindingSizeBounds {
        let machines = &self.fleet.machines;
        let incarnations = machines.values().map(|m| m.latest_heartbeat.incarnation);
        BindingSizeBounds {
            machine_bytes: machines.keys().map(|id| id.len()).max().unwrap_or(0),
            incarnation: incarnations.max().unwrap_or(0),
        }
    }

    /// Records that the page of a task has changed and has to be written.
    pub(super) fn mark_page_changed(&mut self, key: &TaskKey) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        self.writes.mark_changed(PageKey { job: key.job.clone(), page: job.page_of(key.task) });
    }

    /// Whether the leader's state of a task may not be durable yet.
    pub(super) fn has_unwritten_changes(&self, key: &TaskKey) -> bool {
        let page_tasks =
            self.jobs.get(&key.job).map_or(self.settings.page_tasks(), |job| job.page_tasks);
        let page = PageKey { job: key.job.clone(), page: key.task / page_tasks };
        self.writes.has_unwritten_changes(&page)
    }

    /// Returns the content of a page and its record. Returns None if the record exceeds the size
    /// limit of a value, because an older version filled the page: then some of its tasks are
    /// marked to be stopped, and the page can be written afterwards.
    pub(super) fn page_record(&mut self, key: &PageKey) -> Option<(Page, Box<RawValue>)> {
        let limit = self.settings.state_limits().value_bytes;
        let common_tasks = self.settings.page_tasks();
        let job = self.jobs.get(&key.job)?;
        let mut content = job.page(key.page);
        content.tasks = (job.page_tasks != common_tasks).then_some(job.page_tasks);
        let value = store::to_raw_value(&content).ok()?;
        let bytes = value.get().len();
        if bytes <= limit {
            return Some((content, value));
        }
        let surplus = (bytes - limit).div_ceil(bytes / content.bound.len().max(1));
        warn!(job = %key.job, page = key.page, surplus, "page record exceeds the value size limit; stopping tasks");
        let last_bound = content.bound.iter().rev().take(surplus);
        let tasks = last_bound.map(|bound| TaskKey { job: key.job.clone(), task: bound.task });
        self.writes.mark_oversized(key.clone(), tasks);
        None
    }
}
