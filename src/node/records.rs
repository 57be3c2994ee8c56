//! The watch cache: read whole, watched, and refreshed for those who need it so.

use std::{sync::Arc, time::Duration};

use tokio::{sync::oneshot, time::Instant};
use tracing::{debug, info};

use super::instance::Node;
use crate::{
    protocol::{Events, Item, JobId, Write},
    replies::Unavailable,
    state::{Reserve, StateError, lock},
    store::{Change, KEY_PREFIX},
};

/// Records as the state service had them, each at the first revision or later.
struct LoadedItems {
    items: Vec<Item>,
    /// The revision of the first page.
    first_revision: u64,
}

impl Node {
    /// Applies committed writes to the watch cache at once, before the watch brings them.
    pub fn apply_committed(&self, writes: &[Write], revision: u64) {
        let changes: Vec<Change> = {
            let mut watch_cache = lock(&self.watch_cache);
            let apply = |write: &Write| match write {
                Write::Put { key, value, .. } => watch_cache.put(key, value.clone(), revision),
                Write::Delete { key } => watch_cache.delete(key, revision).into_iter().collect(),
            };
            writes.iter().flat_map(apply).collect()
        };
        self.dispatch(&changes);
    }

    /// Hands changes of the watch cache to all that depend on them.
    pub(super) fn dispatch(&self, changes: &[Change]) {
        if changes.is_empty() {
            return;
        }
        if changes.contains(&Change::Leader) {
            self.leadership_changed.notify_one();
        }
        if changes.contains(&Change::HeartbeatsRejected) {
            self.rejected_heartbeats.record_elsewhere();
        }
        self.record_confirmations(changes);
        let watch_cache = lock(&self.watch_cache);
        if let Some(leader) = lock(&self.term).as_mut().and_then(|t| t.leader.as_mut()) {
            leader.on_changes(changes, &watch_cache, Instant::now());
            let confirmed_since = lock(&self.confirmed_since);
            for (id, at) in ended(changes).filter_map(|id| confirmed_since.get_key_value(id)) {
                leader.record_confirmed_end(id, *at);
            }
            self.tick_requested.notify_one();
        }
    }

    /// Records from when on these ends may have been confirmed to users: not before the
    /// moment up to which all cancellations were known. What a process finds when
    /// it starts may be older than it is; it counts as confirmed a quarter of the
    /// limit before.
    fn record_confirmations(&self, changes: &[Change]) {
        let watch_cache = lock(&self.watch_cache);
        let mut confirmed_since = lock(&self.confirmed_since);
        confirmed_since.retain(|id, _| watch_cache.jobs.contains_key(id));
        let unknown = Duration::from_secs_f64(self.settings.cluster.workers.cancel_s / 4.0);
        let before_start = self.started_at.checked_sub(unknown).unwrap_or(self.started_at);
        let known_until = self.cancellations_known_until().unwrap_or(before_start);
        for id in ended(changes).filter(|id| watch_cache.jobs.contains_key(*id)) {
            confirmed_since.entry(id.clone()).or_insert(known_until);
        }
    }

    fn apply_events(&self, events: Events) {
        let changes = lock(&self.watch_cache).apply(events.events, events.revision);
        self.dispatch(&changes);
    }

