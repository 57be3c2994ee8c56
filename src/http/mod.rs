//! HTTP, both sides: warp routes for users and workers, and the client.

mod body;
pub mod client;
pub mod server;

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// The next connection, or none once told to stop. A failed accept (no free
/// sockets, a caller gone already) is tried again after a moment.
pub async fn accept(listener: &TcpListener, stop: &CancellationToken) -> Option<TcpStream> {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return None,
        };
        match accepted {
            Ok((stream, _)) => return Some(stream),
            Err(e) => {
                tracing::debug!(error = %e, "accept");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}
