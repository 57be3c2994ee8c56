//! Cancellation of background tasks.

use tokio_util::sync::CancellationToken;

/// Runs `task` to its end, or drops it when `stop` is cancelled.
pub(super) async fn until_cancelled(stop: CancellationToken, task: impl Future<Output = ()>) {
    tokio::select! {
        () = task => {}
        () = stop.cancelled() => {}
    }
}
