//! The watch cache: read whole, watched, and read afresh for those
//! who ask.

use std::{sync::Arc, time::Duration};

use tokio::{sync::oneshot, time::Instant};
use tracing::{debug, info};

use super::{Node, Unavailable};
use crate::{
    protocol::{Events, JobId, Write},
    state::{Reserve, StateError, lock},
    store::{Change, KEY_PREFIX},
};

impl Node {
    /// Notes committed writes at once, before the watch brings them.
    pub fn note_writes(&self, writes: &[Write], revision: u64) {
        let changes: Vec<Change> = {
            let mut watch_cache = lock(&self.watch_cache);
            let note = |write: &Write| match write {
                Write::Put { key, value, .. } => watch_cache.put(key, value.clone(), revision),
                Write::Delete { key } => watch_cache.delete(key, revision).into_iter().collect(),
            };
            writes.iter().flat_map(note).collect()
        };
        self.dispatch(&changes);
    }

    pub(super) fn dispatch(&self, changes: &[Change]) {
        if changes.is_empty() {
            return;
        }
        if changes.contains(&Change::Leader) {
            self.lead_changed.notify_one();
        }
        if changes.contains(&Change::HeartbeatsRejected) {
            *lock(&self.heartbeat_rejected_elsewhere_at) = Some(Instant::now());
        }
        self.note_confirmations(changes);
        let watch_cache = lock(&self.watch_cache);
        if let Some(leader) = lock(&self.term).as_mut().and_then(|t| t.leader.as_mut()) {
            leader.on_changes(changes, &watch_cache, Instant::now());
            let confirmed_since = lock(&self.confirmed_since);
            for (id, at) in ended(changes).filter_map(|id| confirmed_since.get_key_value(id)) {
                leader.record_confirmed_end(id, *at);
            }
            self.work.notify_one();
        }
    }

    /// Notes from when on users may have been told of these ends: not before the
    /// moment up to which all cancellations were known. What a process finds when
    /// it starts may be older than it is; it counts as told a quarter of the
    /// limit before.
    fn note_confirmations(&self, changes: &[Change]) {
        let watch_cache = lock(&self.watch_cache);
        let mut confirmed_since = lock(&self.confirmed_since);
        confirmed_since.retain(|id, _| watch_cache.jobs.contains_key(id));
        let unknown = Duration::from_secs_f64(self.settings.cluster.workers.cancel_s / 4.0);
        let before = self.started.checked_sub(unknown).unwrap_or(self.started);
        let known = self.cancellations_known_until().unwrap_or(before);
        for id in ended(changes).filter(|id| watch_cache.jobs.contains_key(*id)) {
            confirmed_since.entry(id.clone()).or_insert(known);
        }
    }

    fn take_events(&self, events: Events) {
        let changes = lock(&self.watch_cache).apply(events.events, events.revision);
        self.dispatch(&changes);
    }

    /// Waits until the watch cache has reached a revision read after this call.
    /// All who wait share one read.
    pub async fn fresh(&self) -> Result<(), Unavailable> {
        let (done, answer) = oneshot::channel();
        lock(&self.readers).push(done);
        self.read_wanted.notify_one();
        answer.await.unwrap_or(Err(Unavailable::State))
    }

    /// Notes how a reading went that was asked for at `asked`.
    fn note_state(&self, asked: Instant, ok: bool) {
        if ok {
            lock(&self.peers.known_cancellations).read(asked);
        }
        *lock(&self.state_seen) = (Instant::now(), ok);
    }

