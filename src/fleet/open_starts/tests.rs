use super::*;

fn key(task: u32) -> TaskKey {
    TaskKey { job: "j-000001".into(), task }
}

fn start(task: u32) -> TaskAttempt {
    TaskAttempt { key: key(task), attempt: 1 }
}

#[test]
fn start_stays_open_until_all_its_requests_are_closed() {
    let mut open = OpenStarts::default();
    open.record_sent(1, 5, vec![start(0)]);
    open.record_sent(2, 5, vec![start(0), start(1)]);
    open.close(1);
    assert!(
        !open.is_open(1) && open.contains(&key(0), 1),
        "the other request carries the same start"
    );
    open.close(2);
    assert!(open.is_empty() && !open.contains_job("j-000001"));
}

#[test]
fn fence_closes_requests_with_lower_tokens() {
    let mut open = OpenStarts::default();
    open.record_sent(1, 5, vec![start(0)]);
    open.record_sent(2, 6, vec![start(1)]);
    open.fence(6);
    assert!(!open.contains_task(&key(0)) && open.contains_task(&key(1)));
    open.end_incarnation();
    assert!(open.is_empty() && !open.is_open(2));
}

#[test]
fn only_the_sent_attempt_is_open() {
    let mut open = OpenStarts::default();
    open.record_sent(1, 5, vec![start(0)]);
    assert!(!open.contains(&key(0), 2));
    assert_eq!(open.len(), 1);
    open.record_sent(2, 5, Vec::new());
    assert!(!open.is_open(2), "a request without starts is not kept");
}

#[test]
fn copies_of_answered_requests_are_valid_until_a_higher_token_or_incarnation() {
    let mut open = OpenStarts::default();
    open.record_sent(1, 5, Vec::new());
    assert!(!open.copies_are_valid_at(5), "a copy without starts starts nothing");
    open.record_sent(2, 6, vec![start(0)]);
    open.close(2);
    assert!(open.is_empty() && open.copies_are_valid_at(5) && open.copies_are_valid_at(6));
    assert!(!open.copies_are_valid_at(7));
    open.end_incarnation();
    assert!(!open.copies_are_valid_at(6));
}
