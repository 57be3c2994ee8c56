//! Background tasks that end when the process does.

use tokio_util::sync::CancellationToken;

/// Runs a task until `stop` is cancelled.
pub(super) async fn until_cancelled(stop: CancellationToken, task: impl Future<Output = ()>) {
    tokio::select! {
        () = task => {}
        () = stop.cancelled() => {}
    }
}
