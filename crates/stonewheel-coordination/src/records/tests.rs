use stonewheel_protocol::Event;

use super::*;

fn raw(text: &str) -> Box<RawValue> {
    RawValue::from_string(text.into()).expect("json")
}

fn put(key: impl Into<String>, value: &str, version: u64) -> Event {
    Event { put: Some(key.into()), delete: None, value: Some(raw(value)), version }
}

fn events(events: Vec<Event>, revision: u64) -> Events {
    Events { events, revision }
}

const KEY: &str = "sp/a/u/router/m-0";

#[test]
fn an_older_word_changes_nothing_and_what_was_deleted_does_not_come_back() {
    let mut records = Records::default();
    assert!(records.apply(events(vec![put(KEY, "1", 4)], 4)));
    assert_eq!(records.version(KEY), 4);
    records.record(&[Write::Delete { key: KEY.into() }], 9);
    assert_eq!(records.version(KEY), 0);
    // The watch lags behind what this process committed.
    assert!(!records.apply(events(vec![put(KEY, "1", 7)], 7)), "it was deleted after that");
    assert!(records.apply(events(vec![put(KEY, "2", 11)], 11)));
    assert!(!records.apply(events(vec![put(KEY, "3", 10)], 12)), "an older one");
    assert_eq!(records.get::<u32>(KEY), Some(Versioned { version: 11, value: 2 }));
}

#[test]
fn what_was_committed_while_all_records_were_read_stays() {
    let mut records = Records::default();
    records.record(&[Write::Put { key: KEY.into(), value: raw("5"), lease: None }], 20);
    let item = Item { key: "sp/x".into(), value: raw("1"), version: 3 };
    records.replace(vec![item], 10, events(vec![put("sp/y", "1", 12)], 15));
    assert!(records.loaded());
    assert_eq!((records.version("sp/x"), records.version("sp/y")), (3, 12));
    assert_eq!(records.version(KEY), 20);
    // A reading that is newer says that it is gone.
    records.replace(Vec::new(), 30, events(Vec::new(), 30));
    assert_eq!(records.version(KEY), 0);
}

#[test]
fn a_session_is_that_of_one_process() {
    let mut records = Records::default();
    let session = |member: &str, incarnation: u64, version| {
        put(session_key(member), &format!(r#"{{"incarnation":{incarnation}}}"#), version)
    };
    records.apply(events(vec![session("m-1", 7, 2), session("m-0", 8, 3)], 3));
    let process = |incarnation| Owner { member: "m-1".into(), incarnation };
    assert!(records.is_alive(&process(7)));
    assert!(!records.is_alive(&process(6)), "the process before it");
    assert_eq!(records.live_members(), ["m-0", "m-1"]);
    assert_eq!((records.rank("m-0"), records.rank("m-2")), (0, 2));
    let gone = Event { put: None, delete: Some(session_key("m-1")), value: None, version: 4 };
    assert!(records.apply(events(vec![gone], 4)));
    assert!(!records.is_alive(&process(7)));
}

#[test]
fn what_cannot_be_read_is_as_good_as_none_and_keeps_its_version() {
    let mut records = Records::default();
    records.apply(events(vec![put("sp/x", "\"text\"", 6)], 6));
    assert_eq!((records.get::<u32>("sp/x"), records.version("sp/x")), (None, 6));
    assert_eq!(records.key_suffixes("sp/").collect::<Vec<_>>(), ["x"]);
}
