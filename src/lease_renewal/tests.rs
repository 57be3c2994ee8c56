use tokio::time::{Duration, Instant};

use super::*;
use crate::protocol::HeartbeatId;

const ABSTENTION: Duration = Duration::from_secs(4);

fn pair() -> (RenewalAbstentions, RenewalAbstentions, Instant) {
    let now = Instant::now();
    let leader = RenewalAbstentions::new(vec!["b".into()], 1, ABSTENTION, now);
    let other = RenewalAbstentions::new(vec!["a".into()], 2, ABSTENTION, now);
    (leader, other, now)
}

fn acknowledged_id(heartbeat: OutgoingHeartbeat) -> Option<HeartbeatId> {
    heartbeat.acknowledged.map(|acknowledged| acknowledged.id)
}

/// A heartbeat of the leader, received at `at`, and the answer to it.
fn exchange(
    leader: &mut RenewalAbstentions,
    other: &mut RenewalAbstentions,
    sent: Instant,
    at: Instant,
) {
    let heartbeat = leader.next_heartbeat("b", sent);
    other.receive("a", heartbeat.id, Some(0), acknowledged_id(heartbeat), at);
    let heartbeat = other.next_heartbeat("a", at);
    leader.receive("b", heartbeat.id, None, acknowledged_id(heartbeat), at);
}

#[test]
fn a_leader_is_the_sole_renewer_only_while_abstentions_last() {
    let (mut leader, mut other, now) = pair();
    let at = |s: u64| now + Duration::from_secs(s);
    assert_eq!(leader.sole_renewer_since(now), None, "no abstention yet");
    assert!(!other.may_renew(at(3)), "it may be its former process's abstention");
    assert!(other.may_renew(at(5)));
    exchange(&mut leader, &mut other, at(6), at(6));
    exchange(&mut leader, &mut other, at(8), at(8));
    assert_eq!(leader.sole_renewer_since(at(9)), Some(at(6)));
    assert!(!other.may_renew(at(11)));
    // The leader stops counting on the abstention before the other may renew.
    assert_eq!(leader.sole_renewer_since(at(12)), None);
    assert!(!other.may_renew(at(12)) && other.may_renew(at(13)));
    exchange(&mut leader, &mut other, at(14), at(14));
    assert_eq!(leader.sole_renewer_since(at(15)), Some(at(14)), "the gap counts");
}

#[test]
fn abstentions_of_an_earlier_term_are_forgotten() {
    // Another may have led in between and answered workers.
    let (mut leader, mut other, now) = pair();
    let at = |s: u64| now + Duration::from_secs(s);
    exchange(&mut leader, &mut other, at(1), at(1));
    assert!(leader.sole_renewer_since(at(2)).is_some());
    leader.begin_term();
    assert_eq!(leader.sole_renewer_since(at(2)), None);
    let heartbeat = other.next_heartbeat("a", at(2));
    leader.receive("b", heartbeat.id, None, acknowledged_id(heartbeat), at(2));
    assert_eq!(leader.sole_renewer_since(at(2)), None, "an acknowledgement of the earlier term");
    exchange(&mut leader, &mut other, at(3), at(3));
    assert_eq!(leader.sole_renewer_since(at(4)), Some(at(3)));
}

#[test]
fn a_late_heartbeat_proves_no_abstention_that_is_over() {
    let (mut leader, mut other, now) = pair();
    let at = |s: u64| now + Duration::from_secs(s);
    exchange(&mut leader, &mut other, at(1), at(6));
    assert_eq!(leader.sole_renewer_since(at(6)), None);
    // Nor does an acknowledgement of what a former process of the leader sent.
    let heartbeat = other.next_heartbeat("a", at(6));
    let mut successor = RenewalAbstentions::new(vec!["b".into()], 3, ABSTENTION, at(6));
    successor.next_heartbeat("b", at(6));
    successor.receive("b", heartbeat.id, None, acknowledged_id(heartbeat), at(6));
    assert_eq!(successor.sole_renewer_since(at(6)), None);
}

#[test]
fn the_watermark_is_that_of_the_member_least_known() {
    let now = Instant::now();
    let at = |s: u64| now + Duration::from_secs(s);
    let of = |watermarks: &CancellationWatermarks| watermarks.known_until(["b", "c"].into_iter());
    let mut watermarks = CancellationWatermarks::default();
    assert_eq!(of(&watermarks), None, "nothing was read yet");
    watermarks.record_read(at(5));
    assert_eq!(of(&watermarks), Some(at(5)), "a reading counts for all");
    watermarks.record_complete_notice("b", at(9));
    assert_eq!(of(&watermarks), Some(at(5)), "c may have told more");
    watermarks.record_complete_notice("c", at(7));
    assert_eq!(of(&watermarks), Some(at(7)));
    watermarks.record_complete_notice("b", at(8));
    watermarks.record_read(at(6));
    assert_eq!(of(&watermarks), Some(at(7)), "what comes late takes nothing back");
}

#[test]
fn a_late_acknowledgement_proves_no_abstention_but_dates_the_notice() {
    let (mut leader, mut other, now) = pair();
    let at = |s: u64| now + Duration::from_secs(s);
    let heartbeat = leader.next_heartbeat("b", at(1));
    other.receive("a", heartbeat.id, Some(7), acknowledged_id(heartbeat), at(2));
    let heartbeat = other.next_heartbeat("a", at(2));
    let acknowledged = heartbeat.acknowledged.expect("heard a leader");
    assert_eq!(acknowledged.revision, 7, "as the leader's heartbeat had it");
    assert_eq!(leader.receive("b", heartbeat.id, None, Some(acknowledged.id), at(9)), Some(at(1)));
    assert_eq!(leader.sole_renewer_since(at(9)), None);
    // One of a former process is not recognised.
    let of_former_process = HeartbeatId { incarnation: 9, ..acknowledged.id };
    assert_eq!(leader.receive("b", heartbeat.id, None, Some(of_former_process), at(9)), None);
}
