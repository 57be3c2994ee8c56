use std::convert::Infallible;

use futures_util::stream::{self, Stream, StreamExt};
use http_body_util::{Full, StreamBody};
use hyper::body::Frame;

use super::*;

const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// A budget for four bodies of the largest size from each kind of sender.
fn budget() -> Arc<BodyBudget> {
    Arc::new(BodyBudget::new(BODY_LIMIT as f64 * 4.0 * MEMORY_DIVISOR, BODY_TIMEOUT))
}

/// A body of a known length.
fn complete_body(length: usize) -> Full<Bytes> {
    Full::from(vec![b'x'; length])
}

/// A body of unknown length whose sender stops after the first frame.
fn stalled_body() -> StreamBody<impl Stream<Item = Result<Frame<Bytes>, Infallible>>> {
    let first_frame = Ok(Frame::data(Bytes::from_static(b"{")));
    StreamBody::new(stream::iter([first_frame]).chain(stream::pending()))
}

#[tokio::test(start_paused = true)]
async fn bodies_up_to_the_size_limit_are_read_completely() {
    let budget = budget();
    for length in [0, 1, MAX_UNRESERVED_BODY_BYTES, MAX_UNRESERVED_BODY_BYTES + 1, BODY_LIMIT] {
        let body =
            budget.read(Sender::Other, complete_body(length)).await.expect("within the size limit");
        assert_eq!(body.bytes.len(), length);
    }
    let too_long = budget.read(Sender::Other, complete_body(BODY_LIMIT + 1)).await;
    assert_eq!(too_long.err(), Some(BodyError::Unreadable));
    let frames = (0..5).map(|n| Ok::<_, Infallible>(Frame::data(Bytes::from(vec![b'0' + n; 3]))));
    let joined = budget.read(Sender::Other, StreamBody::new(stream::iter(frames))).await;
    assert_eq!(joined.expect("read").bytes, "000111222333444");
    let endless =
        stream::repeat_with(|| Ok::<_, Infallible>(Frame::data(Bytes::from(vec![0; 999]))));
    let endless = budget.read(Sender::Other, StreamBody::new(endless)).await;
    assert_eq!(endless.err(), Some(BodyError::Unreadable));
}

#[tokio::test(start_paused = true)]
async fn stalled_bodies_time_out_and_exhaust_only_the_budget_of_their_senders() {
    let budget = budget();
    let started_at = tokio::time::Instant::now();
    let mut stalled_reads = Vec::new();
    for _ in 0..4 {
        let budget = budget.clone();
        stalled_reads
            .push(tokio::spawn(async move { budget.read(Sender::Other, stalled_body()).await }));
    }
    tokio::time::sleep(BODY_TIMEOUT / 2).await;
    let read_largest = || budget.read(Sender::Other, complete_body(BODY_LIMIT));
    assert_eq!(read_largest().await.err(), Some(BodyError::BudgetExhausted), "refused immediately");
    assert!(
        budget.read(Sender::Other, complete_body(MAX_UNRESERVED_BODY_BYTES)).await.is_ok(),
        "small bodies reserve nothing"
    );
    assert!(
        budget.read(Sender::Worker, complete_body(BODY_LIMIT)).await.is_ok(),
        "heartbeats have a separate budget"
    );
    for stalled_read in stalled_reads {
        assert_eq!(stalled_read.await.expect("ran").err(), Some(BodyError::TooSlow));
    }
    assert!(started_at.elapsed() < BODY_TIMEOUT * 2, "{:?}", started_at.elapsed());
    let first = read_largest().await.expect("the budget was released");
    let others: Vec<_> =
        [read_largest().await, read_largest().await, read_largest().await].into_iter().collect();
    assert!(others.iter().all(Result::is_ok));
    assert!(read_largest().await.is_err(), "a body keeps its reservation while it is handled");
    drop(first);
    assert!(read_largest().await.is_ok());
}
