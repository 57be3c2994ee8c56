use super::*;

#[tokio::test(start_paused = true)]
async fn shrinks_when_slow_and_grows_when_quick() {
    let limit = AdmissionLimit::new(Duration::from_millis(100), 64);
    let start = limit.limit();
    for _ in 0..WINDOW * 4 {
        let permit = limit.enter().expect("room");
        tokio::time::advance(Duration::from_millis(500)).await;
        permit.finish();
    }
    let shrunk = limit.limit();
    assert!(shrunk < start / 2, "{shrunk} of {start}");
    let held: Vec<_> = std::iter::from_fn(|| limit.enter()).collect();
    assert_eq!(held.len(), shrunk);
    assert!(limit.enter().is_none(), "refused at the limit");
    for permit in held {
        permit.discard();
    }
    for _ in 0..WINDOW * 4 {
        let all: Vec<_> = std::iter::from_fn(|| limit.enter()).collect();
        for permit in all {
            permit.finish();
        }
    }
    assert!(limit.limit() > shrunk);
}
