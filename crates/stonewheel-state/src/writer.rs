//! Group commit: changes that are queued at the same time are sent in one transaction.

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

/// The limits of one writer. The limits on transactions are those of the state service.
#[derive(Clone, Copy, Debug)]
pub struct WriterLimits {
    /// Puts and deletes per second that this controller may make.
    pub controller_writes_per_s: f64,
    /// Puts and deletes per second that the service accepts from all controllers together.
    pub service_writes_per_s: f64,
    /// The most puts and deletes in one transaction.
    pub transaction_writes: usize,
    /// The most conditions in one transaction.
    pub transaction_conditions: usize,
    /// The time-out of one call, which also bounds the retries after a 429.
    pub timeout: Duration,
}

/// Group commit: changes that are queued at the same time are sent in one transaction.
///
/// A transaction fails as a whole. A change that conflicts is therefore removed from its
/// group, its caller gets the error, and the other changes are sent again without it.
pub struct Writer {
    api: Arc<dyn StateApi>,
    requests: Arc<Budget>,
    writes: Budget,
    queue: Mutex<VecDeque<PendingChange>>,
    queued: Notify,
    group_limits: GroupLimits,
    timeout: Duration,
}

/// The share of the service's write burst (one second's writes) that one controller may
/// use.
const WRITE_BURST_SHARE: f64 = 0.5;

/// An upper bound on the bytes of a transaction's body besides its changes.
const MAX_ENVELOPE_BYTES: usize = 4096;

/// The most transactions that wait for their responses at the same time. More than one, so
/// that a slow response doesn't block all writes.
pub const MAX_IN_FLIGHT: usize = 3;

/// The delay before the retry after a 429 is the time-out of a call divided by this.
const RETRY_DELAY_DIVISOR: u32 = 8;

impl Writer {
    /// Returns a writer that sends transactions through `api` within `limits`. The budget
    /// `requests` is shared with this controller's other requests to the state service.
    pub fn new(api: Arc<dyn StateApi>, limits: WriterLimits, requests: Arc<Budget>) -> Self {
        Self {
            api,
            requests,
            // All jobs of a pipeline are submitted to one controller within a short time,
            // hence the burst beyond this controller's share. The other controllers
            // usually write little meanwhile; if they do write, the service refuses some
            // transactions with a 429, and these are retried.
            writes: Budget::with_burst(
                limits.controller_writes_per_s,
                limits.service_writes_per_s * WRITE_BURST_SHARE,
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

    /// Sets the number of writes per second that this controller may make.
    pub fn set_write_rate(&self, rate: f64) {
        self.writes.set_rate(rate);
    }

    /// Returns the number of writes that could be sent now while half of the write budget
    /// remains for urgent ones; 0 while changes are queued.
    pub fn available_writes(&self) -> usize {
        if lock(&self.queue).is_empty() { self.writes.available(Reserve::Half) } else { 0 }
    }

    /// Commits a change and returns its revision.
    ///
    /// # Errors
    ///
    /// If the change was not committed, or if it is unknown whether it was; see
    /// [`StateError`].
    pub async fn commit(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<u64, StateError> {
        let (reply, result) = oneshot::channel();
        lock(&self.queue).push_back(PendingChange { conditions, writes, reply });
        self.queued.notify_one();
        result.await.unwrap_or(Err(StateError::OutcomeUnknown(CallError::Timeout)))
    }

    /// Sends queued changes until `stop` is cancelled and the queue is empty.
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

    /// Waits until changes are queued, and takes as many of them as fit one transaction.
    /// Returns `None` once `stop` is cancelled and the queue is empty.
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

    /// Sends a group of changes and reports the result to the caller of each one.
    async fn send(&self, mut group: Vec<PendingChange>) {
        let deadline = Instant::now() + self.timeout;
        loop {
            let transaction = group::merge(&group);
            self.requests.take(1.0).await;
            match self.api.transact(&transaction).await {
                // This controller's budget keeps to its share, but bursts of several
                // controllers together can exceed the limits of the service.
                Err(StateError::Refused(StatusCode::TOO_MANY_REQUESTS))
                    if Instant::now() < deadline =>
                {
                    tokio::time::sleep(self.timeout / RETRY_DELAY_DIVISOR).await;
                }
                // A change that is too large or attached to an expired lease must not make
                // the other changes fail.
                Err(StateError::Rejected(_) | StateError::LeaseExpired) if group.len() > 1 => {
                    return self.send_individually(group).await;
                }
                Err(StateError::Conflict(keys)) if group.len() > 1 => {
                    group = group::without_conflicting(group, &keys);
                    if group.is_empty() {
                        return;
                    }
                }
                result => return group::complete_all(group, &result),
            }
        }
    }

    /// Sends each change in a transaction of its own.
    async fn send_individually(&self, group: Vec<PendingChange>) {
        for change in group {
            self.requests.take(1.0).await;
            self.writes.take(change.writes.len() as f64).await;
            let transaction = group::merge(std::slice::from_ref(&change));
            change.complete(self.api.transact(&transaction).await);
        }
    }
}
