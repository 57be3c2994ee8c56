//! The activator of one controller: it admits or holds requests, and runs a task for each
//! model that carries out the planner's steps.

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
    holder::{HoldPermit, Holder, HolderUsage},
    model::{AttemptId, Availability, EvaluationContext, InProgressGuard, Model, Plan},
    planner::{Observed, Requested, Step},
    record::{ActivationRecord, ModelState, Stage, UseMarker, record_key, use_marker_key},
    settings::ActivationSettings,
    starter::{ReplicaOrder, ReplicaStarter, Replicas, StarterError},
};

/// With several models, one model may take up the limit of held requests divided by this.
const HOLD_LIMIT_DIVISOR: usize = 2;
/// Digits of a job id: the most that the records of ended jobs store compactly.
const JOB_ID_DIGITS: usize = 17;

/// Why a request is refused. A refusal is final for the request.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Refusal {
    /// No model has this name.
    #[error("no such model")]
    UnknownModel,
    /// A limit on held requests is reached.
    #[error("too many requests are held")]
    Full {
        /// How long the caller should wait before it repeats the request.
        retry_after: Duration,
    },
    /// This controller can't know whether the model is ready.
    #[error("the state of the model can't be known now")]
    StateUnknown {
        /// How long the caller should wait before it repeats the request.
        retry_after: Duration,
    },
    /// The last start of the model was given up.
    #[error("the model could not be started")]
    Failed {
        /// How long the caller should wait before it repeats the request.
        retry_after: Duration,
    },
    /// The start takes longer than requests are held.
    #[error("the model is still starting")]
    Starting {
        /// How long the caller should wait before it repeats the request.
        retry_after: Duration,
    },
}

impl Refusal {
    /// Returns how long the caller should wait before it repeats the request; none if a
    /// repeat can't succeed.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::UnknownModel => None,
            Self::Full { retry_after }
            | Self::StateUnknown { retry_after }
            | Self::Failed { retry_after }
            | Self::Starting { retry_after } => Some(*retry_after),
        }
    }
}

/// Permission to forward a request. The request counts as in progress until this is
/// dropped.
pub struct Admission {
    endpoints: Arc<[String]>,
    /// Number of the request, which selects the endpoint to try first.
    turn: usize,
    _in_progress_guard: InProgressGuard,
}

impl Admission {
    /// Returns the endpoints in the order in which to try them. The next one may be tried
    /// only if the request certainly did not reach the one before.
    pub fn endpoints(&self) -> impl Iterator<Item = &str> {
        let count = self.endpoints.len();
        (0..count).map(move |index| self.endpoints[(self.turn + index) % count].as_str())
    }
}

