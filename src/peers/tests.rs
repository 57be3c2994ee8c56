use super::*;
use crate::protocol::Told;

fn heartbeat() -> Heartbeat {
    Heartbeat {
        member: "m-1".into(),
        mark: (7, 8),
        echo: Some((5, 6)),
        leads: false,
        token: 3,
        state_ok: true,
        strays: false,
        revision: 40,
        told: Some(Told { since: 30, all: true, jobs: vec![("j-000001".into(), 35, 2)] }),
    }
}

fn sections(frame: &[u8]) -> Vec<(u8, Vec<u8>)> {
    bitcode::decode(frame).expect("sections")
}

#[test]
fn a_frame_is_read_as_it_was_written() {
    assert_eq!(decode(&encode(heartbeat())), Some(heartbeat()));
}

#[test]
fn sections_of_a_newer_version_are_passed_over() {
    let mut frame = sections(&encode(heartbeat()));
    frame.insert(0, (9, vec![1, 2, 3]));
    assert_eq!(decode(&bitcode::encode(&frame)), Some(heartbeat()));
}

#[test]
fn what_cannot_be_read_counts_as_unsaid() {
    let mut frame = sections(&encode(heartbeat()));
    frame[1].1 = vec![255; 3];
    let read = decode(&bitcode::encode(&frame)).expect("its heartbeat");
    assert_eq!(read, Heartbeat { told: None, ..heartbeat() });
    frame.remove(0);
    assert_eq!(decode(&bitcode::encode(&frame)), None, "no heartbeat");
    assert_eq!(decode(b"not a frame"), None);
    assert_eq!(decode(b""), None);
}

#[test]
fn the_most_that_is_told_fits_a_frame() {
    let longest = "j-99999999999999999999".to_owned();
    let jobs = vec![(longest, u64::MAX, u32::MAX); crate::node::TOLD_LIMIT];
    let told = Told { since: u64::MAX, all: false, jobs };
    let frame = encode(Heartbeat { told: Some(told), ..heartbeat() });
    assert!(frame.len() < FRAME_LIMIT, "{}", frame.len());
}
