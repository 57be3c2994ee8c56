//! The activator of one controller: its session, its watch over the records, a duty
//! for each model, and the way in for requests.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Serialize;
use stonewheel_protocol::{Condition, Write};
use stonewheel_state::{StateError, lock};
use thiserror::Error;
use tokio::{
    sync::Notify,
    time::{Duration, Instant, sleep, sleep_until, timeout, timeout_at},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tracing::{debug, info, warn};

use crate::{
    holder::{HeldRoom, Holder, HolderUsage},
    model::{AttemptId, Availability, InProgress, Model, Plan, Situation},
    planner::{Observed, Requested, Step},
    record::{
        ActivationRecord, ModelState, Owner, Session, Stage, UseMarker, record_key, session_key,
        use_key,
    },
    registry::{Concern, Registry, Versioned},
    session::{HeldSession, valid_until},
    settings::{ActivationSettings, Timing},
    starter::{ReplicaOrder, ReplicaStarter, Replicas, StarterError},
    store::{self, Store},
};

/// A session is renewed so many times within its lease.
const RENEWALS: u32 = 3;
/// What failed is tried again after this part of a call's time.
const PAUSE_PARTS: u32 = 4;
/// Digits of a job's id: as many as the records of ended jobs pack well.
const JOB_DIGITS: usize = 17;

/// Why a request is refused. Each is final for this request, and given at once.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Refusal {
    /// No model has this name.
    #[error("no such model")]
    UnknownModel,
    /// Too much is held already.
    #[error("too many requests are held")]
    Full {
        /// When to come back.
        retry_after: Duration,
    },
    /// This controller can't know whether the model runs.
    #[error("the state of the model can't be known now")]
    Unknowable {
        /// When to come back.
        retry_after: Duration,
    },
    /// The start was given up.
    #[error("the model could not be started")]
    Failed {
        /// When to come back.
        retry_after: Duration,
    },
    /// The start takes longer than requests are held.
    #[error("the model is still starting")]
    Starting {
        /// When to come back.
        retry_after: Duration,
    },
}

impl Refusal {
    /// When the caller is to come back, if that may help.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::UnknownModel => None,
            Self::Full { retry_after }
            | Self::Unknowable { retry_after }
            | Self::Failed { retry_after }
            | Self::Starting { retry_after } => Some(*retry_after),
        }
    }
}

/// A request that may pass, until this is dropped.
pub struct Admission {
    endpoints: Arc<[String]>,
    turn: usize,
    _in_progress: InProgress,
}

impl Admission {
    /// Where to send the request, in the order in which to try: the next ones only
    /// if it surely did not reach the one before.
    pub fn endpoints(&self) -> impl Iterator<Item = &str> {
        let count = self.endpoints.len();
        (0..count).map(move |at| self.endpoints[(self.turn + at) % count].as_str())
    }
}

/// What operators see of a model.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ModelStatus {
    /// Its name.
    pub model: String,
    /// Its record, as this controller last read it.
    pub record: ActivationRecord,
    /// Requests held here.
    pub held: usize,
    /// Requests in progress here.
    pub in_progress: usize,
    /// Whether this controller knows what the model does.
    pub known: bool,
}

/// The activator of one controller.
pub struct Activator {
    me: Owner,
    members: Vec<String>,
    settings: ActivationSettings,
    timing: Timing,
    store: Store,
    starter: Arc<dyn ReplicaStarter>,
    registry: Mutex<Registry>,
    session: Mutex<Option<HeldSession>>,
    session_lost: Notify,
    holder: Holder,
    models: BTreeMap<String, Arc<Model>>,
    rng: Mutex<StdRng>,
}

