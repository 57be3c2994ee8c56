//! Group commit: changes that wait together leave in one transaction.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use hyper::StatusCode;
use stonewheel_http_client::CallError;
use stonewheel_protocol::{BODY_LIMIT, Condition, Transaction, Write};
use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};
use tokio_util::sync::CancellationToken;

use crate::{Budget, Reserve, StateApi, StateError, lock};

/// One change that must be applied as a whole, alone or with others.
struct Change {
    conditions: Vec<Condition>,
    writes: Vec<Write>,
    reply: oneshot::Sender<Result<u64, StateError>>,
}

/// What one writer may ask of the state service.
#[derive(Clone, Copy, Debug)]
pub struct WriterLimits {
    /// Puts and deletes a second that this controller may use.
    pub own_writes_per_s: f64,
    /// Puts and deletes a second that the service takes from all.
    pub all_writes_per_s: f64,
    /// Puts and deletes of one transaction.
    pub transaction_writes: usize,
    /// Conditions of one transaction.
    pub transaction_conditions: usize,
    /// How long one call may take.
    pub timeout: Duration,
}

/// Group commit: changes that wait together leave in one transaction.
///
/// A transaction fails as a whole, so a change that conflicts is taken out
/// (its owner is told) and the others are tried again without it.
pub struct Writer {
    api: Arc<dyn StateApi>,
    requests: Arc<Budget>,
    writes: Budget,
    queue: Mutex<VecDeque<Change>>,
    wake: Notify,
    max_ops: usize,
    max_conditions: usize,
    max_bytes: usize,
    timeout: Duration,
}

/// The share of the service's own burst that one controller may use.
const WRITE_BURST: f64 = 0.5;

/// What a transaction's body holds besides its changes, at the most.
const TRANSACTION_BYTES: usize = 4096;

/// Transactions under way at once: one slow answer must not stop all writing.
pub const IN_FLIGHT: usize = 3;

impl Writer {
    /// Writes through `api` within `limits`; `requests` is shared with whoever else
    /// asks the state service.
    pub fn new(api: Arc<dyn StateApi>, limits: WriterLimits, requests: Arc<Budget>) -> Self {
        Self {
            api,
            requests,
            // The jobs of a pipeline come to one controller at once. Mostly the
            // others write little then; if they do, the service refuses some
            // and those are tried again.
            writes: Budget::with_burst(
                limits.own_writes_per_s,
                limits.all_writes_per_s * WRITE_BURST,
            ),
            queue: Mutex::default(),
            wake: Notify::new(),
            max_ops: limits.transaction_writes,
            max_conditions: limits.transaction_conditions,
            max_bytes: BODY_LIMIT - TRANSACTION_BYTES,
            timeout: limits.timeout,
        }
    }

    pub fn set_write_rate(&self, rate: f64) {
        self.writes.set_rate(rate);
    }

    /// How many writes could leave now and still leave a reserve for urgent ones.
    pub fn spare(&self) -> usize {
        if lock(&self.queue).is_empty() { self.writes.spare(Reserve::Half) } else { 0 }
    }

    /// Commits a change and returns the revision it got.
    pub async fn commit(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<u64, StateError> {
        let (reply, answer) = oneshot::channel();
        lock(&self.queue).push_back(Change { conditions, writes, reply });
        self.wake.notify_one();
        answer.await.unwrap_or(Err(StateError::Unsure(CallError::Timeout)))
    }

    /// The writer's long-lived duty.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        let slots = Arc::new(tokio::sync::Semaphore::new(IN_FLIGHT));
        loop {
            let Ok(slot) = slots.clone().acquire_owned().await else { return };
            let group = loop {
                let group = self.next_group();
                if !group.is_empty() {
                    break group;
                }
                tokio::select! {
                    () = self.wake.notified() => {}
                    () = stop.cancelled() => return,
                }
            };
            let ops: usize = group.iter().map(|c| c.writes.len()).sum();
            self.writes.take(ops as f64).await;
            let writer = self.clone();
            tokio::spawn(async move {
                writer.send(group).await;
                drop(slot);
            });
        }
    }

