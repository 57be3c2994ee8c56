//! One model at one controller: its held requests, the progress of its activation, and
//! the evaluation that combines both with the records into the next step.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicU64, AtomicUsize, Ordering},
};

use stonewheel_coordination::{HeldSession, Owner, Records, Versioned};
use stonewheel_state::lock;
use tokio::{
    sync::{Notify, watch},
    time::{Duration, Instant},
};

use crate::{
    planner::{ElapsedTimers, Facts, Observed, Requested, Step, decide},
    record::{
        ActivationRecord, ModelState, Stage, UseMarker, record_key, use_marker_key,
        use_marker_prefix,
    },
    settings::{ActivationSettings, ModelSettings},
};

/// Controllers try to adopt an activation one after the other, not all at the same time:
/// each waits for the session's time divided by this for every live controller whose name
/// sorts before its own.
const ADOPTION_DELAY_DIVISOR: u32 = 16;

/// What happens to a request that arrives now.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Availability {
    /// This controller can't know the state of the model, so requests are refused.
    Unknown,
    /// Requests are held: the model is not ready yet, no replica answers, or this
    /// controller has yet to write its use marker.
    ColdStarting,
    /// The last start was given up, so requests are refused until this time.
    Failed { until: Instant },
    /// Requests are forwarded to these endpoints.
    Ready { endpoints: Arc<[String]> },
}

/// Result of one evaluation of a model.
pub(crate) struct Plan {
    pub step: Step,
    pub record: Versioned<ActivationRecord>,
    pub availability: Availability,
    /// When to evaluate the model again if nothing changes.
    pub wake_at: Instant,
}

/// Input to the evaluation of a model that is not part of the model's own state.
pub(crate) struct EvaluationContext<'a> {
    pub me: &'a Owner,
    pub records: &'a Records,
    pub session: Option<HeldSession>,
    pub settings: &'a ActivationSettings,
    pub session_ttl: Duration,
    pub new_job: &'a str,
    pub jitter: f64,
    pub now: Instant,
}

/// Identifies the start attempt that progress belongs to. Results of calls that concern
/// another attempt are discarded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct AttemptId {
    pub generation: u64,
    pub epoch: u64,
    pub attempt: u32,
}

impl AttemptId {
    pub fn of(record: &ActivationRecord) -> Self {
        let attempt = record.activation().map_or(0, |activation| activation.attempt);
        Self { generation: record.generation, epoch: record.epoch, attempt }
    }
}

/// The state or stage of a record without its data, to detect when a record enters another
/// stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StageKind {
    ScaledToZero,
    Failed,
    Starting,
    Ready,
    Draining,
    Stopping,
}

impl StageKind {
    fn of(record: &ActivationRecord) -> Self {
        match &record.state {
            ModelState::ScaledToZero => Self::ScaledToZero,
            ModelState::Failed { .. } => Self::Failed,
            ModelState::Active(activation) => match activation.stage {
                Stage::Starting => Self::Starting,
                Stage::Ready { .. } => Self::Ready,
                Stage::Draining { .. } => Self::Draining,
                Stage::Stopping { .. } => Self::Stopping,
            },
        }
    }
}

/// What this process knows about the current attempt, and when it learned of it. Not
/// stored: lost with the process.
#[derive(Debug)]
struct Progress {
    attempt: AttemptId,
    attempt_seen_at: Instant,
    job: String,
    stage: StageKind,
    stage_seen_at: Instant,
    requested: Requested,
    observed: Observed,
    replicas_stopped: bool,
    next_probe_at: Instant,
    /// Random number between 0 and 1, drawn for each attempt, so that controllers and
    /// models don't retry at the same time.
    jitter: f64,
    /// When this process first found the owner's session ended; none while it exists.
    owner_gone_at: Option<Instant>,
}

impl Progress {
    fn new(now: Instant) -> Self {
        Self {
            attempt: AttemptId::default(),
            attempt_seen_at: now,
            job: String::new(),
            stage: StageKind::ScaledToZero,
            stage_seen_at: now,
            requested: Requested::No,
            observed: Observed::Unknown,
            replicas_stopped: false,
            next_probe_at: now,
            jitter: 0.0,
            owner_gone_at: None,
        }
    }

    /// Brings the progress up to date with the record.
    fn update(&mut self, record: &ActivationRecord, jitter: f64, now: Instant) {
        let attempt = AttemptId::of(record);
        if attempt != self.attempt {
            *self = Self { attempt, jitter, ..Self::new(now) };
        }
        let job = record.activation().map_or("", |activation| activation.job.as_str());
        if job != self.job {
            self.job = job.to_owned();
            self.requested = Requested::No;
        }
        let stage = StageKind::of(record);
        if stage != self.stage {
            (self.stage, self.stage_seen_at) = (stage, now);
        }
    }
}

