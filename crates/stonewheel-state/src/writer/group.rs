//! Changes that leave in one transaction.

use std::collections::VecDeque;

use stonewheel_protocol::Transaction;

use super::pending_change::PendingChange;
use crate::api::StateError;

/// What one transaction holds at most.
#[derive(Clone, Copy, Debug)]
pub(super) struct GroupLimits {
    pub(super) writes: usize,
    pub(super) conditions: usize,
    pub(super) bytes: usize,
}

/// Takes as many waiting changes as one transaction holds, in their order, and one
/// at least: alone it may exceed a limit. Conditions on one key must agree, else the
/// later change waits for the next group.
pub(super) fn take_group(
    queue: &mut VecDeque<PendingChange>,
    limits: &GroupLimits,
) -> Vec<PendingChange> {
    let mut group: Vec<PendingChange> = Vec::new();
    let (mut writes, mut conditions, mut bytes) = (0, 0, 0);
    while let Some(next) = queue.front() {
        writes += next.writes.len();
        conditions += next.conditions.len();
        bytes += next.bytes();
        let full = writes > limits.writes || conditions > limits.conditions || bytes > limits.bytes;
        let clash = group.iter().any(|change| change.clashes_with(next));
        if (full || clash) && !group.is_empty() {
            break;
        }
        group.extend(queue.pop_front());
    }
    group
}

/// The transaction that holds every change as a whole.
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

/// Gives one result to every change of a group.
pub(super) fn answer_all(group: Vec<PendingChange>, result: &Result<u64, StateError>) {
    for change in group {
        change.answer(result.clone());
    }
}

/// Answers the changes that conflict on these keys, and returns the others, which can
/// be tried again. If none conflicts, another try would fail like this one: then all
/// are answered.
pub(super) fn without_conflicting(
    group: Vec<PendingChange>,
    keys: &[String],
) -> Vec<PendingChange> {
    let (failed, rest): (Vec<_>, Vec<_>) =
        group.into_iter().partition(|change| change.depends_on(keys));
    let conflict = Err(StateError::Conflict(keys.to_vec()));
    if failed.is_empty() {
        answer_all(rest, &conflict);
        return Vec::new();
    }
    answer_all(failed, &conflict);
    rest
}
