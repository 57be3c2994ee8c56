//! The picture of the records: read whole, watched, and read afresh for those
//! who ask.

use std::{sync::Arc, time::Duration};

use tokio::{sync::oneshot, time::Instant};
use tracing::{debug, info};

use super::{Node, Trouble};
use crate::{
    protocol::{Events, Write},
    state::{Reserve, StateError, lock},
    store::{Change, PREFIX},
};

impl Node {
    /// Notes committed writes at once, before the watch brings them.
    pub fn note_writes(&self, writes: &[Write], revision: u64) {
        let changes: Vec<Change> = {
            let mut picture = lock(&self.picture);
            let note = |write: &Write| match write {
                Write::Put { key, value, .. } => picture.put(key, value.clone(), revision),
                Write::Delete { key } => picture.delete(key, revision).into_iter().collect(),
            };
            writes.iter().flat_map(note).collect()
        };
        self.dispatch(&changes);
    }

    pub(super) fn dispatch(&self, changes: &[Change]) {
        if changes.is_empty() {
            return;
        }
        if changes.contains(&Change::Lead) {
            self.lead_changed.notify_one();
        }
        if changes.contains(&Change::ReportsTurnedAway) {
            *lock(&self.turned_away_elsewhere) = Some(Instant::now());
        }
        let picture = lock(&self.picture);
        if let Some(leader) = lock(&self.term).as_mut().and_then(|t| t.leader.as_mut()) {
            leader.on_changes(changes, &picture, Instant::now());
            self.work.notify_one();
        }
    }

    fn take_events(&self, events: Events) {
        let changes = lock(&self.picture).apply(events.events, events.revision);
        self.dispatch(&changes);
    }

    /// Waits until the picture has reached a revision read after this call.
    /// All who wait share one read.
    pub async fn fresh(&self) -> Result<(), Trouble> {
        let (done, answer) = oneshot::channel();
        lock(&self.readers).push(done);
        self.read_wanted.notify_one();
        answer.await.unwrap_or(Err(Trouble::State))
    }

    /// Notes how a reading went that was asked for at `asked`.
    fn note_state(&self, asked: Instant, ok: bool) {
        if ok {
            lock(&self.peers.known_cancellations).read(asked);
        }
        *lock(&self.state_seen) = (Instant::now(), ok);
    }

    /// Reads all records. The list takes several requests, so it is only as
    /// new as its first page; the watch goes on from there.
    async fn load(&self) -> Result<(), StateError> {
        let mut items = Vec::new();
        let mut since = String::new();
        let mut revision = None;
        loop {
            self.requests.take(1.0).await;
            let page = self.state.list(PREFIX, &since).await?;
            revision.get_or_insert(page.revision);
            if let Some(last) = page.items.last() {
                since.clone_from(&last.key);
            }
            let more = page.more && !page.items.is_empty();
            items.extend(page.items);
            if !more {
                break;
            }
        }
        let changes = lock(&self.picture).replace(items, revision.unwrap_or(0));
        self.dispatch(&changes);
        Ok(())
    }
}

/// Keeps the picture warm.
pub(super) async fn watch_duty(node: Arc<Node>) {
    let pause = node.settings.state_timeout() / 4;
    let wait = node.settings.worker_lease();
    // Changes that come close together are fetched together.
    let spacing = Duration::from_secs_f64(
        2.0 / node.settings.share(node.settings.state_limits().requests_per_s, false),
    );
    loop {
        while !lock(&node.picture).loaded {
            let asked = Instant::now();
            match node.load().await {
                Ok(()) => {
                    node.note_state(asked, true);
                    info!(revision = lock(&node.picture).revision, "records loaded");
                }
                Err(error) => {
                    node.note_state(asked, false);
                    debug!(%error, "the records can't be read");
                    tokio::time::sleep(pause).await;
                }
            }
        }
        node.requests.take_leaving(1.0, Reserve::Half).await;
        let revision = lock(&node.picture).revision;
        let asked = Instant::now();
        match node.state.follow(PREFIX, revision, wait).await {
            Ok(events) => {
                node.take_events(events);
                tokio::time::sleep(spacing.saturating_sub(asked.elapsed())).await;
            }
            Err(StateError::TooOld) => lock(&node.picture).loaded = false,
            Err(error) => {
                debug!(%error, "watch");
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// Answers those who need a fresh picture, all who wait by one read. It also
/// reads by itself now and then, to know whether the service answers.
pub(super) async fn read_duty(node: Arc<Node>) {
    let idle = node.settings.leader_lease() / 4;
    let spacing = Duration::from_secs_f64(
        1.0 / node.settings.share(node.settings.state_limits().requests_per_s, false),
    );
    loop {
        let _ = tokio::time::timeout(idle, node.read_wanted.notified()).await;
        let loaded = lock(&node.picture).loaded;
        if loaded {
            node.requests.take_leaving(1.0, Reserve::Quarter).await;
        }
        // Whoever came while the budget was awaited shares the read.
        let waiting = std::mem::take(&mut *lock(&node.readers));
        let revision = lock(&node.picture).revision;
        let result = if loaded {
            let asked = Instant::now();
            let answer = node.state.follow(PREFIX, revision, Duration::ZERO).await;
            let ok = answer.is_ok();
            let result = match answer {
                Ok(events) => {
                    node.take_events(events);
                    Ok(())
                }
                Err(StateError::TooOld) => {
                    lock(&node.picture).loaded = false;
                    Err(Trouble::State)
                }
                Err(_) => Err(Trouble::State),
            };
            // Only once the picture holds what was read.
            node.note_state(asked, ok);
            result
        } else {
            Err(Trouble::State)
        };
        for reader in waiting {
            let _ = reader.send(result);
        }
        tokio::time::sleep(spacing).await;
    }
}
