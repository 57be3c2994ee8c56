//! Groups of changes that are sent in one transaction.

use std::collections::VecDeque;

use stonewheel_protocol::Transaction;

use super::pending_change::PendingChange;
use crate::api::StateError;

/// The limits of one transaction.
#[derive(Clone, Copy, Debug)]
pub(super) struct GroupLimits {
    pub(super) writes: usize,
    pub(super) conditions: usize,
    pub(super) bytes: usize,
}

/// Takes as many changes from the front of the queue as fit one transaction. The first
/// change is taken even if it exceeds a limit by itself; the service decides about it.
/// A change that conflicts with one of the group stays in the queue, with all changes
/// after it, for the next group.
pub(super) fn take_group(
    queue: &mut VecDeque<PendingChange>,
    limits: &GroupLimits,
) -> Vec<PendingChange> {
    let mut group: Vec<PendingChange> = Vec::new();
    let (mut writes, mut conditions, mut bytes) = (0, 0, 0);
    while let Some(next) = queue.front() {
        writes += next.writes.len();
        conditions += next.conditions.len();
        bytes += next.max_bytes();
        let full = writes > limits.writes || conditions > limits.conditions || bytes > limits.bytes;
        let conflict = group.iter().any(|change| change.conflicts_with(next));
        if (full || conflict) && !group.is_empty() {
            break;
        }
        group.extend(queue.pop_front());
    }
    group
}

/// Merges the changes into one transaction. Equal conditions are included once.
pub(super) fn merge(group: &[PendingChange]) -> Transaction {
    let mut transaction = Transaction::default();
    for change in group {
        for condition in &change.conditions {
            if !transaction.conditions.contains(condition) {
                transaction.conditions.push(condition.clone());
            }
        }
        transaction.writes.extend(change.writes.iter().cloned());
    }
    transaction
}

/// Reports one result to the callers of all changes of a group.
pub(super) fn complete_all(group: Vec<PendingChange>, result: &Result<u64, StateError>) {
    for change in group {
        change.complete(result.clone());
    }
}

/// Reports a conflict to the callers of the changes that have a condition on one of these
/// keys, and returns the other changes, which can be retried. If no change has such a
/// condition, a retry would fail in the same way: the conflict is then reported to all
/// callers, and nothing is returned.
pub(super) fn without_conflicting(
    group: Vec<PendingChange>,
    keys: &[String],
) -> Vec<PendingChange> {
    let (failed, rest): (Vec<_>, Vec<_>) =
        group.into_iter().partition(|change| change.depends_on(keys));
    let conflict = Err(StateError::Conflict(keys.to_vec()));
    if failed.is_empty() {
        complete_all(rest, &conflict);
        return Vec::new();
    }
    complete_all(failed, &conflict);
    rest
}
