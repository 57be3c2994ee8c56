use super::*;
use crate::protocol::CancellationNotice;

fn heartbeat() -> Heartbeat {
    Heartbeat {
        member: "m-1".into(),
        mark: (7, 8),
        echo: Some((5, 6)),
        leads: false,
        token: 3,
        state_ok: true,
        turned_reports_away: false,
        revision: 40,
        cancellations: Some(CancellationNotice {
            since: 30,
            all: true,
            jobs: vec![("j-000001".into(), 35, 2)],
        }),
    }
}

fn sections(frame: &[u8]) -> Vec<(u8, Vec<u8>)> {
    bitcode::decode(frame).expect("sections")
}

#[test]
fn a_frame_is_read_as_it_was_written() {
    let read = decode(&encode(heartbeat())).expect("a message");
    assert_eq!(read, Message { heartbeat: heartbeat(), features: OWN_FEATURES });
}

#[test]
fn sections_of_a_newer_version_are_passed_over() {
    let mut frame = sections(&encode(heartbeat()));
    frame.insert(0, (9, vec![1, 2, 3]));
    let read = decode(&bitcode::encode(&frame)).expect("a message");
    assert_eq!(read, Message { heartbeat: heartbeat(), features: OWN_FEATURES });
}

#[test]
fn what_cannot_be_read_counts_as_unsaid() {
    let mut frame = sections(&encode(heartbeat()));
    frame[1].1 = vec![255; 3];
    let read = decode(&bitcode::encode(&frame)).expect("its heartbeat").heartbeat;
    assert_eq!(read, Heartbeat { cancellations: None, ..heartbeat() });
    frame.remove(0);
    assert_eq!(decode(&bitcode::encode(&frame)), None, "no heartbeat");
    assert_eq!(decode(b"not a frame"), None);
    assert_eq!(decode(b""), None);
}

#[test]
fn the_most_that_is_told_fits_a_frame() {
    let longest = "j-99999999999999999999".to_owned();
    let jobs = vec![(longest, u64::MAX, u32::MAX); crate::node::MOST_NOTICED_CANCELLATIONS];
    let told = CancellationNotice { since: u64::MAX, all: false, jobs };
    let frame = encode(Heartbeat { cancellations: Some(told), ..heartbeat() });
    assert!(frame.len() < FRAME_LIMIT, "{}", frame.len());
}

/// Frames as the version before `Features` wrote them, byte for byte.
const FRAME_OF_THE_VERSION_BEFORE: [u8; 44] = [
    2, 1, 2, 21, 17, 0, 3, 109, 45, 49, 6, 7, 6, 8, 1, 6, 5, 6, 6, 0, 6, 3, 1, 0, 6, 40, 0, 6, 30,
    1, 1, 8, 106, 45, 48, 48, 48, 48, 48, 49, 6, 35, 4, 2,
];

#[test]
fn frames_of_the_version_before_are_read_and_say_nothing_of_features() {
    let read = decode(&FRAME_OF_THE_VERSION_BEFORE).expect("a message");
    assert_eq!(read, Message { heartbeat: heartbeat(), features: Features::default() });
}

#[test]
fn the_version_before_finds_its_own_sections_unchanged() {
    let mut frame = sections(&encode(heartbeat()));
    frame.retain(|(kind, _)| *kind != FEATURES);
    assert_eq!(bitcode::encode(&frame), FRAME_OF_THE_VERSION_BEFORE);
}

#[test]
fn only_a_word_from_every_member_ends_the_time_of_older_versions() {
    let member = |name: &str| Member {
        member: name.into(),
        endpoint: "127.0.0.1:9".parse().expect("an address"),
    };
    let members = [member("m-1"), member("m-2")];
    let peers = Peers::new(Vec::new(), Duration::from_secs(3), 1);
    peers.note_features("m-1", OWN_FEATURES);
    peers.note_features("m-2", Features::default());
    assert!(!peers.all_know_small_pages(&members));
    peers.note_features("m-2", OWN_FEATURES);
    assert!(peers.all_know_small_pages(&members));
}
