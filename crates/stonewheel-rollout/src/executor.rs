//! The executor of one controller: it takes commands for every service, and drives the
//! services that the controller owns.

mod commands;

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
use tokio::time::{Instant, sleep_until};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tracing::{debug, info, warn};

pub use self::commands::CommandFailure;
use crate::{
    condition::PromotionCondition,
    host::{HostError, ReplicaHost, ReplicaOrder},
    observer::Observer,
    planner::{Facts, ReplicaObservations, Step, Verdict, WaitReason, decide, has_work},
    record::{Replica, ServiceRecord, service_key},
    settings::RolloutSettings,
};

/// The random base of job ids lies between 10 to this power and nine times as much.
const JOB_ID_BASE_EXPONENT: u32 = 16;

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

    /// Probes the replicas, and returns the endpoints of those that take requests and answer.
    pub async fn endpoints(&self, service: &str) -> Option<Vec<String>> {
        let service_state = self.services.get(service)?;
        let record = self.record(service)?;
        self.probe_replicas(service_state, &record).await;
        Some(lock(&service_state.observer).endpoints(&record.value, Instant::now()))
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
