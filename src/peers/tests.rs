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

fn peers_without_reports() -> Peers {
    let timings = PeerTimings {
        abstention: Duration::from_secs(3),
        replication_hold: Duration::from_secs(7),
        acknowledgement_timeout: Duration::from_secs(3),
    };
    Peers::new("m-0", Vec::new(), timings, 1)
}

fn sections(frame: &[u8]) -> Vec<(u8, Vec<u8>)> {
    bitcode::decode(frame).expect("sections")
}

#[test]
fn encoded_message_decodes_to_the_same_message() {
    let read = decode(&encode(Message::new(heartbeat(), MIN_FRAME_LIMIT))).expect("a message");
    assert_eq!(read, Message::new(heartbeat(), MIN_FRAME_LIMIT));
}

#[test]
fn unknown_sections_are_skipped() {
    let mut frame = sections(&encode(Message::new(heartbeat(), MIN_FRAME_LIMIT)));
    frame.insert(0, (9, vec![1, 2, 3]));
    let read = decode(&bitcode::encode(&frame)).expect("a message");
    assert_eq!(read, Message::new(heartbeat(), MIN_FRAME_LIMIT));
}

#[test]
fn undecodable_sections_count_as_absent() {
    let mut frame = sections(&encode(Message::new(heartbeat(), MIN_FRAME_LIMIT)));
    frame[1].1 = vec![255; 3];
    let read = decode(&bitcode::encode(&frame)).expect("the heartbeat").heartbeat;
    assert_eq!(read, ControllerHeartbeat { cancellations: None, ..heartbeat() });
    frame.remove(0);
    assert_eq!(decode(&bitcode::encode(&frame)), None, "no heartbeat");
    assert_eq!(decode(b"not a frame"), None);
    assert_eq!(decode(b""), None);
}

#[test]
fn notice_with_the_maximum_of_cancellations_fits_the_frame_limit() {
    let longest_id = "j-99999999999999999999".to_owned();
    for cancellations in [MIN_CANCELLATIONS_PER_HEARTBEAT, 4_400, 100_000] {
        let job = CancelledJob { id: longest_id.clone(), version: u64::MAX, done: u32::MAX };
        let jobs = vec![job; cancellations];
        let notice = CancellationNotice { since: u64::MAX, complete: false, jobs };
        let limit = frame_limit_for(cancellations);
        let heartbeat = ControllerHeartbeat { cancellations: Some(notice), ..heartbeat() };
        let frame = encode(Message::new(heartbeat, limit));
        assert!(frame.len() < limit, "{} of {limit}", frame.len());
        assert!(max_cancellations_per_frame(limit) >= cancellations);
    }
}

#[test]
fn frame_limit_follows_the_latest_message_of_a_member() {
    let peers = peers_without_reports();
    assert_eq!(peers.frame_limit("m-1"), MIN_FRAME_LIMIT, "no message of the member has arrived");
    let limit = frame_limit_for(4_400);
    let read = decode(&encode(Message::new(heartbeat(), limit))).expect("a message");
    assert_eq!(read.frame_limit, limit);
    peers.record_frame_limit("m-1", read.frame_limit);
    assert_eq!(peers.frame_limit("m-1"), limit);
    // The member restarted with other settings, or with an older version.
    let read = decode(&encode(Message::new(heartbeat(), MIN_FRAME_LIMIT))).expect("a message");
    peers.record_frame_limit("m-1", read.frame_limit);
    assert_eq!(peers.frame_limit("m-1"), MIN_FRAME_LIMIT);
    assert!(max_cancellations_per_frame(MIN_FRAME_LIMIT) >= MIN_CANCELLATIONS_PER_HEARTBEAT);
}

/// A frame as the last version without `Features` encoded it, byte for byte.
const FRAME_WITHOUT_FEATURES: [u8; 44] = [
    2, 1, 2, 21, 17, 0, 3, 109, 45, 49, 6, 7, 6, 8, 1, 6, 5, 6, 6, 0, 6, 3, 1, 0, 6, 40, 0, 6, 30,
    1, 1, 8, 106, 45, 48, 48, 48, 48, 48, 49, 6, 35, 4, 2,
];

#[test]
fn frame_without_features_decodes_with_default_features() {
    let read = decode(&FRAME_WITHOUT_FEATURES).expect("a message");
    assert_eq!(
        read,
        Message { features: Features::default(), ..Message::new(heartbeat(), MIN_FRAME_LIMIT) }
    );
}

#[test]
fn sections_known_before_features_are_encoded_unchanged() {
    let mut frame = sections(&encode(Message::new(heartbeat(), MIN_FRAME_LIMIT)));
    frame.retain(|(kind, _)| *kind != FEATURES_SECTION);
    assert_eq!(bitcode::encode(&frame), FRAME_WITHOUT_FEATURES);
}

#[test]
fn small_pages_require_a_report_of_support_from_every_member() {
    let members = ["m-1", "m-2"];
    let peers = peers_without_reports();
    peers.record_features("m-1", SUPPORTED_FEATURES);
    peers.record_features("m-2", Features::default());
    assert!(!peers.all_support_small_pages(members));
    peers.record_features("m-2", SUPPORTED_FEATURES);
    assert!(peers.all_support_small_pages(members));
}

#[test]
fn lost_workers_are_reported_until_contact_is_restored() {
    let peers = peers_without_reports();
    let within = Duration::from_secs(3);
    for lost in [true, false] {
        let message = Message {
            worker_contact: WorkerContact { lost },
            ..Message::new(heartbeat(), MIN_FRAME_LIMIT)
        };
        let read = decode(&encode(message.clone())).expect("a message");
        assert_eq!(read, message);
        peers.record_worker_contact("m-1", read.worker_contact);
        assert_eq!(peers.reported_lost_workers("m-1", within), lost);
    }
}

#[test]
fn lost_worker_contact_only_appends_a_section() {
    let message = Message::new(heartbeat(), MIN_FRAME_LIMIT);
    let expected = sections(&encode(message.clone()));
    let lost = Message { worker_contact: WorkerContact { lost: true }, ..message };
    let mut with_contact = sections(&encode(lost));
    assert_eq!(with_contact.pop().map(|(kind, _)| kind), Some(WORKER_CONTACT_SECTION));
    assert_eq!(with_contact, expected);
}
