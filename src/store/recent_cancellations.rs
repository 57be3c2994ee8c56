//! The latest cancellations by revision, for the notices that heartbeats carry.
//!
//! A heartbeat tells a leader what was cancelled after the revision that it has
//! reached, and only so many jobs at once. Older ones are of no use to anybody
//! and would pile up for ever.

use std::collections::BTreeSet;

use crate::protocol::JobId;

/// Cancellations that are held; no less than what one heartbeat carries.
const MOST_HELD: usize = 4 * crate::node::MOST_NOTICED_CANCELLATIONS;

#[derive(Debug, Default)]
pub struct RecentCancellations {
    held: BTreeSet<(u64, JobId)>,
    /// The latest revision of those that are not held any more.
    dropped: u64,
}

impl RecentCancellations {
    pub fn insert(&mut self, revision: u64, id: JobId) {
        self.held.insert((revision, id));
        while self.held.len() > MOST_HELD {
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
