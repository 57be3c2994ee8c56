//! Maintenance of the watch cache: the initial load of all records, the watch, and reads on
//! request.

use std::{sync::Arc, time::Duration};

use tokio::{sync::oneshot, time::Instant};
use tracing::{debug, info};

use super::instance::Node;
use crate::{
    protocol::{Events, Item, JobId, JobState, Write},
    replies::Unavailable,
    state::{Reserve, StateError, lock},
    store::{Change, KEY_PREFIX},
};

/// All records but those of ended jobs, each as of the first revision or a later one: the
/// pages are read one after another, while records change.
struct LoadedItems {
    items: Vec<Item>,
    /// The revision of the first page.
    first_revision: u64,
}

impl Node {
    /// Applies committed writes to the watch cache immediately, before the watch reports
    /// them.
    pub fn apply_committed(&self, writes: &[Write], revision: u64) {
        let changes: Vec<Change> = {
            let mut watch_cache = lock(&self.watch_cache);
            let apply_write = |write: &Write| match write {
                Write::Put { key, value, .. } => watch_cache.put(key, value.clone(), revision),
                Write::Delete { key } => watch_cache.delete(key, revision).into_iter().collect(),
            };
            writes.iter().flat_map(apply_write).collect()
        };
        self.dispatch(&changes);
    }

    /// Passes changes of the watch cache to the components that depend on them: the election
    /// task, the rejected heartbeats, the confirmation times and the leader.
    pub(super) fn dispatch(&self, changes: &[Change]) {
        if changes.is_empty() {
            return;
        }
        if changes.contains(&Change::Leader) {
            self.leadership_changed.notify_one();
        }
        if changes.contains(&Change::HeartbeatsRejected) {
            self.rejected_heartbeats.record_remote();
        }
        self.record_cancellations(changes);
        self.record_confirmations(changes);
        let watch_cache = lock(&self.watch_cache);
        if let Some(leader) = lock(&self.term).as_mut().and_then(|t| t.leader.as_mut()) {
            leader.on_changes(changes, &watch_cache, Instant::now());
            let confirmed_since = lock(&self.confirmed_since);
            for (id, at) in ended_jobs(changes).filter_map(|id| confirmed_since.get_key_value(id)) {
                leader.record_confirmed_end(id, *at);
            }
            self.tick_requested.notify_one();
        }
    }

    /// Records the newly cancelled jobs as not yet acknowledged by the other controllers.
    fn record_cancellations(&self, changes: &[Change]) {
        let watch_cache = lock(&self.watch_cache);
        let mut cancelled = ended_jobs(changes)
            .filter(|id| {
                let end = watch_cache.ended_jobs.get(id);
                end.is_some_and(|end| end.state == JobState::Cancelled)
            })
            .peekable();
        if watch_cache.loaded {
            cancelled.for_each(|id| self.peers.record_cancellation(id));
        } else if cancelled.peek().is_some() {
            self.peers.record_untracked_cancellations();
        }
    }

    /// Records for each newly ended job the earliest time at which its end may have been
    /// confirmed to a user. That is the time up to which all cancellations were known before.
    /// Ends that a process finds when it starts may have been confirmed before its start:
    /// they count as confirmed a quarter of `cancel_s` before it.
    fn record_confirmations(&self, changes: &[Change]) {
        let watch_cache = lock(&self.watch_cache);
        let mut confirmed_since = lock(&self.confirmed_since);
        confirmed_since.retain(|id, _| watch_cache.jobs.contains_key(id));
        let assumed_age = Duration::from_secs_f64(self.settings.cluster.workers.cancel_s / 4.0);
        let assumed_confirmed_at =
            self.started_at.checked_sub(assumed_age).unwrap_or(self.started_at);
        let known_until =
            self.peers.cancellations_known_until(Instant::now()).unwrap_or(assumed_confirmed_at);
        for id in ended_jobs(changes).filter(|id| watch_cache.jobs.contains_key(*id)) {
            confirmed_since.entry(id.clone()).or_insert(known_until);
        }
    }

    /// Applies the events of a watch to the watch cache.
    fn apply_events(&self, events: Events) {
        let changes = lock(&self.watch_cache).apply(events.events, events.revision);
        self.dispatch(&changes);
    }

    /// Waits until the watch cache has reached a revision that was read after this call.
    /// All callers that wait at the same time share one read.
    ///
    /// # Errors
    /// The state service did not answer that read, or the records are being loaded.
    pub async fn refresh(&self) -> Result<(), Unavailable> {
        let (sender, receiver) = oneshot::channel();
        lock(&self.waiting_readers).push(sender);
        self.read_requested.notify_one();
        receiver.await.unwrap_or(Err(Unavailable::State))
    }

    /// Records a read that was requested at `requested_at` and was answered.
    fn record_read(&self, requested_at: Instant) {
        self.peers.record_read(requested_at);
        self.state_health.record_answer();
    }

    /// Records a read that failed.
    fn record_failed_read(&self) {
        self.state_health.record_failure();
    }

    /// Loads all records, and then the changes made while they were read.
    async fn load(&self) -> Result<(), StateError> {
        let LoadedItems { items, first_revision } = self.load_items().await?;
        self.request_budget.take(1.0).await;
        let events = self.state.watch(KEY_PREFIX, first_revision, Duration::ZERO).await?;
        let changes = lock(&self.watch_cache).replace(items, first_revision, events);
        self.dispatch(&changes);
        Ok(())
    }

