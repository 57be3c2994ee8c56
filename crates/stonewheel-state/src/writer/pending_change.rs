//! A change that is queued for a transaction.

use stonewheel_protocol::{Condition, Write};
use tokio::sync::oneshot;

use crate::api::StateError;

/// An upper bound on the bytes of a put in a transaction's body besides its key and value.
const MAX_PUT_OVERHEAD_BYTES: usize = 64;
/// An upper bound on the bytes of a delete in a transaction's body besides its key.
const MAX_DELETE_OVERHEAD_BYTES: usize = 32;
/// An upper bound on the bytes of a condition in a transaction's body besides its key.
const MAX_CONDITION_OVERHEAD_BYTES: usize = 40;

/// A change that must be applied as a whole, in a transaction by itself or with others.
pub(super) struct PendingChange {
    pub(super) conditions: Vec<Condition>,
    pub(super) writes: Vec<Write>,
    /// Receives the revision of the change, or the error.
    pub(super) reply: oneshot::Sender<Result<u64, StateError>>,
}

impl PendingChange {
    /// Returns an upper bound on the bytes of the change in a transaction's body.
    pub(super) fn max_bytes(&self) -> usize {
        let write_bytes = |write: &Write| match write {
            Write::Put { key, value, .. } => key.len() + value.get().len() + MAX_PUT_OVERHEAD_BYTES,
            Write::Delete { key } => key.len() + MAX_DELETE_OVERHEAD_BYTES,
        };
        let writes: usize = self.writes.iter().map(write_bytes).sum();
        let conditions = self.conditions.iter().map(|c| c.key.len() + MAX_CONDITION_OVERHEAD_BYTES);
        writes + conditions.sum::<usize>()
    }

    /// Whether two changes can't share a transaction because they expect different
    /// versions of a key, or write the same key.
    pub(super) fn conflicts_with(&self, other: &Self) -> bool {
        let differ = |a: &Condition, b: &Condition| a.key == b.key && a.version != b.version;
        let conditions_conflict =
            self.conditions.iter().any(|a| other.conditions.iter().any(|b| differ(a, b)));
        conditions_conflict
            || self.writes.iter().any(|a| other.writes.iter().any(|b| a.key() == b.key()))
    }

    /// Whether a condition of the change is on one of these keys.
    pub(super) fn depends_on(&self, keys: &[String]) -> bool {
        self.conditions.iter().any(|condition| keys.contains(&condition.key))
    }

    /// Reports the result to the caller that committed the change, if it still waits.
    pub(super) fn complete(self, result: Result<u64, StateError>) {
        let _ = self.reply.send(result);
    }
}
