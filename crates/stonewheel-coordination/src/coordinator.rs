//! One controller's part in the coordination: its session, its watch of the shared
//! records, and its writes.

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

/// How often a session is renewed within the time of its lease.
const RENEWALS_PER_LEASE: u32 = 3;
/// What failed is tried again after this part of its usual time.
const RETRY_DELAY_PARTS: u32 = 4;

/// One controller's part in the coordination. All parts of a controller share it.
pub struct Coordinator {
    identity: Owner,
    members: Vec<String>,
    timing: Timing,
    store: Store,
    records: Mutex<Records>,
    session: Mutex<Option<HeldSession>>,
    session_lost: Notify,
    /// Counts changes of records and session.
    changes: watch::Sender<u64>,
}

impl Coordinator {
    /// `me`: this process. `members`: the names of all controllers, this one among
    /// them.
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

    /// This process.
    pub fn identity(&self) -> &Owner {
        &self.identity
    }

    /// The names of all controllers.
    pub fn members(&self) -> &[String] {
        &self.members
    }

    /// Durations that follow from the settings of the deployment.
    pub fn timing(&self) -> Timing {
        self.timing
    }

    /// The time between two renewals of a session, and so how soon a lost one may be
    /// there again.
    pub fn renewal_interval(&self) -> Duration {
        self.timing.session_ttl / RENEWALS_PER_LEASE
    }

    /// The records, as last read.
    pub fn records(&self) -> MutexGuard<'_, Records> {
        lock(&self.records)
    }

    /// The session, if this process holds one. Its lease may have expired meanwhile: see
    /// [`HeldSession::valid_until`].
    pub fn session(&self) -> Option<HeldSession> {
        *lock(&self.session)
    }

    /// A receiver that is notified when records or session change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn notify_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Runs until told to stop, and then ends the session, so that others adopt at once
    /// what this process owned.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        let loops = TaskTracker::new();
        loops.spawn(run_until(stop.clone(), self.clone().watch_records()));
        loops.spawn(run_until(stop.clone(), self.clone().keep_session()));
        loops.close();
        loops.wait().await;
        let held = lock(&self.session).take();
        if let Some(session) = held {
            let _ =
                timeout(self.timing.state_timeout, self.store.revoke_lease(session.lease)).await;
        }
    }

    // Records.

    /// The pause after a failure.
    pub fn retry_delay(&self) -> Duration {
        self.timing.state_timeout / RETRY_DELAY_PARTS
    }

    async fn load(&self) -> Result<(), StateError> {
        let (items, began) = self.store.read_all().await?;
        let since = self.store.watch(began, Duration::ZERO).await?;
        lock(&self.records).replace(items, began, since);
        self.check_session();
        self.notify_change();
        Ok(())
    }

    async fn follow(&self, wait: Duration) -> Result<(), StateError> {
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
            let result =
                if loaded { self.follow(self.timing.session_ttl).await } else { self.load().await };
            match result {
                Ok(()) => {}
                Err(StateError::RevisionTooOld) => lock(&self.records).loaded = false,
                Err(error) => {
                    debug!(%error, "shared records not read");
                    sleep(self.retry_delay()).await;
                }
            }
        }
    }

    /// Reads what changed, if the state service answers, and pauses.
    pub async fn refresh(&self) {
        if let Err(StateError::RevisionTooOld) = self.follow(Duration::ZERO).await {
            lock(&self.records).loaded = false;
        }
        sleep(self.retry_delay()).await;
    }

    /// Commits, and records what was committed before the watch brings it. If the
    /// outcome is unknown, it shows in the records later.
    pub async fn commit(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<u64, StateError> {
        let revision = self.store.commit(conditions, writes.clone()).await?;
        lock(&self.records).record(&writes, revision);
        Ok(revision)
    }

    /// Commits on condition that this process still holds `session`: a process that
    /// lost it, or was suspended past the expiry of its lease, gets a conflict.
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

    // Session.

    /// Gives up a session that the records say is gone.
    fn check_session(&self) {
        let version = lock(&self.records).version(&session_key(&self.identity.member));
        let mut session = lock(&self.session);
        if session.is_some_and(|session| session.version != version) {
            *session = None;
            self.session_lost.notify_one();
        }
    }

    fn lose_session(&self, lease: u64) {
        let mut session = lock(&self.session);
        if session.is_some_and(|session| session.lease == lease) {
            *session = None;
            self.session_lost.notify_one();
        }
        drop(session);
        self.notify_change();
    }

    async fn keep_session(self: Arc<Self>) {
        loop {
            match self.open_session().await {
                Ok(session) => {
                    self.notify_change();
                    self.renew_session(session).await;
                    warn!("session lost");
                    self.notify_change();
                }
                Err(error) => {
                    debug!(%error, "session not opened");
                    self.refresh().await;
                }
            }
        }
    }

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

    /// Renews the session until it is lost.
    async fn renew_session(&self, session: HeldSession) {
        let every = self.renewal_interval();
        let mut wait = every;
        loop {
            // A notification of an earlier loss may come here, and is no loss of this
            // session.
            let _ = timeout(wait, self.session_lost.notified()).await;
            if lock(&self.session).is_none_or(|held| held.lease != session.lease) {
                return;
            }
            let sent_at = Instant::now();
            wait = every;
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
                    debug!(%error, "session not renewed");
                    wait = every / RETRY_DELAY_PARTS;
                }
            }
        }
    }
}

async fn run_until(stop: CancellationToken, task: impl Future<Output = ()>) {
    tokio::select! {
        () = task => {}
        () = stop.cancelled() => {}
    }
}
