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
use stonewheel_http_server::accept_each;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
    time::{Duration, Instant, timeout},
};
use tokio_util::{
    codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
    sync::CancellationToken,
};
use tracing::warn;

use crate::{
    lease_renewal::{KnownCancellations, RenewalAbstentions},
    node::Node,
    protocol::{ControllerHeartbeat, Features, WorkerContact},
    settings::Member,
    state::lock,
};

/// A heartbeat is a few dozen bytes, and some dozens more for each cancellation
/// that it tells; a longer frame is not one of ours. Every version hears this
/// much; what a controller hears beyond it, it says in its heartbeats.
pub const MIN_FRAME_LIMIT: usize = 64 * 1024;

/// No less than what a frame holds for one cancellation.
const NOTICE_BYTES: usize = 56;

/// No less than what a frame holds besides cancellations.
const FRAME_BYTES: usize = 4 * 1024;

/// Cancellations that surely fit a frame of this length.
pub fn noticed_cancellations_of(frame_limit: usize) -> usize {
    frame_limit.saturating_sub(FRAME_BYTES) / NOTICE_BYTES
}

/// The length of a frame that surely holds so many cancellations.
pub fn frame_limit_for(cancellations: usize) -> usize {
    (cancellations * NOTICE_BYTES + FRAME_BYTES).max(MIN_FRAME_LIMIT)
}

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
const FRAME_LIMIT: u8 = 4;
const WORKER_CONTACT: u8 = 5;

/// What this version can do.
pub const OWN_FEATURES: Features = Features { small_pages: true };

/// What one frame says.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    pub heartbeat: ControllerHeartbeat,
    /// What the sender's version can do; an older one says nothing of it.
    pub features: Features,
    /// The longest frame that the sender hears.
    pub frame_limit: usize,
    /// Whether the sender, as a leader, hears its workers.
    pub worker_contact: WorkerContact,
}

impl Message {
    /// What this version says with a heartbeat. `frame_limit`: the longest frame
    /// that the sender hears.
    pub fn new(heartbeat: ControllerHeartbeat, frame_limit: usize) -> Self {
        let worker_contact = WorkerContact::default();
        Self { heartbeat, features: OWN_FEATURES, frame_limit, worker_contact }
    }
}

/// A frame is a list of sections, each with its kind. This outer form is for
/// ever.
pub fn encode(message: Message) -> Vec<u8> {
    let Message { mut heartbeat, features, frame_limit, worker_contact } = message;
    let told = heartbeat.cancellations.take();
    let mut sections = vec![(HEARTBEAT, bitcode::encode(&heartbeat))];
    sections.extend(told.map(|told| (CANCELLATIONS, bitcode::encode(&told))));
    sections.push((FEATURES, bitcode::encode(&features)));
    if frame_limit > MIN_FRAME_LIMIT {
        sections.push((FRAME_LIMIT, bitcode::encode(&(frame_limit as u64))));
    }
    if worker_contact.lost {
        sections.push((WORKER_CONTACT, bitcode::encode(&worker_contact)));
    }
    bitcode::encode(&sections)
}

/// Reads the sections that this version knows. What it can't read it takes for
/// unsaid; none if there is no heartbeat that it can read.
pub fn decode(frame: &[u8]) -> Option<Message> {
    let sections: Vec<(u8, Vec<u8>)> = bitcode::decode(frame).ok()?;
    let section = |kind: u8| sections.iter().find(|(k, _)| *k == kind).map(|(_, body)| body);
    let mut heartbeat: ControllerHeartbeat = bitcode::decode(section(HEARTBEAT)?).ok()?;
    heartbeat.cancellations = section(CANCELLATIONS).and_then(|body| bitcode::decode(body).ok());
    let features = section(FEATURES).and_then(|body| bitcode::decode(body).ok());
    let limit: Option<u64> = section(FRAME_LIMIT).and_then(|body| bitcode::decode(body).ok());
    let frame_limit = limit.and_then(|bytes| usize::try_from(bytes).ok()).unwrap_or(0);
    let worker_contact = section(WORKER_CONTACT).and_then(|body| bitcode::decode(body).ok());
    Some(Message {
        heartbeat,
        features: features.unwrap_or_default(),
        frame_limit: frame_limit.max(MIN_FRAME_LIMIT),
        worker_contact: worker_contact.unwrap_or_default(),
    })
}

fn codec(frame_limit: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(frame_limit).new_codec()
}

/// The latest heartbeat of each other controller.
pub struct Peers {
    heard: Mutex<HashMap<String, (ControllerHeartbeat, Instant)>>,
    pub abstentions: Mutex<RenewalAbstentions>,
    pub known_cancellations: Mutex<KnownCancellations>,
    /// Members that have said that they know small pages.
    know_small_pages: Mutex<HashSet<String>>,
    /// The longest frame that each member hears, by its latest word.
    frame_limits: Mutex<HashMap<String, usize>>,
    /// When each member last said that it leads and hears hardly any worker; a
    /// later word to the contrary removes it.
    lost_workers: Mutex<HashMap<String, Instant>>,
    /// Raised when the others should hear from this controller at once.
    urgent: watch::Sender<()>,
    /// An unreadable heartbeat was logged: whoever sends them sends many.
    unreadable_logged: AtomicBool,
}

