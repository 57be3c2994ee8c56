//! Replaces the content of the watch cache by a full read of the records. A controller
//! does so when it starts, and when its watch is too far behind for the state service to
//! deliver the missed changes.

use super::{
    changes::Change,
    keys,
    watch_cache::{WatchCache, is_newer},
};
use crate::protocol::{Events, Item};

impl WatchCache {
    /// Applies the end records among the items of one part of a full read. Returns the
    /// changes and the remaining items. An end is final, so it can be applied before
    /// the read is complete. Thus the items that are buffered until then do not grow
    /// with the number of ended jobs.
    pub fn record_ends(&mut self, mut items: Vec<Item>) -> (Vec<Change>, Vec<Item>) {
        let is_end = |item: &mut Item| keys::is_end_key(&item.key);
        let ends: Vec<Item> = items.extract_if(.., is_end).collect();
        let put_item = |item: Item| self.put(&item.key, item.value, item.version);
        (ends.into_iter().flat_map(put_item).collect(), items)
    }

    /// Replaces the content of the watch cache by a full read. Returns the changes.
    ///
    /// A full read takes several requests, and records change between them, so
    /// `items` do not show the records as of a single revision: a job's submission and
    /// its end record may both be missing. `later_events` are all changes after
    /// `first_revision`, the revision at which the read began, in order. Once they are
    /// applied, the watch cache shows the records as of a single revision.
    pub fn replace(
        &mut self,
        items: Vec<Item>,
        first_revision: u64,
        later_events: Events,
    ) -> Vec<Change> {
        let mut old = std::mem::take(self);
        // Ends are final and their records are never deleted, so they stay valid.
        self.ended_jobs = std::mem::take(&mut old.ended_jobs);
        self.recent_cancellations = std::mem::take(&mut old.recent_cancellations);
        let mut changes = vec![Change::Leader];
        for item in items {
            changes.extend(self.put(&item.key, item.value, item.version));
        }
        self.revision = first_revision;
        changes.extend(self.apply(later_events.events, later_events.revision));
        let revision = self.revision;
        self.keep_newer_records(&old, revision);
        for id in old.jobs.keys().filter(|id| !self.jobs.contains_key(*id)) {
            changes.push(Change::Ended(id.clone()));
        }
        // The ends of these jobs may have been reported before the jobs were known, when
        // nobody could act on them.
        for id in self.jobs.keys().filter(|id| self.ended_jobs.contains(id)) {
            changes.push(Change::Ended(id.clone()));
        }
        self.loaded = true;
        changes
    }

    /// Keeps the records that are newer than the full read: the controller's own writes
    /// that it recorded on commit while the read was in progress. They may have been
    /// confirmed to users already, so an accepted job must not appear as ended, nor a
    /// cancelled job as unknown, because the read lacks them.
    fn keep_newer_records(&mut self, old: &Self, revision: u64) {
        // These changes were already reported when the records were first put.
        for job in old.jobs.values().filter(|job| job.version > revision) {
            let _ = self.insert_job(job.clone());
        }
        for (id, pages) in &old.pages {
            for (number, page) in pages.iter().filter(|(_, page)| page.version > revision) {
                let current = self.pages.entry(id.clone()).or_default();
                if current.get(number).is_none_or(|p| p.version < page.version) {
                    current.insert(*number, page.clone());
                }
            }
        }
        if let Some(leader) = old.leader.as_ref().filter(|leader| leader.version > revision)
            && is_newer(leader.version, self.leader.as_ref())
        {
            self.leader = Some(leader.clone());
        }
        self.token = self.token.max(old.token);
    }
}
