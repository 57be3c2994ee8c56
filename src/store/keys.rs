//! Keys of the durable records. `stored_samples.rs` pins them: a key never changes.

/// The prefix of all records of the scheduler.
pub const KEY_PREFIX: &str = "sw/";
/// The leader record, attached to the leader's lease.
pub const LEADER_KEY: &str = "sw/lead";
/// The last fencing token that any term may use; never attached to a lease.
pub const TOKEN_KEY: &str = "sw/token";
/// The machine types that the cloud offered last.
pub const MACHINE_TYPES_KEY: &str = "sw/types";
/// Written by a controller that rejected worker heartbeats and cannot reach the leader.
pub const REJECTED_HEARTBEATS_KEY: &str = "sw/stray";

const JOB_KEYS: &str = "sw/j/";
const JOB_END_KEYS: &str = "sw/e/";
const PAGE_KEYS: &str = "sw/p/";

/// The key of a job's submission.
pub fn job_key(id: &str) -> String {
    format!("{JOB_KEYS}{id}")
}

/// The key of the record of how a job ended.
pub fn end_key(id: &str) -> String {
    format!("{JOB_END_KEYS}{id}")
}

/// The key of one page of a job's tasks, counted from 0.
pub fn page_key(id: &str, page: u32) -> String {
    format!("{PAGE_KEYS}{id}/{page}")
}

/// Whether a key is that of a record of how a job ended.
pub(super) fn is_end_key(key: &str) -> bool {
    key.starts_with(JOB_END_KEYS)
}

/// What a key names. The names of jobs are as they stand in the key: whether
/// they have the form of a job id is for the reader to check.
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
    /// None for keys of another version, which are passed over.
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