impl Peers {
    /// `members`: the other controllers. `promise`: for how long each leader's
    /// heartbeat keeps this one from answering workers.
    pub fn new(members: Vec<String>, abstention: Duration, incarnation: u64) -> Self {
        let abstentions = RenewalAbstentions::new(members, incarnation, abstention, Instant::now());
        Self {
            heard: Mutex::default(),
            abstentions: Mutex::new(abstentions),
            known_cancellations: Mutex::default(),
            know_small_pages: Mutex::default(),
            frame_limits: Mutex::default(),
            lost_workers: Mutex::default(),
            urgent: watch::Sender::new(()),
            unreadable_logged: AtomicBool::new(false),
        }
    }

    /// Takes in a heartbeat. `revision`: what this node's watch cache, with what
    /// the heartbeat told, has reached.
    pub fn note(&self, heartbeat: ControllerHeartbeat, revision: u64) {
        let now = Instant::now();
        let leads = heartbeat.leads.then_some(heartbeat.revision);
        let sent = lock(&self.abstentions).heard_from(
            &heartbeat.member,
            heartbeat.id,
            leads,
            heartbeat.acknowledged,
            now,
        );
        let all = heartbeat
            .cancellations
            .as_ref()
            .is_some_and(|told| told.complete && told.since <= revision);
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

    /// Notes the longest frame that a member hears.
    pub fn note_frame_limit(&self, member: &str, frame_limit: usize) {
        let mut limits = lock(&self.frame_limits);
        match limits.get_mut(member) {
            Some(limit) => *limit = frame_limit,
            None => drop(limits.insert(member.to_owned(), frame_limit)),
        }
    }

    /// Notes whether a member, as a leader, hears its workers.
    pub fn note_worker_contact(&self, member: &str, contact: WorkerContact) {
        let mut lost = lock(&self.lost_workers);
        if contact.lost {
            lost.insert(member.to_owned(), Instant::now());
        } else {
            lost.remove(member);
        }
    }

    /// Whether a member said within this time that it leads and hears hardly
    /// any worker.
    pub fn lost_workers(&self, member: &str, within: Duration) -> bool {
        lock(&self.lost_workers).get(member).is_some_and(|at| at.elapsed() < within)
    }

    /// Has the next heartbeat to every member leave now.
    pub fn hasten_heartbeats(&self) {
        self.urgent.send_replace(());
    }

    /// Changes whenever heartbeats should leave now.
    pub fn urgent_heartbeats(&self) -> watch::Receiver<()> {
        self.urgent.subscribe()
    }

    /// The longest frame that a member surely hears.
    pub fn frame_limit(&self, member: &str) -> usize {
        lock(&self.frame_limits).get(member).copied().unwrap_or(MIN_FRAME_LIMIT)
    }

    /// Whether every one of these members knows small pages.
    pub fn all_know_small_pages(&self, members: &[Member]) -> bool {
        let known = lock(&self.know_small_pages);
        members.iter().all(|member| known.contains(&member.member))
    }

    /// Whether a member that this process has heard is silent for so long.
    pub fn fell_silent(&self, member: &str, silence: Duration) -> bool {
        lock(&self.heard).get(member).is_some_and(|(_, at)| at.elapsed() >= silence)
    }

    /// Whether another controller was heard lately and says so of itself.
    pub fn any(&self, within: Duration, says: impl Fn(&ControllerHeartbeat) -> bool) -> bool {
        lock(&self.heard).values().any(|(heartbeat, at)| at.elapsed() < within && says(heartbeat))
    }
}

/// Takes in the others' heartbeats.
pub async fn listen(node: Arc<Node>, listener: TcpListener, stop: CancellationToken) {
    let slots = Arc::new(Semaphore::new(most_links(node.settings.members.len())));
    let link = |stream: TcpStream, stop: CancellationToken| {
        let node = node.clone();
        async move {
            tokio::select! {
                () = hear(node, stream) => {}
                () = stop.cancelled() => {}
            }
        }
    };
    accept_each(listener, slots, stop, link).await;
}

async fn hear(node: Arc<Node>, stream: TcpStream) {
    let silence = node.settings.worker_lease();
    let mut frames = FramedRead::new(stream, codec(node.settings.frame_limit()));
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
    let mut urgent = node.peers.urgent_heartbeats();
    tokio::select! {
        () = async {
            loop {
                if let Ok(Ok(stream)) = timeout(every, TcpStream::connect(member.endpoint)).await {
                    // What the receiver hears bounds a frame, not this side.
                    let mut frames = FramedWrite::new(stream, codec(u32::MAX as usize));
                    loop {
                        let frame = Bytes::from(encode(node.message(&member.member)));
                        match timeout(every, frames.send(frame)).await {
                            Ok(Ok(())) => drop(timeout(every, urgent.changed()).await),
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
