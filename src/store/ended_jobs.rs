//! How jobs ended. These records are kept for ever and are by far the most
//! numerous, so each is held in a few bytes: the number in the job's id, packed
//! with the number of digits, and the end in one word.

use std::collections::{BTreeMap, HashMap};

use super::records::JobEnd;
use crate::protocol::{JobId, JobState};

/// Ids with more digits are held as they are.
const MAX_PACKED_DIGITS: usize = 17;

/// One more than the largest packed number.
const PACKED_RANGE: u64 = 10_u64.pow(MAX_PACKED_DIGITS as u32);

/// A job id as a number: its digits' value and, above that, how many there are,
/// so that `j-1` and `j-01` differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PackedId(u64);

impl PackedId {
    pub(super) fn of(id: &str) -> Option<Self> {
        let digits = id.strip_prefix("j-")?;
        let plain = digits.bytes().all(|byte| byte.is_ascii_digit());
        if !plain || digits.len() > MAX_PACKED_DIGITS {
            return None;
        }
        let number: u64 = digits.parse().ok()?;
        Some(Self(digits.len() as u64 * PACKED_RANGE + number))
    }
}

/// An end in one word: the number of completed tasks, and the state above it.
#[derive(Clone, Copy, Debug)]
struct PackedEnd(u32);

/// Bits of a packed end that hold the number of completed tasks.
const STATE_SHIFT: u32 = 30;

impl PackedEnd {
    fn of(end: JobEnd) -> Option<Self> {
        let state = match end.state {
            JobState::Pending => 0,
            JobState::Running => 1,
            JobState::Done => 2,
            JobState::Cancelled => 3,
        };
        (end.done >> STATE_SHIFT == 0).then_some(Self(state << STATE_SHIFT | end.done))
    }

    fn end(self) -> JobEnd {
        let state = match self.0 >> STATE_SHIFT {
            0 => JobState::Pending,
            1 => JobState::Running,
            2 => JobState::Done,
            _ => JobState::Cancelled,
        };
        JobEnd { state, done: self.0 & ((1 << STATE_SHIFT) - 1) }
    }
}

/// The end of each job that has one. The first end of a job stays.
#[derive(Debug, Default)]
pub struct EndedJobs {
    /// Nearly all: ids and ends that fit the packed form.
    packed: BTreeMap<PackedId, PackedEnd>,
    /// Ids and ends that don't fit it.
    others: HashMap<JobId, JobEnd>,
}

impl EndedJobs {
    /// Records how a job ended, unless an end of it is recorded already.
    pub fn insert(&mut self, id: &str, end: JobEnd) {
        if self.contains(id) {
            return;
        }
        match (PackedId::of(id), PackedEnd::of(end)) {
            (Some(id), Some(end)) => {
                self.packed.insert(id, end);
            }
            _ => {
                self.others.insert(id.into(), end);
            }
        }
    }

    /// How a job ended, if it did.
    pub fn get(&self, id: &str) -> Option<JobEnd> {
        let packed = PackedId::of(id).and_then(|id| self.packed.get(&id));
        packed.map(|end| end.end()).or_else(|| self.others.get(id).copied())
    }

    /// Whether a job ended.
    pub fn contains(&self, id: &str) -> bool {
        self.get(id).is_some()
    }

    /// Whether no job ended.
    pub fn is_empty(&self) -> bool {
        self.packed.is_empty() && self.others.is_empty()
    }
}
