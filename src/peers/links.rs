//! Sending and receiving frames over TCP.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use stonewheel_http_server::accept_connections;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time::{Duration, timeout},
};
use tokio_util::{
    codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
    sync::CancellationToken,
};
use tracing::warn;

use super::frames::{Message, decode, encode};

/// Incoming links at once for each other controller. One is in use; after cuts
/// and restarts some more are left half open until they have been silent for a
/// lease.
const LINKS_PER_MEMBER: usize = 16;

/// Frames that are sent have no limit of this side's own: what the receiver
/// accepts bounds them.
const MAX_SENT_FRAME: usize = u32::MAX as usize;

/// Incoming links at once. Each may hold an unfinished frame, so without a bound
/// whoever opens many could fill the memory of a small machine.
pub fn max_links(members: usize) -> usize {
    members.max(1) * LINKS_PER_MEMBER
}

/// The times and bounds of a controller's links.
#[derive(Clone, Copy, Debug)]
pub struct LinkTiming {
    /// The number of other controllers.
    pub members: usize,
    /// The longest frame that this controller receives, in bytes.
    pub frame_limit: usize,
    /// An incoming link without a frame for so long is closed.
    pub receive_timeout: Duration,
    /// The time between two heartbeats, and how long one may take to send.
    pub heartbeat_interval: Duration,
}

/// What links need of the controller that they belong to.
pub trait MessageHandler: Send + Sync + 'static {
    /// The times and bounds of the links.
    fn link_timing(&self) -> LinkTiming;

    /// The message for one other controller now.
    fn message(&self, receiver: &str) -> Message;

    /// Processes another controller's message.
    fn on_message(&self, message: Message);

    /// Changes whenever heartbeats are to be sent at once.
    fn immediate_heartbeats(&self) -> watch::Receiver<()>;
}

fn codec(frame_limit: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(frame_limit).new_codec()
}

/// Receives the other controllers' messages until `stop` is cancelled.
pub async fn listen<H: MessageHandler>(
    handler: Arc<H>,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let slots = Arc::new(Semaphore::new(max_links(handler.link_timing().members)));
    let unreadable_logged = Arc::new(AtomicBool::new(false));
    let link = |stream: TcpStream, stop: CancellationToken| {
        let (handler, unreadable_logged) = (handler.clone(), unreadable_logged.clone());
        async move {
            tokio::select! {
                () = receive(handler, stream, &unreadable_logged) => {}
                () = stop.cancelled() => {}
            }
        }
    };
    accept_connections(listener, slots, stop, link).await;
}

/// Receives the frames of one link. `unreadable_logged`: an unreadable one was
/// logged by this process; whoever sends one sends many.
async fn receive<H: MessageHandler>(
    handler: Arc<H>,
    stream: TcpStream,
    unreadable_logged: &AtomicBool,
) {
    let timing = handler.link_timing();
    let mut frames = FramedRead::new(stream, codec(timing.frame_limit));
    while let Ok(Some(Ok(frame))) = timeout(timing.receive_timeout, frames.next()).await {
        match decode(&frame) {
            Some(message) => handler.on_message(message),
            // A newer version may send what this one can't read, and later
            // frames may be readable: the link stays.
            None if !unreadable_logged.swap(true, Ordering::Relaxed) => {
                warn!("controller heartbeat unreadable; further ones are not logged");
            }
            None => {}
        }
    }
}

/// Sends heartbeats to one other controller until `stop` is cancelled.
pub async fn send_heartbeats<H: MessageHandler>(
    handler: Arc<H>,
    receiver: String,
    endpoint: SocketAddr,
    stop: CancellationToken,
) {
    let interval = handler.link_timing().heartbeat_interval;
    let mut immediate = handler.immediate_heartbeats();
    let send = async {
        loop {
            if let Ok(Ok(stream)) = timeout(interval, TcpStream::connect(endpoint)).await {
                send_until_failure(&*handler, &receiver, stream, &mut immediate).await;
            }
            tokio::time::sleep(interval).await;
        }
    };
    tokio::select! {
        () = send => {}
        () = stop.cancelled() => {}
    }
}

/// Sends heartbeats over one connection until one can't be sent in time.
async fn send_until_failure<H: MessageHandler>(
    handler: &H,
    receiver: &str,
    stream: TcpStream,
    immediate: &mut watch::Receiver<()>,
) {
    let interval = handler.link_timing().heartbeat_interval;
    let mut frames = FramedWrite::new(stream, codec(MAX_SENT_FRAME));
    loop {
        let frame = Bytes::from(encode(handler.message(receiver)));
        match timeout(interval, frames.send(frame)).await {
            Ok(Ok(())) => drop(timeout(interval, immediate.changed()).await),
            _ => return,
        }
    }
}
