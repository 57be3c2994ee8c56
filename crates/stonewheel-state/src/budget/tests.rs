use super::*;

#[tokio::test(start_paused = true)]
async fn what_can_wait_leaves_a_reserve_for_what_cannot() {
    let budget = Budget::new(8.0);
    let begun = Instant::now();
    // Eight tokens: watches may take four of them, reads two more.
    for _ in 0..4 {
        budget.take_with_reserve(1.0, Reserve::Half).await;
    }
    for _ in 0..2 {
        budget.take_with_reserve(1.0, Reserve::Quarter).await;
    }
    assert_eq!(begun.elapsed(), Duration::ZERO);
    assert!(budget.try_take(1.0, Reserve::Half).is_err());
    assert!(budget.try_take(1.0, Reserve::Quarter).is_err());
    for _ in 0..2 {
        budget.take(1.0).await;
    }
    assert_eq!(begun.elapsed(), Duration::ZERO);
    assert!(budget.try_take(1.0, Reserve::Nothing).is_err());
}

#[tokio::test(start_paused = true)]
async fn even_a_tiny_budget_lets_a_watch_through_in_the_end() {
    let budget = Budget::new(0.5);
    for _ in 0..3 {
        budget.take_with_reserve(1.0, Reserve::Half).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_burst_passes_at_once_and_the_rate_holds_afterwards() {
    let budget = Budget::with_burst(2.0, 6.0);
    let begun = Instant::now();
    for _ in 0..6 {
        budget.take(1.0).await;
    }
    assert_eq!(begun.elapsed(), Duration::ZERO);
    for _ in 0..4 {
        budget.take(1.0).await;
    }
    assert!(begun.elapsed() >= Duration::from_millis(1990), "{:?}", begun.elapsed());
}
