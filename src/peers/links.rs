//! Sends and receives frames between controllers over TCP.

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

/// Maximum number of concurrent incoming links per other controller. Only one is in use.
/// Network partitions and restarts leave further links half open, and these are closed
/// only after they have received no frame for `receive_timeout`.
const MAX_LINKS_PER_MEMBER: usize = 16;

/// Maximum length in bytes of a sent frame in the codec. It does not limit frames in
/// practice: the messages are built to fit the frame limit that the receiver announced.
const MAX_SENT_FRAME_BYTES: usize = u32::MAX as usize;

/// Returns the maximum number of concurrent incoming links for `members` other
/// controllers. Each link may buffer an incomplete frame, so a client that opens many
/// links could otherwise exhaust the memory of a small machine.
pub fn max_links(members: usize) -> usize {
    members.max(1) * MAX_LINKS_PER_MEMBER
}

/// Time-outs and limits of a controller's links.
#[derive(Clone, Copy, Debug)]
pub struct LinkSettings {
    /// The number of other controllers.
    pub members: usize,
    /// The longest frame that this controller accepts, in bytes.
    pub frame_limit: usize,
    /// How long an incoming link may go without a frame before it is closed.
    pub receive_timeout: Duration,
    /// The interval between two heartbeats. It is also the time-out for connecting and
    /// for sending one heartbeat.
    pub heartbeat_interval: Duration,
}

/// The controller's side of its links: provides the messages to send and processes the
/// received ones.
pub trait MessageHandler: Send + Sync + 'static {
    /// Returns the time-outs and limits of the links.
    fn link_settings(&self) -> LinkSettings;

    /// Returns the message to send now to one other controller.
    fn message(&self, receiver: &str) -> Message;

    /// Processes another controller's message.
    fn on_message(&self, message: Message);

    /// Returns a channel that changes whenever a heartbeat is to be sent to this controller
    /// immediately, before the current interval ends. None if it is not a member.
    fn immediate_heartbeats(&self, receiver: &str) -> Option<watch::Receiver<()>>;
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
    let slots = Arc::new(Semaphore::new(max_links(handler.link_settings().members)));
    let undecodable_logged = Arc::new(AtomicBool::new(false));
    let link = |stream: TcpStream, stop: CancellationToken| {
        let (handler, undecodable_logged) = (handler.clone(), undecodable_logged.clone());
        async move {
            tokio::select! {
                () = receive(handler, stream, &undecodable_logged) => {}
                () = stop.cancelled() => {}
            }
        }
    };
    accept_connections(listener, slots, stop, link).await;
}

/// Receives the frames of one link. `undecodable_logged`: whether this process has logged
/// an undecodable frame. Only the first one is logged, because a controller that sends
/// one sends such a frame with every heartbeat.
async fn receive<H: MessageHandler>(
    handler: Arc<H>,
    stream: TcpStream,
    undecodable_logged: &AtomicBool,
) {
    let settings = handler.link_settings();
    let mut frames = FramedRead::new(stream, codec(settings.frame_limit));
    while let Ok(Some(Ok(frame))) = timeout(settings.receive_timeout, frames.next()).await {
        match decode(&frame) {
            Some(message) => handler.on_message(message),
            // A newer version may send frames that this one cannot decode. The link stays
            // open, because later frames may be decodable.
            None if !undecodable_logged.swap(true, Ordering::Relaxed) => {
                warn!("controller heartbeat could not be decoded; further ones are not logged");
            }
            None => {}
        }
    }
}

/// Sends heartbeats to one other controller, and reconnects after failures, until `stop`
/// is cancelled.
pub async fn send_heartbeats<H: MessageHandler>(
    handler: Arc<H>,
    receiver: String,
    endpoint: SocketAddr,
    stop: CancellationToken,
) {
    let interval = handler.link_settings().heartbeat_interval;
    let Some(mut immediate_heartbeats) = handler.immediate_heartbeats(&receiver) else { return };
    let send = async {
        loop {
            if let Ok(Ok(stream)) = timeout(interval, TcpStream::connect(endpoint)).await {
                send_until_failure(&*handler, &receiver, stream, &mut immediate_heartbeats).await;
            }
            tokio::time::sleep(interval).await;
        }
    };
    tokio::select! {
        () = send => {}
        () = stop.cancelled() => {}
    }
}

/// Sends heartbeats over one connection until one fails or takes longer than the heartbeat
/// interval to send.
async fn send_until_failure<H: MessageHandler>(
    handler: &H,
    receiver: &str,
    stream: TcpStream,
    immediate_heartbeats: &mut watch::Receiver<()>,
) {
    let interval = handler.link_settings().heartbeat_interval;
    let mut frames = FramedWrite::new(stream, codec(MAX_SENT_FRAME_BYTES));
    loop {
        let frame = Bytes::from(encode(handler.message(receiver)));
        match timeout(interval, frames.send(frame)).await {
            Ok(Ok(())) => drop(timeout(interval, immediate_heartbeats.changed()).await),
            _ => return,
        }
    }
}