    /// Reads all records, and then what changed while they were read. One call
    /// that fails is tried again by itself, for the more records there are the
    /// less likely is a reading without any failure.
    async fn load(&self) -> Result<(), StateError> {
        let mut items = Vec::new();
        let mut since = String::new();
        let mut began = None;
        loop {
            self.requests.take(1.0).await;
            let page = match self.state.list(KEY_PREFIX, &since).await {
                Ok(page) => page,
                Err(error) if began.is_none() => return Err(error),
                Err(error) => {
                    debug!(%error, "a part of the records can't be read");
                    self.note_state(Instant::now(), false);
                    tokio::time::sleep(self.settings.state_timeout() / 4).await;
                    continue;
                }
            };
            began.get_or_insert(page.revision);
            if let Some(last) = page.items.last() {
                since.clone_from(&last.key);
            }
            let more = page.more && !page.items.is_empty();
            let (changes, others) = lock(&self.watch_cache).note_ends(page.items);
            self.dispatch(&changes);
            items.extend(others);
            if !more {
                break;
            }
        }
        let began = began.unwrap_or(0);
        self.requests.take(1.0).await;
        let changed = self.state.follow(KEY_PREFIX, began, Duration::ZERO).await?;
        let changes = lock(&self.watch_cache).replace(items, began, changed);
        self.dispatch(&changes);
        Ok(())
    }
}

fn ended(changes: &[Change]) -> impl Iterator<Item = &JobId> {
    changes.iter().filter_map(|change| match change {
        Change::Ended(id) => Some(id),
        _ => None,
    })
}

/// Keeps the watch cache warm.
pub(super) async fn run_watch(node: Arc<Node>) {
    let pause = node.settings.state_timeout() / 4;
    let wait = node.settings.worker_lease();
    // Changes that come close together are fetched together.
    let spacing = Duration::from_secs_f64(
        2.0 / node.settings.share(node.settings.state_limits().requests_per_s, false),
    );
    loop {
        while !lock(&node.watch_cache).loaded {
            let asked = Instant::now();
            match node.load().await {
                Ok(()) => {
                    node.note_state(asked, true);
                    info!(revision = lock(&node.watch_cache).revision, "records loaded");
                }
                Err(error) => {
                    node.note_state(asked, false);
                    debug!(%error, "the records can't be read");
                    tokio::time::sleep(pause).await;
                }
            }
        }
        node.requests.take_leaving(1.0, Reserve::Half).await;
        let revision = lock(&node.watch_cache).revision;
        let asked = Instant::now();
        match node.state.follow(KEY_PREFIX, revision, wait).await {
            Ok(events) => {
                node.take_events(events);
                lock(&node.peers.known_cancellations).read(asked);
                tokio::time::sleep(spacing.saturating_sub(asked.elapsed())).await;
            }
            Err(StateError::TooOld) => lock(&node.watch_cache).loaded = false,
            Err(error) => {
                debug!(%error, "watch");
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// Answers those who need a fresh watch cache, all who wait by one read. It also
/// reads by itself now and then, to know whether the service answers.
pub(super) async fn run_reads(node: Arc<Node>) {
    let idle = node.settings.leader_lease() / 4;
    let spacing = Duration::from_secs_f64(
        1.0 / node.settings.share(node.settings.state_limits().requests_per_s, false),
    );
    loop {
        let _ = tokio::time::timeout(idle, node.read_wanted.notified()).await;
        let loaded = lock(&node.watch_cache).loaded;
        if loaded {
            node.requests.take_leaving(1.0, Reserve::Quarter).await;
        }
        // Whoever came while the budget was awaited shares the read.
        let waiting = std::mem::take(&mut *lock(&node.readers));
        let revision = lock(&node.watch_cache).revision;
        let result = if loaded {
            let asked = Instant::now();
            let answer = node.state.follow(KEY_PREFIX, revision, Duration::ZERO).await;
            let ok = answer.is_ok();
            let result = match answer {
                Ok(events) => {
                    node.take_events(events);
                    Ok(())
                }
                Err(StateError::TooOld) => {
                    lock(&node.watch_cache).loaded = false;
                    Err(Unavailable::State)
                }
                Err(_) => Err(Unavailable::State),
            };
            // Only once the watch cache holds what was read.
            node.note_state(asked, ok);
            result
        } else {
            Err(Unavailable::State)
        };
        for reader in waiting {
            let _ = reader.send(result);
        }
        tokio::time::sleep(spacing).await;
    }
}
