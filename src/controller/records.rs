//! Changes of the records: new jobs and their placements, ended jobs, and changed
//! dependencies.

use tokio::time::Instant;
use tracing::{error, info};

use super::{Leader, binding::Binding, job::Job, known_end::KnownEnd, pages::tasks_per_page};
use crate::{
    fleet::{Machine, TaskKey},
    protocol::JobId,
    store::{BoundTask, Change, Page, TaskRange, WatchCache},
};

impl Leader {
    /// Applies changes of the watch cache to the leader's state.
    pub fn on_changes(&mut self, changes: &[Change], watch_cache: &WatchCache, now: Instant) {
        for change in changes {
            match change {
                Change::Arrived(id) => self.add_job(id, watch_cache, now),
                Change::Ready(id) | Change::PriorityChanged(id) => {
                    self.update_dependencies(id, watch_cache, now);
                }
                Change::Ended(id) => self.record_end(id, now),
                Change::Leader | Change::HeartbeatsRejected => {}
            }
        }
    }

    /// Adds a job, with the placements and the progress from its records.
    pub(super) fn add_job(&mut self, id: &JobId, watch_cache: &WatchCache, now: Instant) {
        if !watch_cache.jobs.contains_key(id) {
            return;
        }
        if self.jobs.contains(id) {
            // All records were read again, so changes of its dependencies may have been missed.
            self.update_dependencies(id, watch_cache, now);
            return;
        }
        let Some(mut job) = self.job_from_records(id, watch_cache, now) else { return };
        for page in readable_pages(id, watch_cache) {
            self.restore_page(id, &mut job, page);
        }
        job.stop_partial_gang(now);
        if job.is_finished() {
            self.writes.schedule_end_check(id.clone());
        }
        self.jobs.insert(id.clone(), job);
        self.record_change();
        self.timers.request_round();
    }

    /// Creates a job from its records, without its placements and progress.
    fn job_from_records(&self, id: &JobId, watch_cache: &WatchCache, now: Instant) -> Option<Job> {
        let entry = watch_cache.jobs.get(id)?;
        let page_tasks = tasks_per_page(&self.settings, &entry.spec, self.page_layout);
        let mut job = Job::new(entry.spec.clone(), entry.version, page_tasks, now);
        let has_pages = watch_cache.pages.get(id).is_some_and(|pages| !pages.is_empty());
        if has_pages {
            // Existing pages keep their layout. `restore_page` replaces this size if the pages
            // name another one.
            job.page_tasks = self.settings.page_tasks();
        }
        let dependencies = &watch_cache.dependencies;
        let ended = watch_cache.ended_jobs.contains(id) || dependencies.is_cancelled(id);
        job.ended = ended.then(|| KnownEnd::learned(now));
        job.awaits_dependencies = dependencies.is_waiting(id);
        job.priority = dependencies.effective_priority(id).unwrap_or(job.priority);
        Some(job)
    }

    /// Restores the placements and the progress that one page records.
    fn restore_page(&mut self, id: &JobId, job: &mut Job, numbered: NumberedPage) {
        let NumberedPage { number, page } = numbered;
        job.pages.insert(number);
        job.page_tasks = page.tasks.filter(|tasks| *tasks > 0).unwrap_or(job.page_tasks);
        job.attempt = job.attempt.max(page.attempt);
        job.width = job.width.max(page.width.unwrap_or(0));
        for TaskRange { first, count } in page.done {
            job.done.extend(first..first.saturating_add(count).min(job.spec.tasks));
        }
        for bound in page.bound {
            self.restore_binding(id, job, bound);
        }
    }

    fn restore_binding(&mut self, id: &JobId, job: &mut Job, bound: BoundTask) {
        let machine = self.fleet.machines.entry(bound.machine.clone()).or_insert_with(|| {
            let zone = self.settings.cluster.zones.get(usize::from(bound.zone)).cloned();
            Machine::of_unknown_type(zone.unwrap_or_default(), job.known_since)
        });
        machine.bound.insert(TaskKey { job: id.clone(), task: bound.task });
        // The images that the machine fetched under a former leader are inferred from its bound
        // tasks. All of these images are in use, so none is evicted.
        machine.images.record_use(&job.spec.image, job.spec.image_gb, f64::INFINITY, |_| true);
        job.bound.insert(bound.task, Binding::from_record(bound));
        self.quota_use.add(&job.spec);
    }

    /// Records that a job's end record exists, so that the job's tasks are stopped.
    fn record_end(&mut self, id: &JobId, now: Instant) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.ended.get_or_insert(KnownEnd::learned(now));
        for binding in job.bound.values() {
            self.direct_calls.push(binding.machine.clone());
        }
        self.writes.schedule_end_check(id.clone());
        self.record_change();
        self.timers.request_round();
    }

    /// Updates the job's priority and whether it awaits dependencies from the watch cache.
    fn update_dependencies(&mut self, id: &JobId, watch_cache: &WatchCache, now: Instant) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.priority = watch_cache.dependencies.effective_priority(id).unwrap_or(job.priority);
        let awaits = watch_cache.dependencies.is_waiting(id);
        let awaited = std::mem::replace(&mut job.awaits_dependencies, awaits);
        if awaited && !awaits {
            info!(job = %id, "job dependencies done");
            // The job's waiting time counts from when its dependencies were done.
            job.known_since = now;
            self.timers.request_round();
            self.record_change();
        }
    }
}

/// A page and its number within the job.
struct NumberedPage {
    number: u32,
    page: Page,
}

/// Returns the pages of a job in order, and skips unreadable ones.
fn readable_pages<'a>(
    id: &'a JobId,
    watch_cache: &'a WatchCache,
) -> impl Iterator<Item = NumberedPage> + 'a {
    let entries = watch_cache.pages.get(id).into_iter().flatten();
    entries.filter_map(move |(&number, entry)| match serde_json::from_str(entry.raw.get()) {
        Ok(page) => Some(NumberedPage { number, page }),
        Err(error) => {
            error!(job = %id, page = number, %error, "page record unreadable; its placements and progress are ignored");
            None
        }
    })
}
