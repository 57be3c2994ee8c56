use std::time::Duration;

use super::{
    frames::{FEATURES_SECTION, WORKER_CONTACT_SECTION},
    *,
};
use crate::{
    protocol::{
        CancellationNotice, CancelledJob, ControllerHeartbeat, Features, HeartbeatId, WorkerContact,
    },
    settings::MIN_CANCELLATIONS_PER_HEARTBEAT,
};

fn heartbeat() -> ControllerHeartbeat {
    ControllerHeartbeat {
        member: "m-1".into(),
        id: HeartbeatId { incarnation: 7, sequence: 8 },
        acknowledged: Some(HeartbeatId { incarnation: 5, sequence: 6 }),
        leads: false,
        token: 3,
        state_ok: true,
        rejected_heartbeats: false,
        revision: 40,
        cancellations: Some(CancellationNotice {
            since: 30,
            complete: true,
            jobs: vec![CancelledJob { id: "j-000001".into(), version: 35, done: 2 }],
        }),
    }
}

fn sections(frame: &[u8]) -> Vec<(u8, Vec<u8>)> {
    bitcode::decode(frame).expect("sections")
}

#[test]
fn a_frame_is_read_as_it_was_written() {
    let read = decode(&encode(Message::new(heartbeat(), MIN_FRAME_LIMIT))).expect("a message");
    assert_eq!(read, Message::new(heartbeat(), MIN_FRAME_LIMIT));
}

#[test]
fn sections_of_a_newer_version_are_passed_over() {
    let mut frame = sections(&encode(Message::new(heartbeat(), MIN_FRAME_LIMIT)));
    frame.insert(0, (9, vec![1, 2, 3]));
    let read = decode(&bitcode::encode(&frame)).expect("a message");
    assert_eq!(read, Message::new(heartbeat(), MIN_FRAME_LIMIT));
}

#[test]
fn what_cannot_be_read_counts_as_unsaid() {
    let mut frame = sections(&encode(Message::new(heartbeat(), MIN_FRAME_LIMIT)));
    frame[1].1 = vec![255; 3];
    let read = decode(&bitcode::encode(&frame)).expect("its heartbeat").heartbeat;
    assert_eq!(read, ControllerHeartbeat { cancellations: None, ..heartbeat() });
    frame.remove(0);
    assert_eq!(decode(&bitcode::encode(&frame)), None, "no heartbeat");
    assert_eq!(decode(b"not a frame"), None);
    assert_eq!(decode(b""), None);
}

#[test]
fn the_most_that_is_told_fits_a_frame() {
    let longest = "j-99999999999999999999".to_owned();
    for noticed in [MIN_CANCELLATIONS_PER_HEARTBEAT, 4_400, 100_000] {
        let job = CancelledJob { id: longest.clone(), version: u64::MAX, done: u32::MAX };
        let jobs = vec![job; noticed];
        let notice = CancellationNotice { since: u64::MAX, complete: false, jobs };
        let limit = frame_limit_for(noticed);
        let heartbeat = ControllerHeartbeat { cancellations: Some(notice), ..heartbeat() };
        let frame = encode(Message::new(heartbeat, limit));
        assert!(frame.len() < limit, "{} of {limit}", frame.len());
        assert!(max_cancellations_per_frame(limit) >= noticed);
    }
}

#[test]
fn a_member_is_told_no_more_than_it_said_that_it_hears() {
    let peers = Peers::new(Vec::new(), Duration::from_secs(3), 1);
    assert_eq!(peers.frame_limit("m-1"), MIN_FRAME_LIMIT, "it has not said anything");
    let limit = frame_limit_for(4_400);
    let read = decode(&encode(Message::new(heartbeat(), limit))).expect("a message");
    assert_eq!(read.frame_limit, limit);
    peers.record_frame_limit("m-1", read.frame_limit);
    assert_eq!(peers.frame_limit("m-1"), limit);
    // It came back with other settings, or as an older version.
    let read = decode(&encode(Message::new(heartbeat(), MIN_FRAME_LIMIT))).expect("a message");
    peers.record_frame_limit("m-1", read.frame_limit);
    assert_eq!(peers.frame_limit("m-1"), MIN_FRAME_LIMIT);
    assert!(max_cancellations_per_frame(MIN_FRAME_LIMIT) >= MIN_CANCELLATIONS_PER_HEARTBEAT);
}

/// Frames as the version before `Features` wrote them, byte for byte.
const FRAME_OF_THE_VERSION_BEFORE: [u8; 44] = [
    2, 1, 2, 21, 17, 0, 3, 109, 45, 49, 6, 7, 6, 8, 1, 6, 5, 6, 6, 0, 6, 3, 1, 0, 6, 40, 0, 6, 30,
    1, 1, 8, 106, 45, 48, 48, 48, 48, 48, 49, 6, 35, 4, 2,
];

#[test]
fn frames_of_the_version_before_are_read_and_say_nothing_of_features() {
    let read = decode(&FRAME_OF_THE_VERSION_BEFORE).expect("a message");
    assert_eq!(
        read,
        Message { features: Features::default(), ..Message::new(heartbeat(), MIN_FRAME_LIMIT) }
    );
}

#[test]
fn the_version_before_finds_its_own_sections_unchanged() {
    let mut frame = sections(&encode(Message::new(heartbeat(), MIN_FRAME_LIMIT)));
    frame.retain(|(kind, _)| *kind != FEATURES_SECTION);
    assert_eq!(bitcode::encode(&frame), FRAME_OF_THE_VERSION_BEFORE);
}

#[test]
fn only_a_word_from_every_member_ends_the_time_of_older_versions() {
    let members = ["m-1", "m-2"];
    let peers = Peers::new(Vec::new(), Duration::from_secs(3), 1);
    peers.record_features("m-1", OWN_FEATURES);
    peers.record_features("m-2", Features::default());
    assert!(!peers.all_support_small_pages(members));
    peers.record_features("m-2", OWN_FEATURES);
    assert!(peers.all_support_small_pages(members));
}

#[test]
fn a_leader_that_lost_its_workers_says_so_until_it_hears_them_again() {
    let peers = Peers::new(Vec::new(), Duration::from_secs(3), 1);
    let lately = Duration::from_secs(3);
    for lost in [true, false] {
        let message = Message {
            worker_contact: WorkerContact { lost },
            ..Message::new(heartbeat(), MIN_FRAME_LIMIT)
        };
        let read = decode(&encode(message.clone())).expect("a message");
        assert_eq!(read, message);
        peers.record_worker_contact("m-1", read.worker_contact);
        assert_eq!(peers.reported_lost_workers("m-1", lately), lost);
    }
}

#[test]
fn what_a_leader_says_of_its_workers_leaves_the_other_sections_as_they_are() {
    let message = Message::new(heartbeat(), MIN_FRAME_LIMIT);
    let plain = sections(&encode(message.clone()));
    let lost = Message { worker_contact: WorkerContact { lost: true }, ..message };
    let mut with_it = sections(&encode(lost));
    assert_eq!(with_it.pop().map(|(kind, _)| kind), Some(WORKER_CONTACT_SECTION));
    assert_eq!(with_it, plain);
}
