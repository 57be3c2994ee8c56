use tokio::{
    sync::oneshot,
    time::{advance, sleep},
};

use super::*;

const TIME_LIMIT: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn response_that_arrived_while_the_process_was_stalled_is_read() {
    let (response, received) = oneshot::channel();
    let call = tokio::spawn(timeout_with_delay_grace(TIME_LIMIT, received));
    tokio::task::yield_now().await;
    // The process stalls for longer than the time limit. When it continues, the timer of the call
    // runs before the task that reads the response.
    advance(TIME_LIMIT * 2).await;
    // Other overdue tasks run first.
    sleep(TIME_LIMIT / 2).await;
    assert!(!call.is_finished(), "timed out although this process caused the delay");
    response.send(7).expect("the call still waits");
    assert_eq!(call.await.expect("no panic"), Some(Ok(7)));
}

#[tokio::test(start_paused = true)]
async fn call_without_response_ends_within_its_limit_plus_the_delay_of_the_process() {
    let started_at = Instant::now();
    assert!(timeout_with_delay_grace(TIME_LIMIT, std::future::pending::<()>()).await.is_none());
    assert!(started_at.elapsed() < TIME_LIMIT * 9 / 8, "{:?}", started_at.elapsed());
    for delay in [TIME_LIMIT / 2, TIME_LIMIT * 20] {
        let started_at = Instant::now();
        let call = tokio::spawn(timeout_with_delay_grace(TIME_LIMIT, std::future::pending::<()>()));
        tokio::task::yield_now().await;
        advance(TIME_LIMIT + delay).await;
        assert!(call.await.expect("no panic").is_none());
        let grace = started_at.elapsed() - TIME_LIMIT - delay;
        assert!(
            grace <= delay.min(TIME_LIMIT) + TIME_LIMIT / 8,
            "{grace:?} after a delay of {delay:?}"
        );
    }
}
