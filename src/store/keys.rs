//! Keys of the durable records. `tests/stored_samples.rs` pins the keys: they never
//! change.

/// The prefix of the keys of all scheduler records.
pub const KEY_PREFIX: &str = "sw/";
/// Key of the leader record, which is attached to the leader's lease.
pub const LEADER_KEY: &str = "sw/lead";
/// Key of the highest fencing token that has been assigned to a term; the next term's
/// tokens start after it. Never attached to a lease, so that the record outlives every
/// leader.
pub const TOKEN_KEY: &str = "sw/token";
/// Key of the machine types that the cloud offered last.
pub const MACHINE_TYPES_KEY: &str = "sw/types";
/// Key of the record that a controller writes when it rejected worker heartbeats and
/// cannot reach the leader.
pub const REJECTED_HEARTBEATS_KEY: &str = "sw/stray";

const JOB_KEYS: &str = "sw/j/";
const JOB_END_KEYS: &str = "sw/e/";
const PAGE_KEYS: &str = "sw/p/";

/// Returns the key of a job's submission record.
pub fn job_key(id: &str) -> String {
    format!("{JOB_KEYS}{id}")
}

/// Returns the key of a job's end record.
pub fn end_key(id: &str) -> String {
    format!("{JOB_END_KEYS}{id}")
}

/// Returns the key of one page of a job's tasks. Pages are numbered from 0.
pub fn page_key(id: &str, page: u32) -> String {
    format!("{PAGE_KEYS}{id}/{page}")
}

/// Whether a key belongs to a job's end record.
pub(super) fn is_end_key(key: &str) -> bool {
    key.starts_with(JOB_END_KEYS)
}

/// The record that a key identifies. Job names are taken from the key unchecked:
/// whether they have the form of a job id is up to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordKey<'a> {
    Leader,
    Token,
    MachineTypes,
    RejectedHeartbeats,
    Job(&'a str),
    JobEnd(&'a str),
    Page { job: &'a str, page: u32 },
}

impl<'a> RecordKey<'a> {
    /// Parses a key. Returns none for a key that this version does not know; the watch
    /// cache ignores such records.
    pub(super) fn parse(key: &'a str) -> Option<Self> {
        match key {
            LEADER_KEY => return Some(Self::Leader),
            TOKEN_KEY => return Some(Self::Token),
            MACHINE_TYPES_KEY => return Some(Self::MachineTypes),
            REJECTED_HEARTBEATS_KEY => return Some(Self::RejectedHeartbeats),
            _ => {}
        }
        if let Some(job) = key.strip_prefix(JOB_KEYS) {
            return Some(Self::Job(job));
        }
        if let Some(job) = key.strip_prefix(JOB_END_KEYS) {
            return Some(Self::JobEnd(job));
        }
        let (job, page) = key.strip_prefix(PAGE_KEYS)?.split_once('/')?;
        Some(Self::Page { job, page: page.parse().ok()? })
    }
}