/// One model at one controller.
pub(crate) struct Model {
    pub name: String,
    pub settings: ModelSettings,
    /// Notified when local state that the next step depends on has changed.
    pub changed: Notify,
    availability: watch::Sender<Availability>,
    held_requests: AtomicUsize,
    requests_in_progress: AtomicUsize,
    last_request_at: Mutex<Instant>,
    progress: Mutex<Progress>,
    /// Counts forwarded requests, to spread them over the replicas.
    replica_turns: AtomicUsize,
    /// The highest version of this process's use marker whose deletion it tried with an
    /// unknown outcome; 0 if none.
    revoked_marker_version: AtomicU64,
}

/// Counts a request as held until dropped.
pub(crate) struct HeldGuard(Arc<Model>);

impl Drop for HeldGuard {
    fn drop(&mut self) {
        if self.0.held_requests.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.0.changed.notify_one();
        }
    }
}

/// Counts a request as in progress until dropped.
pub(crate) struct InProgressGuard(Arc<Model>);

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.note_request(Instant::now());
        if self.0.requests_in_progress.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.0.changed.notify_one();
        }
    }
}

impl Model {
    pub fn new(name: String, settings: ModelSettings) -> Self {
        let now = Instant::now();
        Self {
            name,
            settings,
            changed: Notify::new(),
            availability: watch::Sender::new(Availability::Unknown),
            held_requests: AtomicUsize::new(0),
            requests_in_progress: AtomicUsize::new(0),
            last_request_at: Mutex::new(now),
            progress: Mutex::new(Progress::new(now)),
            replica_turns: AtomicUsize::new(0),
            revoked_marker_version: AtomicU64::new(0),
        }
    }

    pub fn note_request(&self, now: Instant) {
        *lock(&self.last_request_at) = now;
    }

    pub fn begin_hold(self: &Arc<Self>) -> HeldGuard {
        if self.held_requests.fetch_add(1, Ordering::Relaxed) == 0 {
            self.changed.notify_one();
        }
        HeldGuard(self.clone())
    }

    pub fn begin_request(self: &Arc<Self>) -> InProgressGuard {
        self.requests_in_progress.fetch_add(1, Ordering::Relaxed);
        InProgressGuard(self.clone())
    }

    pub fn held_requests(&self) -> usize {
        self.held_requests.load(Ordering::Relaxed)
    }

    pub fn requests_in_progress(&self) -> usize {
        self.requests_in_progress.load(Ordering::Relaxed)
    }

    pub fn availability(&self) -> Availability {
        self.availability.borrow().clone()
    }

    pub fn watch_availability(&self) -> watch::Receiver<Availability> {
        self.availability.subscribe()
    }

    pub fn publish(&self, availability: Availability) {
        self.availability.send_if_modified(|current| {
            let changed = *current != availability;
            *current = availability;
            changed
        });
    }

    /// Stops relying on use markers of this version or an earlier one.
    pub fn revoke_marker(&self, version: u64) {
        self.revoked_marker_version.fetch_max(version, Ordering::Relaxed);
    }

    /// Returns the number of the next forwarded request. It selects the replica, so that
    /// requests go to the replicas in turn.
    pub fn next_replica_turn(&self) -> usize {
        self.replica_turns.fetch_add(1, Ordering::Relaxed)
    }

    /// Notes the outcome of the request to start this attempt's replicas.
    pub fn note_requested(&self, attempt: AttemptId, requested: Requested) {
        self.note(attempt, |progress| progress.requested = requested);
    }

    /// Notes the result of a probe (none if the probe failed), and schedules the next one.
    pub fn note_observed(&self, attempt: AttemptId, observed: Option<Observed>, now: Instant) {
        let next_probe_at = now + Duration::from_secs_f64(self.settings.look_s);
        self.note(attempt, |progress| {
            progress.next_probe_at = next_probe_at;
            if let Some(observed) = observed {
                progress.observed = observed;
            }
        });
    }

    /// Notes that the replicas were stopped.
    pub fn note_stopped(&self, attempt: AttemptId) {
        self.note(attempt, |progress| progress.replicas_stopped = true);
    }

    fn note(&self, attempt: AttemptId, change: impl FnOnce(&mut Progress)) {
        let mut progress = lock(&self.progress);
        if progress.attempt == attempt {
            change(&mut progress);
        }
    }

    /// Returns the model's record; for a model that was never started, the default record
    /// with version 0.
    pub fn record(&self, records: &Records) -> Versioned<ActivationRecord> {
        let no_record = || Versioned { version: 0, value: ActivationRecord::default() };
        records.get(&record_key(&self.name)).unwrap_or_else(no_record)
    }

