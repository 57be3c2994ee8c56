//! The executor of one controller: it takes commands for every service, and drives the
//! services that the controller owns.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use futures_util::future::join_all;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use stonewheel_coordination::{
    ADOPTION_DELAY_DIVISOR, Coordinator, Records, Succession, Versioned, put,
};
use stonewheel_protocol::{Condition, Write};
use stonewheel_state::{StateError, lock};
use thiserror::Error;
use tokio::time::{Instant, sleep_until};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tracing::{debug, info, warn};

use crate::{
    command::{Command, CommandError, CommandKind, apply, check_version},
    command_markers,
    condition::PromotionCondition,
    host::{HostError, ReplicaHost, ReplicaOrder},
    observer::Observer,
    planner::{Facts, ReplicaObservations, Step, Verdict, WaitReason, decide, has_work},
    record::{Replica, ServiceRecord, max_record_bytes, service_key},
    settings::RolloutSettings,
};

/// Attempts to carry out a command while the service's record changes or can't be written, or
/// the health of a replica is unknown.
const MAX_COMMAND_ATTEMPTS: u32 = 8;
/// The random base of job ids lies between 10 to this power and nine times as much.
const JOB_ID_BASE_EXPONENT: u32 = 16;

/// Why a command was not carried out, or may not have been.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CommandFailure {
    /// The command was refused, and nothing was changed.
    #[error(transparent)]
    Refused(#[from] CommandError),
    /// There is no service of this name, or the service was not deployed yet.
    #[error("service {0} is not known")]
    UnknownService(String),
    /// The state service can't be reached. The command was certainly not carried out.
    #[error("the state service can't be reached")]
    Unavailable,
    /// The service took so many commands lately that repeats of this one would not be recognized.
    /// The command was certainly not carried out.
    #[error(
        "the service took too many commands within {} minutes",
        command_markers::RETENTION.as_secs() / 60
    )]
    TooManyCommands,
    /// The command may have been carried out. A repeat with the same id resolves it.
    #[error("the outcome is not known; ask again with the same id")]
    OutcomeUnknown,
}

/// The state of one service in this process.
struct Service {
    name: String,
    promote_when: Option<PromotionCondition>,
    observer: Mutex<Observer>,
    succession: Mutex<Succession>,
    next_probe_at: Mutex<Instant>,
}

/// The executor of one controller.
pub struct Executor {
    coordinator: Arc<Coordinator>,
    settings: RolloutSettings,
    host: Arc<dyn ReplicaHost>,
    services: BTreeMap<String, Arc<Service>>,
    /// Bytes of the largest value that the state service takes.
    max_value_bytes: usize,
    rng: Mutex<StdRng>,
}

impl Executor {
    /// Creates the executor of a controller for these services, each with its promotion
    /// condition. `max_value_bytes` is the largest value that the state service takes.
    pub fn new(
        coordinator: Arc<Coordinator>,
        settings: RolloutSettings,
        services: BTreeMap<String, Option<PromotionCondition>>,
        host: Arc<dyn ReplicaHost>,
        max_value_bytes: usize,
        seed: u64,
    ) -> Arc<Self> {
        let service = |(name, promote_when): (String, Option<PromotionCondition>)| {
            let service = Service {
                name: name.clone(),
                promote_when,
                observer: Mutex::new(Observer::new(settings)),
                succession: Mutex::default(),
                next_probe_at: Mutex::new(Instant::now()),
            };
            (name, Arc::new(service))
        };
        Arc::new(Self {
            coordinator,
            settings,
            host,
            services: services.into_iter().map(service).collect(),
            max_value_bytes,
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
        })
    }