    /// Waits until the watch cache has reached a revision read after this call.
    /// All who wait share one read.
    ///
    /// # Errors
    /// The state service did not answer that read, or the records are being loaded.
    pub async fn refresh(&self) -> Result<(), Unavailable> {
        let (done, answer) = oneshot::channel();
        lock(&self.waiting_readers).push(done);
        self.read_requested.notify_one();
        answer.await.unwrap_or(Err(Unavailable::State))
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

    /// Reads all records, and then what changed while they were read.
    async fn load(&self) -> Result<(), StateError> {
        let LoadedItems { items, first_revision } = self.load_items().await?;
        self.requests.take(1.0).await;
        let events = self.state.watch(KEY_PREFIX, first_revision, Duration::ZERO).await?;
        let changes = lock(&self.watch_cache).replace(items, first_revision, events);
        self.dispatch(&changes);
        Ok(())
    }

    /// Reads all records but those of ended jobs, which the watch cache takes at once,
    /// page by page. One call that
    /// fails is retried by itself, for the more records there are the less likely is a
    /// read without any failure.
    async fn load_items(&self) -> Result<LoadedItems, StateError> {
        let mut items = Vec::new();
        let mut since = String::new();
        let mut first_revision = None;
        loop {
            self.requests.take(1.0).await;
            let page = match self.state.list(KEY_PREFIX, &since).await {
                Ok(page) => page,
                Err(error) if first_revision.is_none() => return Err(error),
                Err(error) => {
                    debug!(%error, %since, "records partly unread");
                    self.record_failed_read();
                    tokio::time::sleep(self.settings.state_timeout() / 4).await;
                    continue;
                }
            };
            let first_revision = *first_revision.get_or_insert(page.revision);
            if let Some(last) = page.items.last() {
                since.clone_from(&last.key);
            }
            let more = page.more && !page.items.is_empty();
            let (changes, others) = lock(&self.watch_cache).record_ends(page.items);
            self.dispatch(&changes);
            items.extend(others);
            if !more {
                return Ok(LoadedItems { items, first_revision });
            }
        }
    }

    /// Reads what changed since the watch cache's revision.
    async fn read_changes(&self) -> Result<(), Unavailable> {
        let revision = lock(&self.watch_cache).revision;
        let requested_at = Instant::now();
        match self.state.watch(KEY_PREFIX, revision, Duration::ZERO).await {
            Ok(events) => {
                self.apply_events(events);
                // Only once the watch cache holds what was read.
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

fn ended(changes: &[Change]) -> impl Iterator<Item = &JobId> {
    changes.iter().filter_map(|change| match change {
        Change::Ended(id) => Some(id),
        _ => None,
    })
}

/// The least time between two reads, so that changes that come close together are
/// fetched together. `requests`: how many of this node's requests to the state service
/// pass between them.
fn spacing(node: &Node, requests: f64) -> Duration {
    let rate = node.settings.follower_share(node.settings.state_limits().requests_per_s);
    Duration::from_secs_f64(requests / rate)
}

/// Keeps the watch cache current.
pub(super) async fn run_watch(node: Arc<Node>) {
    let retry_interval = node.settings.state_timeout() / 4;
    let wait = node.settings.worker_lease();
    let spacing = spacing(&node, 2.0);
    loop {
        load_until_success(&node, retry_interval).await;
        node.requests.take_with_reserve(1.0, Reserve::Half).await;
        let revision = lock(&node.watch_cache).revision;
        let requested_at = Instant::now();
        match node.state.watch(KEY_PREFIX, revision, wait).await {
            Ok(events) => {
                node.apply_events(events);
                node.peers.record_read(requested_at);
                tokio::time::sleep(spacing.saturating_sub(requested_at.elapsed())).await;
            }
            Err(StateError::RevisionTooOld) => lock(&node.watch_cache).loaded = false,
            Err(error) => {
                debug!(%error, revision, "watch failed");
                tokio::time::sleep(retry_interval).await;
            }
        }
    }
}

/// Loads the records, unless they are loaded.
async fn load_until_success(node: &Node, retry_interval: Duration) {
    while !lock(&node.watch_cache).loaded {
        let requested_at = Instant::now();
        match node.load().await {
            Ok(()) => {
                node.record_read(requested_at);
                info!(revision = lock(&node.watch_cache).revision, "records loaded");
            }
            Err(error) => {
                node.record_failed_read();
                debug!(%error, "records not loaded");
                tokio::time::sleep(retry_interval).await;
            }
        }
    }
}

/// Refreshes the watch cache for those who wait for it, all by one read. It also
/// reads by itself now and then, to know whether the service answers.
pub(super) async fn run_reads(node: Arc<Node>) {
    let idle = node.settings.leader_lease() / 4;
    let spacing = spacing(&node, 1.0);
    loop {
        let _ = tokio::time::timeout(idle, node.read_requested.notified()).await;
        let loaded = lock(&node.watch_cache).loaded;
        if loaded {
            node.requests.take_with_reserve(1.0, Reserve::Quarter).await;
        }
        // Whoever came while the budget was awaited shares the read.
        let waiting = std::mem::take(&mut *lock(&node.waiting_readers));
        let result = if loaded { node.read_changes().await } else { Err(Unavailable::State) };
        for reader in waiting {
            let _ = reader.send(result);
        }
        tokio::time::sleep(spacing).await;
    }
}
