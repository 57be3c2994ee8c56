//! How jobs ended, in a compact form. End records are never deleted and are by far the
//! most numerous, so each takes only a few bytes of memory: the number in the job's id,
//! packed with its number of digits in 64 bits, and the end in 32 bits.

use std::collections::{BTreeMap, HashMap};

use super::records::JobEnd;
use crate::protocol::{JobId, JobState};

/// The maximum number of digits of a packed id. Longer ids are stored as strings.
const MAX_PACKED_DIGITS: usize = 17;

/// One more than the largest number that an id of `MAX_PACKED_DIGITS` digits contains.
/// The digit count is stored as a multiple of this value.
const PACKED_RANGE: u64 = 10_u64.pow(MAX_PACKED_DIGITS as u32);

/// A job id packed into one number: the value of its digits plus the digit count times
/// `PACKED_RANGE`, so that `j-1` and `j-01` differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PackedId(u64);

impl PackedId {
    /// Packs a job id. Returns none unless the id is `j-` and then 1 to
    /// `MAX_PACKED_DIGITS` digits.
    pub(super) fn pack(id: &str) -> Option<Self> {
        let digits = id.strip_prefix("j-")?;
        let all_digits = digits.bytes().all(|byte| byte.is_ascii_digit());
        if !all_digits || digits.len() > MAX_PACKED_DIGITS {
            return None;
        }
        let number: u64 = digits.parse().ok()?;
        Some(Self(digits.len() as u64 * PACKED_RANGE + number))
    }
}

/// A job's end in 32 bits: the number of completed tasks in the lower 30, the state in
/// the upper two.
#[derive(Clone, Copy, Debug)]
struct PackedEnd(u32);

/// The number of low bits that store the completed tasks; the state is above them.
const STATE_SHIFT: u32 = 30;

impl PackedEnd {
    /// Packs an end. Returns none if the number of completed tasks takes more than
    /// `STATE_SHIFT` bits.
    fn pack(end: JobEnd) -> Option<Self> {
        let state = match end.state {
            JobState::Pending => 0,
            JobState::Running => 1,
            JobState::Done => 2,
            JobState::Cancelled => 3,
        };
        (end.done >> STATE_SHIFT == 0).then_some(Self(state << STATE_SHIFT | end.done))
    }

    fn unpack(self) -> JobEnd {
        let state = match self.0 >> STATE_SHIFT {
            0 => JobState::Pending,
            1 => JobState::Running,
            2 => JobState::Done,
            _ => JobState::Cancelled,
        };
        JobEnd { state, done: self.0 & ((1 << STATE_SHIFT) - 1) }
    }
}

/// The ends of all ended jobs. The first end that is recorded for a job is kept; later
/// ones are ignored.
#[derive(Debug, Default)]
pub struct EndedJobs {
    /// Jobs whose id and end fit the packed form: nearly all jobs.
    packed: BTreeMap<PackedId, PackedEnd>,
    /// Jobs whose id or end does not fit the packed form.
    unpacked: HashMap<JobId, JobEnd>,
}

impl EndedJobs {
    /// Records how a job ended, unless an end of the job is already recorded.
    pub fn insert(&mut self, id: &str, end: JobEnd) {
        if self.contains(id) {
            return;
        }
        match (PackedId::pack(id), PackedEnd::pack(end)) {
            (Some(id), Some(end)) => {
                self.packed.insert(id, end);
            }
            _ => {
                self.unpacked.insert(id.into(), end);
            }
        }
    }

    /// Returns how a job ended, or none if it has not ended.
    pub fn get(&self, id: &str) -> Option<JobEnd> {
        let packed = PackedId::pack(id).and_then(|id| self.packed.get(&id));
        packed.map(|end| end.unpack()).or_else(|| self.unpacked.get(id).copied())
    }

    /// Whether a job has ended.
    pub fn contains(&self, id: &str) -> bool {
        self.get(id).is_some()
    }

    /// Whether no job has ended.
    pub fn is_empty(&self) -> bool {
        self.packed.is_empty() && self.unpacked.is_empty()
    }
}
