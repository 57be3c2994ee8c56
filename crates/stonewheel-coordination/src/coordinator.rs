//! One controller's part in the coordination: its session, its watch over the shared
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

/// A session is renewed so many times within its lease.
const RENEWALS: u32 = 3;
/// What failed is tried again after this part of its usual time.
const PAUSE_PARTS: u32 = 4;

/// One controller's part in the coordination. All parts of a controller share it.
pub struct Coordinator {
    me: Owner,
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
    pub fn new(me: Owner, members: Vec<String>, timing: Timing, store: Store) -> Arc<Self> {
        Arc::new(Self {
            me,
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
    pub fn me(&self) -> &Owner {
        &self.me
    }

    /// The names of all controllers.
    pub fn members(&self) -> &[String] {
        &self.members
    }

    /// What follows from the settings of the deployment.
    pub fn timing(&self) -> Timing {
        self.timing
    }

    /// How often a session is renewed, and so how soon one may be had again.
    pub fn renewal_interval(&self) -> Duration {
        self.timing.session / RENEWALS
    }

    /// The records, as last read.
    pub fn records(&self) -> MutexGuard<'_, Records> {
        lock(&self.records)
    }

    /// The session, if this process holds one. It may have lapsed: see its time.
    pub fn session(&self) -> Option<HeldSession> {
        *lock(&self.session)
    }

    /// Tells when records or session change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn tell_change(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Runs until told to stop, and then gives the session back, so that others go on
    /// at once with what this process owned.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        let duties = TaskTracker::new();
        duties.spawn(until(stop.clone(), self.clone().watch_records()));
        duties.spawn(until(stop.clone(), self.clone().keep_session()));
        duties.close();
        duties.wait().await;
        let held = lock(&self.session).take();
        if let Some(session) = held {
            let _ =
                timeout(self.timing.state_timeout, self.store.revoke_lease(session.lease)).await;
        }
    }

    // Records.

    /// The pause after a failure.
    pub fn pause(&self) -> Duration {
        self.timing.state_timeout / PAUSE_PARTS
    }

    async fn load(&self) -> Result<(), StateError> {
        let (items, began) = self.store.read_all().await?;
        let since = self.store.watch(began, Duration::ZERO).await?;
        lock(&self.records).replace(items, began, since);
        self.check_session();
        self.tell_change();
        Ok(())
    }

    async fn follow(&self, wait: Duration) -> Result<(), StateError> {
        let revision = lock(&self.records).revision;
        let events = self.store.watch(revision, wait).await?;
        if lock(&self.records).apply(events) {
            self.check_session();
            self.tell_change();
        }
        Ok(())
    }

    async fn watch_records(self: Arc<Self>) {
        loop {
            let loaded = lock(&self.records).loaded;
            let result =
                if loaded { self.follow(self.timing.session).await } else { self.load().await };
            match result {
                Ok(()) => {}
                Err(StateError::RevisionTooOld) => lock(&self.records).loaded = false,
                Err(error) => {
                    debug!(%error, "shared records can't be read");
                    sleep(self.pause()).await;
                }
            }
        }
    }

    /// Reads what changed, if that can be had, and pauses.
    pub async fn refresh(&self) {
        if let Err(StateError::RevisionTooOld) = self.follow(Duration::ZERO).await {
            lock(&self.records).loaded = false;
        }
        sleep(self.pause()).await;
    }

    /// Commits, and notes what was committed. What happened otherwise shows in the
    /// records.
    pub async fn commit(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<u64, StateError> {
        let revision = self.store.commit(conditions, writes.clone()).await?;
        lock(&self.records).note(&writes, revision);
        Ok(revision)
    }

    /// Commits on condition that this process still holds `session`: whoever lost it,
    /// or stood still past its lease, is refused.
    pub async fn commit_under(
        &self,
        session: HeldSession,
        mut conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<u64, StateError> {
        let key = session_key(&self.me.member);
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
        let version = lock(&self.records).version(&session_key(&self.me.member));
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
        self.tell_change();
    }

    async fn keep_session(self: Arc<Self>) {
        loop {
            match self.open_session().await {
                Ok(session) => {
                    self.tell_change();
                    self.renew_session(session).await;
                    warn!("the session was lost");
                    self.tell_change();
                }
                Err(error) => {
                    debug!(%error, "no session");
                    self.refresh().await;
                }
            }
        }
    }

    async fn open_session(&self) -> Result<HeldSession, StateError> {
        while !lock(&self.records).loaded {
            sleep(self.pause()).await;
        }
        let asked = Instant::now();
        let lease = self.store.grant_lease(self.timing.session).await?;
        let key = session_key(&self.me.member);
        let version = lock(&self.records).version(&key);
        let value = Session { incarnation: self.me.incarnation };
        let writes = vec![put(key.clone(), &value, Some(lease))?];
        let version = match self.commit(vec![Condition { key, version }], writes).await {
            Ok(version) => version,
            Err(error) => {
                self.store.revoke_lease(lease).await;
                return Err(error);
            }
        };
        let valid_until = valid_until(asked, self.timing.session);
        let session = HeldSession { lease, version, valid_until };
        *lock(&self.session) = Some(session);
        Ok(session)
    }

    /// Renews the session until it is lost.
    async fn renew_session(&self, session: HeldSession) {
        let every = self.renewal_interval();
        let mut wait = every;
        loop {
            // A word of an earlier loss may come here, and is no loss of this one.
            let _ = timeout(wait, self.session_lost.notified()).await;
            if lock(&self.session).is_none_or(|held| held.lease != session.lease) {
                return;
            }
            let asked = Instant::now();
            wait = every;
            match self.store.renew_lease(session.lease).await {
                Ok(()) => {
                    if let Some(held) = lock(&self.session).as_mut() {
                        held.valid_until = valid_until(asked, self.timing.session);
                    }
                    self.tell_change();
                }
                Err(StateError::LeaseExpired) => {
                    *lock(&self.session) = None;
                    return;
                }
                Err(error) => {
                    debug!(%error, "the session is not renewed");
                    wait = every / PAUSE_PARTS;
                }
            }
        }
    }
}

async fn until(stop: CancellationToken, duty: impl Future<Output = ()>) {
    tokio::select! {
        () = duty => {}
        () = stop.cancelled() => {}
    }
}
