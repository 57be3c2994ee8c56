use super::*;

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
    let mut picture = Picture::default();
    picture.replace(Vec::new(), 10, nothing_since(10));
    picture.put("sw/j/j-000001", raw(SPEC), 21);
    picture.put("sw/e/j-000002", raw(CANCELLED), 22);
    picture.put("sw/p/j-000001/0", raw(r#"{"a":1}"#), 23);
    picture.put(TOKEN, raw("4"), 24);
    let changes = picture.replace(Vec::new(), 20, nothing_since(20));
    assert_eq!(changes, [Change::Lead], "the accepted job did not end");
    assert!(picture.jobs.contains_key("j-000001"));
    assert_eq!(picture.status("j-000002").map(|s| s.state), Some(JobState::Cancelled));
    assert_eq!(picture.pages["j-000001"][&0].version, 23);
    assert_eq!(picture.token, (24, 4));
    assert!(picture.cancelled_since(20, 9).0.iter().any(|(id, ..)| id == "j-000002"));
    // A later reading that lacks them shows that they are gone.
    let changes = picture.replace(Vec::new(), 30, nothing_since(30));
    assert!(changes.contains(&Change::Ended("j-000001".into())));
    assert!(picture.pages.is_empty());
}

#[test]
fn cancellations_beyond_a_revision_are_told_oldest_first() {
    let mut picture = Picture::default();
    for (id, at) in [("j-000003", 30), ("j-000001", 10), ("j-000002", 20)] {
        picture.put(&end_key(id), raw(CANCELLED), at);
    }
    picture.put("sw/e/j-000004", raw(r#"{"s":"done","d":2}"#), 25);
    let ids = |since, most| {
        let (jobs, all) = picture.cancelled_since(since, most);
        (jobs.into_iter().map(|(id, ..)| id).collect::<Vec<_>>(), all)
    };
    assert_eq!(ids(10, 9), (vec!["j-000002".into(), "j-000003".into()], true));
    assert_eq!(ids(0, 2), (vec!["j-000001".into(), "j-000002".into()], false));
    assert_eq!(ids(30, 9), (Vec::new(), true));
    assert_eq!(ids(u64::MAX, 9), (Vec::new(), true));
}

#[test]
fn the_first_end_that_was_seen_stays() {
    let mut picture = Picture::default();
    let changes = picture.put("sw/e/j-000001", raw(r#"{"s":"done","d":2}"#), 5);
    assert_eq!(changes, [Change::Ended("j-000001".into())]);
    assert!(picture.put("sw/e/j-000001", raw(CANCELLED), 6).is_empty());
    assert_eq!(picture.status("j-000001").map(|s| s.state), Some(JobState::Done));
}
