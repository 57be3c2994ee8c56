//! The activator of one controller: its session, its watch over the records, a task
//! for each model, and the way in for requests.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde::Serialize;
use stonewheel_coordination::{Coordinator, Versioned, put};
use stonewheel_protocol::{Condition, Write};
use stonewheel_state::lock;
use thiserror::Error;
use tokio::time::{Duration, Instant, sleep_until, timeout_at};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tracing::{debug, info, warn};

use crate::{
    holder::{HeldRoom, Holder, HolderUsage},
    model::{AttemptId, Availability, InProgress, Model, Plan, Situation},
    planner::{Observed, Requested, Step},
    record::{ActivationRecord, ModelState, Stage, UseMarker, record_key, use_key},
    settings::ActivationSettings,
    starter::{ReplicaOrder, ReplicaStarter, Replicas, StarterError},
};

/// The part of the room for held requests that one of several models may take.
const MODEL_PARTS: usize = 2;
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
    coordinator: Arc<Coordinator>,
    settings: ActivationSettings,
    starter: Arc<dyn ReplicaStarter>,
    holder: Holder,
    models: BTreeMap<String, Arc<Model>>,
    rng: Mutex<StdRng>,
}

impl Activator {
    /// Over the coordination of this controller, which runs apart from this.
    pub fn new(
        coordinator: Arc<Coordinator>,
        settings: ActivationSettings,
        starter: Arc<dyn ReplicaStarter>,
        seed: u64,
    ) -> Arc<Self> {
        let model = |(name, model): (&String, &crate::ModelSettings)| {
            (name.clone(), Arc::new(Model::new(name.clone(), model.clone())))
        };
        Arc::new(Self {
            coordinator,
            holder: Holder::new(settings.hold_requests as usize, settings.hold_bytes()),
            models: settings.models.iter().map(model).collect(),
            settings,
            starter,
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
        })
    }

    /// The settings that it runs with.
    pub fn settings(&self) -> &ActivationSettings {
        &self.settings
    }