    /// Takes as many waiting changes as one transaction holds. Conditions on
    /// one key must agree, else the later change waits for the next group.
    fn next_group(&self) -> Vec<Change> {
        let mut queue = lock(&self.queue);
        let mut group: Vec<Change> = Vec::new();
        let (mut ops, mut conditions, mut bytes) = (0, 0, 0);
        while let Some(next) = queue.front() {
            let size: usize = next
                .writes
                .iter()
                .map(|w| match w {
                    Write::Put { key, value, .. } => key.len() + value.get().len() + 64,
                    Write::Delete { key } => key.len() + 32,
                })
                .sum::<usize>()
                + next.conditions.iter().map(|c| c.key.len() + 40).sum::<usize>();
            let clash = group.iter().any(|c| {
                c.conditions.iter().any(|a| {
                    next.conditions.iter().any(|b| a.key == b.key && a.version != b.version)
                }) || c.writes.iter().any(|a| next.writes.iter().any(|b| a.key() == b.key()))
            });
            ops += next.writes.len();
            conditions += next.conditions.len();
            bytes += size;
            let full = ops > self.max_ops
                || conditions > self.max_conditions
                || bytes > self.max_bytes
                || clash;
            if full && !group.is_empty() {
                break;
            }
            group.extend(queue.pop_front());
        }
        group
    }

    async fn send_alone(&self, change: Change) {
        self.requests.take(1.0).await;
        self.writes.take(change.writes.len() as f64).await;
        let result = self.api.multi(&merge(std::slice::from_ref(&change))).await;
        let _ = change.reply.send(result);
    }

    async fn send(&self, mut group: Vec<Change>) {
        let deadline = Instant::now() + self.timeout;
        loop {
            let txn = merge(&group);
            self.requests.take(1.0).await;
            let result = self.api.multi(&txn).await;
            match result {
                Ok(revision) => {
                    for change in group {
                        let _ = change.reply.send(Ok(revision));
                    }
                    return;
                }
                // Our budget should prevent this; others' bursts may not.
                Err(StateError::Refused(StatusCode::TOO_MANY_REQUESTS))
                    if Instant::now() < deadline =>
                {
                    tokio::time::sleep(self.timeout / 8).await;
                }
                // One that is too large, or attached to a lease that has ended, must
                // not take the others with it.
                Err(StateError::Rejected(_) | StateError::NoLease) if group.len() > 1 => {
                    for change in group {
                        self.send_alone(change).await;
                    }
                    return;
                }
                Err(StateError::Conflict(keys)) if group.len() > 1 => {
                    let touches = |c: &Change| c.conditions.iter().any(|w| keys.contains(&w.key));
                    let (failed, rest): (Vec<_>, Vec<_>) = group.into_iter().partition(touches);
                    // An answer that names none of our keys helps nobody.
                    let hopeless = failed.is_empty();
                    for change in failed {
                        let _ = change.reply.send(Err(StateError::Conflict(keys.clone())));
                    }
                    if hopeless || rest.is_empty() {
                        for change in rest {
                            let _ = change.reply.send(Err(StateError::Conflict(keys.clone())));
                        }
                        return;
                    }
                    group = rest;
                }
                Err(error) => {
                    for change in group {
                        let _ = change.reply.send(Err(copy(&error)));
                    }
                    return;
                }
            }
        }
    }
}

/// What leaves in one transaction: every change as a whole.
fn merge(group: &[Change]) -> Transaction {
    let mut txn = Transaction::default();
    for change in group {
        for condition in &change.conditions {
            if !txn.conditions.contains(condition) {
                txn.conditions.push(condition.clone());
            }
        }
        txn.writes.extend(change.writes.iter().cloned());
    }
    txn
}

/// One answer goes to every change of a group.
fn copy(error: &StateError) -> StateError {
    match error {
        StateError::Refused(status) => StateError::Refused(*status),
        StateError::Rejected(reason) => StateError::Rejected(reason.clone()),
        StateError::Conflict(keys) => StateError::Conflict(keys.clone()),
        StateError::NoLease => StateError::NoLease,
        StateError::TooOld => StateError::TooOld,
        StateError::Unsure(e) => StateError::Unsure(CallError::Connection(e.to_string())),
    }
}