    /// Drives the services until `stop` is cancelled.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        let tasks = TaskTracker::new();
        for service in self.services.values() {
            let task = self.clone().run_service(service.clone());
            let stop = stop.clone();
            tasks.spawn(async move {
                tokio::select! {
                    () = task => {}
                    () = stop.cancelled() => {}
                }
            });
        }
        tasks.close();
        tasks.wait().await;
    }

    /// Returns a service's record, as last read.
    pub fn record(&self, service: &str) -> Option<Versioned<ServiceRecord>> {
        self.records().get(&service_key(service))
    }

    fn records(&self) -> MutexGuard<'_, Records> {
        self.coordinator.records()
    }

    /// Deploys a service for the first time: records `replicas` replicas of a version that are
    /// to be started.
    pub async fn create(
        &self,
        service: &str,
        version: &str,
        replicas: u32,
    ) -> Result<(), CommandFailure> {
        if !self.services.contains_key(service) {
            return Err(CommandFailure::UnknownService(service.into()));
        }
        check_version(version)?;
        self.check_size(replicas, version)?;
        if self.record(service).is_some() {
            return Err(CommandError::AlreadyDeployed.into());
        }
        let mut record = ServiceRecord {
            epoch: 0,
            owner: None,
            version: version.into(),
            next_replica: 0,
            replicas: Vec::new(),
            rollout: None,
            commands: Vec::new(),
        };
        let job_id_base = self.job_id_base();
        for _ in 0..replicas {
            record.add_replica(version, job_id_base);
        }
        let before = Versioned { version: 0, value: record.clone() };
        match self.commit(service, &before, &record).await {
            Ok(()) => return Ok(()),
            Err(StateError::Refused(_)) => return Err(CommandFailure::Unavailable),
            Err(_) => self.coordinator.refresh().await,
        }
        // The write failed or its outcome is unknown. If it was carried out, the record has this
        // call's random job ids.
        let job = |record: &ServiceRecord| record.replicas.first().map(|r| r.job.clone());
        match self.record(service) {
            Some(found) if job(&found.value) == job(&record) => Ok(()),
            Some(_) => Err(CommandError::AlreadyDeployed.into()),
            None => Err(CommandFailure::OutcomeUnknown),
        }
    }

    /// Checks that a record with this many replicas fits a value of the state service.
    fn check_size(&self, replicas: u32, version: &str) -> Result<(), CommandError> {
        let fits = |replicas: u32| max_record_bytes(replicas, version) <= self.max_value_bytes;
        if replicas > 0 && fits(replicas) {
            return Ok(());
        }
        let max = (1..replicas).rev().find(|fewer| fits(*fewer)).unwrap_or(0);
        Err(CommandError::TooLarge { max })
    }

    /// Probes the replicas, and returns the endpoints of those that take requests and answer.
    pub async fn endpoints(&self, service: &str) -> Option<Vec<String>> {
        let service_state = self.services.get(service)?;
        let record = self.record(service)?;
        self.probe_replicas(service_state, &record).await;
        Some(lock(&service_state.observer).endpoints(&record.value, Instant::now()))
    }

    /// Carries out a command, once per id. When this returns `Ok`, the change is stored and
    /// doesn't depend on this controller.
    pub async fn command(&self, service: &str, command: &Command) -> Result<(), CommandFailure> {
        let service_state = self.services.get(service);
        let service_state =
            service_state.ok_or_else(|| CommandFailure::UnknownService(service.into()))?;
        for _ in 0..MAX_COMMAND_ATTEMPTS {
            // Without a valid session the cached record may be out of date, so no command is
            // decided on it.
            if self.coordinator.session().is_none_or(|s| s.valid_until <= Instant::now()) {
                return Err(CommandFailure::Unavailable);
            }
            let Some(record) = self.record(service) else {
                return Err(CommandFailure::UnknownService(service.into()));
            };
            if let Some(done) = command_markers::find(&self.records(), service, command) {
                info!(service, id = command.id, "rollout command repeated");
                return Ok(command.check_repeat(&done)?);
            }
            if let CommandKind::Start { to, surge, .. } = &command.kind {
                let replicas = record.value.replicas.len() as u32;
                self.check_size(replicas.saturating_add(*surge), to)?;
            }
            let observations = self.probe_replicas(service_state, &record).await;
            let next = match apply(&record.value, command, &observations) {
                Ok(Some(next)) => next,
                Ok(None) => return Ok(()),
                // A probe without a result may succeed at the next attempt.
                Err(CommandError::Unobserved(_)) => {
                    self.coordinator.refresh().await;
                    continue;
                }
                Err(refusal) => return Err(refusal.into()),
            };
            if !command_markers::has_room(&self.records(), service, command) {
                return Err(CommandFailure::TooManyCommands);
            }
            match self.commit_command(service, command, &record, &next).await {
                Ok(()) => {
                    info!(
                        service,
                        id = command.id,
                        kind = ?command.kind,
                        "rollout command carried out"
                    );
                    return Ok(());
                }
                Err(StateError::Refused(_)) => return Err(CommandFailure::Unavailable),
                // The next attempt sees in the record whether the command was carried out.
                Err(_) => self.coordinator.refresh().await,
            }
        }
        Err(CommandFailure::OutcomeUnknown)
    }

    /// Plans and carries out the steps of a service one after the other.
    async fn run_service(self: Arc<Self>, service: Arc<Service>) {
        let mut changes = self.coordinator.subscribe();
        loop {
            changes.mark_unchanged();
            let Some(record) = self.record(&service.name) else {
                let _ = changes.changed().await;
                continue;
            };
            if self.owns(&record) && has_work(&record.value) {
                self.probe_if_due(&service, &record).await;
            }
            match self.plan(&service, &record) {
                Step::Wait(reason) => {
                    let until = self.next_wake_at(&service, reason);
                    tokio::select! {
                        _ = changes.changed() => {}
                        () = sleep_until(until) => {}
                    }
                }
                Step::Write(next) => {
                    if let Err(error) = self.commit(&service.name, &record, &next).await {
                        debug!(
                            service = service.name,
                            %error,
                            "service record write failed or its outcome is unknown"
                        );
                        self.coordinator.refresh().await;
                    }
                }
                Step::Start(number) => self.start_replica(&service, &record, number).await,
                Step::Stop(number) => self.stop_replica(&service, &record, number).await,
            }
        }
    }

    fn owns(&self, record: &Versioned<ServiceRecord>) -> bool {
        record.value.owner.as_ref() == Some(self.coordinator.identity())
    }

    /// Draws the base of the job ids of new replicas.
    fn job_id_base(&self) -> u64 {
        let min = 10_u64.pow(JOB_ID_BASE_EXPONENT);
        lock(&self.rng).random_range(min..min * 9)
    }

    /// Gathers what this controller knows of a service, and decides the next step.
    fn plan(&self, service: &Service, record: &Versioned<ServiceRecord>) -> Step {
        let now = Instant::now();
        let session = self.coordinator.session();
        let owner = record.value.owner.as_ref();
        let owner_alive = owner.is_some_and(|owner| self.coordinator.records().is_alive(owner));
        let may_adopt = lock(&service.succession).may_adopt(&self.coordinator, owner);
        let mut observer = lock(&service.observer);
        observer.update_from_record(&record.value, now);
        decide(&Facts {
            me: self.coordinator.identity(),
            record: &record.value,
            session_valid: session.is_some_and(|session| now < session.valid_until),
            owner_alive,
            may_adopt,
            observations: &observer.observations(now),
            verdict: &self.verdict(service, &observer, &record.value, now),
            job_id_base: self.job_id_base(),
        })
    }

    /// Returns the health gate's verdict. A healthy one is subject to the service's promotion
    /// condition.
    fn verdict(
        &self,
        service: &Service,
        observer: &Observer,
        record: &ServiceRecord,
        now: Instant,
    ) -> Verdict {
        let verdict = observer.verdict(now);
        let Some(condition) = service.promote_when.as_ref().filter(|_| verdict == Verdict::Healthy)
        else {
            return verdict;
        };
        let figures = observer.step_figures(record, now);
        match condition.holds(&figures, self.settings.condition_timeout()) {
            Ok(true) => Verdict::Healthy,
            Ok(false) => Verdict::Unhealthy("the promotion condition does not hold".into()),
            Err(error) => Verdict::Unhealthy(error.to_string()),
        }
    }

    /// Returns when a waiting service is planned again if its record doesn't change before.
    fn next_wake_at(&self, service: &Service, reason: WaitReason) -> Instant {
        let now = Instant::now();
        let probe = (*lock(&service.next_probe_at)).max(now);
        let due = lock(&service.observer).next_deadline(now);
        match reason {
            // A change of the records wakes the task in any case. The timer is for adoption,
            // which becomes possible by the passage of time alone.
            WaitReason::NotOwner | WaitReason::NoSession | WaitReason::NoWork => {
                now + self.coordinator.timing().session_ttl / ADOPTION_DELAY_DIVISOR
            }
            _ => due.map_or(probe, |due| due.min(probe)),
        }
    }

    /// Writes a service's record if it has not changed since it was read and this controller's
    /// session is valid.
    async fn commit(
        &self,
        service: &str,
        from: &Versioned<ServiceRecord>,
        to: &ServiceRecord,
    ) -> Result<(), StateError> {
        self.commit_with(None, service, from, to).await
    }

    /// Writes a service's record as [`Self::commit`] does, together with the marker of the
    /// command that changes it.
    async fn commit_command(
        &self,
        service: &str,
        command: &Command,
        from: &Versioned<ServiceRecord>,
        to: &ServiceRecord,
    ) -> Result<(), StateError> {
        let lease = self.coordinator.grant_lease(command_markers::RETENTION).await?;
        let marker = command_markers::mark(service, command, lease)?;
        self.commit_with(Some(marker), service, from, to).await
    }

    async fn commit_with(
        &self,
        marker: Option<(Condition, Write)>,
        service: &str,
        from: &Versioned<ServiceRecord>,
        to: &ServiceRecord,
    ) -> Result<(), StateError> {
        let Some(session) = self.coordinator.session() else {
            return Err(StateError::LeaseExpired);
        };
        let key = service_key(service);
        let mut conditions = vec![Condition { key: key.clone(), version: from.version }];
        let mut writes = vec![put(key, to, None)?];
        if let Some((condition, write)) = marker {
            conditions.push(condition);
            writes.push(write);
        }
        self.coordinator.commit_under(session, conditions, writes).await?;
        log_change(service, &from.value, to);
        Ok(())
    }

    fn replica_order(
        &self,
        service: &Service,
        record: &Versioned<ServiceRecord>,
        replica: &Replica,
    ) -> ReplicaOrder {
        ReplicaOrder {
            service: service.name.clone(),
            number: replica.number,
            job: replica.job.clone(),
            version: replica.version.clone(),
            epoch: record.value.epoch,
            fence: Condition { key: service_key(&service.name), version: record.version },
        }
    }

    fn replica_order_by_number(
        &self,
        service: &Service,
        record: &Versioned<ServiceRecord>,
        number: u32,
    ) -> Option<ReplicaOrder> {
        let replica = record.value.replicas.iter().find(|replica| replica.number == number)?;
        Some(self.replica_order(service, record, replica))
    }

    async fn start_replica(
        &self,
        service: &Service,
        record: &Versioned<ServiceRecord>,
        number: u32,
    ) {
        let Some(order) = self.replica_order_by_number(service, record, number) else { return };
        let outcome = self.host.start(&order).await;
        match outcome {
            Ok(()) => lock(&service.observer).record_start(number, None),
            Err(HostError::Rejected(reason)) => {
                lock(&service.observer).record_start(number, Some(reason));
            }
            Err(error) => {
                debug!(
                    service = service.name,
                    number,
                    %error,
                    "replica start failed or its outcome is unknown"
                );
                self.coordinator.refresh().await;
            }
        }
    }

    async fn stop_replica(
        &self,
        service: &Service,
        record: &Versioned<ServiceRecord>,
        number: u32,
    ) {
        let Some(order) = self.replica_order_by_number(service, record, number) else { return };
        let outcome = self.host.stop(&order).await;
        match outcome {
            Ok(()) => lock(&service.observer).record_stop(number),
            Err(error) => {
                debug!(
                    service = service.name,
                    number,
                    %error,
                    "replica stop failed or its outcome is unknown"
                );
                self.coordinator.refresh().await;
            }
        }
    }

    /// Probes all replicas if the probe interval has passed.
    async fn probe_if_due(&self, service: &Service, record: &Versioned<ServiceRecord>) {
        if *lock(&service.next_probe_at) > Instant::now() {
            return;
        }
        self.probe_replicas(service, record).await;
        *lock(&service.next_probe_at) = Instant::now() + self.settings.probe_interval();
    }

    /// Probes all replicas, and returns the observations with the results.
    async fn probe_replicas(
        &self,
        service: &Service,
        record: &Versioned<ServiceRecord>,
    ) -> ReplicaObservations {
        lock(&service.observer).update_from_record(&record.value, Instant::now());
        let probes = record.value.replicas.iter().map(|replica| {
            let order = self.replica_order(service, record, replica);
            async move { (replica, self.host.probe(&order).await) }
        });
        let probes = join_all(probes).await;
        let now = Instant::now();
        let to = record.value.active_rollout().map(|rollout| rollout.to.as_str());
        let mut observer = lock(&service.observer);
        for (replica, probe) in probes {
            let is_new_version = to == Some(replica.version.as_str());
            match probe {
                Ok(probe) => observer.record_probe(replica.number, probe, is_new_version, now),
                Err(error) => debug!(service = service.name, %error, "replica probe failed"),
            }
        }
        observer.observations(now)
    }
}

/// Logs a change of the owner or of the rollout's phase once the record is written.
fn log_change(service: &str, from: &ServiceRecord, to: &ServiceRecord) {
    if from.owner != to.owner {
        info!(service, epoch = to.epoch, "service adopted by this controller");
    }
    let Some(rollout) = &to.rollout else { return };
    let before = from.rollout.as_ref().map(|rollout| rollout.history.len());
    if before == Some(rollout.history.len())
        && from.rollout.as_ref().map(|r| r.phase) == Some(rollout.phase)
    {
        return;
    }
    let why = rollout.history.last().map_or("", |entry| entry.why.as_str());
    let (phase, step) = (rollout.phase, rollout.step);
    if phase == crate::record::Phase::RollingBack {
        warn!(service, id = rollout.id, ?phase, step, why, "rollback started");
    } else {
        info!(service, id = rollout.id, ?phase, step, why, "rollout phase changed");
    }
}
