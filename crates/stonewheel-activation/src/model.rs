//! One model at one controller: the requests that wait for it, how far its start is,
//! and what that means for the next step.

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
    planner::{Facts, Observed, Requested, Step, Timers, decide},
    record::{ActivationRecord, ModelState, Stage, UseMarker, record_key, use_key, use_prefix},
    settings::{ActivationSettings, ModelSettings},
};

/// Controllers adopt one after the other, so that they don't all try at once: each
/// leaves this part of a session's time to the one before it.
const ADOPTION_PARTS: u32 = 16;

/// What a request finds.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Availability {
    /// This controller can't know what the model does.
    Unknown,
    /// A start is under way, or about to be: requests are held.
    ColdStarting,
    /// The last start was given up: requests are refused until then.
    Failed { until: Instant },
    /// Requests pass to these.
    Ready { endpoints: Arc<[String]> },
}

/// What one evaluation of a model says.
pub(crate) struct Plan {
    pub step: Step,
    pub record: Versioned<ActivationRecord>,
    pub availability: Availability,
    /// When to evaluate it again if nothing changes.
    pub wake_at: Instant,
}

/// What a controller brings to a plan besides the model's own state.
pub(crate) struct Situation<'a> {
    pub me: &'a Owner,
    pub records: &'a Records,
    pub session: Option<HeldSession>,
    pub settings: &'a ActivationSettings,
    pub session_ttl: Duration,
    pub new_job: &'a str,
    pub jitter: f64,
    pub now: Instant,
}

/// Which attempt the progress belongs to. Whatever is known of another one says
/// nothing of this one.
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

/// What this process knows of the attempt under way, and since when.
#[derive(Debug)]
struct Progress {
    attempt: AttemptId,
    attempt_since: Instant,
    job: String,
    stage: StageKind,
    stage_since: Instant,
    requested: Requested,
    observed: Observed,
    stopped: bool,
    next_probe: Instant,
    /// Drawn for each attempt, so that controllers and models don't retry together.
    jitter: f64,
    owner_gone_since: Option<Instant>,
}

impl Progress {
    fn new(now: Instant) -> Self {
        Self {
            attempt: AttemptId::default(),
            attempt_since: now,
            job: String::new(),
            stage: StageKind::ScaledToZero,
            stage_since: now,
            requested: Requested::No,
            observed: Observed::Unknown,
            stopped: false,
            next_probe: now,
            jitter: 0.0,
            owner_gone_since: None,
        }
    }

    /// Takes over what the record says.
    fn follow(&mut self, record: &ActivationRecord, jitter: f64, now: Instant) {
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
            (self.stage, self.stage_since) = (stage, now);
        }
    }
}

/// One model at one controller.
pub(crate) struct Model {
    pub name: String,
    pub settings: ModelSettings,
    /// Something changed that the next step depends on.
    pub changed: Notify,
    availability: watch::Sender<Availability>,
    held: AtomicUsize,
    in_progress: AtomicUsize,
    last_request: Mutex<Instant>,
    progress: Mutex<Progress>,
    turns: AtomicUsize,
    /// The version of a use marker that this process tried to delete.
    distrusted_marker: AtomicU64,
}

/// Counts a request as held while it lives.
pub(crate) struct Held(Arc<Model>);

impl Drop for Held {
    fn drop(&mut self) {
        if self.0.held.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.0.changed.notify_one();
        }
    }
}

