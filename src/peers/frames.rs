//! The format of the frames between controllers: a list of sections, each with a number
//! for its kind.
//!
//! Bitcode is not self-describing: a struct with an added field cannot be decoded by
//! other versions. So a new field never extends a struct on the wire. It gets a section
//! of its own, which controllers that do not know the section skip.

use crate::protocol::{CancellationSync, ControllerHeartbeat, Features, WorkerContact};

/// The frame length in bytes that every version accepts. A heartbeat takes a few dozen
/// bytes, plus a few dozen for each cancellation in it, so a longer frame does not come
/// from a controller, unless this one announced a higher limit in its messages.
pub const MIN_FRAME_LIMIT: usize = 64 * 1024;

/// An upper bound on the size in bytes of one cancellation in a frame.
const MAX_CANCELLATION_BYTES: usize = 56;

/// An upper bound on the size in bytes of a frame without its cancellations.
const MAX_OVERHEAD_BYTES: usize = 4 * 1024;

/// Returns the number of cancellations that always fit a frame of up to `frame_limit`
/// bytes.
pub fn max_cancellations_per_frame(frame_limit: usize) -> usize {
    frame_limit.saturating_sub(MAX_OVERHEAD_BYTES) / MAX_CANCELLATION_BYTES
}

/// Returns the frame limit in bytes at which this number of cancellations always fits a
/// frame.
pub fn frame_limit_for(cancellations: usize) -> usize {
    (cancellations * MAX_CANCELLATION_BYTES + MAX_OVERHEAD_BYTES).max(MIN_FRAME_LIMIT)
}

/// A section of a frame. The body is the bitcode encoding of a struct that depends on the
/// kind.
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

// Section kinds. Numbers are never changed or reused, because other versions rely on them.
const HEARTBEAT_SECTION: u8 = 1;
const CANCELLATIONS_SECTION: u8 = 2;
pub(super) const FEATURES_SECTION: u8 = 3;
const FRAME_LIMIT_SECTION: u8 = 4;
pub(super) const WORKER_CONTACT_SECTION: u8 = 5;
pub(super) const CANCELLATION_SYNC_SECTION: u8 = 6;

/// The features that this version supports.
pub const SUPPORTED_FEATURES: Features = Features { small_pages: true };

/// The content of one frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The sender's heartbeat, with the cancellations that it may have confirmed.
    pub heartbeat: ControllerHeartbeat,
    /// The features that the sender's version supports. Versions without this section
    /// count as supporting none.
    pub features: Features,
    /// The longest frame that the sender accepts, in bytes.
    pub frame_limit: usize,
    /// Whether the sender, if it leads, receives worker heartbeats.
    pub worker_contact: WorkerContact,
    /// The sender's part in the replication of cancellations. None from versions without
    /// this section.
    pub cancellation_sync: Option<CancellationSync>,
}

impl Message {
    /// Returns a message of this version with a heartbeat. `frame_limit`: the longest
    /// frame that the sender accepts, in bytes. The worker contact is set to the
    /// default, not lost, and there is no cancellation sync.
    pub fn new(heartbeat: ControllerHeartbeat, frame_limit: usize) -> Self {
        let worker_contact = WorkerContact::default();
        Self {
            heartbeat,
            features: SUPPORTED_FEATURES,
            frame_limit,
            worker_contact,
            cancellation_sync: None,
        }
    }
}

/// Encodes a message as a frame. The frame's outer format, a list of sections, never
/// changes.
pub fn encode(message: Message) -> Vec<u8> {
    let Message { mut heartbeat, features, frame_limit, worker_contact, cancellation_sync } =
        message;
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
    sections.extend(cancellation_sync.map(|sync| Section::new(CANCELLATION_SYNC_SECTION, &sync)));
    bitcode::encode(&sections)
}

/// Decodes the sections that this version knows. A section that cannot be decoded counts
/// as absent. Returns none if the heartbeat section is absent.
pub fn decode(frame: &[u8]) -> Option<Message> {
    let sections: Vec<Section> = bitcode::decode(frame).ok()?;
    let mut heartbeat: ControllerHeartbeat = decode_section(&sections, HEARTBEAT_SECTION)?;
    heartbeat.cancellations = decode_section(&sections, CANCELLATIONS_SECTION);
    let frame_limit: Option<u64> = decode_section(&sections, FRAME_LIMIT_SECTION);
    let frame_limit = frame_limit.and_then(|bytes| usize::try_from(bytes).ok()).unwrap_or(0);
    Some(Message {
        heartbeat,
        features: decode_section(&sections, FEATURES_SECTION).unwrap_or_default(),
        frame_limit: frame_limit.max(MIN_FRAME_LIMIT),
        worker_contact: decode_section(&sections, WORKER_CONTACT_SECTION).unwrap_or_default(),
        cancellation_sync: decode_section(&sections, CANCELLATION_SYNC_SECTION),
    })
}

/// Returns the content of the first section of a kind, or none if the section is absent
/// or cannot be decoded.
fn decode_section<T: bitcode::DecodeOwned>(sections: &[Section], kind: u8) -> Option<T> {
    let section = sections.iter().find(|section| section.kind == kind)?;
    bitcode::decode(&section.body).ok()
}
