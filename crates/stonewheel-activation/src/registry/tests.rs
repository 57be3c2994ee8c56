use stonewheel_protocol::Event;

use super::*;
use crate::record::{ModelState, record_key, session_key, use_key};

fn raw(text: &str) -> Box<RawValue> {
    RawValue::from_string(text.into()).expect("json")
}

fn put(key: String, value: &str, version: u64) -> Event {
    Event { put: Some(key), delete: None, value: Some(raw(value)), version }
}

fn events(events: Vec<Event>, revision: u64) -> Events {
    Events { events, revision }
}

const ASLEEP: &str = r#"{"generation":3,"epoch":5,"state":"asleep"}"#;

#[test]
fn the_stored_form_stays_as_it_is() {
    let active = r#"{"generation":4,"epoch":6,"state":{"active":{"owner":{"member":"m-1","incarnation":7},"attempt":2,"job":"j-91","stage":{"stopping":{"then":"give_up"}}}}}"#;
    for text in [ASLEEP, active] {
        let record: ActivationRecord = serde_json::from_str(text).expect("readable");
        assert_eq!(serde_json::to_string(&record).expect("json"), text);
    }
    let record: ActivationRecord = serde_json::from_str(ASLEEP).expect("readable");
    assert_eq!(record.state, ModelState::Asleep);
}

#[test]
fn an_older_word_changes_nothing_and_what_was_deleted_does_not_come_back() {
    let mut registry = Registry::default();
    let marker = use_key("router", "m-0");
    let delete = Write::Delete { key: marker.clone() };
    registry.apply(events(vec![put(marker.clone(), r#"{"lease":1}"#, 4)], 4));
    assert!(registry.used("router"));
    registry.note(&[delete], 9);
    assert!(!registry.used("router"));
    // The watch lags behind what this process committed.
    registry.apply(events(vec![put(marker.clone(), r#"{"lease":1}"#, 7)], 7));
    assert!(!registry.used("router"), "it was deleted after that");
    registry.apply(events(vec![put(marker, r#"{"lease":2}"#, 11)], 11));
    assert!(registry.used("router"));
    registry.apply(events(vec![put(record_key("router"), ASLEEP, 12)], 12));
    registry.apply(events(
        vec![put(record_key("router"), r#"{"generation":1,"epoch":1,"state":"asleep"}"#, 10)],
        13,
    ));
    assert_eq!(registry.record("router").value.generation, 3);
}

#[test]
fn a_session_is_that_of_one_process() {
    let mut registry = Registry::default();
    registry.apply(events(vec![put(session_key("m-1"), r#"{"incarnation":7}"#, 2)], 2));
    let process = |incarnation| Owner { member: "m-1".into(), incarnation };
    assert!(registry.lives(&process(7)));
    assert!(!registry.lives(&process(6)), "the process before it");
    assert_eq!((registry.session_version("m-1"), registry.session_version("m-2")), (2, 0));
    let gone = Event { put: None, delete: Some(session_key("m-1")), value: None, version: 3 };
    assert_eq!(registry.apply(events(vec![gone], 3)), vec![Concern::Sessions]);
    assert!(!registry.lives(&process(7)));
}

#[test]
fn keys_of_other_parts_and_of_later_versions_are_passed_over() {
    let mut registry = Registry::default();
    let keys = ["sw/j/j-1", "sa/z/router", "sa/j/j-91", "sa/m/a/b", "sa/u/router"];
    let others = keys.map(|key| put(key.into(), "{}", 1)).to_vec();
    assert_eq!(registry.apply(events(others, 1)), Vec::new());
    assert_eq!(registry.record("router").version, 0);
}
