use tokio::{
    sync::oneshot,
    time::{advance, sleep},
};

use super::*;

const WITHIN: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn an_answer_that_came_while_the_process_stood_still_is_read() {
    let (answer, answered) = oneshot::channel();
    let call = tokio::spawn(timeout_despite_own_delay(WITHIN, answered));
    tokio::task::yield_now().await;
    // Nothing runs for longer than the call may take, and then its timer runs
    // before what would have read the answer.
    advance(WITHIN * 2).await;
    // Much else waits too.
    sleep(WITHIN / 2).await;
    assert!(!call.is_finished(), "given up though the delay was this process's own");
    answer.send(7).expect("somebody waits");
    assert_eq!(call.await.expect("ran"), Some(Ok(7)));
}

#[tokio::test(start_paused = true)]
async fn silence_ends_a_call_in_time_and_a_delay_puts_that_off_by_no_more_than_itself() {
    let begin = Instant::now();
    assert!(timeout_despite_own_delay(WITHIN, std::future::pending::<()>()).await.is_none());
    assert!(begin.elapsed() < WITHIN * 9 / 8, "{:?}", begin.elapsed());
    for delay in [WITHIN / 2, WITHIN * 20] {
        let begin = Instant::now();
        let call = tokio::spawn(timeout_despite_own_delay(WITHIN, std::future::pending::<()>()));
        tokio::task::yield_now().await;
        advance(WITHIN + delay).await;
        assert!(call.await.expect("ran").is_none());
        let grace = begin.elapsed() - WITHIN - delay;
        assert!(grace <= delay.min(WITHIN) + WITHIN / 8, "{grace:?} after a delay of {delay:?}");
    }
}
