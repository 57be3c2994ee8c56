//! Links between the controllers: each greets the others several times per
//! leader lease, in bitcode frames over TCP.
//!
//! A greeting carries no authority. It lets a deposed leader learn of its
//! successor, a node that alone lost the state service know that it is alone,
//! and a leader that hears no worker learn that workers live.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, sync::Mutex};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{Duration, Instant, timeout},
};
use tokio_util::{
    codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
    sync::CancellationToken,
    task::TaskTracker,
};
use tracing::warn;

use crate::{http::accept, node::Node, protocol::Hello, state::lock};

/// A greeting is a few dozen bytes; a longer frame is not one of ours.
const FRAME_LIMIT: usize = 4096;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT).new_codec()
}

/// The latest greeting of each other controller.
#[derive(Default)]
pub struct Peers {
    heard: Mutex<HashMap<String, (Hello, Instant)>>,
}

impl Peers {
    pub fn note(&self, hello: Hello) {
        lock(&self.heard).insert(hello.member.clone(), (hello, Instant::now()));
    }

    /// Whether another controller greeted lately and says so of itself.
    pub fn any(&self, within: Duration, says: impl Fn(&Hello) -> bool) -> bool {
        lock(&self.heard).values().any(|(hello, at)| at.elapsed() < within && says(hello))
    }
}

/// Takes in the others' greetings.
pub async fn listen(node: Arc<Node>, listener: TcpListener, stop: CancellationToken) {
    let links = TaskTracker::new();
    while let Some(stream) = accept(&listener, &stop).await {
        let node = node.clone();
        let stop = stop.clone();
        links.spawn(async move {
            tokio::select! {
                () = hear(node, stream) => {}
                () = stop.cancelled() => {}
            }
        });
    }
    links.close();
    links.wait().await;
}

async fn hear(node: Arc<Node>, stream: TcpStream) {
    let silence = node.settings.worker_lease();
    let mut frames = FramedRead::new(stream, codec());
    while let Ok(Some(Ok(frame))) = timeout(silence, frames.next()).await {
        match bitcode::decode::<Hello>(&frame) {
            Ok(hello) => node.on_hello(hello),
            Err(e) => {
                warn!(error = %e, "a greeting can't be read");
                return;
            }
        }
    }
}

/// Greets one other controller for as long as this one runs.
pub async fn greet(node: Arc<Node>, to: SocketAddr, stop: CancellationToken) {
    let every = node.settings.leader_lease() / 4;
    tokio::select! {
        () = async {
            loop {
                if let Ok(Ok(stream)) = timeout(every, TcpStream::connect(to)).await {
                    let mut frames = FramedWrite::new(stream, codec());
                    loop {
                        let frame = Bytes::from(bitcode::encode(&node.hello()));
                        match timeout(every, frames.send(frame)).await {
                            Ok(Ok(())) => tokio::time::sleep(every).await,
                            _ => break,
                        }
                    }
                }
                tokio::time::sleep(every).await;
            }
        } => {}
        () = stop.cancelled() => {}
    }
}
