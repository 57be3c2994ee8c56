use std::convert::Infallible;

use futures_util::stream::{self, Stream, StreamExt};
use http_body_util::{Full, StreamBody};
use hyper::body::Frame;

use super::*;

const WITHIN: Duration = Duration::from_secs(5);

/// Room for four of the largest bodies of each kind of sender.
fn budget() -> Arc<BodyBudget> {
    Arc::new(BodyBudget::new(BODY_LIMIT as f64 * 4.0 * MEMORY_PARTS, WITHIN))
}

fn full(length: usize) -> Full<Bytes> {
    Full::from(vec![b'x'; length])
}

/// A body of unknown length whose sender stops in the middle.
fn stalled() -> StreamBody<impl Stream<Item = Result<Frame<Bytes>, Infallible>>> {
    let part = Ok(Frame::data(Bytes::from_static(b"{")));
    StreamBody::new(stream::iter([part]).chain(stream::pending()))
}

#[tokio::test(start_paused = true)]
async fn bodies_up_to_the_limit_are_read_whole() {
    let budget = budget();
    for length in [0, 1, SMALL_BODY, SMALL_BODY + 1, BODY_LIMIT] {
        let body = budget.read(Sender::Other, full(length)).await.expect("within the limit");
        assert_eq!(body.bytes.len(), length);
    }
    let longer = budget.read(Sender::Other, full(BODY_LIMIT + 1)).await;
    assert_eq!(longer.err(), Some(BodyError::Unreadable));
    let parts = (0..5).map(|n| Ok::<_, Infallible>(Frame::data(Bytes::from(vec![b'0' + n; 3]))));
    let pieces = budget.read(Sender::Other, StreamBody::new(stream::iter(parts))).await;
    assert_eq!(pieces.expect("read").bytes, "000111222333444");
    let endless =
        stream::repeat_with(|| Ok::<_, Infallible>(Frame::data(Bytes::from(vec![0; 999]))));
    let endless = budget.read(Sender::Other, StreamBody::new(endless)).await;
    assert_eq!(endless.err(), Some(BodyError::Unreadable));
}

#[tokio::test(start_paused = true)]
async fn stalled_bodies_take_no_more_than_their_share_and_not_for_ever() {
    let budget = budget();
    let begin = tokio::time::Instant::now();
    let mut stalling = Vec::new();
    for _ in 0..4 {
        let budget = budget.clone();
        stalling.push(tokio::spawn(async move { budget.read(Sender::Other, stalled()).await }));
    }
    tokio::time::sleep(WITHIN / 2).await;
    let large = || budget.read(Sender::Other, full(BODY_LIMIT));
    assert_eq!(large().await.err(), Some(BodyError::NoRoom), "told at once");
    assert!(budget.read(Sender::Other, full(SMALL_BODY)).await.is_ok(), "small ones need no room");
    assert!(budget.read(Sender::Worker, full(BODY_LIMIT)).await.is_ok(), "reports have their own");
    for stalled in stalling {
        assert_eq!(stalled.await.expect("ran").err(), Some(BodyError::TooSlow));
    }
    assert!(begin.elapsed() < WITHIN * 2, "{:?}", begin.elapsed());
    let read = large().await.expect("there is room again");
    let more: Vec<_> = [large().await, large().await, large().await].into_iter().collect();
    assert!(more.iter().all(Result::is_ok));
    assert!(large().await.is_err(), "a body that was read keeps its room while it is handled");
    drop(read);
    assert!(large().await.is_ok());
}
