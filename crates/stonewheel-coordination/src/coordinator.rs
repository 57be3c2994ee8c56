//! The coordination client of one controller: keeps the controller's session, watches the
//! shared records and commits writes.

use std::sync::{Arc, Mutex, MutexGuard};

use stonewheel_protocol::{Condition, Write};
use stonewheel_state::{StateError, lock};
use tokio::{
    sync::{Notify, watch},
    time::{Duration, Instant, sleep, timeout},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tracing::{debug, warn};

use crate::{
    records::Records,
    session::{HeldSession, Owner, Session, Timing, session_key, valid_until},
    store::{Store, put},
};

/// The number of renewals of a session within the time to live of its lease.
const RENEWALS_PER_LEASE: u32 = 3;
/// A failed request is retried after its time-out or interval divided by this.
const RETRY_DELAY_DIVISOR: u32 = 4;

/// The coordination client of one controller. The activator, the rollout executor and the
/// lending executor of a controller share one.
pub struct Coordinator {
    identity: Owner,
    members: Vec<String>,
    timing: Timing,
    store: Store,
    records: Mutex<Records>,
    session: Mutex<Option<HeldSession>>,
    session_lost: Notify,
    /// The number of changes of records and session so far.
    changes: watch::Sender<u64>,
}

impl Coordinator {
    /// Returns a coordinator for the process `identity`. `members` are the names of all
    /// controllers, including this one.
    pub fn new(identity: Owner, members: Vec<String>, timing: Timing, store: Store) -> Arc<Self> {
        Arc::new(Self {
            identity,
            members,
            timing,
            store,
            records: Mutex::default(),
            session: Mutex::new(None),
            session_lost: Notify::new(),
            changes: watch::Sender::new(0),
        })
    }

    /// The identity of this process, which it records as the owner of what it adopts.
    pub fn identity(&self) -> &Owner {
        &self.identity
    }

    /// The names of all controllers.
    pub fn members(&self) -> &[String] {
        &self.members
    }

    /// The durations that the coordination uses.
    pub fn timing(&self) -> Timing {
        self.timing
    }

    /// The time between two renewals of a session. A lost session may be open again after
    /// about this time.
    pub fn renewal_interval(&self) -> Duration {
        self.timing.session_ttl / RENEWALS_PER_LEASE
    }

    /// The shared records as this controller last read them. Blocks their update until the
    /// guard is dropped.
    pub fn records(&self) -> MutexGuard<'_, Records> {
        lock(&self.records)
    }

    /// The session, if this process holds one. The session's lease may have expired without
    /// this process having noticed: see [`HeldSession::valid_until`].
    pub fn session(&self) -> Option<HeldSession> {
        *lock(&self.session)
    }

    /// Returns a receiver that is notified when the records or the session change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn notify_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Watches the records and keeps a session until `stop` is cancelled. Then ends the
    /// session, so that other controllers needn't wait for the expiry of its lease before
    /// they adopt what this process owned.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        let loops = TaskTracker::new();
        loops.spawn(run_until(stop.clone(), self.clone().watch_records()));
        loops.spawn(run_until(stop.clone(), self.clone().keep_session()));
        loops.close();
        loops.wait().await;
        let session = lock(&self.session).take();
        if let Some(session) = session {
            let _ =
                timeout(self.timing.state_timeout, self.store.revoke_lease(session.lease)).await;
        }
    }

    /// The delay before a failed request is retried.
    pub fn retry_delay(&self) -> Duration {
        self.timing.state_timeout / RETRY_DELAY_DIVISOR
    }

    /// Reads all records, and then the changes that were made while they were read.
    async fn load(&self) -> Result<(), StateError> {
        let (items, start_revision) = self.store.read_all().await?;
        let changes = self.store.watch(start_revision, Duration::ZERO).await?;
        lock(&self.records).replace(items, start_revision, changes);
        self.check_session();
        self.notify_change();
        Ok(())
    }

    /// Applies the changes since the last read; waits for the first one up to `wait`.
    async fn apply_changes(&self, wait: Duration) -> Result<(), StateError> {
        let revision = lock(&self.records).revision;
        let events = self.store.watch(revision, wait).await?;
        if lock(&self.records).apply(events) {
            self.check_session();
            self.notify_change();
        }
        Ok(())
    }

    async fn watch_records(self: Arc<Self>) {
        loop {
            let loaded = lock(&self.records).loaded;
            let result = if loaded {
                self.apply_changes(self.timing.session_ttl).await
            } else {
                self.load().await
            };
            match result {
                Ok(()) => {}
                Err(StateError::RevisionTooOld) => lock(&self.records).loaded = false,
                Err(error) => {
                    debug!(%error, "failed to read shared records; retrying");
                    sleep(self.retry_delay()).await;
                }
            }
        }
    }

    /// Applies the latest changes to the records, if the state service answers, and then
    /// waits for the delay before a retry.
    pub async fn refresh(&self) {
        if let Err(StateError::RevisionTooOld) = self.apply_changes(Duration::ZERO).await {
            lock(&self.records).loaded = false;
        }
        sleep(self.retry_delay()).await;
    }

    /// Commits a change and applies it to the records immediately, before the watch
    /// delivers it. If the outcome is unknown and the change was made, the watch applies it
    /// to the records later.
    pub async fn commit(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<u64, StateError> {
        let revision = self.store.commit(conditions, writes.clone()).await?;
        lock(&self.records).apply_committed(&writes, revision);
        Ok(revision)
    }

    /// Grants a lease that is not renewed: keys attached to it are removed after `ttl`.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<u64, StateError> {
        self.store.grant_lease(ttl).await
    }

    /// Commits a change on the condition that this process still holds `session`. A process
    /// that lost the session, or was suspended until after the expiry of its lease, gets a
    /// conflict.
    pub async fn commit_under(
        &self,
        session: HeldSession,
        mut conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<u64, StateError> {
        let key = session_key(&self.identity.member);
        conditions.push(Condition { key, version: session.version });
        let result = self.commit(conditions, writes).await;
        if matches!(result, Err(StateError::LeaseExpired)) {
            self.lose_session(session.lease);
        }
        result
    }

    /// Drops the session if, according to the records, its key was deleted or replaced.
    fn check_session(&self) {
        let version = lock(&self.records).version(&session_key(&self.identity.member));
        let mut session = lock(&self.session);
        if session.is_some_and(|session| session.version != version) {
            *session = None;
            self.session_lost.notify_one();
        }
    }

    /// Drops the session that is attached to this lease.
    fn lose_session(&self, lease: u64) {
        let mut session = lock(&self.session);
        if session.is_some_and(|session| session.lease == lease) {
            *session = None;
            self.session_lost.notify_one();
        }
        drop(session);
        self.notify_change();
    }

    /// Opens a session, and a new one whenever it is lost.
    async fn keep_session(self: Arc<Self>) {
        loop {
            match self.open_session().await {
                Ok(session) => {
                    self.notify_change();
                    self.renew_session(session).await;
                    warn!("controller session lost; opening a new one");
                    self.notify_change();
                }
                Err(error) => {
                    debug!(%error, "failed to open controller session; retrying");
                    self.refresh().await;
                }
            }
        }
    }

    /// Opens a session. Waits until the records are loaded, since its write is conditional on
    /// the current version of the session's key.
    async fn open_session(&self) -> Result<HeldSession, StateError> {
        while !lock(&self.records).loaded {
            sleep(self.retry_delay()).await;
        }
        let sent_at = Instant::now();
        let lease = self.store.grant_lease(self.timing.session_ttl).await?;
        let key = session_key(&self.identity.member);
        let version = lock(&self.records).version(&key);
        let value = Session { incarnation: self.identity.incarnation };
        let writes = vec![put(key.clone(), &value, Some(lease))?];
        let version = match self.commit(vec![Condition { key, version }], writes).await {
            Ok(version) => version,
            Err(error) => {
                self.store.revoke_lease(lease).await;
                return Err(error);
            }
        };
        let valid_until = valid_until(sent_at, self.timing.session_ttl);
        let session = HeldSession { lease, version, valid_until };
        *lock(&self.session) = Some(session);
        Ok(session)
    }

    /// Renews the session periodically until it is lost.
    async fn renew_session(&self, session: HeldSession) {
        let interval = self.renewal_interval();
        let mut wait = interval;
        loop {
            // The notification may stem from the loss of an earlier session: the check below
            // decides whether this session is lost.
            let _ = timeout(wait, self.session_lost.notified()).await;
            if lock(&self.session).is_none_or(|held| held.lease != session.lease) {
                return;
            }
            let sent_at = Instant::now();
            wait = interval;
            match self.store.renew_lease(session.lease).await {
                Ok(()) => {
                    if let Some(held) = lock(&self.session).as_mut() {
                        held.valid_until = valid_until(sent_at, self.timing.session_ttl);
                    }
                    self.notify_change();
                }
                Err(StateError::LeaseExpired) => {
                    *lock(&self.session) = None;
                    return;
                }
                Err(error) => {
                    debug!(%error, "failed to renew controller session; retrying");
                    wait = interval / RETRY_DELAY_DIVISOR;
                }
            }
        }
    }
}

/// Runs a task until it completes or `stop` is cancelled.
async fn run_until(stop: CancellationToken, task: impl Future<Output = ()>) {
    tokio::select! {
        () = task => {}
        () = stop.cancelled() => {}
    }
}