impl Activator {
    /// `me`: this process. `members`: the names of all controllers, this one among
    /// them.
    pub fn new(
        me: Owner,
        members: Vec<String>,
        settings: ActivationSettings,
        timing: Timing,
        store: Store,
        starter: Arc<dyn ReplicaStarter>,
        seed: u64,
    ) -> Arc<Self> {
        let model = |(name, model): (&String, &crate::ModelSettings)| {
            (name.clone(), Arc::new(Model::new(name.clone(), model.clone())))
        };
        Arc::new(Self {
            me,
            members,
            holder: Holder::new(settings.hold_requests as usize, settings.hold_bytes()),
            models: settings.models.iter().map(model).collect(),
            settings,
            timing,
            store,
            starter,
            registry: Mutex::default(),
            session: Mutex::new(None),
            session_lost: Notify::new(),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
        })
    }

    /// The settings that it runs with.
    pub fn settings(&self) -> &ActivationSettings {
        &self.settings
    }

    /// Runs until told to stop, and then gives its session back, so that others go
    /// on at once with what it owned.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        let duties = TaskTracker::new();
        duties.spawn(until(stop.clone(), self.clone().watch_records()));
        duties.spawn(until(stop.clone(), self.clone().keep_session()));
        for model in self.models.values() {
            duties.spawn(until(stop.clone(), self.clone().drive(model.clone())));
        }
        duties.close();
        duties.wait().await;
        let held = lock(&self.session).take();
        if let Some(session) = held {
            let _ = timeout(self.timing.state_timeout, self.store.drop_lease(session.lease)).await;
        }
    }

    // Requests.

    /// Waits until a request to a model may pass. `bytes`: of its body, which is
    /// held meanwhile. Whoever gives up waiting drops this.
    pub async fn enter(&self, model: &str, bytes: usize) -> Result<Admission, Refusal> {
        let model = self.models.get(model).ok_or(Refusal::UnknownModel)?;
        let now = Instant::now();
        model.note_request(now);
        if let Some(outcome) = self.judge(model, &model.availability(), now) {
            return outcome;
        }
        let retry_after = Duration::from_secs_f64(model.settings.retry_s);
        let room: HeldRoom = self.holder.enter(bytes).ok_or(Refusal::Full { retry_after })?;
        let held = model.hold();
        let deadline = now + Duration::from_secs_f64(model.settings.hold_s);
        let mut availability = model.watch();
        loop {
            let seen = availability.borrow_and_update().clone();
            if let Some(outcome) = self.judge(model, &seen, Instant::now()) {
                drop((held, room));
                return outcome;
            }
            if !matches!(timeout_at(deadline, availability.changed()).await, Ok(Ok(()))) {
                return Err(Refusal::Starting { retry_after });
            }
        }
    }

    /// Whether a request passes or is refused; none if it is to be held.
    fn judge(
        &self,
        model: &Arc<Model>,
        availability: &Availability,
        now: Instant,
    ) -> Option<Result<Admission, Refusal>> {
        let unknowable = || {
            // Sessions are renewed that often.
            let retry_after = self.timing.session / RENEWALS;
            Some(Err(Refusal::Unknowable { retry_after }))
        };
        match availability {
            Availability::Waking => None,
            Availability::Unknown => unknowable(),
            Availability::Failed { until } if *until <= now => None,
            Availability::Failed { until } => {
                Some(Err(Refusal::Failed { retry_after: *until - now }))
            }
            // A process that stood still may be the last to learn that its time is
            // over.
            Availability::Ready { .. } if !self.may_forward(now) => unknowable(),
            Availability::Ready { endpoints } => Some(Ok(Admission {
                endpoints: endpoints.clone(),
                turn: model.next_turn(),
                _in_progress: model.begin_request(),
            })),
        }
    }

    fn may_forward(&self, now: Instant) -> bool {
        let session = *lock(&self.session);
        session.is_some_and(|session| now < session.valid_until + self.settings.outage())
    }

    /// How much room held requests take.
    pub fn held(&self) -> HolderUsage {
        self.holder.usage()
    }

    /// What operators see of the models.
    pub fn statuses(&self) -> Vec<ModelStatus> {
        let registry = lock(&self.registry);
        let status = |model: &Arc<Model>| ModelStatus {
            model: model.name.clone(),
            record: registry.record(&model.name).value,
            held: model.held(),
            in_progress: model.in_progress(),
            known: model.availability() != Availability::Unknown,
        };
        self.models.values().map(status).collect()
    }

    // Records.

    fn pause(&self) -> Duration {
        self.timing.state_timeout / PAUSE_PARTS
    }

    async fn load(&self) -> Result<(), StateError> {
        let (items, began) = self.store.read_all().await?;
        let since = self.store.follow(began, Duration::ZERO).await?;
        lock(&self.registry).replace(items, began, since);
        self.note_concerns(&[Concern::Sessions]);
        Ok(())
    }

    async fn watch_records(self: Arc<Self>) {
        loop {
            let (loaded, revision) = {
                let registry = lock(&self.registry);
                (registry.loaded, registry.revision)
            };
            let result = if loaded {
                self.store.follow(revision, self.timing.session).await.map(|events| {
                    let concerns = lock(&self.registry).apply(events);
                    self.note_concerns(&concerns);
                })
            } else {
                self.load().await
            };
            match result {
                Ok(()) => {}
                Err(StateError::TooOld) => lock(&self.registry).loaded = false,
                Err(error) => {
                    debug!(%error, "activation records can't be read");
                    sleep(self.pause()).await;
                }
            }
        }
    }

    /// Reads what changed, if that can be had, and pauses otherwise.
    async fn refresh(&self) {
        let revision = lock(&self.registry).revision;
        match self.store.follow(revision, Duration::ZERO).await {
            Ok(events) => {
                let concerns = lock(&self.registry).apply(events);
                self.note_concerns(&concerns);
            }
            Err(StateError::TooOld) => lock(&self.registry).loaded = false,
            Err(_) => {}
        }
        sleep(self.pause()).await;
    }

    fn note_concerns(&self, concerns: &[Concern]) {
        for concern in concerns {
            match concern {
                Concern::Model(name) => {
                    if let Some(model) = self.models.get(name) {
                        model.changed.notify_one();
                    }
                }
                Concern::Sessions => {
                    self.check_session();
                    self.wake_models();
                }
            }
        }
    }

    fn wake_models(&self) {
        for model in self.models.values() {
            model.changed.notify_one();
        }
    }

    // Session.

    /// Gives up a session that the records say is gone.
    fn check_session(&self) {
        let version = lock(&self.registry).session_version(&self.me.member);
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
        self.wake_models();
    }

    async fn keep_session(self: Arc<Self>) {
        loop {
            match self.open_session().await {
                Ok(session) => {
                    self.wake_models();
                    self.renew_session(session).await;
                    warn!("the activation session was lost");
                    self.wake_models();
                }
                Err(error) => {
                    debug!(%error, "no activation session");
                    self.refresh().await;
                }
            }
        }
    }

    async fn open_session(&self) -> Result<HeldSession, StateError> {
        while !lock(&self.registry).loaded {
            sleep(self.pause()).await;
        }
        let asked = Instant::now();
        let lease = self.store.lease(self.timing.session).await?;
        let key = session_key(&self.me.member);
        let version = lock(&self.registry).session_version(&self.me.member);
        let value = Session { incarnation: self.me.incarnation };
        let writes = vec![store::put(key.clone(), &value, Some(lease))?];
        let version = match self.commit(vec![Condition { key, version }], writes).await {
            Ok(version) => version,
            Err(error) => {
                self.store.drop_lease(lease).await;
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
        let every = self.timing.session / RENEWALS;
        let mut wait = every;
        loop {
            // A word of an earlier loss may come here, and is no loss of this one.
            let _ = timeout(wait, self.session_lost.notified()).await;
            if lock(&self.session).is_none_or(|held| held.lease != session.lease) {
                return;
            }
            let asked = Instant::now();
            wait = every;
            match self.store.touch(session.lease).await {
                Ok(()) => {
                    if let Some(held) = lock(&self.session).as_mut() {
                        held.valid_until = valid_until(asked, self.timing.session);
                    }
                    self.wake_models();
                }
                Err(StateError::NoLease) => {
                    *lock(&self.session) = None;
                    return;
                }
                Err(error) => {
                    debug!(%error, "the activation session is not renewed");
                    wait = every / PAUSE_PARTS;
                }
            }
        }
    }

    // Models.

    async fn drive(self: Arc<Self>, model: Arc<Model>) {
        loop {
            let Plan { step, record, availability, wake_at } = self.plan(&model);
            model.publish(availability);
            match step {
                Step::Wait => {
                    tokio::select! {
                        () = model.changed.notified() => {}
                        () = sleep_until(wake_at) => {}
                    }
                }
                Step::Write { record: next, unless_used } => {
                    self.write(&model, record, next, unless_used).await;
                }
                Step::MarkUse => self.mark_use(&model, record.version).await,
                Step::DropUse => self.drop_use(&model).await,
                Step::Start => self.start(&model, &record).await,
                Step::Look => self.look(&model, &record).await,
                Step::Stop => self.stop(&model, &record).await,
            }
        }
    }

    fn plan(&self, model: &Model) -> Plan {
        let (new_job, jitter) = {
            let mut rng = lock(&self.rng);
            (new_job(&mut rng), rng.random_range(0.0..1.0))
        };
        let session = *lock(&self.session);
        model.plan(&Situation {
            me: &self.me,
            registry: &lock(&self.registry),
            session,
            settings: &self.settings,
            session_ttl: self.timing.session,
            new_job: &new_job,
            jitter,
            now: Instant::now(),
        })
    }

    /// Commits, and notes what was committed. What happened otherwise shows in the
    /// records.
    async fn commit(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<u64, StateError> {
        let revision = self.store.commit(conditions, writes.clone()).await?;
        lock(&self.registry).note(&writes, revision);
        Ok(revision)
    }

    /// That this process holds the session under which it decided.
    fn session_condition(&self) -> Option<(HeldSession, Condition)> {
        let session = (*lock(&self.session))?;
        let key = session_key(&self.me.member);
        Some((session, Condition { key, version: session.version }))
    }

    async fn write(
        &self,
        model: &Model,
        from: Versioned<ActivationRecord>,
        to: ActivationRecord,
        unless_used: bool,
    ) {
        let Some((_, session)) = self.session_condition() else { return };
        let key = record_key(&model.name);
        let mut conditions = vec![session, Condition { key: key.clone(), version: from.version }];
        if unless_used {
            // A request that passes anywhere has its controller's marker.
            let unused =
                |member: &String| Condition { key: use_key(&model.name, member), version: 0 };
            conditions.extend(self.members.iter().map(unused));
        }
        let Ok(put) = store::put(key, &to, None) else { return };
        match self.commit(conditions, vec![put]).await {
            Ok(_) => tell(&model.name, &from.value, &to),
            Err(error) => {
                debug!(model = model.name, %error, "an activation record was not written");
                self.refresh().await;
            }
        }
    }

    async fn mark_use(&self, model: &Model, version: u64) {
        let Some((held, session)) = self.session_condition() else { return };
        let key = use_key(&model.name, &self.me.member);
        let known = lock(&self.registry)
            .use_marker(&model.name, &self.me.member)
            .map_or(0, |marker| marker.version);
        let conditions = vec![
            session,
            Condition { key: record_key(&model.name), version },
            Condition { key: key.clone(), version: known },
        ];
        let Ok(put) = store::put(key, &UseMarker { lease: held.lease }, Some(held.lease)) else {
            return;
        };
        match self.commit(conditions, vec![put]).await {
            Ok(_) => {}
            Err(StateError::NoLease) => self.lose_session(held.lease),
            Err(_) => self.refresh().await,
        }
    }

    async fn drop_use(&self, model: &Model) {
        let key = use_key(&model.name, &self.me.member);
        let marker = lock(&self.registry)
            .use_marker(&model.name, &self.me.member)
            .map(|marker| marker.version);
        let Some(version) = marker else { return };
        // Requests that come while the marker goes are held: none passes once this
        // controller may be without it.
        model.publish(Availability::Waking);
        let condition = Condition { key: key.clone(), version };
        if self.commit(vec![condition], vec![Write::Delete { key }]).await.is_err() {
            // It may still be deleted at any later time, so it stands for nothing
            // until it is written anew.
            model.distrust_marker(version);
            self.refresh().await;
        }
    }

    fn order(&self, model: &Model, record: &Versioned<ActivationRecord>) -> Option<ReplicaOrder> {
        let activation = record.value.activation()?;
        Some(ReplicaOrder {
            model: model.name.clone(),
            generation: record.value.generation,
            epoch: record.value.epoch,
            job: activation.job.clone(),
            fence: Condition { key: record_key(&model.name), version: record.version },
        })
    }

    async fn start(&self, model: &Model, record: &Versioned<ActivationRecord>) {
        let Some(order) = self.order(model, record) else { return };
        let attempt = AttemptId::of(&record.value);
        match self.starter.start(&order).await {
            Ok(()) => model.note_requested(attempt, Requested::Yes),
            Err(StarterError::NameTaken) => model.note_requested(attempt, Requested::NameTaken),
            Err(StarterError::Rejected(reason)) => {
                warn!(model = model.name, reason, "the replicas can't be started");
                model.note_requested(attempt, Requested::Rejected(reason));
            }
            Err(error) => {
                debug!(model = model.name, %error, "start");
                self.refresh().await;
            }
        }
    }

    async fn look(&self, model: &Model, record: &Versioned<ActivationRecord>) {
        let Some(order) = self.order(model, record) else { return };
        let seen = match self.starter.look(&order).await {
            Ok(Replicas::Pending) => Some(Observed::Pending),
            Ok(Replicas::Ready(endpoints)) => Some(Observed::Ready(endpoints)),
            Ok(Replicas::Gone) => Some(Observed::Gone),
            Err(error) => {
                debug!(model = model.name, %error, "look");
                None
            }
        };
        model.note_observed(AttemptId::of(&record.value), seen, Instant::now());
    }

    async fn stop(&self, model: &Model, record: &Versioned<ActivationRecord>) {
        let Some(order) = self.order(model, record) else { return };
        match self.starter.stop(&order).await {
            Ok(()) => model.note_stopped(AttemptId::of(&record.value)),
            Err(error) => {
                debug!(model = model.name, %error, "stop");
                self.refresh().await;
            }
        }
    }
}

fn new_job(rng: &mut StdRng) -> String {
    // The first digit isn't 0, so that all have the same length.
    let first: u8 = rng.random_range(1..10);
    let rest = (1..JOB_DIGITS).map(|_| char::from(b'0' + rng.random_range(0..10_u8)));
    let mut job = format!("j-{first}");
    job.extend(rest);
    job
}

/// Tells the operator what a committed record means.
fn tell(model: &str, from: &ActivationRecord, to: &ActivationRecord) {
    let (generation, epoch) = (to.generation, to.epoch);
    match &to.state {
        ModelState::Asleep => info!(model, generation, "sleeps"),
        ModelState::Failed { reason } => warn!(model, generation, reason, "could not be started"),
        ModelState::Active(now) => {
            let adopted = from.generation == generation && from.epoch != epoch;
            let (attempt, job) = (now.attempt, &now.job);
            match &now.stage {
                _ if adopted => info!(model, generation, epoch, job, "adopted from a lost owner"),
                Stage::Starting => info!(model, generation, attempt, job, "wakes"),
                Stage::Ready { endpoints } => {
                    info!(model, generation, replicas = endpoints.len(), "is ready");
                }
                Stage::Draining { .. } => info!(model, generation, "drains"),
                Stage::Stopping { then } => info!(model, generation, ?then, job, "is stopped"),
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

/// Whether a controller with these limits can hold all conditions of one write.
pub fn members_fit(members: usize, transaction_conditions: usize) -> bool {
    // The session, the record, and a use marker of each member.
    members + 2 <= transaction_conditions
}