    /// Reads all records page by page. Returns all but the end records, which are applied to
    /// the watch cache immediately. After the first page a call that fails is retried by
    /// itself: the more pages there are, the less likely is a complete read without any
    /// failure.
    async fn load_items(&self) -> Result<LoadedItems, StateError> {
        let mut items = Vec::new();
        let mut start_after = String::new();
        let mut first_revision = None;
        loop {
            self.request_budget.take(1.0).await;
            let page = match self.state.list(KEY_PREFIX, &start_after).await {
                Ok(page) => page,
                Err(error) if first_revision.is_none() => return Err(error),
                Err(error) => {
                    debug!(%error, %start_after, "reading a page of records failed");
                    self.record_failed_read();
                    tokio::time::sleep(self.settings.state_timeout() / 4).await;
                    continue;
                }
            };
            let first_revision = *first_revision.get_or_insert(page.revision);
            if let Some(last) = page.items.last() {
                start_after.clone_from(&last.key);
            }
            let has_more = page.more && !page.items.is_empty();
            let (changes, other_items) = lock(&self.watch_cache).record_ends(page.items);
            self.dispatch(&changes);
            items.extend(other_items);
            if !has_more {
                return Ok(LoadedItems { items, first_revision });
            }
        }
    }

    /// Reads the changes since the watch cache's revision and applies them.
    async fn read_changes(&self) -> Result<(), Unavailable> {
        let revision = lock(&self.watch_cache).revision;
        let requested_at = Instant::now();
        match self.state.watch(KEY_PREFIX, revision, Duration::ZERO).await {
            Ok(events) => {
                self.apply_events(events);
                // Recorded only after the watch cache has the changes that were read.
                self.record_read(requested_at);
                Ok(())
            }
            Err(error) => {
                if matches!(error, StateError::RevisionTooOld) {
                    lock(&self.watch_cache).loaded = false;
                }
                self.record_failed_read();
                Err(Unavailable::State)
            }
        }
    }
}

/// The jobs that ended by these changes.
fn ended_jobs(changes: &[Change]) -> impl Iterator<Item = &JobId> {
    changes.iter().filter_map(|change| match change {
        Change::Ended(id) => Some(id),
        _ => None,
    })
}

/// The minimum time between two reads, so that changes in quick succession are fetched by
/// one read. `requests`: how many requests this node's share of the state service's rate
/// limit allows in that time.
fn min_read_interval(node: &Node, requests: f64) -> Duration {
    let rate = node.settings.follower_share(node.settings.state_limits().requests_per_s);
    Duration::from_secs_f64(requests / rate)
}

/// Keeps the watch cache current by watches, and reloads the records when the state service
/// no longer has the changes since the cache's revision.
pub(super) async fn run_watch(node: Arc<Node>) {
    let retry_interval = node.settings.state_timeout() / 4;
    let watch_timeout = node.settings.worker_lease();
    let min_read_interval = min_read_interval(&node, 2.0);
    loop {
        load_until_success(&node, retry_interval).await;
        node.request_budget.take_with_reserve(1.0, Reserve::Half).await;
        let revision = lock(&node.watch_cache).revision;
        let requested_at = Instant::now();
        match node.state.watch(KEY_PREFIX, revision, watch_timeout).await {
            Ok(events) => {
                node.apply_events(events);
                node.peers.record_read(requested_at);
                tokio::time::sleep(min_read_interval.saturating_sub(requested_at.elapsed())).await;
            }
            Err(StateError::RevisionTooOld) => lock(&node.watch_cache).loaded = false,
            Err(error) => {
                debug!(%error, revision, "watch of the state service failed");
                tokio::time::sleep(retry_interval).await;
            }
        }
    }
}

/// Loads the records with retries, unless they are loaded already.
async fn load_until_success(node: &Node, retry_interval: Duration) {
    while !lock(&node.watch_cache).loaded {
        let requested_at = Instant::now();
        match node.load().await {
            Ok(()) => {
                node.record_read(requested_at);
                info!(
                    revision = lock(&node.watch_cache).revision,
                    "records loaded into the watch cache"
                );
            }
            Err(error) => {
                node.record_failed_read();
                debug!(%error, "loading the records failed");
                tokio::time::sleep(retry_interval).await;
            }
        }
    }
}

/// Reads changes for the callers of `refresh`, one read for all that wait. Without callers it
/// reads four times per leader lease, to observe whether the state service answers.
pub(super) async fn run_reads(node: Arc<Node>) {
    let idle_read_interval = node.settings.leader_lease() / 4;
    let min_read_interval = min_read_interval(&node, 1.0);
    loop {
        let _ = tokio::time::timeout(idle_read_interval, node.read_requested.notified()).await;
        let loaded = lock(&node.watch_cache).loaded;
        if loaded {
            node.request_budget.take_with_reserve(1.0, Reserve::Quarter).await;
        }
        // Callers that arrived during the wait for the budget share the read.
        let waiting = std::mem::take(&mut *lock(&node.waiting_readers));
        let result = if loaded { node.read_changes().await } else { Err(Unavailable::State) };
        for reader in waiting {
            let _ = reader.send(result);
        }
        tokio::time::sleep(min_read_interval).await;
    }
}