/// Counts a request as in progress while it lives.
pub(crate) struct InProgress(Arc<Model>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.note_request(Instant::now());
        if self.0.in_progress.fetch_sub(1, Ordering::Relaxed) == 1 {
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
            held: AtomicUsize::new(0),
            in_progress: AtomicUsize::new(0),
            last_request: Mutex::new(now),
            progress: Mutex::new(Progress::new(now)),
            turns: AtomicUsize::new(0),
            distrusted_marker: AtomicU64::new(0),
        }
    }

    pub fn note_request(&self, now: Instant) {
        *lock(&self.last_request) = now;
    }

    pub fn hold(self: &Arc<Self>) -> Held {
        if self.held.fetch_add(1, Ordering::Relaxed) == 0 {
            self.changed.notify_one();
        }
        Held(self.clone())
    }

    pub fn begin_request(self: &Arc<Self>) -> InProgress {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgress(self.clone())
    }

    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Relaxed)
    }

    pub fn availability(&self) -> Availability {
        self.availability.borrow().clone()
    }

    pub fn watch(&self) -> watch::Receiver<Availability> {
        self.availability.subscribe()
    }

    pub fn publish(&self, availability: Availability) {
        self.availability.send_if_modified(|held| {
            let changed = *held != availability;
            *held = availability;
            changed
        });
    }

    /// From now on a use marker of this version or before says nothing.
    pub fn distrust_marker(&self, version: u64) {
        self.distrusted_marker.fetch_max(version, Ordering::Relaxed);
    }

    /// Requests go to the replicas in turn.
    pub fn next_turn(&self) -> usize {
        self.turns.fetch_add(1, Ordering::Relaxed)
    }

    /// Notes what became of the request to start this attempt's replicas.
    pub fn note_requested(&self, attempt: AttemptId, requested: Requested) {
        self.note(attempt, |progress| progress.requested = requested);
    }

    /// Notes what was seen of the replicas, and when to probe again.
    pub fn note_observed(&self, attempt: AttemptId, observed: Option<Observed>, now: Instant) {
        let next_probe = now + Duration::from_secs_f64(self.settings.look_s);
        self.note(attempt, |progress| {
            progress.next_probe = next_probe;
            if let Some(observed) = observed {
                progress.observed = observed;
            }
        });
    }

    /// Notes that the replicas were stopped.
    pub fn note_stopped(&self, attempt: AttemptId) {
        self.note(attempt, |progress| progress.stopped = true);
    }

    fn note(&self, attempt: AttemptId, change: impl FnOnce(&mut Progress)) {
        let mut progress = lock(&self.progress);
        if progress.attempt == attempt {
            change(&mut progress);
        }
    }

    /// The model's record, or that of one which never woke, whose version is 0.
    pub fn record(&self, records: &Records) -> Versioned<ActivationRecord> {
        let never = || Versioned { version: 0, value: ActivationRecord::default() };
        records.get(&record_key(&self.name)).unwrap_or_else(never)
    }

    /// What to do now.
    pub fn plan(&self, situation: &Situation<'_>) -> Plan {
        let Situation { me, records, session, now, .. } = *situation;
        let record = self.record(records);
        let mut progress = lock(&self.progress);
        progress.follow(&record.value, situation.jitter, now);
        let owner_alive =
            record.value.activation().is_none_or(|activation| records.is_alive(&activation.owner));
        if owner_alive {
            progress.owner_gone_since = None;
        } else {
            progress.owner_gone_since.get_or_insert(now);
        }
        let marked = session.is_some_and(|session| {
            let marker = records.get::<UseMarker>(&use_key(&self.name, &me.member));
            let distrusted = self.distrusted_marker.load(Ordering::Relaxed);
            let ours = |marker: &Versioned<UseMarker>| {
                marker.value.lease == session.lease && marker.version > distrusted
            };
            marker.as_ref().is_some_and(ours)
        });
        let deadlines = self.deadlines(&progress, situation);
        let timers = deadlines.over(now);
        let quiet = self.held() == 0 && self.in_progress() == 0;
        let idle_at = *lock(&self.last_request) + Duration::from_secs_f64(self.settings.idle_s);
        let facts = Facts {
            me,
            record: &record.value,
            session_valid: records.loaded()
                && session.is_some_and(|session| now < session.valid_until),
            owner_alive,
            wanted: self.held() > 0,
            marked,
            idle_here: quiet && now >= idle_at,
            used: records.key_suffixes(&use_prefix(&self.name)).next().is_some(),
            requested: &progress.requested,
            observed: &progress.observed,
            stopped: progress.stopped,
            timers,
            attempts: self.settings.attempts as u32,
            new_job: situation.new_job,
        };
        let step = decide(&facts);
        let availability = availability(&facts, deadlines.failed, situation);
        let wake_at = deadlines.next(now, idle_at, session);
        Plan { step, record, availability, wake_at }
    }

    fn deadlines(&self, progress: &Progress, situation: &Situation<'_>) -> Deadlines {
        let after = |since: Instant, seconds: f64| since + Duration::from_secs_f64(seconds);
        let rank = situation.records.rank(&situation.me.member);
        let pause = situation.session_ttl / ADOPTION_PARTS * rank;
        // Half of the pause at least, and all of it at most.
        let backoff = self.settings.backoff(progress.attempt.attempt);
        let backoff = backoff.mul_f64(0.5 + progress.jitter / 2.0);
        Deadlines {
            backoff: progress.attempt_since + backoff,
            start: after(progress.attempt_since, self.settings.start_s),
            drain: progress.stage_since + situation.settings.drain(),
            minimum_uptime: after(progress.stage_since, self.settings.awake_s),
            failed: after(progress.stage_since, self.settings.retry_s),
            probe: progress.next_probe,
            adoption: progress.owner_gone_since.map(|since| since + pause),
        }
    }
}

/// When each wait is over.
struct Deadlines {
    backoff: Instant,
    start: Instant,
    drain: Instant,
    minimum_uptime: Instant,
    failed: Instant,
    probe: Instant,
    adoption: Option<Instant>,
}

impl Deadlines {
    fn over(&self, now: Instant) -> Timers {
        Timers {
            backoff: now >= self.backoff,
            start: now >= self.start,
            drain: now >= self.drain,
            minimum_uptime: now >= self.minimum_uptime,
            failed: now >= self.failed,
            probe: now >= self.probe,
            adoption: self.adoption.is_some_and(|at| now >= at),
        }
    }

    /// The next of them that is still to come.
    fn next(&self, now: Instant, idle_at: Instant, session: Option<HeldSession>) -> Instant {
        let fixed =
            [self.backoff, self.start, self.drain, self.minimum_uptime, self.failed, self.probe];
        let waits = fixed.into_iter().chain(self.adoption).chain([idle_at]);
        let waits = waits.chain(session.map(|session| session.valid_until));
        // Changes wake the model's duty by themselves.
        let longest = Duration::from_secs(3600);
        waits.filter(|at| *at > now).min().unwrap_or(now + longest)
    }
}

fn availability(
    facts: &Facts<'_>,
    failed_until: Instant,
    situation: &Situation<'_>,
) -> Availability {
    let Situation { session, now, settings, .. } = *situation;
    let Some(session) = session else { return Availability::Unknown };
    if let Some(endpoints) = facts.record.ready_endpoints()
        && !endpoints.is_empty()
        && facts.marked
        && now < session.valid_until + settings.outage()
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
