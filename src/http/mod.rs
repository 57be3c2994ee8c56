//! HTTP, both sides: warp routes for users and workers, and the client.

mod body;
pub mod server;

pub use stonewheel_http_client as client;

use std::{io, net::SocketAddr, time::Duration};

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_util::sync::CancellationToken;

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
