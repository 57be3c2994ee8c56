//! Records as the watch cache holds them.

use std::sync::Arc;

use serde_json::value::RawValue;

use super::records::Page;
use crate::protocol::JobSpec;

/// A page as it is stored, with the counts that a job's status needs. The page
/// itself is decoded by those who need it: a leader when its term begins.
#[derive(Clone, Debug)]
pub struct PageEntry {
    /// The revision of the write.
    pub version: u64,
    /// The stored text of a [`Page`].
    pub raw: Box<RawValue>,
    /// Completed tasks.
    pub(super) done: u32,
    /// Bound tasks.
    pub(super) running: u32,
}

impl PageEntry {
    /// Counts the tasks of a page. One that cannot be decoded counts none.
    pub fn new(version: u64, raw: Box<RawValue>) -> Self {
        let (done, running) = match serde_json::from_str::<Page>(raw.get()) {
            Ok(page) => (page.done_count(), page.bound.len() as u32),
            Err(error) => {
                tracing::error!(%error, "page record unreadable");
                (0, 0)
            }
        };
        Self { version, raw, done, running }
    }
}

/// An accepted job.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// The revision of the record's creation: the order of arrival.
    pub version: u64,
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
}
