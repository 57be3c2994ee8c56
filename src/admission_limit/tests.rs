use super::*;

#[tokio::test(start_paused = true)]
async fn limit_shrinks_with_slow_requests_and_grows_with_fast_ones() {
    let limit = AdmissionLimit::new(Duration::from_millis(100), 64);
    let initial_limit = limit.limit();
    for _ in 0..WINDOW_REQUESTS * 4 {
        let permit = limit.try_acquire().expect("the limit is not reached");
        tokio::time::advance(Duration::from_millis(500)).await;
        permit.finish();
    }
    let reduced_limit = limit.limit();
    assert!(reduced_limit < initial_limit / 2, "{reduced_limit} of {initial_limit}");
    let permits: Vec<_> = std::iter::from_fn(|| limit.try_acquire()).collect();
    assert_eq!(permits.len(), reduced_limit);
    assert!(limit.try_acquire().is_none(), "refused at the limit");
    for permit in permits {
        permit.discard();
    }
    for _ in 0..WINDOW_REQUESTS * 4 {
        let permits: Vec<_> = std::iter::from_fn(|| limit.try_acquire()).collect();
        for permit in permits {
            permit.finish();
        }
    }
    assert!(limit.limit() > reduced_limit);
}
