//! The in-memory form of job and page records in the watch cache.

use std::sync::Arc;

use serde_json::value::RawValue;

use super::records::Page;
use crate::protocol::JobSpec;

/// A page record in its stored form, with the task counts that a job's status needs.
/// The page itself is decoded only where its tasks are needed: by a leader when its term
/// begins, and by `WatchCache::machines_of`.
#[derive(Clone, Debug)]
pub struct PageEntry {
    /// The revision at which the page was written.
    pub version: u64,
    /// The stored text of a [`Page`].
    pub raw: Box<RawValue>,
    /// The number of completed tasks.
    pub(super) done: u32,
    /// The number of tasks that are bound to a machine.
    pub(super) running: u32,
}

impl PageEntry {
    /// Decodes a page to count its tasks. A page that cannot be decoded counts as
    /// having none.
    pub fn new(version: u64, raw: Box<RawValue>) -> Self {
        let (done, running) = match serde_json::from_str::<Page>(raw.get()) {
            Ok(page) => (page.done_count(), page.bound.len() as u32),
            Err(error) => {
                tracing::error!(
                    %error,
                    "page record could not be decoded; its tasks are not counted"
                );
                (0, 0)
            }
        };
        Self { version, raw, done, running }
    }
}

/// An accepted job.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// The revision at which the submission record was created. Orders jobs by arrival.
    pub version: u64,
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
}
