//! Links between the controllers: each sends the others heartbeats several times per
//! leader lease, in bitcode frames over TCP.
//!
//! A heartbeat carries no authority. It lets a deposed leader learn of its
//! successor, a node that alone lost the state service know that it is alone,
//! a leader know that nobody else answers workers (`caretaking.rs`),
//! and a leader that hears no worker learn that workers live.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
};

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

use crate::{
    caretaking::Promises,
    http::accept,
    node::Node,
    protocol::Heartbeat,
    settings::{Member, Settings},
    state::lock,
};

/// A heartbeat is a few dozen bytes; a longer frame is not one of ours.
const FRAME_LIMIT: usize = 4096;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT).new_codec()
}

/// The latest heartbeat of each other controller.
pub struct Peers {
    heard: Mutex<HashMap<String, (Heartbeat, Instant)>>,
    pub promises: Mutex<Promises>,
    /// An unreadable heartbeat was logged: whoever sends them sends many.
    garbled: AtomicBool,
}

impl Peers {
    pub fn new(settings: &Settings, incarnation: u64) -> Self {
        let members = settings.members.iter().map(|m| m.member.clone()).collect();
        let promise = settings.caretaking_promise();
        let promises = Promises::new(members, incarnation, promise, Instant::now());
        Self {
            heard: Mutex::default(),
            promises: Mutex::new(promises),
            garbled: AtomicBool::new(false),
        }
    }

    pub fn note(&self, heartbeat: Heartbeat) {
        let now = Instant::now();
        lock(&self.promises).heard_from(
            &heartbeat.member,
            heartbeat.mark,
            heartbeat.leads,
            heartbeat.echo,
            now,
        );
        lock(&self.heard).insert(heartbeat.member.clone(), (heartbeat, Instant::now()));
    }

    /// Whether another controller was heard lately and says so of itself.
    pub fn any(&self, within: Duration, says: impl Fn(&Heartbeat) -> bool) -> bool {
        lock(&self.heard).values().any(|(heartbeat, at)| at.elapsed() < within && says(heartbeat))
    }
}

/// Takes in the others' heartbeats.
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
        match bitcode::decode::<Heartbeat>(&frame) {
            Ok(heartbeat) => node.on_heartbeat(heartbeat),
            Err(e) => {
                if !node.peers.garbled.swap(true, Ordering::Relaxed) {
                    warn!(error = %e, "a heartbeat can't be read; further ones are not told");
                }
                return;
            }
        }
    }
}

/// Sends heartbeats to one other controller for as long as this one runs.
pub async fn beat(node: Arc<Node>, member: Member, stop: CancellationToken) {
    let every = node.settings.leader_lease() / 4;
    tokio::select! {
        () = async {
            loop {
                if let Ok(Ok(stream)) = timeout(every, TcpStream::connect(member.endpoint)).await {
                    let mut frames = FramedWrite::new(stream, codec());
                    loop {
                        let frame = Bytes::from(bitcode::encode(&node.heartbeat(&member.member)));
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
