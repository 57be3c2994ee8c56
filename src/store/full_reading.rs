//! Takes a full reading of the records into the watch cache, when a node starts
//! and when its watch fell too far behind.

use super::{
    changes::Change,
    keys,
    watch_cache::{WatchCache, is_newer},
};
use crate::protocol::{Events, Item};

impl WatchCache {
    /// Takes in the ends among the records of a part of a reading, and returns
    /// what changed and the other records. An end is final, so it need not wait
    /// for the rest of the reading, and what a reading holds until it is whole
    /// doesn't grow with the jobs of the past.
    pub fn record_ends(&mut self, mut items: Vec<Item>) -> (Vec<Change>, Vec<Item>) {
        let is_end = |item: &mut Item| keys::is_end_key(&item.key);
        let ends: Vec<Item> = items.extract_if(.., is_end).collect();
        let record = |item: Item| self.put(&item.key, item.value, item.version);
        (ends.into_iter().flat_map(record).collect(), items)
    }

    /// Takes a full reading in place of what is held. Returns what changed.
    ///
    /// A reading takes several requests, and records change meanwhile, so what
    /// `items` hold is of no single revision: a job's record and its end may both
    /// be missing. `since` is what changed after the reading began, in order; with
    /// it the watch cache is that of one revision.
    pub fn replace(&mut self, items: Vec<Item>, began: u64, since: Events) -> Vec<Change> {
        let mut old = std::mem::take(self);
        // An end is final: none is ever read again as something else.
        self.ended_jobs = std::mem::take(&mut old.ended_jobs);
        self.recent_cancellations = std::mem::take(&mut old.recent_cancellations);
        let mut changes = vec![Change::Leader];
        for item in items {
            changes.extend(self.put(&item.key, item.value, item.version));
        }
        self.revision = began;
        changes.extend(self.apply(since.events, since.revision));
        let revision = self.revision;
        self.keep_later(&old, revision);
        for id in old.jobs.keys().filter(|id| !self.jobs.contains_key(*id)) {
            changes.push(Change::Ended(id.clone()));
        }
        // Their ends may have been recorded before the jobs were known.
        for id in self.jobs.keys().filter(|id| self.ended_jobs.contains(id)) {
            changes.push(Change::Ended(id.clone()));
        }
        self.loaded = true;
        changes
    }

    /// Keeps what this node recorded at once while the reading was under way, and
    /// may have confirmed to users: the reading may be older. An accepted job must
    /// not look ended because of that, nor a cancelled one unknown.
    fn keep_later(&mut self, old: &Self, revision: u64) {
        // Those who follow the watch cache got these changes when they were recorded.
        for job in old.jobs.values().filter(|job| job.version > revision) {
            let _ = self.insert_job(job.clone());
        }
        for (id, pages) in &old.pages {
            for (number, page) in pages.iter().filter(|(_, page)| page.version > revision) {
                let held = self.pages.entry(id.clone()).or_default();
                if held.get(number).is_none_or(|p| p.version < page.version) {
                    held.insert(*number, page.clone());
                }
            }
        }
        if let Some(lead) = old.leader.as_ref().filter(|lead| lead.version > revision)
            && is_newer(lead.version, self.leader.as_ref())
        {
            self.leader = Some(lead.clone());
        }
        self.token = self.token.max(old.token);
    }
}