    /// Evaluates the model: returns the next step, and what happens to requests meanwhile.
    pub fn plan(&self, context: &EvaluationContext<'_>) -> Plan {
        let EvaluationContext { me, records, session, now, .. } = *context;
        let record = self.record(records);
        let mut progress = lock(&self.progress);
        progress.update(&record.value, context.jitter, now);
        let owner_alive =
            record.value.activation().is_none_or(|activation| records.is_alive(&activation.owner));
        if owner_alive {
            progress.owner_gone_at = None;
        } else {
            progress.owner_gone_at.get_or_insert(now);
        }
        let has_use_marker = session.is_some_and(|session| {
            let marker = records.get::<UseMarker>(&use_marker_key(&self.name, &me.member));
            let revoked = self.revoked_marker_version.load(Ordering::Relaxed);
            // A marker under another lease is one of an earlier session.
            let is_valid = |marker: &Versioned<UseMarker>| {
                marker.value.lease == session.lease && marker.version > revoked
            };
            marker.as_ref().is_some_and(is_valid)
        });
        let deadlines = self.deadlines(&progress, context);
        let elapsed = deadlines.elapsed(now);
        let no_requests = self.held_requests() == 0 && self.requests_in_progress() == 0;
        let idle_at = *lock(&self.last_request_at) + Duration::from_secs_f64(self.settings.idle_s);
        let facts = Facts {
            me,
            record: &record.value,
            session_valid: records.loaded()
                && session.is_some_and(|session| now < session.valid_until),
            owner_alive,
            has_held_requests: self.held_requests() > 0,
            has_use_marker,
            idle_locally: no_requests && now >= idle_at,
            any_use_marker: records.key_suffixes(&use_marker_prefix(&self.name)).next().is_some(),
            requested: &progress.requested,
            observed: &progress.observed,
            replicas_stopped: progress.replicas_stopped,
            elapsed,
            attempts: self.settings.attempts as u32,
            new_job: context.new_job,
        };
        let step = decide(&facts);
        let availability = availability(&facts, deadlines.failure_pause, context);
        let wake_at = deadlines.next_after(now, idle_at, session);
        Plan { step, record, availability, wake_at }
    }

    fn deadlines(&self, progress: &Progress, context: &EvaluationContext<'_>) -> Deadlines {
        let after = |start: Instant, seconds: f64| start + Duration::from_secs_f64(seconds);
        let rank = context.records.rank(&context.me.member);
        let adoption_delay = context.session_ttl / ADOPTION_DELAY_DIVISOR * rank;
        // Jitter shortens the back-off by up to a half.
        let backoff = self.settings.backoff(progress.attempt.attempt);
        let backoff = backoff.mul_f64(0.5 + progress.jitter / 2.0);
        Deadlines {
            backoff: progress.attempt_seen_at + backoff,
            start_timeout: after(progress.attempt_seen_at, self.settings.start_s),
            drain: progress.stage_seen_at + context.settings.drain_time(),
            minimum_uptime: after(progress.stage_seen_at, self.settings.awake_s),
            failure_pause: after(progress.stage_seen_at, self.settings.retry_s),
            probe: progress.next_probe_at,
            adoption: progress.owner_gone_at.map(|gone_at| gone_at + adoption_delay),
        }
    }
}

/// When each timer of [`ElapsedTimers`] elapses.
struct Deadlines {
    backoff: Instant,
    start_timeout: Instant,
    drain: Instant,
    minimum_uptime: Instant,
    failure_pause: Instant,
    probe: Instant,
    adoption: Option<Instant>,
}

impl Deadlines {
    fn elapsed(&self, now: Instant) -> ElapsedTimers {
        ElapsedTimers {
            backoff: now >= self.backoff,
            start_timeout: now >= self.start_timeout,
            drain: now >= self.drain,
            minimum_uptime: now >= self.minimum_uptime,
            failure_pause: now >= self.failure_pause,
            probe: now >= self.probe,
            adoption: self.adoption.is_some_and(|deadline| now >= deadline),
        }
    }

    /// Returns the earliest deadline after `now`.
    fn next_after(&self, now: Instant, idle_at: Instant, session: Option<HeldSession>) -> Instant {
        let fixed = [
            self.backoff,
            self.start_timeout,
            self.drain,
            self.minimum_uptime,
            self.failure_pause,
            self.probe,
        ];
        let deadlines = fixed.into_iter().chain(self.adoption).chain([idle_at]);
        let deadlines = deadlines.chain(session.map(|session| session.valid_until));
        // Without a deadline ahead only a change matters, and changes wake the model's task
        // in any case.
        let max_wait = Duration::from_secs(3600);
        deadlines.filter(|deadline| *deadline > now).min().unwrap_or(now + max_wait)
    }
}

/// Returns what happens to requests. They are forwarded while the model has endpoints, this
/// process has a use marker, and its session is valid or ended less than `outage_s` ago.
fn availability(
    facts: &Facts<'_>,
    failed_until: Instant,
    context: &EvaluationContext<'_>,
) -> Availability {
    let EvaluationContext { session, now, settings, .. } = *context;
    let Some(session) = session else { return Availability::Unknown };
    if let Some(endpoints) = facts.record.ready_endpoints()
        && !endpoints.is_empty()
        && facts.has_use_marker
        && now < session.valid_until + settings.outage_tolerance()
    {
        return Availability::Ready { endpoints: endpoints.into() };
    }
    if !facts.session_valid {
        return Availability::Unknown;
    }
    match facts.record.state {
        ModelState::Failed { .. } if now < failed_until => {
            Availability::Failed { until: failed_until }
        }
        _ => Availability::ColdStarting,
    }
}