    /// Runs until told to stop.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        let tasks = TaskTracker::new();
        for model in self.models.values() {
            tasks.spawn(until(stop.clone(), self.clone().drive(model.clone())));
        }
        tasks.close();
        tasks.wait().await;
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
        // One model in demand must leave capacity for the cold starts of others.
        if model.held() >= self.most_held_of_one() {
            return Err(Refusal::Full { retry_after });
        }
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
            let retry_after = self.coordinator.renewal_interval();
            Some(Err(Refusal::Unknowable { retry_after }))
        };
        match availability {
            Availability::ColdStarting => None,
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
        let session = self.coordinator.session();
        session.is_some_and(|session| now < session.valid_until + self.settings.outage())
    }

    /// Requests that may be held for one model: all if there is only one.
    fn most_held_of_one(&self) -> usize {
        let all = self.settings.hold_requests as usize;
        if self.models.len() > 1 { (all / MODEL_PARTS).max(1) } else { all }
    }

    /// How much room held requests take.
    pub fn held(&self) -> HolderUsage {
        self.holder.usage()
    }

    /// What operators see of the models.
    pub fn statuses(&self) -> Vec<ModelStatus> {
        let records = self.coordinator.records();
        let status = |model: &Arc<Model>| ModelStatus {
            model: model.name.clone(),
            record: model.record(&records).value,
            held: model.held(),
            in_progress: model.in_progress(),
            known: model.availability() != Availability::Unknown,
        };
        self.models.values().map(status).collect()
    }

    // Models.

    async fn drive(self: Arc<Self>, model: Arc<Model>) {
        let mut changes = self.coordinator.subscribe();
        loop {
            changes.mark_unchanged();
            let Plan { step, record, availability, wake_at } = self.plan(&model);
            model.publish(availability);
            match step {
                Step::Wait => {
                    tokio::select! {
                        () = model.changed.notified() => {}
                        _ = changes.changed() => {}
                        () = sleep_until(wake_at) => {}
                    }
                }
                Step::Write { record: next, unless_used } => {
                    self.write(&model, record, next, unless_used).await;
                }
                Step::MarkUse => self.write_use_marker(&model, record.version).await,
                Step::DropUse => self.drop_use(&model).await,
                Step::Start => self.start(&model, &record).await,
                Step::Probe => self.probe(&model, &record).await,
                Step::Stop => self.stop(&model, &record).await,
            }
        }
    }

    fn plan(&self, model: &Model) -> Plan {
        let (new_job, jitter) = {
            let mut rng = lock(&self.rng);
            (new_job(&mut rng), rng.random_range(0.0..1.0))
        };
        let session = self.coordinator.session();
        model.plan(&Situation {
            me: self.coordinator.identity(),
            records: &self.coordinator.records(),
            session,
            settings: &self.settings,
            session_ttl: self.coordinator.timing().session_ttl,
            new_job: &new_job,
            jitter,
            now: Instant::now(),
        })
    }

    async fn write(
        &self,
        model: &Model,
        from: Versioned<ActivationRecord>,
        to: ActivationRecord,
        unless_used: bool,
    ) {
        let Some(session) = self.coordinator.session() else { return };
        let key = record_key(&model.name);
        let mut conditions = vec![Condition { key: key.clone(), version: from.version }];
        if unless_used {
            // A request that passes anywhere has its controller's marker.
            let unused =
                |member: &String| Condition { key: use_key(&model.name, member), version: 0 };
            conditions.extend(self.coordinator.members().iter().map(unused));
        }
        let Ok(put) = put(key, &to, None) else { return };
        match self.coordinator.commit_under(session, conditions, vec![put]).await {
            Ok(_) => log_transition(&model.name, &from.value, &to),
            Err(error) => {
                debug!(model = model.name, %error, "an activation record was not written");
                self.coordinator.refresh().await;
            }
        }
    }

    async fn write_use_marker(&self, model: &Model, version: u64) {
        let Some(session) = self.coordinator.session() else { return };
        let key = self.use_key(model);
        let known = self.coordinator.records().version(&key);
        let conditions = vec![
            Condition { key: record_key(&model.name), version },
            Condition { key: key.clone(), version: known },
        ];
        let marker = UseMarker { lease: session.lease };
        let Ok(put) = put(key, &marker, Some(session.lease)) else { return };
        if self.coordinator.commit_under(session, conditions, vec![put]).await.is_err() {
            self.coordinator.refresh().await;
        }
    }

    async fn drop_use(&self, model: &Model) {
        let key = self.use_key(model);
        let version = self.coordinator.records().version(&key);
        // Requests that come while the marker goes are held: none passes once this
        // controller may be without it.
        model.publish(Availability::ColdStarting);
        let condition = Condition { key: key.clone(), version };
        if self.coordinator.commit(vec![condition], vec![Write::Delete { key }]).await.is_err() {
            // It may still be deleted at any later time, so it stands for nothing
            // until it is written anew.
            model.distrust_marker(version);
            self.coordinator.refresh().await;
        }
    }

    fn use_key(&self, model: &Model) -> String {
        use_key(&model.name, &self.coordinator.identity().member)
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
                self.coordinator.refresh().await;
            }
        }
    }

    async fn probe(&self, model: &Model, record: &Versioned<ActivationRecord>) {
        let Some(order) = self.order(model, record) else { return };
        let seen = match self.starter.probe(&order).await {
            Ok(Replicas::Pending) => Some(Observed::Pending),
            Ok(Replicas::Ready(endpoints)) => Some(Observed::Ready(endpoints)),
            Ok(Replicas::Gone) => Some(Observed::Gone),
            Err(error) => {
                debug!(model = model.name, %error, "probe failed");
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
                self.coordinator.refresh().await;
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
fn log_transition(model: &str, from: &ActivationRecord, to: &ActivationRecord) {
    let (generation, epoch) = (to.generation, to.epoch);
    match &to.state {
        ModelState::ScaledToZero => info!(model, generation, "scaled to zero"),
        ModelState::Failed { reason } => warn!(model, generation, reason, "could not be started"),
        ModelState::Active(now) => {
            let adopted = from.generation == generation && from.epoch != epoch;
            let (attempt, job) = (now.attempt, &now.job);
            match &now.stage {
                _ if adopted => {
                    info!(model, generation, epoch, job, "taken over from a lost owner")
                }
                Stage::Starting => info!(model, generation, attempt, job, "cold start requested"),
                Stage::Ready { endpoints } => {
                    info!(model, generation, replicas = endpoints.len(), "serving");
                }
                Stage::Draining { .. } => info!(model, generation, "draining started"),
                Stage::Stopping { then } => {
                    info!(model, generation, ?then, job, "stopping replicas")
                }
            }
        }
    }
}

async fn until(stop: CancellationToken, task: impl Future<Output = ()>) {
    tokio::select! {
        () = task => {}
        () = stop.cancelled() => {}
    }
}

/// Whether a controller with these limits can hold all conditions of one write.
pub fn members_fit(members: usize, transaction_conditions: usize) -> bool {
    // The session, the record, and a use marker of each member.
    members + 2 <= transaction_conditions
}
