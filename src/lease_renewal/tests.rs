use super::*;

const PROMISE: Duration = Duration::from_secs(4);

fn pair() -> (RenewalAbstentions, RenewalAbstentions, Instant) {
    let now = Instant::now();
    let leader = RenewalAbstentions::new(vec!["b".into()], 1, PROMISE, now);
    let other = RenewalAbstentions::new(vec!["a".into()], 2, PROMISE, now);
    (leader, other, now)
}

/// A heartbeat of the leader, heard at `at`, and the answer to it.
fn exchange(
    leader: &mut RenewalAbstentions,
    other: &mut RenewalAbstentions,
    sent: Instant,
    at: Instant,
) {
    let (id, acknowledged) = leader.beat("b", sent);
    other.heard_from("a", id, Some(0), acknowledged.map(|(id, _)| id), at);
    let (id, acknowledged) = other.beat("a", at);
    leader.heard_from("b", id, None, acknowledged.map(|(id, _)| id), at);
}

#[test]
fn a_leader_is_alone_only_while_promises_last() {
    let (mut leader, mut other, now) = pair();
    let at = |s: u64| now + Duration::from_secs(s);
    assert_eq!(leader.alone_since(now), None, "nothing was promised yet");
    assert!(!other.free(at(3)), "it may be its former self's promise");
    assert!(other.free(at(5)));
    exchange(&mut leader, &mut other, at(6), at(6));
    exchange(&mut leader, &mut other, at(8), at(8));
    assert_eq!(leader.alone_since(at(9)), Some(at(6)));
    assert!(!other.free(at(11)));
    // The leader stops counting on the promise before the other is free.
    assert_eq!(leader.alone_since(at(12)), None);
    assert!(!other.free(at(12)) && other.free(at(13)));
    exchange(&mut leader, &mut other, at(14), at(14));
    assert_eq!(leader.alone_since(at(15)), Some(at(14)), "the gap counts");
}

#[test]
fn promises_of_an_earlier_term_are_forgotten() {
    // Another may have led in between and answered workers.
    let (mut leader, mut other, now) = pair();
    let at = |s: u64| now + Duration::from_secs(s);
    exchange(&mut leader, &mut other, at(1), at(1));
    assert!(leader.alone_since(at(2)).is_some());
    leader.begin_term();
    assert_eq!(leader.alone_since(at(2)), None);
    let (id, acknowledged) = other.beat("a", at(2));
    leader.heard_from("b", id, None, acknowledged.map(|(id, _)| id), at(2));
    assert_eq!(leader.alone_since(at(2)), None, "an echo of the earlier term");
    exchange(&mut leader, &mut other, at(3), at(3));
    assert_eq!(leader.alone_since(at(4)), Some(at(3)));
}

#[test]
fn a_late_heartbeat_promises_nothing_that_is_over() {
    let (mut leader, mut other, now) = pair();
    let at = |s: u64| now + Duration::from_secs(s);
    exchange(&mut leader, &mut other, at(1), at(6));
    assert_eq!(leader.alone_since(at(6)), None);
    // Nor does an echo of what a former self of the leader sent.
    let (id, acknowledged) = other.beat("a", at(6));
    let mut successor = RenewalAbstentions::new(vec!["b".into()], 3, PROMISE, at(6));
    successor.beat("b", at(6));
    successor.heard_from("b", id, None, acknowledged.map(|(id, _)| id), at(6));
    assert_eq!(successor.alone_since(at(6)), None);
}

#[test]
fn the_horizon_is_that_of_the_member_least_known() {
    let now = Instant::now();
    let at = |s: u64| now + Duration::from_secs(s);
    let of =
        |known_cancellations: &KnownCancellations| known_cancellations.of(["b", "c"].into_iter());
    let mut known_cancellations = KnownCancellations::default();
    assert_eq!(of(&known_cancellations), None, "nothing was read yet");
    known_cancellations.read(at(5));
    assert_eq!(of(&known_cancellations), Some(at(5)), "a reading counts for all");
    known_cancellations.heard_all("b", at(9));
    assert_eq!(of(&known_cancellations), Some(at(5)), "c may have told more");
    known_cancellations.heard_all("c", at(7));
    assert_eq!(of(&known_cancellations), Some(at(7)));
    known_cancellations.heard_all("b", at(8));
    known_cancellations.read(at(6));
    assert_eq!(of(&known_cancellations), Some(at(7)), "what comes late takes nothing back");
}

#[test]
fn a_late_echo_promises_nothing_but_still_dates_what_was_told() {
    let (mut leader, mut other, now) = pair();
    let at = |s: u64| now + Duration::from_secs(s);
    let (id, acknowledged) = leader.beat("b", at(1));
    other.heard_from("a", id, Some(7), acknowledged.map(|(id, _)| id), at(2));
    let (id, acknowledged) = other.beat("a", at(2));
    let (acknowledged, since) = acknowledged.expect("heard a leader");
    assert_eq!(since, 7, "as the leader's heartbeat had it");
    assert_eq!(leader.heard_from("b", id, None, Some(acknowledged), at(9)), Some(at(1)));
    assert_eq!(leader.alone_since(at(9)), None);
    // One of a former process is not recognised.
    assert_eq!(leader.heard_from("b", id, None, Some((9, acknowledged.1)), at(9)), None);
}
