//! A change that waits for its transaction.

use stonewheel_protocol::{Condition, Write};
use tokio::sync::oneshot;

use crate::api::StateError;

/// What a put takes in a transaction's body besides its key and value, at the most.
const PUT_BYTES: usize = 64;
/// What a delete takes besides its key, at the most.
const DELETE_BYTES: usize = 32;
/// What a condition takes besides its key, at the most.
const CONDITION_BYTES: usize = 40;

/// One change that must be applied as a whole, alone or with others.
pub(super) struct PendingChange {
    pub(super) conditions: Vec<Condition>,
    pub(super) writes: Vec<Write>,
    /// Gets the revision of the change.
    pub(super) reply: oneshot::Sender<Result<u64, StateError>>,
}

impl PendingChange {
    /// No less than what the change takes in a transaction's body.
    pub(super) fn bytes(&self) -> usize {
        let write_bytes = |write: &Write| match write {
            Write::Put { key, value, .. } => key.len() + value.get().len() + PUT_BYTES,
            Write::Delete { key } => key.len() + DELETE_BYTES,
        };
        let writes: usize = self.writes.iter().map(write_bytes).sum();
        let conditions = self.conditions.iter().map(|c| c.key.len() + CONDITION_BYTES);
        writes + conditions.sum::<usize>()
    }

    /// Whether two changes can't share a transaction: they expect different versions
    /// of a key, or write the same one.
    pub(super) fn clashes_with(&self, other: &Self) -> bool {
        let disagrees = |a: &Condition, b: &Condition| a.key == b.key && a.version != b.version;
        let disagree =
            self.conditions.iter().any(|a| other.conditions.iter().any(|b| disagrees(a, b)));
        disagree || self.writes.iter().any(|a| other.writes.iter().any(|b| a.key() == b.key()))
    }

    /// Whether a condition of the change is on one of these keys.
    pub(super) fn depends_on(&self, keys: &[String]) -> bool {
        self.conditions.iter().any(|condition| keys.contains(&condition.key))
    }

    /// Gives the result to whoever waits for it, if somebody still does.
    pub(super) fn answer(self, result: Result<u64, StateError>) {
        let _ = self.reply.send(result);
    }
}
