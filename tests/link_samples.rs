//! Pins complete frames of the links between controllers, with every section. Changes here break
//! compatibility between controllers of different versions in one cluster.

use stonewheel::{
    peers::{MIN_FRAME_LIMIT, Message, decode, encode},
    protocol::{
        CancellationNotice, CancellationSync, CancelledJob, ControllerHeartbeat, CoverageAge,
        Features, HeartbeatId, KnownMember, WorkerContact,
    },
};

/// Sections 1 to 5: heartbeat, cancellations, features, frame limit, worker contact.
const FRAME: [u8; 82] = [
    5, 4, 121, 34, 0, 27, 37, 1, 5, 1, 0, 3, 109, 45, 49, 6, 7, 6, 8, 1, 6, 5, 6, 6, 1, 2, 1, 0,
    16, 0, 1, 0, 2, 112, 17, 1, 0, 0, 4, 44, 1, 0, 2, 8, 8, 106, 45, 48, 48, 48, 48, 48, 49, 106,
    45, 48, 48, 48, 48, 48, 55, 2, 94, 1, 0, 0, 111, 17, 1, 0, 2, 2, 0, 0, 4, 1, 2, 128, 210, 3, 0,
    1,
];

fn message() -> Message {
    Message {
        heartbeat: ControllerHeartbeat {
            member: "m-1".into(),
            id: HeartbeatId { incarnation: 7, sequence: 8 },
            acknowledged: Some(HeartbeatId { incarnation: 5, sequence: 6 }),
            leads: true,
            token: 1_048_577,
            state_ok: true,
            rejected_heartbeats: false,
            revision: 70_000,
            cancellations: Some(CancellationNotice {
                since: 300,
                complete: false,
                jobs: vec![
                    CancelledJob { id: "j-000001".into(), version: 350, done: 2 },
                    CancelledJob { id: "j-000007".into(), version: 69_999, done: 1_024 },
                ],
            }),
        },
        features: Features { small_pages: true },
        frame_limit: 250_496,
        worker_contact: WorkerContact { lost: true },
        cancellation_sync: None,
    }
}

#[test]
fn frame_with_every_section_keeps_its_bytes() {
    assert_eq!(MIN_FRAME_LIMIT, 65_536);
    assert_eq!(encode(message()), FRAME);
    assert_eq!(decode(&FRAME), Some(message()));
}

/// The same frame with section 6, cancellation sync.
const FRAME_WITH_CANCELLATION_SYNC: [u8; 131] = [
    6, 3, 1, 78, 207, 0, 27, 37, 1, 5, 1, 47, 0, 3, 109, 45, 49, 6, 7, 6, 8, 1, 6, 5, 6, 6, 1, 2,
    1, 0, 16, 0, 1, 0, 2, 112, 17, 1, 0, 0, 4, 44, 1, 0, 2, 8, 8, 106, 45, 48, 48, 48, 48, 48, 49,
    106, 45, 48, 48, 48, 48, 48, 55, 2, 94, 1, 0, 0, 111, 17, 1, 0, 2, 2, 0, 0, 4, 1, 2, 128, 210,
    3, 0, 1, 1, 6, 5, 6, 9, 4, 54, 1, 1, 1, 8, 106, 45, 48, 48, 48, 48, 48, 49, 4, 94, 1, 4, 2, 2,
    3, 3, 109, 45, 49, 109, 45, 50, 1, 6, 0, 1, 4, 96, 234, 6, 0, 4, 60, 240, 1, 0,
];

fn message_with_cancellation_sync() -> Message {
    let sync = CancellationSync {
        received: Some(HeartbeatId { incarnation: 5, sequence: 9 }),
        notice: CancellationNotice {
            since: 310,
            complete: true,
            jobs: vec![CancelledJob { id: "j-000001".into(), version: 350, done: 2 }],
        },
        known: vec![
            KnownMember {
                member: "m-1".into(),
                age_ms: Some(0),
                coverage: Some(CoverageAge { from_ms: 60_000, until_ms: 0 }),
            },
            KnownMember { member: "m-2".into(), age_ms: None, coverage: None },
        ],
        covered_for_ms: 61_500,
        hold_promised: true,
        reply_requested: false,
    };
    Message { cancellation_sync: Some(sync), ..message() }
}

#[test]
fn frame_with_a_cancellation_sync_keeps_its_bytes() {
    assert_eq!(encode(message_with_cancellation_sync()), FRAME_WITH_CANCELLATION_SYNC);
    assert_eq!(decode(&FRAME_WITH_CANCELLATION_SYNC), Some(message_with_cancellation_sync()));
}
