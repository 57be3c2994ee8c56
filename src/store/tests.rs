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

/// A reading during which nothing changed.
fn nothing_since(revision: u64) -> Events {
    Events { revision, events: Vec::new() }
}

const SPEC: &str = r#"{"Ref":"j-000001","Grain":"c","Crew":"t","Shape":"batch","Rank":"high","Spokes":2,"Cores":1.0,"Gpus":1.0,"MemoryGb":1.0,"Mould":"i","ImageGb":1.0,"Together":false,"Scatter":false,"Driftwood":false,"ReckonS":1.0,"NotchS":0.0,"StashS":0.0}"#;
const CANCELLED: &str = r#"{"s":"aborted","d":1}"#;

#[test]
fn a_reading_that_began_before_keeps_what_was_noted_since() {
    // What this node committed while the records were read again was told.
    let mut watch_cache = WatchCache::default();
    watch_cache.replace(Vec::new(), 10, nothing_since(10));
    watch_cache.put("sw/j/j-000001", raw(SPEC), 21);
    watch_cache.put("sw/e/j-000002", raw(CANCELLED), 22);
    watch_cache.put("sw/p/j-000001/0", raw(r#"{"a":1}"#), 23);
    watch_cache.put(TOKEN_KEY, raw("4"), 24);
    let changes = watch_cache.replace(Vec::new(), 20, nothing_since(20));
    assert_eq!(changes, [Change::Leader], "the accepted job did not end");
    assert!(watch_cache.jobs.contains_key("j-000001"));
    assert_eq!(watch_cache.status("j-000002").map(|s| s.state), Some(JobState::Cancelled));
    assert_eq!(watch_cache.pages["j-000001"][&0].version, 23);
    assert_eq!(watch_cache.token, Versioned { version: 24, value: 4 });
    assert!(watch_cache.cancelled_since(20, 9).jobs.iter().any(|job| job.id == "j-000002"));
    // A later reading that lacks them shows that they are gone.
    let changes = watch_cache.replace(Vec::new(), 30, nothing_since(30));
    assert!(changes.contains(&Change::Ended("j-000001".into())));
    assert!(watch_cache.pages.is_empty());
}

#[test]
fn cancellations_beyond_a_revision_are_told_oldest_first() {
    let mut watch_cache = WatchCache::default();
    for (id, at) in [("j-000003", 30), ("j-000001", 10), ("j-000002", 20)] {
        watch_cache.put(&end_key(id), raw(CANCELLED), at);
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
fn the_first_end_that_was_seen_stays() {
    let mut watch_cache = WatchCache::default();
    let changes = watch_cache.put("sw/e/j-000001", raw(r#"{"s":"done","d":2}"#), 5);
    assert_eq!(changes, [Change::Ended("j-000001".into())]);
    assert!(watch_cache.put("sw/e/j-000001", raw(CANCELLED), 6).is_empty());
    assert_eq!(watch_cache.status("j-000001").map(|s| s.state), Some(JobState::Done));
}

/// A history of jobs that depend on each other, their pages and their ends, as
/// the state service would order it.
struct History {
    rng: StdRng,
    changes: Vec<Event>,
    jobs: Vec<u32>,
    needs: HashMap<u32, Vec<u32>>,
    /// Whether each ended job is done; else it is cancelled.
    done: HashMap<u32, bool>,
}

impl History {
    fn new(seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let (jobs, needs) = (Vec::new(), HashMap::new());
        Self { rng, changes: Vec::new(), jobs, needs, done: HashMap::new() }
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
        // Ids come in no order.
        format!("j-{:06}", number * 7919 % 100_003)
    }

    /// One more transaction: a job, its page, its end, or its records dropped.
    fn step(&mut self) {
        let next = self.revision() + 1;
        let number = self.jobs.len() as u32 + 1;
        let known = |rng: &mut StdRng, jobs: &[u32]| jobs[rng.random_range(0..jobs.len())];
        match self.rng.random_range(0..10) {
            0..4 => {
                let mut needs: Vec<u32> = Vec::new();
                for _ in 0..self.rng.random_range(0..3) {
                    if !self.jobs.is_empty() {
                        needs.push(known(&mut self.rng, &self.jobs));
                    }
                }
                let names: Vec<String> = needs.iter().map(|need| Self::id(*need)).collect();
                let id = Self::id(number);
                let rank = ["best_effort", "standard", "high"][self.rng.random_range(0..3)];
                let spec = SPEC.replace("j-000001", &id).replace("high", rank);
                let awaits = serde_json::to_string(&names).expect("json");
                let spec = spec.replacen('{', &format!(r#"{{"Awaits":{awaits},"#), 1);
                self.push(job_key(&id), Some(&spec), next);
                self.jobs.push(number);
                self.needs.insert(number, needs);
            }
            4..6 if !self.jobs.is_empty() => {
                let job = known(&mut self.rng, &self.jobs);
                if !self.done.contains_key(&job) {
                    self.push(page_key(&Self::id(job), 0), Some(r#"{"a":1}"#), next);
                }
            }
            6..9 if !self.jobs.is_empty() => {
                let job = known(&mut self.rng, &self.jobs);
                if self.done.contains_key(&job) {
                    return;
                }
                // Only what all its dependencies let run can be done.
                let ready = self.needs[&job].iter().all(|need| self.done.get(need) == Some(&true));
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
                let job = known(&mut self.rng, &self.jobs);
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

    /// The records under a prefix as they were at a revision.
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

    fn since(&self, from: u64, to: u64) -> Events {
        let within = |change: &&Event| change.version > from && change.version <= to;
        Events { revision: to, events: self.changes.iter().filter(within).cloned().collect() }
    }

    /// What a watch cache concludes of each job.
    fn conclusions(&self, watch_cache: &WatchCache) -> Vec<String> {
        let of_job = |number: &u32| {
            let id = Self::id(*number);
            let graph = &watch_cache.dependencies;
            let unfinished = !watch_cache.ended_jobs.contains(id.as_str());
            let live = unfinished.then(|| {
                (graph.is_waiting(&id), graph.is_cancelled(&id), graph.effective_priority(&id))
            });
            format!("{id}: {:?}, {live:?}", watch_cache.status(&id))
        };
        self.jobs.iter().map(of_job).collect()
    }
}

/// What somebody knows who only follows the changes, as a leader does.
#[derive(Default)]
struct Follower {
    waits: HashMap<JobId, bool>,
    ended: BTreeSet<JobId>,
}

impl Follower {
    fn follow(&mut self, changes: &[Change], watch_cache: &WatchCache) {
        for change in changes {
            match change {
                Change::Arrived(id) | Change::Ready(id) | Change::PriorityChanged(id) => {
                    let known =
                        self.waits.insert(id.clone(), watch_cache.dependencies.is_waiting(id));
                    if known.is_some() {
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
            assert!(ended || self.waits[id] == graph.is_waiting(id), "{id} waits");
        }
    }
}

#[test]
fn a_watch_cache_read_again_concludes_what_a_watched_one_does() {
    for seed in 0..200 {
        let mut history = History::new(seed);
        let (mut watched, mut read) = (WatchCache::default(), WatchCache::default());
        let mut follower = Follower::default();
        let mut at = 0;
        for _ in 0..25 {
            let began = history.revision();
            let mut parts = Vec::new();
            // Each part is read later than the one before.
            for prefix in ["sw/e/", "sw/j/", "sw/p/"] {
                parts.extend(history.read(prefix, history.revision()));
                for _ in 0..history.rng.random_range(0..4) {
                    history.step();
                }
            }
            let now = history.revision();
            if history.rng.random_bool(0.5) {
                if history.rng.random_bool(0.5) {
                    // Ends count as soon as they are read.
                    let (changes, others) = read.record_ends(parts);
                    follower.follow(&changes, &read);
                    parts = others;
                }
                let changes = read.replace(parts, began, history.since(began, now));
                follower.follow(&changes, &read);
            } else {
                // Some own writes are noted before the watch brings them.
                let noted = history.since(at, now).events;
                for event in noted.into_iter().filter(|_| history.rng.random_bool(0.3)) {
                    if let (Some(key), Some(value)) = (event.put, event.value) {
                        let changes = read.put(&key, value, event.version);
                        follower.follow(&changes, &read);
                    } else if let Some(key) = event.delete {
                        read.delete(&key, event.version);
                    }
                }
                let events = history.since(at, now);
                let changes = read.apply(events.events, events.revision);
                follower.follow(&changes, &read);
            }
            let events = history.since(at, now);
            watched.apply(events.events, events.revision);
            at = now;
            let expected = history.conclusions(&watched);
            assert_eq!(history.conclusions(&read), expected, "seed {seed}, revision {now}");
        }
    }
}

#[test]
fn ended_jobs_are_told_apart_by_their_ids() {
    let end = |state, done| JobEnd { state, done };
    let done = end(JobState::Done, 100_000);
    let cancelled = end(JobState::Cancelled, 0);
    let mut ends = EndedJobs::default();
    let longest = format!("j-{}", "9".repeat(20));
    let odd = end(JobState::Done, u32::MAX);
    for (id, held) in [("j-000412", done), ("j-412", cancelled), (&longest, done), ("j-7", odd)] {
        assert_eq!(ends.get(id), None, "{id}");
        ends.insert(id, held);
        assert_eq!(ends.get(id), Some(held), "{id}");
    }
    for unknown in ["j-0412", "j-0000412", "412", "j-", "j-+412", "j-99999999999999999"] {
        assert_eq!(ends.get(unknown), None, "{unknown}");
    }
    ends.insert("j-412", done);
    assert_eq!(ends.get("j-412"), Some(cancelled), "the first end stays");
}

#[test]
fn a_notice_of_cancellations_says_so_when_older_ones_are_no_longer_held() {
    let mut watch_cache = WatchCache::default();
    let many = 5000;
    for revision in 1..=many {
        watch_cache.put(&end_key(&format!("j-{revision:06}")), raw(CANCELLED), revision);
    }
    let notice = watch_cache.cancelled_since(many - 3, 9);
    let cancelled = |n| CancelledJob { id: format!("j-{n:06}"), version: n, done: 1 };
    let latest = [many - 2, many - 1, many].map(cancelled);
    assert_eq!((notice.jobs.as_slice(), notice.complete), (latest.as_slice(), true));
    let notice = watch_cache.cancelled_since(10, usize::MAX);
    assert!(!notice.complete, "what was cancelled right after revision 10 is not among them");
    assert!(notice.jobs.len() >= crate::settings::MIN_CANCELLATIONS_PER_HEARTBEAT);
    // Read once more, in the order of keys.
    let mut read = WatchCache::default();
    for revision in (1..=many).rev() {
        read.put(&end_key(&format!("j-{revision:06}")), raw(CANCELLED), revision);
    }
    assert_eq!(read.cancelled_since(10, usize::MAX), watch_cache.cancelled_since(10, usize::MAX));
}

#[test]
fn an_end_read_before_its_job_is_told_once_the_job_is_known() {
    // A leader or whoever counts the time since a confirmation would else never
    // hear of it.
    let mut watch_cache = WatchCache::default();
    let item = |key: String, value, version| Item { key, value: raw(value), version };
    let part = vec![
        item(end_key("j-000001"), CANCELLED, 7),
        item(job_key("j-000001"), SPEC, 5),
        item(page_key("j-000001", 0), r#"{"a":1}"#, 6),
    ];
    let (changes, others) = watch_cache.record_ends(part);
    assert_eq!(changes, [Change::Ended("j-000001".into())]);
    assert_eq!(others.len(), 2);
    let changes = watch_cache.replace(others, 8, nothing_since(8));
    assert!(changes.contains(&Change::Ended("j-000001".into())), "{changes:?}");
}
