//! The latest cancellations by revision, for the notices that heartbeats carry.
//!
//! A heartbeat tells a leader what was cancelled after the revision that it has
//! reached, and only so many jobs at once. Older ones are of no use to anybody
//! and would pile up for ever.

use std::collections::BTreeSet;

use crate::{protocol::JobId, settings::MIN_NOTICED_CANCELLATIONS};

/// Cancellations that are held for each one that a heartbeat carries.
const HELD_PARTS: usize = 4;

#[derive(Debug)]
pub struct RecentCancellations {
    held: BTreeSet<(u64, JobId)>,
    most: usize,
    /// The latest revision of those that are not held any more.
    dropped: u64,
}

impl Default for RecentCancellations {
    fn default() -> Self {
        Self::with_notice_limit(MIN_NOTICED_CANCELLATIONS)
    }
}

impl RecentCancellations {
    /// Holds what heartbeats need that carry up to `noticed` cancellations.
    pub fn with_notice_limit(noticed: usize) -> Self {
        Self { held: BTreeSet::new(), most: noticed * HELD_PARTS, dropped: 0 }
    }

    pub fn insert(&mut self, revision: u64, id: JobId) {
        self.held.insert((revision, id));
        while self.held.len() > self.most {
            if let Some((oldest, _)) = self.held.pop_first() {
                self.dropped = self.dropped.max(oldest);
            }
        }
    }

    /// The first `most` that are held of those after `revision`, and whether
    /// these are all that there were.
    pub fn since(&self, revision: u64, most: usize) -> (Vec<(u64, &JobId)>, bool) {
        let mut later = self.held.range((revision.saturating_add(1), JobId::from(""))..);
        let jobs = later.by_ref().take(most).map(|(at, id)| (*at, id)).collect();
        (jobs, later.next().is_none() && revision >= self.dropped)
    }
}
