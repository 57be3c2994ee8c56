use std::collections::{BTreeMap, BTreeSet, HashMap};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::value::RawValue;

use super::*;
use crate::{
    protocol::{CancelledJob, Event, Events, Item, JobId, JobState},
    state::Versioned,
};

fn raw(text: &str) -> Box<RawValue> {
    RawValue::from_string(text.into()).expect("json")
}

/// The events after a full read during which no record changed.
fn no_events(revision: u64) -> Events {
    Events { revision, events: Vec::new() }
}

const SPEC: &str = r#"{"Ref":"j-000001","Grain":"c","Crew":"t","Shape":"batch","Rank":"high","Spokes":2,"Cores":1.0,"Gpus":1.0,"MemoryGb":1.0,"Mould":"i","ImageGb":1.0,"Together":false,"Scatter":false,"Driftwood":false,"ReckonS":1.0,"NotchS":0.0,"StashS":0.0}"#;
const CANCELLED: &str = r#"{"s":"aborted","d":1}"#;

#[test]
fn full_read_keeps_writes_committed_after_it_began() {
    // Writes that this controller commits while it reads all records may have been
    // confirmed to users, although the read does not contain them.
    let mut watch_cache = WatchCache::default();
    watch_cache.replace(Vec::new(), 10, no_events(10));
    watch_cache.put("sw/j/j-000001", raw(SPEC), 21);
    watch_cache.put("sw/e/j-000002", raw(CANCELLED), 22);
    watch_cache.put("sw/p/j-000001/0", raw(r#"{"a":1}"#), 23);
    watch_cache.put(TOKEN_KEY, raw("4"), 24);
    let changes = watch_cache.replace(Vec::new(), 20, no_events(20));
    assert_eq!(changes, [Change::Leader], "the accepted job did not end");
    assert!(watch_cache.jobs.contains_key("j-000001"));
    assert_eq!(watch_cache.status("j-000002").map(|s| s.state), Some(JobState::Cancelled));
    assert_eq!(watch_cache.pages["j-000001"][&0].version, 23);
    assert_eq!(watch_cache.token, Versioned { version: 24, value: 4 });
    assert!(watch_cache.cancelled_since(20, 9).jobs.iter().any(|job| job.id == "j-000002"));
    // If a read that began after these writes lacks them, the records were deleted.
    let changes = watch_cache.replace(Vec::new(), 30, no_events(30));
    assert!(changes.contains(&Change::Ended("j-000001".into())));
    assert!(watch_cache.pages.is_empty());
}

#[test]
fn cancellation_notice_lists_the_oldest_cancellations_first() {
    let mut watch_cache = WatchCache::default();
    for (id, revision) in [("j-000003", 30), ("j-000001", 10), ("j-000002", 20)] {
        watch_cache.put(&end_key(id), raw(CANCELLED), revision);
    }
    watch_cache.put("sw/e/j-000004", raw(r#"{"s":"done","d":2}"#), 25);
    let ids = |since, limit| {
        let notice = watch_cache.cancelled_since(since, limit);
        (notice.jobs.into_iter().map(|job| job.id).collect::<Vec<_>>(), notice.complete)
    };
    assert_eq!(ids(10, 9), (vec!["j-000002".into(), "j-000003".into()], true));
    assert_eq!(ids(0, 2), (vec!["j-000001".into(), "j-000002".into()], false));
    assert_eq!(ids(30, 9), (Vec::new(), true));
    assert_eq!(ids(u64::MAX, 9), (Vec::new(), true));
}

#[test]
fn first_recorded_end_of_a_job_is_kept() {
    let mut watch_cache = WatchCache::default();
    let changes = watch_cache.put("sw/e/j-000001", raw(r#"{"s":"done","d":2}"#), 5);
    assert_eq!(changes, [Change::Ended("j-000001".into())]);
    assert!(watch_cache.put("sw/e/j-000001", raw(CANCELLED), 6).is_empty());
    assert_eq!(watch_cache.status("j-000001").map(|s| s.state), Some(JobState::Done));
}

/// A random history of interdependent jobs, their pages and their ends, as the state
/// service would order it. Jobs are identified by their number, counted from 1.
struct History {
    rng: StdRng,
    changes: Vec<Event>,
    jobs: Vec<u32>,
    dependencies: HashMap<u32, Vec<u32>>,
    /// The ended jobs. True for a done job, false for a cancelled one.
    done: HashMap<u32, bool>,
}

impl History {
    fn new(seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let (jobs, dependencies) = (Vec::new(), HashMap::new());
        Self { rng, changes: Vec::new(), jobs, dependencies, done: HashMap::new() }
    }

    fn revision(&self) -> u64 {
        self.changes.last().map_or(0, |change| change.version)
    }

    fn push(&mut self, key: String, value: Option<&str>, revision: u64) {
        let put = value.is_some().then(|| key.clone());
        let delete = value.is_none().then_some(key);
        let value = value.map(raw);
        self.changes.push(Event { put, delete, value, version: revision });
    }

    fn id(number: u32) -> String {
        // The order of the ids differs from the order in which the jobs arrive.
        format!("j-{:06}", number * 7919 % 100_003)
    }

    /// Adds one random transaction, or none: a submission, a page, an end, or the deletion
    /// of an ended job's records.
    fn step(&mut self) {
        let next = self.revision() + 1;
        let number = self.jobs.len() as u32 + 1;
        let random_job = |rng: &mut StdRng, jobs: &[u32]| jobs[rng.random_range(0..jobs.len())];
        match self.rng.random_range(0..10) {
            0..4 => {
                let mut dependencies: Vec<u32> = Vec::new();
                for _ in 0..self.rng.random_range(0..3) {
                    if !self.jobs.is_empty() {
                        dependencies.push(random_job(&mut self.rng, &self.jobs));
                    }
                }
                let names: Vec<String> =
                    dependencies.iter().map(|dependency| Self::id(*dependency)).collect();
                let id = Self::id(number);
                let rank = ["best_effort", "standard", "high"][self.rng.random_range(0..3)];
                let spec = SPEC.replace("j-000001", &id).replace("high", rank);
                let awaits = serde_json::to_string(&names).expect("json");
                let spec = spec.replacen('{', &format!(r#"{{"Awaits":{awaits},"#), 1);
                self.push(job_key(&id), Some(&spec), next);
                self.jobs.push(number);
                self.dependencies.insert(number, dependencies);
            }
            4..6 if !self.jobs.is_empty() => {
                let job = random_job(&mut self.rng, &self.jobs);
                if !self.done.contains_key(&job) {
                    self.push(page_key(&Self::id(job), 0), Some(r#"{"a":1}"#), next);
                }
            }
            6..9 if !self.jobs.is_empty() => {
                let job = random_job(&mut self.rng, &self.jobs);
                if self.done.contains_key(&job) {
                    return;
                }
                // A job can only be done if all its dependencies are done.
                let ready = self.dependencies[&job]
                    .iter()
                    .all(|dependency| self.done.get(dependency) == Some(&true));
                let done = ready && self.rng.random_bool(0.8);
                if !ready && self.rng.random_bool(0.7) {
                    return;
                }
                self.done.insert(job, done);
                let end = if done { r#"{"s":"done","d":2}"# } else { CANCELLED };
                self.push(end_key(&Self::id(job)), Some(end), next);
                if self.rng.random_bool(0.5) {
                    self.drop_records(job, next);
                }
            }
            9 if !self.jobs.is_empty() => {
                let job = random_job(&mut self.rng, &self.jobs);
                if self.done.contains_key(&job) {
                    self.drop_records(job, next);
                }
            }
            _ => {}
        }
    }

    fn drop_records(&mut self, job: u32, revision: u64) {
        self.push(page_key(&Self::id(job), 0), None, revision);
        self.push(job_key(&Self::id(job)), None, revision);
    }

    /// Returns the records under a prefix as of a revision.
    fn read(&self, prefix: &str, revision: u64) -> Vec<Item> {
        let mut records: BTreeMap<String, Item> = BTreeMap::new();
        for change in self.changes.iter().filter(|change| change.version <= revision) {
            match (&change.put, &change.value, &change.delete) {
                (Some(key), Some(value), _) => {
                    let (value, version) = (value.clone(), change.version);
                    records.insert(key.clone(), Item { key: key.clone(), value, version });
                }
                (_, _, Some(key)) => {
                    records.remove(key);
                }
                _ => {}
            }
        }
        records.into_values().filter(|item| item.key.starts_with(prefix)).collect()
    }

    /// Returns the changes after `from` up to and including `to`.
    fn since(&self, from: u64, to: u64) -> Events {
        let within = |change: &&Event| change.version > from && change.version <= to;
        Events { revision: to, events: self.changes.iter().filter(within).cloned().collect() }
    }

    /// Returns what a watch cache reports for each job, as text: its status and, if it has
    /// not ended, its state in the dependency graph.
    fn job_reports(&self, watch_cache: &WatchCache) -> Vec<String> {
        let report = |number: &u32| {
            let id = Self::id(*number);
            let graph = &watch_cache.dependencies;
            let unfinished = !watch_cache.ended_jobs.contains(id.as_str());
            let graph_state = unfinished.then(|| {
                (graph.is_waiting(&id), graph.is_cancelled(&id), graph.effective_priority(&id))
            });
            format!("{id}: {:?}, {graph_state:?}", watch_cache.status(&id))
        };
        self.jobs.iter().map(report).collect()
    }
}

/// The knowledge of a component that only sees the reported changes, as a leader does.
#[derive(Default)]
struct Follower {
    /// Whether each known job waits for its dependencies.
    waiting: HashMap<JobId, bool>,
    ended: BTreeSet<JobId>,
}

impl Follower {
    fn follow(&mut self, changes: &[Change], watch_cache: &WatchCache) {
        for change in changes {
            match change {
                Change::Arrived(id) | Change::Ready(id) | Change::PriorityChanged(id) => {
                    let previous =
                        self.waiting.insert(id.clone(), watch_cache.dependencies.is_waiting(id));
                    if previous.is_some() {
                        continue;
                    }
                    if watch_cache.ended_jobs.contains(id)
                        || watch_cache.dependencies.is_cancelled(id)
                    {
                        self.ended.insert(id.clone());
                    }
                }
                Change::Ended(id) => {
                    self.ended.insert(id.clone());
                }
                Change::Leader | Change::HeartbeatsRejected => {}
            }
        }
        for id in watch_cache.jobs.keys() {
            let graph = &watch_cache.dependencies;
            let ended = watch_cache.ended_jobs.contains(id) || graph.is_cancelled(id);
            assert_eq!(self.ended.contains(id), ended, "{id} ended");
            assert!(ended || self.waiting[id] == graph.is_waiting(id), "{id} waits");
        }
    }
}

/// A full read takes several requests while records change, and the controller's own writes
/// reach the cache before the watch delivers them. Whatever the interleaving, the cache must
/// agree with one that only applied the watch's events in order, and the reported changes
/// must be enough for a leader to know which jobs ended and which wait.
#[test]
fn reread_watch_cache_matches_one_that_is_only_watched() {
    for seed in 0..200 {
        let mut history = History::new(seed);
        let (mut watched, mut reread) = (WatchCache::default(), WatchCache::default());
        let mut follower = Follower::default();
        let mut last_revision = 0;
        for _ in 0..25 {
            let first_revision = history.revision();
            let mut parts = Vec::new();
            // Records may change between the requests that read the parts.
            for prefix in ["sw/e/", "sw/j/", "sw/p/"] {
                parts.extend(history.read(prefix, history.revision()));
                for _ in 0..history.rng.random_range(0..4) {
                    history.step();
                }
            }
            let now = history.revision();
            if history.rng.random_bool(0.5) {
                if history.rng.random_bool(0.5) {
                    // Ends are applied as soon as they are read.
                    let (changes, others) = reread.record_ends(parts);
                    follower.follow(&changes, &reread);
                    parts = others;
                }
                let changes =
                    reread.replace(parts, first_revision, history.since(first_revision, now));
                follower.follow(&changes, &reread);
            } else {
                // Some writes are put on commit, before the watch delivers them.
                let committed = history.since(last_revision, now).events;
                for event in committed.into_iter().filter(|_| history.rng.random_bool(0.3)) {
                    if let (Some(key), Some(value)) = (event.put, event.value) {
                        let changes = reread.put(&key, value, event.version);
                        follower.follow(&changes, &reread);
                    } else if let Some(key) = event.delete {
                        reread.delete(&key, event.version);
                    }
                }
                let events = history.since(last_revision, now);
                let changes = reread.apply(events.events, events.revision);
                follower.follow(&changes, &reread);
            }
            let events = history.since(last_revision, now);
            watched.apply(events.events, events.revision);
            last_revision = now;
            let expected = history.job_reports(&watched);
            assert_eq!(history.job_reports(&reread), expected, "seed {seed}, revision {now}");
        }
    }
}

#[test]
fn ended_jobs_with_similar_ids_are_distinguished() {
    let end = |state, done| JobEnd { state, done };
    let done = end(JobState::Done, 100_000);
    let cancelled = end(JobState::Cancelled, 0);
    let mut ends = EndedJobs::default();
    let too_long_id = format!("j-{}", "9".repeat(20));
    let too_many_done = end(JobState::Done, u32::MAX);
    for (id, job_end) in
        [("j-000412", done), ("j-412", cancelled), (&too_long_id, done), ("j-7", too_many_done)]
    {
        assert_eq!(ends.get(id), None, "{id}");
        ends.insert(id, job_end);
        assert_eq!(ends.get(id), Some(job_end), "{id}");
    }
    for unknown in ["j-0412", "j-0000412", "412", "j-", "j-+412", "j-99999999999999999"] {
        assert_eq!(ends.get(unknown), None, "{unknown}");
    }
    ends.insert("j-412", done);
    assert_eq!(ends.get("j-412"), Some(cancelled), "the first end is kept");
}

#[test]
fn cancellation_notice_is_incomplete_after_older_ones_were_dropped() {
    let mut watch_cache = WatchCache::default();
    let last_revision = 5000;
    for revision in 1..=last_revision {
        watch_cache.put(&end_key(&format!("j-{revision:06}")), raw(CANCELLED), revision);
    }
    let notice = watch_cache.cancelled_since(last_revision - 3, 9);
    let cancelled = |n| CancelledJob { id: format!("j-{n:06}"), version: n, done: 1 };
    let latest = [last_revision - 2, last_revision - 1, last_revision].map(cancelled);
    assert_eq!((notice.jobs.as_slice(), notice.complete), (latest.as_slice(), true));
    let notice = watch_cache.cancelled_since(10, usize::MAX);
    assert!(!notice.complete, "the cancellations right after revision 10 were dropped");
    assert!(notice.jobs.len() >= crate::settings::MIN_NOTICED_CANCELLATIONS);
    // A cache that gets the same records in reverse order answers alike: a full read lists
    // records by key, not by revision.
    let mut reread = WatchCache::default();
    for revision in (1..=last_revision).rev() {
        reread.put(&end_key(&format!("j-{revision:06}")), raw(CANCELLED), revision);
    }
    assert_eq!(reread.cancelled_since(10, usize::MAX), watch_cache.cancelled_since(10, usize::MAX));
}

#[test]
fn end_read_before_its_job_is_reported_again_with_the_job() {
    // The end of an unknown job is ignored both by a leader and by the record of when ends
    // may have been confirmed to users. So it must be reported again once the job is known.
    let mut watch_cache = WatchCache::default();
    let item = |key: String, value, version| Item { key, value: raw(value), version };
    let items = vec![
        item(end_key("j-000001"), CANCELLED, 7),
        item(job_key("j-000001"), SPEC, 5),
        item(page_key("j-000001", 0), r#"{"a":1}"#, 6),
    ];
    let (changes, others) = watch_cache.record_ends(items);
    assert_eq!(changes, [Change::Ended("j-000001".into())]);
    assert_eq!(others.len(), 2);
    let changes = watch_cache.replace(others, 8, no_events(8));
    assert!(changes.contains(&Change::Ended("j-000001".into())), "{changes:?}");
}
