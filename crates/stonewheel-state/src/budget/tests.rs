use super::*;

#[tokio::test(start_paused = true)]
async fn delayable_requests_leave_a_reserve_for_urgent_ones() {
    let budget = Budget::new(8.0);
    let started_at = Instant::now();
    // Of eight tokens, watches may take four and reads two more.
    for _ in 0..4 {
        budget.take_with_reserve(1.0, Reserve::Half).await;
    }
    for _ in 0..2 {
        budget.take_with_reserve(1.0, Reserve::Quarter).await;
    }
    assert_eq!(started_at.elapsed(), Duration::ZERO);
    assert!(budget.try_take(1.0, Reserve::Half).is_err());
    assert!(budget.try_take(1.0, Reserve::Quarter).is_err());
    for _ in 0..2 {
        budget.take(1.0).await;
    }
    assert_eq!(started_at.elapsed(), Duration::ZERO);
    assert!(budget.try_take(1.0, Reserve::Nothing).is_err());
}

#[tokio::test(start_paused = true)]
async fn a_watch_passes_a_budget_smaller_than_amount_and_reserve() {
    let budget = Budget::new(0.5);
    for _ in 0..3 {
        budget.take_with_reserve(1.0, Reserve::Half).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_burst_passes_immediately_and_the_rate_applies_afterwards() {
    let budget = Budget::with_burst(2.0, 6.0);
    let started_at = Instant::now();
    for _ in 0..6 {
        budget.take(1.0).await;
    }
    assert_eq!(started_at.elapsed(), Duration::ZERO);
    for _ in 0..4 {
        budget.take(1.0).await;
    }
    assert!(started_at.elapsed() >= Duration::from_millis(1990), "{:?}", started_at.elapsed());
}
