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
fn older_events_are_ignored_and_deleted_records_are_not_restored() {
    let mut records = Records::default();
    assert!(records.apply(events(vec![put(KEY, "1", 4)], 4)));
    assert_eq!(records.version(KEY), 4);
    records.apply_committed(&[Write::Delete { key: KEY.into() }], 9);
    assert_eq!(records.version(KEY), 0);
    // The watch delivers events that are older than the deletion.
    assert!(
        !records.apply(events(vec![put(KEY, "1", 7)], 7)),
        "the key was deleted at a later revision"
    );
    assert!(records.apply(events(vec![put(KEY, "2", 11)], 11)));
    assert!(
        !records.apply(events(vec![put(KEY, "3", 10)], 12)),
        "the event is older than the record"
    );
    assert_eq!(records.get::<u32>(KEY), Some(Versioned { version: 11, value: 2 }));
}

#[test]
fn changes_committed_during_a_full_read_are_kept() {
    let mut records = Records::default();
    records.apply_committed(&[Write::Put { key: KEY.into(), value: raw("5"), lease: None }], 20);
    let item = Item { key: "sp/x".into(), value: raw("1"), version: 3 };
    records.replace(vec![item], 10, events(vec![put("sp/y", "1", 12)], 15));
    assert!(records.loaded());
    assert_eq!((records.version("sp/x"), records.version("sp/y")), (3, 12));
    assert_eq!(records.version(KEY), 20);
    // A full read at a later revision no longer has the key.
    records.replace(Vec::new(), 30, events(Vec::new(), 30));
    assert_eq!(records.version(KEY), 0);
}

#[test]
fn a_session_belongs_to_one_process_of_a_controller() {
    let mut records = Records::default();
    let session = |member: &str, incarnation: u64, version| {
        put(session_key(member), &format!(r#"{{"incarnation":{incarnation}}}"#), version)
    };
    records.apply(events(vec![session("m-1", 7, 2), session("m-0", 8, 3)], 3));
    let process = |incarnation| Owner { member: "m-1".into(), incarnation };
    assert!(records.is_alive(&process(7)));
    assert!(!records.is_alive(&process(6)), "an earlier process of the same controller");
    assert_eq!(records.live_members(), ["m-0", "m-1"]);
    assert_eq!((records.rank("m-0"), records.rank("m-2")), (0, 2));
    let deletion = Event { put: None, delete: Some(session_key("m-1")), value: None, version: 4 };
    assert!(records.apply(events(vec![deletion], 4)));
    assert!(!records.is_alive(&process(7)));
}

#[test]
fn an_undecodable_record_is_absent_and_keeps_its_version() {
    let mut records = Records::default();
    records.apply(events(vec![put("sp/x", "\"text\"", 6)], 6));
    assert_eq!((records.get::<u32>("sp/x"), records.version("sp/x")), (None, 6));
    assert_eq!(records.key_suffixes("sp/").collect::<Vec<_>>(), ["x"]);
}
