//! Listeners and connections of HTTP servers, with bounded backlogs, connection counts, header
//! times and buffers.

#![warn(missing_docs)]

use std::{error::Error, io, net::SocketAddr, sync::Arc, time::Duration};

use hyper::{
    Request, Response,
    body::{Body, Incoming},
    service::Service,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::Semaphore,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tracing::debug;

/// The pause after a failed accept before the next attempt.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Opens a listener with a queue of up to `backlog` connections that wait to be accepted.
pub fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // Lets a restarted process bind the port while old connections are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Returns the next connection, or `None` once `stop` is cancelled. A failed accept (no free
/// socket, or a client that has already disconnected) is retried after a pause.
async fn accept(listener: &TcpListener, stop: &CancellationToken) -> Option<TcpStream> {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return None,
        };
        match accepted {
            Ok((stream, _)) => return Some(stream),
            Err(e) => {
                debug!(error = %e, "accepting a connection failed");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts connections until `stop` is cancelled, and then waits until all of them are closed.
///
/// Each connection is handled by a task that runs `handle` and holds a permit of `slots`, so
/// their number bounds the number of open connections. Each task gets a clone of `stop` and
/// is expected to end soon after it is cancelled.
pub async fn accept_connections<R: Future<Output = ()> + Send + 'static>(
    listener: TcpListener,
    slots: Arc<Semaphore>,
    stop: CancellationToken,
    handle: impl Fn(TcpStream, CancellationToken) -> R,
) {
    let connections = TaskTracker::new();
    loop {
        let slot = tokio::select! {
            slot = slots.clone().acquire_owned() => slot,
            () = stop.cancelled() => break,
        };
        let Some(stream) = accept(&listener, &stop).await else { break };
        let handling = handle(stream, stop.clone());
        connections.spawn(async move {
            handling.await;
            drop(slot);
        });
    }
    connections.close();
    connections.wait().await;
}

/// The limits of one connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// The time-out for reading a request's header, including the idle time before it.
    pub header_timeout: Duration,
    /// The maximum size of the read buffer, in bytes.
    pub buffer_bytes: usize,
}

/// Serves one connection until it closes. Once `stop` is cancelled, the request in progress is
/// still answered, and then the connection is closed.
pub async fn serve_connection<S, B>(
    stream: TcpStream,
    service: S,
    limits: ConnectionLimits,
    stop: CancellationToken,
) where
    S: Service<Request<Incoming>, Response = Response<B>>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.buffer_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        result = connection.as_mut() => {
            if let Err(e) = result {
                debug!(error = %e, "serving a connection failed");
            }
        }
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}
