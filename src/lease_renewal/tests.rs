use tokio::time::{Duration, Instant};

use super::*;
use crate::protocol::HeartbeatId;

const ABSTENTION: Duration = Duration::from_secs(4);
const HOLD: Duration = Duration::from_secs(7);

fn leader_and_follower() -> (RenewalAbstentions, RenewalAbstentions, Instant) {
    let now = Instant::now();
    let leader = RenewalAbstentions::new(vec!["b".into()], 1, ABSTENTION, now);
    let follower = RenewalAbstentions::new(vec!["a".into()], 2, ABSTENTION, now);
    (leader, follower, now)
}

fn acknowledged_id(heartbeat: OutgoingHeartbeat) -> Option<HeartbeatId> {
    heartbeat.acknowledged.map(|acknowledged| acknowledged.id)
}

/// Sends a heartbeat of the leader at `sent_at` to the follower, which receives and
/// acknowledges it at `received_at`.
fn exchange(
    leader: &mut RenewalAbstentions,
    follower: &mut RenewalAbstentions,
    sent_at: Instant,
    received_at: Instant,
) {
    let heartbeat = leader.next_heartbeat("b", sent_at);
    follower.receive("a", heartbeat.id, Some(0), acknowledged_id(heartbeat), received_at);
    let heartbeat = follower.next_heartbeat("a", received_at);
    leader.receive("b", heartbeat.id, None, acknowledged_id(heartbeat), received_at);
}

#[test]
fn leader_is_the_sole_renewer_only_during_abstentions() {
    let (mut leader, mut follower, now) = leader_and_follower();
    let at = |s: u64| now + Duration::from_secs(s);
    assert_eq!(leader.sole_renewer_since(now), None, "no abstention yet");
    assert!(!follower.may_renew(at(3)), "a former process may have acknowledged a heartbeat");
    assert!(follower.may_renew(at(5)));
    exchange(&mut leader, &mut follower, at(6), at(6));
    exchange(&mut leader, &mut follower, at(8), at(8));
    assert_eq!(leader.sole_renewer_since(at(9)), Some(at(6)));
    assert!(!follower.may_renew(at(11)));
    // The leader stops relying on the abstention before the follower may renew leases.
    assert_eq!(leader.sole_renewer_since(at(12)), None);
    assert!(!follower.may_renew(at(12)) && follower.may_renew(at(13)));
    exchange(&mut leader, &mut follower, at(14), at(14));
    assert_eq!(
        leader.sole_renewer_since(at(15)),
        Some(at(14)),
        "an abstention after a gap begins anew"
    );
}

#[test]
fn abstentions_of_an_earlier_term_do_not_count() {
    // Another controller may have led between the terms and answered workers.
    let (mut leader, mut follower, now) = leader_and_follower();
    let at = |s: u64| now + Duration::from_secs(s);
    exchange(&mut leader, &mut follower, at(1), at(1));
    assert!(leader.sole_renewer_since(at(2)).is_some());
    leader.begin_term();
    assert_eq!(leader.sole_renewer_since(at(2)), None);
    let heartbeat = follower.next_heartbeat("a", at(2));
    leader.receive("b", heartbeat.id, None, acknowledged_id(heartbeat), at(2));
    assert_eq!(leader.sole_renewer_since(at(2)), None, "an acknowledgement of the earlier term");
    exchange(&mut leader, &mut follower, at(3), at(3));
    assert_eq!(leader.sole_renewer_since(at(4)), Some(at(3)));
}

#[test]
fn late_heartbeat_proves_no_expired_abstention() {
    let (mut leader, mut follower, now) = leader_and_follower();
    let at = |s: u64| now + Duration::from_secs(s);
    exchange(&mut leader, &mut follower, at(1), at(6));
    assert_eq!(leader.sole_renewer_since(at(6)), None);
    // An acknowledgement of a heartbeat from a former process of the leader proves none
    // either.
    let heartbeat = follower.next_heartbeat("a", at(6));
    let mut successor = RenewalAbstentions::new(vec!["b".into()], 3, ABSTENTION, at(6));
    successor.next_heartbeat("b", at(6));
    successor.receive("b", heartbeat.id, None, acknowledged_id(heartbeat), at(6));
    assert_eq!(successor.sole_renewer_since(at(6)), None);
}

#[test]
fn cancellations_are_known_until_the_earliest_moment_of_all_members() {
    let now = Instant::now();
    let at = |s: u64| now + Duration::from_secs(s);
    let mut known = KnownCancellations::new("a", &["b".to_owned(), "c".to_owned()], HOLD, now);
    let known_until = |known: &KnownCancellations| known.known_until(at(100));
    assert_eq!(known_until(&known), None, "no read yet");
    known.record_read(at(5));
    assert_eq!(known_until(&known), Some(at(5)), "a read counts for all members");
    known.record_complete_notice("b", at(9));
    assert_eq!(known_until(&known), Some(at(5)), "c may have confirmed more cancellations");
    known.record_complete_notice("c", at(7));
    assert_eq!(known_until(&known), Some(at(7)));
    known.record_complete_notice("b", at(8));
    known.record_read(at(6));
    assert_eq!(known_until(&known), Some(at(7)), "late records don't move the moment back");
}

