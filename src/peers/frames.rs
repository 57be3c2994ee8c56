//! The frames between controllers: a list of sections, each with its kind.
//!
//! Bitcode doesn't describe itself, so a field is never added to a struct on the
//! wire: it gets a section of its own, which controllers of another version skip.

use crate::protocol::{ControllerHeartbeat, Features, WorkerContact};

/// The frame length in bytes that every version receives. A heartbeat is a few
/// dozen bytes, and some dozens more for each cancellation in it; a longer frame
/// is not one of ours. A controller that receives longer frames announces it
/// in its messages.
pub const MIN_FRAME_LIMIT: usize = 64 * 1024;

/// An upper bound on the bytes of one cancellation in a frame.
const MAX_CANCELLATION_BYTES: usize = 56;

/// An upper bound on the bytes of a frame besides its cancellations.
const MAX_OVERHEAD_BYTES: usize = 4 * 1024;

/// The number of cancellations that certainly fit a frame of this length in bytes.
pub fn max_cancellations_per_frame(frame_limit: usize) -> usize {
    frame_limit.saturating_sub(MAX_OVERHEAD_BYTES) / MAX_CANCELLATION_BYTES
}

/// The length in bytes of a frame that certainly holds so many cancellations.
pub fn frame_limit_for(cancellations: usize) -> usize {
    (cancellations * MAX_CANCELLATION_BYTES + MAX_OVERHEAD_BYTES).max(MIN_FRAME_LIMIT)
}

/// A section of a frame: a body in bitcode, whose struct depends on the kind.
#[derive(bitcode::Encode, bitcode::Decode)]
struct Section {
    kind: u8,
    body: Vec<u8>,
}

impl Section {
    fn new<T: bitcode::Encode>(kind: u8, content: &T) -> Self {
        Self { kind, body: bitcode::encode(content) }
    }
}

const HEARTBEAT_SECTION: u8 = 1;
const CANCELLATIONS_SECTION: u8 = 2;
pub(super) const FEATURES_SECTION: u8 = 3;
const FRAME_LIMIT_SECTION: u8 = 4;
pub(super) const WORKER_CONTACT_SECTION: u8 = 5;

/// The features of this version.
pub const SUPPORTED_FEATURES: Features = Features { small_pages: true };

/// The content of one frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The sender's heartbeat, with the cancellations that it may have confirmed.
    pub heartbeat: ControllerHeartbeat,
    /// The features of the sender's version; an older one sends none.
    pub features: Features,
    /// The longest frame that the sender receives, in bytes.
    pub frame_limit: usize,
    /// Whether the sender, as a leader, receives its workers' heartbeats.
    pub worker_contact: WorkerContact,
}

impl Message {
    /// The message of this version with a heartbeat. `frame_limit`: the longest
    /// frame that the sender receives, in bytes.
    pub fn new(heartbeat: ControllerHeartbeat, frame_limit: usize) -> Self {
        let worker_contact = WorkerContact::default();
        Self { heartbeat, features: SUPPORTED_FEATURES, frame_limit, worker_contact }
    }
}

/// The frame of a message. This outer form, a list of sections, never changes.
pub fn encode(message: Message) -> Vec<u8> {
    let Message { mut heartbeat, features, frame_limit, worker_contact } = message;
    let cancellations = heartbeat.cancellations.take();
    let mut sections = vec![Section::new(HEARTBEAT_SECTION, &heartbeat)];
    sections.extend(cancellations.map(|notice| Section::new(CANCELLATIONS_SECTION, &notice)));
    sections.push(Section::new(FEATURES_SECTION, &features));
    if frame_limit > MIN_FRAME_LIMIT {
        sections.push(Section::new(FRAME_LIMIT_SECTION, &(frame_limit as u64)));
    }
    if worker_contact.lost {
        sections.push(Section::new(WORKER_CONTACT_SECTION, &worker_contact));
    }
    bitcode::encode(&sections)
}

/// Reads the sections that this version knows. A section that can't be read
/// counts as absent. None if there is no readable heartbeat.
pub fn decode(frame: &[u8]) -> Option<Message> {
    let sections: Vec<Section> = bitcode::decode(frame).ok()?;
    let mut heartbeat: ControllerHeartbeat = content(&sections, HEARTBEAT_SECTION)?;
    heartbeat.cancellations = content(&sections, CANCELLATIONS_SECTION);
    let frame_limit: Option<u64> = content(&sections, FRAME_LIMIT_SECTION);
    let frame_limit = frame_limit.and_then(|bytes| usize::try_from(bytes).ok()).unwrap_or(0);
    Some(Message {
        heartbeat,
        features: content(&sections, FEATURES_SECTION).unwrap_or_default(),
        frame_limit: frame_limit.max(MIN_FRAME_LIMIT),
        worker_contact: content(&sections, WORKER_CONTACT_SECTION).unwrap_or_default(),
    })
}

/// The content of the first section of a kind, if it can be read.
fn content<T: bitcode::DecodeOwned>(sections: &[Section], kind: u8) -> Option<T> {
    let section = sections.iter().find(|section| section.kind == kind)?;
    bitcode::decode(&section.body).ok()
}
