//! What a controller holds of jobs that are over. The test has its process to
//! itself, since it looks at that process's memory.

use serde_json::value::RawValue;
use stonewheel::{
    protocol::{Events, Item, JobState},
    store::{WatchCache, end_key},
};

const PAGE_BYTES: usize = 4096;

/// Bytes of memory that this process holds.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("a Linux system");
    let pages = statm.split_whitespace().nth(1).expect("resident pages");
    pages.parse::<usize>().expect("a number") * PAGE_BYTES
}

/// A part of a reading: `count` ended jobs from number `first` on.
fn part(first: u64, count: u64) -> Vec<Item> {
    let item = |number: u64| {
        let cancelled = number.is_multiple_of(3);
        let value = if cancelled { r#"{"s":"aborted","d":0}"# } else { r#"{"s":"done","d":12}"# };
        let value = RawValue::from_string(value.into()).expect("json");
        // Jobs end in another order than that of their ids.
        let version = 1 + number * 7919 % 999_983;
        Item { key: end_key(&format!("j-{number:06}")), value, version }
    };
    (first..first + count).map(item).collect()
}

#[test]
fn months_of_ended_jobs_fit_a_small_machine_and_so_does_their_reading() {
    const ENDED: u64 = 400_000;
    const PART: u64 = 500;
    const LIMIT: usize = 16 << 20;
    let before = resident_bytes();
    let mut watch_cache = WatchCache::default();
    for first in (0..ENDED).step_by(PART as usize) {
        let (_, others) = watch_cache.record_ends(part(first, PART));
        assert!(others.is_empty(), "an end need not wait for the rest of the reading");
    }
    let nothing = Events { revision: ENDED, events: Vec::new() };
    watch_cache.replace(Vec::new(), ENDED, nothing.clone());
    // The records are read again when the watch was left behind.
    for first in (0..ENDED).step_by(PART as usize) {
        watch_cache.record_ends(part(first, PART));
    }
    watch_cache.replace(Vec::new(), ENDED, nothing);
    let held = resident_bytes().saturating_sub(before);
    assert!(held < LIMIT, "{} KiB for {ENDED} ended jobs", held >> 10);
    let state = |id: &str| watch_cache.status(id).map(|status| status.state);
    assert_eq!(state("j-399999"), Some(JobState::Cancelled));
    assert_eq!(state("j-000001"), Some(JobState::Done));
    assert_eq!(state("j-400000"), None);
}