#[test]
fn late_acknowledgement_proves_no_abstention_but_dates_the_notice() {
    let (mut leader, mut follower, now) = leader_and_follower();
    let at = |s: u64| now + Duration::from_secs(s);
    let heartbeat = leader.next_heartbeat("b", at(1));
    follower.receive("a", heartbeat.id, Some(7), acknowledged_id(heartbeat), at(2));
    let heartbeat = follower.next_heartbeat("a", at(2));
    let acknowledged = heartbeat.acknowledged.expect("received a leader's heartbeat");
    assert_eq!(acknowledged.revision, 7, "the revision in the leader's heartbeat");
    assert_eq!(leader.receive("b", heartbeat.id, None, Some(acknowledged.id), at(9)), Some(at(1)));
    assert_eq!(leader.sole_renewer_since(at(9)), None);
    // The acknowledgement of a heartbeat from a former process is not recognised.
    let of_former_process = HeartbeatId { incarnation: 9, ..acknowledged.id };
    assert_eq!(leader.receive("b", heartbeat.id, None, Some(of_former_process), at(9)), None);
}

/// Returns the replication of a controller with the only other member `b`, which has learned of
/// the cancellation of `j-1` and sent a complete notice with sequence number 1 one second later.
fn replication_with_a_cancellation(now: Instant) -> CancellationReplication {
    let mut replication =
        CancellationReplication::new(&["b".to_owned()], HOLD, Duration::from_secs(3), now);
    replication.record_cancellation(&"j-1".into(), now);
    let position = replication.position();
    replication.record_sent(1, position, None, now + Duration::from_secs(1));
    replication
}

#[test]
fn cancellation_is_confirmed_once_acknowledged_or_after_the_hold() {
    let now = Instant::now();
    let at = |s: u64| now + Duration::from_secs(s);
    let heartbeat = HeartbeatId { incarnation: 5, sequence: 1 };
    let mut replication = replication_with_a_cancellation(now);
    assert!(!replication.may_confirm("j-1", at(1)), "a former process may have promised it");
    assert!(replication.may_confirm("j-1", at(8)), "nobody can have a promise any more");
    let claim = replication.claim("b", at(8)).expect("a member");
    assert_eq!(claim.covered_for, Duration::ZERO, "confirmed without an acknowledgement");

    let mut replication = replication_with_a_cancellation(now);
    replication.record_heartbeat("b", heartbeat, None, now);
    replication.record_heartbeat("b", heartbeat, Some(1), at(2));
    assert!(replication.may_confirm("j-1", at(2)));
    let claim = replication.claim("b", at(2)).expect("a member");
    assert_eq!((claim.covered_for, claim.hold_promised), (at(2) - now, true));
    replication.record_cancellation(&"j-2".into(), at(3));
    assert!(!replication.may_confirm("j-2", at(9)), "the promise holds from the heartbeat on");
    assert!(replication.may_confirm("j-2", at(10)));

    // A controller whose version acknowledges nothing is not waited for.
    let mut replication = replication_with_a_cancellation(now);
    replication.record_older_version("b");
    assert!(replication.may_confirm("j-1", at(1)));
}

#[test]
fn acknowledgements_of_a_former_process_do_not_count() {
    let now = Instant::now();
    let at = |s: u64| now + Duration::from_secs(s);
    let former = HeartbeatId { incarnation: 5, sequence: 1 };
    let new = HeartbeatId { incarnation: 6, sequence: 1 };
    let mut replication = replication_with_a_cancellation(now);
    replication.record_heartbeat("b", former, None, now);
    replication.record_heartbeat("b", former, Some(1), at(2));
    assert!(replication.may_confirm("j-1", at(2)));
    replication.record_heartbeat("b", new, None, at(3));
    assert!(!replication.may_confirm("j-1", at(3)));
    let claim = replication.claim("b", at(3)).expect("a member");
    assert_eq!((claim.covered_for, claim.hold_promised), (Duration::ZERO, false));
    // A heartbeat of the former process arrives after that of the new one.
    replication.record_heartbeat("b", former, Some(1), at(4));
    assert!(!replication.may_confirm("j-1", at(4)));
}

#[test]
fn controller_whose_acknowledgements_fail_to_come_gets_no_further_promises() {
    let now = Instant::now();
    let at = |s: u64| now + Duration::from_secs(s);
    let heartbeat = HeartbeatId { incarnation: 5, sequence: 1 };
    let mut replication = replication_with_a_cancellation(now);
    replication.record_heartbeat("b", heartbeat, None, now);
    replication.record_heartbeat("b", heartbeat, Some(1), at(2));
    replication.record_cancellation(&"j-2".into(), at(3));
    for second in 3..12 {
        // Its messages arrive, those to it don't.
        replication.record_heartbeat("b", heartbeat, Some(1), at(second));
        let claim = replication.claim("b", at(second)).expect("a member");
        assert_eq!(claim.hold_promised, second <= 4, "{second} s");
    }
    assert!(!replication.may_confirm("j-2", at(11)));
    assert!(replication.may_confirm("j-2", at(12)));
}