/// Status of a model at one controller, for operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ModelStatus {
    /// The model's name.
    pub model: String,
    /// The model's record, as this controller last read it.
    pub record: ActivationRecord,
    /// Number of requests that this controller holds.
    pub held: usize,
    /// Number of requests in progress at this controller.
    pub in_progress: usize,
    /// Whether this controller knows the state of the model.
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
    /// Creates the activator. The caller runs the coordinator.
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
            holder: Holder::new(settings.hold_requests as usize, settings.max_held_bytes()),
            models: settings.models.iter().map(model).collect(),
            settings,
            starter,
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
        })
    }

    /// Returns the settings that the activator runs with.
    pub fn settings(&self) -> &ActivationSettings {
        &self.settings
    }

    /// Runs the tasks of all models until `stop` is cancelled.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        let tasks = TaskTracker::new();
        for model in self.models.values() {
            tasks.spawn(run_until_cancelled(stop.clone(), self.clone().run_model(model.clone())));
        }
        tasks.close();
        tasks.wait().await;
    }

    // Admission of requests.

    /// Waits until a request to a model may be forwarded, or is refused. `bytes` is the size
    /// of the request's body, which counts against the limit of held bytes meanwhile. A
    /// caller that gives up waiting drops the future.
    pub async fn admit(&self, model: &str, bytes: usize) -> Result<Admission, Refusal> {
        let model = self.models.get(model).ok_or(Refusal::UnknownModel)?;
        let now = Instant::now();
        model.note_request(now);
        if let Some(outcome) = self.immediate_outcome(model, &model.availability(), now) {
            return outcome;
        }
        let retry_after = Duration::from_secs_f64(model.settings.retry_s);
        // A model with many requests must leave capacity to hold those of other models
        // during their cold starts.
        if model.held_requests() >= self.max_held_per_model() {
            return Err(Refusal::Full { retry_after });
        }
        let permit: HoldPermit =
            self.holder.try_acquire(bytes).ok_or(Refusal::Full { retry_after })?;
        let held_guard = model.begin_hold();
        let deadline = now + Duration::from_secs_f64(model.settings.hold_s);
        let mut availability = model.watch_availability();
        loop {
            let current = availability.borrow_and_update().clone();
            if let Some(outcome) = self.immediate_outcome(model, &current, Instant::now()) {
                drop((held_guard, permit));
                return outcome;
            }
            if !matches!(timeout_at(deadline, availability.changed()).await, Ok(Ok(()))) {
                return Err(Refusal::Starting { retry_after });
            }
        }
    }

    /// Returns the admission or refusal of a request; none if the request is to be held.
    fn immediate_outcome(
        &self,
        model: &Arc<Model>,
        availability: &Availability,
        now: Instant,
    ) -> Option<Result<Admission, Refusal>> {
        let state_unknown = || {
            let retry_after = self.coordinator.renewal_interval();
            Some(Err(Refusal::StateUnknown { retry_after }))
        };
        match availability {
            Availability::ColdStarting => None,
            Availability::Unknown => state_unknown(),
            Availability::Failed { until } if *until <= now => None,
            Availability::Failed { until } => {
                Some(Err(Refusal::Failed { retry_after: *until - now }))
            }
            // A process that was suspended may not have noticed yet that its session ended,
            // so every request checks the session against the clock.
            Availability::Ready { .. } if !self.may_forward(now) => state_unknown(),
            Availability::Ready { endpoints } => Some(Ok(Admission {
                endpoints: endpoints.clone(),
                turn: model.next_replica_turn(),
                _in_progress_guard: model.begin_request(),
            })),
        }
    }

    /// Whether requests may be forwarded: the session is valid or ended less than `outage_s`
    /// ago.
    fn may_forward(&self, now: Instant) -> bool {
        let session = self.coordinator.session();
        session.is_some_and(|session| now < session.valid_until + self.settings.outage_tolerance())
    }

    /// Returns how many requests may be held for one model: the whole limit if there is
    /// only one.
    fn max_held_per_model(&self) -> usize {
        let total = self.settings.hold_requests as usize;
        if self.models.len() > 1 { (total / HOLD_LIMIT_DIVISOR).max(1) } else { total }
    }

    /// Returns the number and the bytes of the held requests.
    pub fn held_usage(&self) -> HolderUsage {
        self.holder.usage()
    }

    /// Returns the status of each model, for operators.
    pub fn statuses(&self) -> Vec<ModelStatus> {
        let records = self.coordinator.records();
        let status = |model: &Arc<Model>| ModelStatus {
            model: model.name.clone(),
            record: model.record(&records).value,
            held: model.held_requests(),
            in_progress: model.requests_in_progress(),
            known: model.availability() != Availability::Unknown,
        };
        self.models.values().map(status).collect()
    }

    // The task of each model, and its steps.

    /// Evaluates a model and carries out the next step, over and over.
    async fn run_model(self: Arc<Self>, model: Arc<Model>) {
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
                    self.write_record(&model, record, next, unless_used).await;
                }
                Step::WriteUseMarker => self.write_use_marker(&model, record.version).await,
                Step::DeleteUseMarker => self.delete_use_marker(&model).await,
                Step::Start => self.start_replicas(&model, &record).await,
                Step::Probe => self.probe_replicas(&model, &record).await,
                Step::Stop => self.stop_replicas(&model, &record).await,
            }
        }
    }

    fn plan(&self, model: &Model) -> Plan {
        let (new_job, jitter) = {
            let mut rng = lock(&self.rng);
            (draw_job_id(&mut rng), rng.random_range(0.0..1.0))
        };
        let session = self.coordinator.session();
        model.plan(&EvaluationContext {
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

    async fn write_record(
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
            // A controller that forwards requests to the model has a use marker, so no
            // request is in progress while none of the markers exists.
            let unused = |member: &String| Condition {
                key: use_marker_key(&model.name, member),
                version: 0,
            };
            conditions.extend(self.coordinator.members().iter().map(unused));
        }
        let Ok(put) = put(key, &to, None) else { return };
        match self.coordinator.commit_under(session, conditions, vec![put]).await {
            Ok(_) => log_transition(&model.name, &from.value, &to),
            Err(error) => {
                debug!(
                    model = model.name,
                    %error,
                    "activation record write failed or its outcome is unknown"
                );
                self.coordinator.refresh().await;
            }
        }
    }

    async fn write_use_marker(&self, model: &Model, version: u64) {
        let Some(session) = self.coordinator.session() else { return };
        let key = self.use_marker_key(model);
        let marker_version = self.coordinator.records().version(&key);
        let conditions = vec![
            Condition { key: record_key(&model.name), version },
            Condition { key: key.clone(), version: marker_version },
        ];
        let marker = UseMarker { lease: session.lease };
        let Ok(put) = put(key, &marker, Some(session.lease)) else { return };
        if self.coordinator.commit_under(session, conditions, vec![put]).await.is_err() {
            self.coordinator.refresh().await;
        }
    }

    async fn delete_use_marker(&self, model: &Model) {
        let key = self.use_marker_key(model);
        let version = self.coordinator.records().version(&key);
        // Requests that arrive during the deletion are held: none may be forwarded once the
        // marker may be gone.
        model.publish(Availability::ColdStarting);
        let condition = Condition { key: key.clone(), version };
        if self.coordinator.commit(vec![condition], vec![Write::Delete { key }]).await.is_err() {
            // The outcome is unknown and the marker may still be deleted later, so this
            // version is no longer relied on: requests wait until the marker is rewritten.
            model.revoke_marker(version);
            self.coordinator.refresh().await;
        }
    }

    fn use_marker_key(&self, model: &Model) -> String {
        use_marker_key(&model.name, &self.coordinator.identity().member)
    }

    fn replica_order(
        &self,
        model: &Model,
        record: &Versioned<ActivationRecord>,
    ) -> Option<ReplicaOrder> {
        let activation = record.value.activation()?;
        Some(ReplicaOrder {
            model: model.name.clone(),
            generation: record.value.generation,
            epoch: record.value.epoch,
            job: activation.job.clone(),
            fence: Condition { key: record_key(&model.name), version: record.version },
        })
    }

    async fn start_replicas(&self, model: &Model, record: &Versioned<ActivationRecord>) {
        let Some(order) = self.replica_order(model, record) else { return };
        let attempt = AttemptId::of(&record.value);
        match self.starter.start(&order).await {
            Ok(()) => model.note_requested(attempt, Requested::Yes),
            Err(StarterError::IdTaken) => model.note_requested(attempt, Requested::IdTaken),
            Err(StarterError::Rejected(reason)) => {
                warn!(model = model.name, reason, "replica start rejected; the start is given up");
                model.note_requested(attempt, Requested::Rejected(reason));
            }
            Err(error) => {
                debug!(
                    model = model.name,
                    %error,
                    "replica start failed or its outcome is unknown"
                );
                self.coordinator.refresh().await;
            }
        }
    }

    async fn probe_replicas(&self, model: &Model, record: &Versioned<ActivationRecord>) {
        let Some(order) = self.replica_order(model, record) else { return };
        let observed = match self.starter.probe(&order).await {
            Ok(Replicas::Pending) => Some(Observed::Pending),
            Ok(Replicas::Ready(endpoints)) => Some(Observed::Ready(endpoints)),
            Ok(Replicas::Gone) => Some(Observed::Gone),
            Err(error) => {
                debug!(model = model.name, %error, "replica probe failed");
                None
            }
        };
        model.note_observed(AttemptId::of(&record.value), observed, Instant::now());
    }

    async fn stop_replicas(&self, model: &Model, record: &Versioned<ActivationRecord>) {
        let Some(order) = self.replica_order(model, record) else { return };
        match self.starter.stop(&order).await {
            Ok(()) => model.note_stopped(AttemptId::of(&record.value)),
            Err(error) => {
                debug!(
                    model = model.name,
                    %error,
                    "replica stop failed or its outcome is unknown"
                );
                self.coordinator.refresh().await;
            }
        }
    }
}

fn draw_job_id(rng: &mut StdRng) -> String {
    // The first digit isn't 0, so that all ids have the same number of digits as numbers, too.
    let first_digit: u8 = rng.random_range(1..10);
    let other_digits = (1..JOB_ID_DIGITS).map(|_| char::from(b'0' + rng.random_range(0..10_u8)));
    let mut job_id = format!("j-{first_digit}");
    job_id.extend(other_digits);
    job_id
}

/// Logs the transition that a committed record stands for.
fn log_transition(model: &str, from: &ActivationRecord, to: &ActivationRecord) {
    let (generation, epoch) = (to.generation, to.epoch);
    match &to.state {
        ModelState::ScaledToZero => info!(model, generation, "model scaled to zero"),
        ModelState::Failed { reason } => warn!(
            model,
            generation, reason, "model start given up; requests are refused for retry_s"
        ),
        ModelState::Active(activation) => {
            let adopted = from.generation == generation && from.epoch != epoch;
            let (attempt, job) = (activation.attempt, &activation.job);
            match &activation.stage {
                _ if adopted => {
                    info!(
                        model,
                        generation,
                        epoch,
                        job,
                        "activation adopted after its owner's session ended"
                    )
                }
                Stage::Starting => info!(model, generation, attempt, job, "cold start requested"),
                Stage::Ready { endpoints } => {
                    info!(model, generation, replicas = endpoints.len(), "model ready");
                }
                Stage::Draining { .. } => info!(model, generation, "model drain started"),
                Stage::Stopping { then } => {
                    info!(model, generation, ?then, job, "replica stop decided")
                }
            }
        }
    }
}

async fn run_until_cancelled(stop: CancellationToken, task: impl Future<Output = ()>) {
    tokio::select! {
        () = task => {}
        () = stop.cancelled() => {}
    }
}

/// Whether a transaction may have enough conditions for the write that begins a drain,
/// which has the most.
pub fn conditions_fit_transaction(members: usize, transaction_conditions: usize) -> bool {
    // One condition for the session, one for the record, one for each member's use marker.
    members + 2 <= transaction_conditions
}
