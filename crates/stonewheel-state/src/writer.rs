//! Group commit: changes that wait together leave in one transaction.

mod group;
mod pending_change;

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};

use hyper::StatusCode;
use stonewheel_http_client::CallError;
use stonewheel_protocol::{BODY_LIMIT, Condition, Write};
use tokio::{
    sync::{Notify, Semaphore, oneshot},
    time::Instant,
};
use tokio_util::sync::CancellationToken;

use crate::{
    api::{StateApi, StateError},
    budget::{Budget, Reserve},
    locks::lock,
};
use group::GroupLimits;
use pending_change::PendingChange;

/// What one writer may ask of the state service.
#[derive(Clone, Copy, Debug)]
pub struct WriterLimits {
    /// Puts and deletes a second that this controller may use.
    pub controller_writes_per_s: f64,
    /// Puts and deletes a second that the service takes from all.
    pub service_writes_per_s: f64,
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
/// (its owner gets the error) and the others are tried again without it.
pub struct Writer {
    api: Arc<dyn StateApi>,
    requests: Arc<Budget>,
    writes: Budget,
    queue: Mutex<VecDeque<PendingChange>>,
    queued: Notify,
    group_limits: GroupLimits,
    timeout: Duration,
}

/// The share of the service's own burst that one controller may use.
const WRITE_BURST: f64 = 0.5;

/// What a transaction's body holds besides its changes, at the most.
const MAX_ENVELOPE_BYTES: usize = 4096;

/// Transactions under way at once: one slow answer must not stop all writing.
pub const MAX_IN_FLIGHT: usize = 3;

/// The pause after a 429, as a part of the time that one call may take.
const RETRY_DELAY_PARTS: u32 = 8;

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
                limits.controller_writes_per_s,
                limits.service_writes_per_s * WRITE_BURST,
            ),
            queue: Mutex::default(),
            queued: Notify::new(),
            group_limits: GroupLimits {
                writes: limits.transaction_writes,
                conditions: limits.transaction_conditions,
                bytes: BODY_LIMIT - MAX_ENVELOPE_BYTES,
            },
            timeout: limits.timeout,
        }
    }

    /// Sets how many writes a second this controller may use.
    pub fn set_write_rate(&self, rate: f64) {
        self.writes.set_rate(rate);
    }

    /// How many writes could leave now and still leave a reserve for urgent ones.
    pub fn available_writes(&self) -> usize {
        if lock(&self.queue).is_empty() { self.writes.available(Reserve::Half) } else { 0 }
    }

    /// Commits a change and returns the revision it got.
    ///
    /// # Errors
    ///
    /// If the change was not carried out, or may not have been.
    pub async fn commit(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<u64, StateError> {
        let (reply, answer) = oneshot::channel();
        lock(&self.queue).push_back(PendingChange { conditions, writes, reply });
        self.queued.notify_one();
        answer.await.unwrap_or(Err(StateError::OutcomeUnknown(CallError::Timeout)))
    }

    /// Sends what is committed, until told to stop.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        let slots = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
        loop {
            let Ok(slot) = slots.clone().acquire_owned().await else { return };
            let Some(group) = self.next_group(&stop).await else { return };
            let writes: usize = group.iter().map(|change| change.writes.len()).sum();
            self.writes.take(writes as f64).await;
            let writer = self.clone();
            tokio::spawn(async move {
                writer.send(group).await;
                drop(slot);
            });
        }
    }

    /// Waits for changes, and takes as many as one transaction holds. None once
    /// told to stop, unless there is some work left.
    async fn next_group(&self, stop: &CancellationToken) -> Option<Vec<PendingChange>> {
        loop {
            let group = group::take_group(&mut lock(&self.queue), &self.group_limits);
            if !group.is_empty() {
                return Some(group);
            }
            tokio::select! {
                () = self.queued.notified() => {}
                () = stop.cancelled() => return None,
            }
        }
    }

    async fn send(&self, mut group: Vec<PendingChange>) {
        let deadline = Instant::now() + self.timeout;
        loop {
            let transaction = group::merge(&group);
            self.requests.take(1.0).await;
            match self.api.transact(&transaction).await {
                // Our budget should prevent this; others' bursts may not.
                Err(StateError::Refused(StatusCode::TOO_MANY_REQUESTS))
                    if Instant::now() < deadline =>
                {
                    tokio::time::sleep(self.timeout / RETRY_DELAY_PARTS).await;
                }
                // One that is too large, or attached to a lease that has ended, must
                // not take the others with it.
                Err(StateError::Rejected(_) | StateError::LeaseExpired) if group.len() > 1 => {
                    return self.send_each_alone(group).await;
                }
                Err(StateError::Conflict(keys)) if group.len() > 1 => {
                    group = group::without_conflicting(group, &keys);
                    if group.is_empty() {
                        return;
                    }
                }
                result => return group::answer_all(group, &result),
            }
        }
    }

    async fn send_each_alone(&self, group: Vec<PendingChange>) {
        for change in group {
            self.requests.take(1.0).await;
            self.writes.take(change.writes.len() as f64).await;
            let transaction = group::merge(std::slice::from_ref(&change));
            change.answer(self.api.transact(&transaction).await);
        }
    }
}
