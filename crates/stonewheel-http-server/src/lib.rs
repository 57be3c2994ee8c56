//! Listeners and connections of HTTP servers, with bounds on both.

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

/// After a failed accept the next one waits so long.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Listens, with room for so many connections that wait to be accepted.
pub fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A process that comes back at once finds its port still in use.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// The next connection, or none once told to stop. A failed accept (no free
/// sockets, a caller gone already) is tried again after a moment.
async fn accept(listener: &TcpListener, stop: &CancellationToken) -> Option<TcpStream> {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return None,
        };
        match accepted {
            Ok((stream, _)) => return Some(stream),
            Err(e) => {
                debug!(error = %e, "accept");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Accepts connections until told to stop, with a routine for each, no more at once
/// than `slots` has room for; then waits for those that are left. Each routine gets
/// the word to stop, and ends by itself.
pub async fn accept_connections<R: Future<Output = ()> + Send + 'static>(
    listener: TcpListener,
    slots: Arc<Semaphore>,
    stop: CancellationToken,
    routine: impl Fn(TcpStream, CancellationToken) -> R,
) {
    let connections = TaskTracker::new();
    loop {
        let slot = tokio::select! {
            slot = slots.clone().acquire_owned() => slot,
            () = stop.cancelled() => break,
        };
        let Some(stream) = accept(&listener, &stop).await else { break };
        let serving = routine(stream, stop.clone());
        connections.spawn(async move {
            serving.await;
            drop(slot);
        });
    }
    connections.close();
    connections.wait().await;
}

/// What one connection may take.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// How long a request's header may take, idle time before it included.
    pub header_timeout: Duration,
    /// Bytes that are read ahead.
    pub buffer_bytes: usize,
}

/// Serves one connection until it closes. Once told to stop, the request in progress
/// is still answered.
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
                debug!(error = %e, "connection");
            }
        }
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}
