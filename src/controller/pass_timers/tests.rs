use super::*;

const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

fn timers_after_first_round(now: Instant) -> PassTimers {
    let mut timers = PassTimers::new(now);
    timers.begin_tick();
    assert!(timers.take_sweep(now, SWEEP_INTERVAL));
    assert_eq!(timers.take_pass(now, || false), Some(PassKind::Round));
    timers.begin_round(now, Duration::from_secs(60));
    timers
}

#[test]
fn nothing_is_due_until_something_changes() {
    let now = Instant::now();
    let mut timers = timers_after_first_round(now);
    assert!(!timers.needs_tick() && !timers.take_sweep(now, SWEEP_INTERVAL));
    assert_eq!(timers.take_pass(now, || true), None, "the next round is not due");
    timers.record_change();
    assert!(timers.needs_tick());
    assert_eq!(timers.take_pass(now, || false), Some(PassKind::Placement));
    assert_eq!(timers.take_pass(now, || false), None, "the pass before considered all changes");
}

#[test]
fn a_round_is_due_after_its_interval_if_it_was_requested_or_jobs_wait() {
    let now = Instant::now();
    let later = now + Duration::from_secs(60);
    let mut timers = timers_after_first_round(now);
    assert_eq!(timers.take_pass(later, || false), None);
    assert_eq!(timers.take_pass(later, || true), Some(PassKind::Round));
    timers.request_round();
    assert_eq!(timers.take_pass(later, || false), Some(PassKind::Round));
}

#[test]
fn passes_take_at_most_an_eighth_of_the_time() {
    let now = Instant::now();
    let mut timers = timers_after_first_round(now);
    timers.record_tick_duration(now, Duration::from_secs(1));
    timers.record_change_within_tick();
    assert!(!timers.needs_tick());
    assert_eq!(timers.take_pass(now + Duration::from_secs(7), || false), None);
    let due = now + Duration::from_secs(8);
    assert_eq!(
        timers.take_pass(due, || false),
        Some(PassKind::Placement),
        "the change is kept until the pass"
    );
}

#[test]
fn the_next_tick_is_due_with_the_pass_only_if_the_state_service_is_available() {
    let now = Instant::now();
    let mut timers = timers_after_first_round(now);
    assert_eq!(timers.next_tick(StateService::Available), now + SWEEP_INTERVAL);
    timers.record_change();
    assert_eq!(timers.next_tick(StateService::Available), now);
    assert_eq!(timers.next_tick(StateService::Unavailable), now + SWEEP_INTERVAL);
}
