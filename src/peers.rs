//! Links between the controllers: each sends the others heartbeats several times per
//! leader lease, in bitcode frames over TCP.
//!
//! A heartbeat carries no authority. It lets a deposed leader learn of its
//! successor, a node that alone lost the state service know that it is alone,
//! a leader know that nobody else answers workers (`lease_renewal.rs`),
//! and a leader that hears no worker learn that workers live.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::{Duration, Instant, timeout},
};
use tokio_util::{
    codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
    sync::CancellationToken,
    task::TaskTracker,
};
use tracing::warn;

use crate::{
    http::accept,
    lease_renewal::{KnownCancellations, Promises},
    node::Node,
    protocol::{Features, Heartbeat},
    settings::Member,
    state::lock,
};

/// A heartbeat is a few dozen bytes, and some dozens more for each cancellation
/// that it tells; a longer frame is not one of ours.
const FRAME_LIMIT: usize = 64 * 1024;

/// Links heard at once for each other controller. One is in use; after cuts and
/// restarts some more are left half open until they have been silent for a lease.
const LINKS_PER_MEMBER: usize = 16;

/// Links heard at once. Each may hold an unfinished frame, so without a bound
/// whoever opens many could fill the memory of a small machine.
pub fn most_links(members: usize) -> usize {
    members.max(1) * LINKS_PER_MEMBER
}

/// What a frame's section holds. A field is never added to a struct on the
/// wire, for bitcode doesn't describe itself: it gets a section of its own,
/// which controllers of another version pass over.
const HEARTBEAT: u8 = 1;
const CANCELLATIONS: u8 = 2;
const FEATURES: u8 = 3;

/// What this version can do.
const OWN_FEATURES: Features = Features { small_pages: true };

/// What one frame says.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    pub heartbeat: Heartbeat,
    /// What the sender's version can do; an older one says nothing of it.
    pub features: Features,
}

/// A frame is a list of sections, each with its kind. This outer form is for
/// ever.
pub fn encode(mut heartbeat: Heartbeat) -> Vec<u8> {
    let told = heartbeat.cancellations.take();
    let mut sections = vec![(HEARTBEAT, bitcode::encode(&heartbeat))];
    sections.extend(told.map(|told| (CANCELLATIONS, bitcode::encode(&told))));
    sections.push((FEATURES, bitcode::encode(&OWN_FEATURES)));
    bitcode::encode(&sections)
}

/// Reads the sections that this version knows. What it can't read it takes for
/// unsaid; none if there is no heartbeat that it can read.
pub fn decode(frame: &[u8]) -> Option<Message> {
    let sections: Vec<(u8, Vec<u8>)> = bitcode::decode(frame).ok()?;
    let section = |kind: u8| sections.iter().find(|(k, _)| *k == kind).map(|(_, body)| body);
    let mut heartbeat: Heartbeat = bitcode::decode(section(HEARTBEAT)?).ok()?;
    heartbeat.cancellations = section(CANCELLATIONS).and_then(|body| bitcode::decode(body).ok());
    let features = section(FEATURES).and_then(|body| bitcode::decode(body).ok());
    Some(Message { heartbeat, features: features.unwrap_or_default() })
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT).new_codec()
}

/// The latest heartbeat of each other controller.
pub struct Peers {
    heard: Mutex<HashMap<String, (Heartbeat, Instant)>>,
    pub promises: Mutex<Promises>,
    pub known_cancellations: Mutex<KnownCancellations>,
    /// Members that have said that they know small pages.
    know_small_pages: Mutex<HashSet<String>>,
    /// An unreadable heartbeat was logged: whoever sends them sends many.
    unreadable_logged: AtomicBool,
}

impl Peers {
    /// `members`: the other controllers. `promise`: for how long each leader's
    /// heartbeat keeps this one from answering workers.
    pub fn new(members: Vec<String>, promise: Duration, incarnation: u64) -> Self {
        let promises = Promises::new(members, incarnation, promise, Instant::now());
        Self {
            heard: Mutex::default(),
            promises: Mutex::new(promises),
            known_cancellations: Mutex::default(),
            know_small_pages: Mutex::default(),
            unreadable_logged: AtomicBool::new(false),
        }
    }

    /// Takes in a heartbeat. `revision`: what this node's picture, with what
    /// the heartbeat told, has reached.
    pub fn note(&self, heartbeat: Heartbeat, revision: u64) {
        let now = Instant::now();
        let leads = heartbeat.leads.then_some(heartbeat.revision);
        let sent = lock(&self.promises).heard_from(
            &heartbeat.member,
            heartbeat.mark,
            leads,
            heartbeat.echo,
            now,
        );
        let all =
            heartbeat.cancellations.as_ref().is_some_and(|told| told.all && told.since <= revision);
        if let Some(sent) = sent.filter(|_| all) {
            lock(&self.known_cancellations).heard_all(&heartbeat.member, sent);
        }
        lock(&self.heard).insert(heartbeat.member.clone(), (heartbeat, Instant::now()));
    }

    /// Notes what a member's version can do, for good.
    pub fn note_features(&self, member: &str, features: Features) {
        let mut known = lock(&self.know_small_pages);
        if features.small_pages && !known.contains(member) {
            known.insert(member.to_owned());
        }
    }

    /// Whether every one of these members knows small pages.
    pub fn all_know_small_pages(&self, members: &[Member]) -> bool {
        let known = lock(&self.know_small_pages);
        members.iter().all(|member| known.contains(&member.member))
    }

    /// Whether another controller was heard lately and says so of itself.
    pub fn any(&self, within: Duration, says: impl Fn(&Heartbeat) -> bool) -> bool {
        lock(&self.heard).values().any(|(heartbeat, at)| at.elapsed() < within && says(heartbeat))
    }
}

/// Takes in the others' heartbeats.
pub async fn listen(node: Arc<Node>, listener: TcpListener, stop: CancellationToken) {
    let slots = Arc::new(Semaphore::new(most_links(node.settings.members.len())));
    let links = TaskTracker::new();
    loop {
        let slot = tokio::select! {
            slot = slots.clone().acquire_owned() => slot,
            () = stop.cancelled() => break,
        };
        let Some(stream) = accept(&listener, &stop).await else { break };
        let node = node.clone();
        let stop = stop.clone();
        links.spawn(async move {
            tokio::select! {
                () = hear(node, stream) => {}
                () = stop.cancelled() => {}
            }
            drop(slot);
        });
    }
    links.close();
    links.wait().await;
}

async fn hear(node: Arc<Node>, stream: TcpStream) {
    let silence = node.settings.worker_lease();
    let mut frames = FramedRead::new(stream, codec());
    while let Ok(Some(Ok(frame))) = timeout(silence, frames.next()).await {
        match decode(&frame) {
            Some(message) => node.on_message(message),
            // A newer version may say what this one can't read, and later
            // frames may be readable: the link stays.
            None if !node.peers.unreadable_logged.swap(true, Ordering::Relaxed) => {
                warn!("a heartbeat can't be read; further ones are not told");
            }
            None => {}
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
                        let frame = Bytes::from(encode(node.heartbeat(&member.member)));
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

#[cfg(test)]
mod tests;
