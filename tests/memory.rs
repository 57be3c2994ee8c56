//! The memory that a controller uses for ended jobs. The test is the only one of its process,
//! since it measures the memory of that process.

use serde_json::value::RawValue;
use stonewheel::{
    protocol::{Events, Item, JobState},
    store::{WatchCache, end_key},
};

const PAGE_BYTES: usize = 4096;

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("a Linux system");
    let pages = statm.split_whitespace().nth(1).expect("resident pages");
    pages.parse::<usize>().expect("a number") * PAGE_BYTES
}

/// Returns one page of a full read: the end records of `count` jobs from number `first` on.
fn end_records(first: u64, count: u64) -> Vec<Item> {
    let item = |number: u64| {
        let cancelled = number.is_multiple_of(3);
        let value = if cancelled { r#"{"s":"aborted","d":0}"# } else { r#"{"s":"done","d":12}"# };
        let value = RawValue::from_string(value.into()).expect("json");
        // Jobs don't end in the order of their ids.
        let version = 1 + number * 7919 % 999_983;
        Item { key: end_key(&format!("j-{number:06}")), value, version }
    };
    (first..first + count).map(item).collect()
}

#[test]
fn ended_jobs_and_their_full_read_stay_within_the_memory_limit() {
    const ENDED: u64 = 400_000;
    const PAGE_ITEMS: u64 = 500;
    const LIMIT: usize = 16 << 20;
    let before = resident_bytes();
    let mut watch_cache = WatchCache::default();
    for first in (0..ENDED).step_by(PAGE_ITEMS as usize) {
        let (_, others) = watch_cache.record_ends(end_records(first, PAGE_ITEMS));
        assert!(others.is_empty(), "an end does not wait for the rest of the full read");
    }
    let no_events = Events { revision: ENDED, events: Vec::new() };
    watch_cache.replace(Vec::new(), ENDED, no_events.clone());
    // The full read is repeated when the watch has fallen too far behind.
    for first in (0..ENDED).step_by(PAGE_ITEMS as usize) {
        watch_cache.record_ends(end_records(first, PAGE_ITEMS));
    }
    watch_cache.replace(Vec::new(), ENDED, no_events);
    let growth = resident_bytes().saturating_sub(before);
    assert!(growth < LIMIT, "{} KiB for {ENDED} ended jobs", growth >> 10);
    let state = |id: &str| watch_cache.status(id).map(|status| status.state);
    assert_eq!(state("j-399999"), Some(JobState::Cancelled));
    assert_eq!(state("j-000001"), Some(JobState::Done));
    assert_eq!(state("j-400000"), None);
}
