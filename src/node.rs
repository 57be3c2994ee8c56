//! One controller: its picture of the records, what it answers users and
//! workers, and the duties that keep it going.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use thiserror::Error;
use tokio::{
    net::TcpListener,
    sync::{Notify, oneshot},
    time::Instant,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tracing::{debug, info, warn};

use crate::{
    admission_limit::AdmissionLimit,
    cloud::{CloudApi, CloudError},
    controller::{Commit, CommitKind, Leader},
    election,
    fleet::{WorkerApi, parse_task},
    http, peers,
    peers::Peers,
    protocol::{
        Condition, DirectOrders, Heartbeat, JobSpec, JobState, JobStatus, MachineId, Op, Order,
        Rental, Report, Shape, TaskReport, TaskState, Told, Write, is_job_id,
    },
    scheduler::{TeamUse, placement, team_room},
    settings::Settings,
    state::{Budget, StateApi, StateError, Writer, lock},
    store::{self, Change, End, Lead, PREFIX, Page, Picture},
};

/// Why a request can't be answered now. All of these are worth a retry.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum Trouble {
    #[error("the state service can't be reached")]
    State,
    #[error("the machine types are not known yet")]
    Types,
}

#[derive(Debug, PartialEq)]
pub enum UserReply {
    Created(JobStatus),
    Known(JobStatus),
    Unknown,
    Malformed(String),
    Impossible(String),
}

#[derive(Debug, PartialEq)]
pub enum ReportReply {
    Orders { token: u64, orders: Vec<Order> },
    Elsewhere(Option<String>),
}

/// Cancellations that one heartbeat carries at most. A leader misses those of
/// a lease of its own at the most, before an outage keeps all from writing.
const TOLD_LIMIT: usize = 1024;

/// The leader's part of a node, while it leads.
struct Term {
    version: u64,
    token: u64,
    /// When the last successful renewal was asked for.
    renewed: Instant,
    /// Built once the picture is as new as the leadership.
    leader: Option<Leader>,
    /// Workers sent to look for another leader, while ours is in doubt.
    probed: HashMap<MachineId, Instant>,
}

pub struct Node {
    pub settings: Arc<Settings>,
    pub state: Arc<dyn StateApi>,
    pub cloud: Arc<dyn CloudApi>,
    pub workers: Arc<dyn WorkerApi>,
    pub requests: Arc<Budget>,
    pub admission: Arc<AdmissionLimit>,
    pub picture: Mutex<Picture>,
    pub peers: Peers,
    /// Told whenever the leadership key or this node's term may have changed.
    pub lead_changed: Notify,
    /// Drawn at each start, so that a node knows its former self from itself.
    pub incarnation: u64,
    rng: Mutex<StdRng>,
    writer: Arc<Writer>,
    term: Mutex<Option<Term>>,
    work: Notify,
    readers: Mutex<Vec<oneshot::Sender<Result<(), Trouble>>>>,
    read_wanted: Notify,
    /// When the state service last answered, and whether it did last time.
    state_seen: Mutex<(Instant, bool)>,
    started: Instant,
    /// Workers answered while nobody can lead, and since when.
    cared: Mutex<HashMap<MachineId, Instant>>,
    /// When a report was last turned away or answered in a leader's stead.
    stray: Mutex<Option<Instant>>,
    /// When the watch last brought that another node turned reports away.
    stray_told: Mutex<Option<Instant>>,
}

impl Node {
    pub fn new(
        settings: Settings,
        state: Arc<dyn StateApi>,
        cloud: Arc<dyn CloudApi>,
        workers: Arc<dyn WorkerApi>,
        seed: u64,
    ) -> Arc<Self> {
        let mut rng = StdRng::seed_from_u64(seed);
        let settings = Arc::new(settings);
        let requests = Arc::new(Budget::new(settings.share(settings.cluster.state.rps, false)));
        let writer = Arc::new(Writer::new(state.clone(), &settings, requests.clone()));
        // Users wait a second at ease; half of a report interval is a ratio
        // to how time runs here.
        let target = settings.report() / 2;
        let ceiling = settings.cluster.quota.fd_limit as usize / 4;
        let incarnation = rng.random();
        Arc::new(Self {
            state,
            cloud,
            workers,
            requests,
            admission: AdmissionLimit::new(target, ceiling),
            picture: Mutex::default(),
            peers: Peers::new(&settings, incarnation),
            settings,
            lead_changed: Notify::new(),
            incarnation,
            rng: Mutex::new(rng),
            writer,
            term: Mutex::new(None),
            work: Notify::new(),
            readers: Mutex::default(),
            read_wanted: Notify::new(),
            state_seen: Mutex::new((Instant::now(), false)),
            started: Instant::now(),
            cared: Mutex::default(),
            stray: Mutex::new(None),
            stray_told: Mutex::new(None),
        })
    }

    /// Runs the node on its two listeners until told to stop.
    pub async fn run(
        self: Arc<Self>,
        public: TcpListener,
        internal: TcpListener,
        stop: CancellationToken,
    ) {
        let duties = self.spawn_duties(&stop);
        duties.spawn(http::server::serve(self.clone(), public, stop.clone()));
        duties.spawn(peers::listen(self.clone(), internal, stop.clone()));
        for member in &self.settings.members {
            duties.spawn(peers::beat(self.clone(), member.clone(), stop.clone()));
        }
        stop.cancelled().await;
        duties.close();
        duties.wait().await;
    }

    /// The duties that need no listener.
    pub fn spawn_duties(self: &Arc<Self>, stop: &CancellationToken) -> TaskTracker {
        let duties = TaskTracker::new();
        duties.spawn(self.writer.clone().run(stop.clone()));
        duties.spawn(until(stop.clone(), watch_duty(self.clone())));
        duties.spawn(until(stop.clone(), read_duty(self.clone())));
        duties.spawn(election::run(self.clone(), stop.clone()));
        duties
    }

    // Users.

    pub async fn submit(&self, body: &[u8]) -> Result<UserReply, Trouble> {
        let spec = match JobSpec::parse(body) {
            Ok(spec) => spec,
            // An accepted job stays accepted, whatever a repeat looks like.
            Err(reason) => match JobSpec::id_of(body) {
                Some(id) => {
                    let known = self.status(&id).await?;
                    let unknown = known == UserReply::Unknown;
                    return Ok(if unknown { UserReply::Malformed(reason) } else { known });
                }
                None => return Ok(UserReply::Malformed(reason)),
            },
        };
        let known = lock(&self.picture).status(&spec.id);
        match known {
            Some(status) if final_state(&status) => return Ok(UserReply::Known(status)),
            Some(_) => return self.status(&spec.id).await,
            None => {}
        }
        if let Some(reason) = self.impossible(&spec)? {
            // A job accepted elsewhere must never be called impossible.
            self.fresh().await?;
            let known = lock(&self.picture).status(&spec.id);
            return Ok(known.map_or(UserReply::Impossible(reason), UserReply::Known));
        }
        let Ok(value) = store::value(&spec) else {
            return Ok(UserReply::Malformed("can't be stored".into()));
        };
        if value.get().len() as f64 > self.settings.cluster.state.value_kb * 1024.0 {
            return Ok(UserReply::Malformed("its description is too long".into()));
        }
        let key = store::job_key(&spec.id);
        let conditions = vec![
            Condition { key: key.clone(), version: 0 },
            Condition { key: store::end_key(&spec.id), version: 0 },
        ];
        let writes = vec![Write::Put { key, value, lease: None }];
        match self.writer.commit(conditions, writes.clone()).await {
            Ok(revision) => {
                self.note_writes(&writes, revision);
                info!(job = %spec.id, class = %spec.class, team = %spec.team, tasks = spec.tasks, "accepted");
                let state = JobState::Pending;
                let id = spec.id;
                Ok(UserReply::Created(JobStatus { id, state, done: 0, running: 0 }))
            }
            Err(StateError::Refused(_)) => Err(Trouble::State),
            // Somebody created it, maybe an earlier try of ours.
            Err(_) => match self.status(&spec.id).await? {
                // Unsure, and not there: it may still appear; the retry tells.
                UserReply::Unknown => Err(Trouble::State),
                reply => Ok(reply),
            },
        }
    }

    /// Why a job can never run, if so.
    fn impossible(&self, spec: &JobSpec) -> Result<Option<String>, Trouble> {
        let Some(team) = self.settings.team(&spec.team) else {
            return Ok(Some("no such team".into()));
        };
        let types = lock(&self.picture).types.clone().ok_or(Trouble::Types)?.1;
        let zone = |t: &crate::protocol::MachineType| {
            spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
        };
        if !types.iter().any(|t| placement::allows(spec, t, false) && zone(t)) {
            return Ok(Some("a task fits no allowed machine type".into()));
        }
        let needed = if spec.shape == Shape::Array { 1 } else { spec.tasks };
        if team_room(Some(team), &TeamUse::default(), spec) < needed {
            return Ok(Some("needs more than its team's limit".into()));
        }
        Ok(None)
    }

    /// A final state may come from the picture; anything else only from one
    /// that reached a revision read after the question.
    pub async fn status(&self, id: &str) -> Result<UserReply, Trouble> {
        if !is_job_id(id) {
            return Ok(UserReply::Unknown);
        }
        let known = lock(&self.picture).status(id);
        if let Some(status) = known.filter(final_state) {
            return Ok(UserReply::Known(status));
        }
        self.fresh().await?;
        let known = lock(&self.picture).status(id);
        Ok(known.map_or(UserReply::Unknown, UserReply::Known))
    }

    pub async fn cancel(&self, id: &str) -> Result<UserReply, Trouble> {
        let status = match self.status(id).await? {
            UserReply::Known(status) if !final_state(&status) => status,
            reply => return Ok(reply),
        };
        let Some(version) = lock(&self.picture).jobs.get(id).map(|j| j.version) else {
            return Err(Trouble::State);
        };
        let key = store::end_key(id);
        let end = End { state: JobState::Cancelled, done: status.done };
        let Ok(value) = store::value(&end) else { return Err(Trouble::State) };
        let conditions = vec![
            Condition { key: key.clone(), version: 0 },
            Condition { key: store::job_key(id), version },
        ];
        let writes = vec![Write::Put { key, value, lease: None }];
        match self.writer.commit(conditions, writes.clone()).await {
            Ok(revision) => {
                info!(job = id, "cancelled");
                self.note_writes(&writes, revision);
                let known = lock(&self.picture).status(id);
                known.map(UserReply::Known).ok_or(Trouble::State)
            }
            Err(StateError::Refused(_)) => Err(Trouble::State),
            // It may have ended otherwise, or our write may still come.
            Err(_) => match self.status(id).await? {
                UserReply::Known(status) if final_state(&status) => Ok(UserReply::Known(status)),
                _ => Err(Trouble::State),
            },
        }
    }

    /// Healthy unless it never saw the records, or alone lost the state
    /// service: in an outage that all share, other nodes are no better.
    pub fn healthy(&self) -> bool {
        if !lock(&self.picture).loaded {
            return false;
        }
        self.state_ok()
            || !self.peers.any(self.settings.leader_lease(), |heartbeat| heartbeat.state_ok)
    }

    fn state_ok(&self) -> bool {
        let (at, ok) = *lock(&self.state_seen);
        ok && at.elapsed() < self.settings.leader_lease()
    }

    // Workers.

    pub fn report(&self, report: &Report) -> ReportReply {
        let reply = self.report_as_leader(report);
        match reply {
            Some(reply) => {
                self.work.notify_one();
                reply
            }
            None => {
                *lock(&self.stray) = Some(Instant::now());
                if let Some(reply) = self.take_care(report, Instant::now()) {
                    return reply;
                }
                let picture = lock(&self.picture);
                let lead = picture.lead.as_ref().map(|(_, lead)| lead.member.clone());
                ReportReply::Elsewhere(lead.filter(|m| *m != self.settings.member))
            }
        }
    }

    fn report_as_leader(&self, report: &Report) -> Option<ReportReply> {
        let now = Instant::now();
        let mut term = lock(&self.term);
        let held = term.as_mut()?;
        let in_doubt = now.saturating_duration_since(held.renewed) > self.settings.leader_lease();
        let leader = held.leader.as_mut()?;
        let mut away = false;
        if in_doubt {
            // Another leader may be there by now, and a worker that stays
            // with us would never learn of it. It is sent to look once in a
            // while; if nobody else leads, it is back well within its lease.
            let every = self.settings.worker_lease() / 2;
            let probed = held.probed.entry(report.machine.clone()).or_insert(held.renewed);
            if now.saturating_duration_since(*probed) > every {
                *probed = now;
                away = true;
            }
        }
        away |= !self.knows_enough(now);
        // All are sent away in one second, and a leader that seemed to have
        // lost them would give way, in an outage to nobody.
        let heard = if away {
            leader.send_away(report, now).map(|()| ReportReply::Elsewhere(None))
        } else {
            let token = held.token;
            leader.on_report(report, now).map(|orders| ReportReply::Orders { token, orders })
        };
        Some(heard.unwrap_or_else(|_| {
            self.depose(&mut term);
            ReportReply::Elsewhere(None)
        }))
    }

    /// Answers a worker while nobody can lead, see `caretaking.rs`.
    fn take_care(&self, report: &Report, now: Instant) -> Option<ReportReply> {
        let limit = self.settings.caretaking_limit();
        let until = match lock(&self.peers.horizon).last_read() {
            Some(at) => at + limit,
            // This process knows nothing of the time before it: half of the
            // limit is left for that.
            None => self.started + limit / 2,
        };
        let mut cared = lock(&self.cared);
        let may = !self.state_ok()
            && now < until
            && report.token > 0
            && lock(&self.term).is_none()
            && lock(&self.peers.promises).free(now);
        if !may {
            cared.clear();
            return None;
        }
        // A leader may be there that only this node can't hear, so workers
        // are sent to look for it once in a while.
        let since = *cared.entry(report.machine.clone()).or_insert(now);
        if now > since + self.settings.worker_lease() / 2 {
            cared.remove(&report.machine);
            return None;
        }
        // A job whose end is known is stopped: that is right under any token.
        let picture = lock(&self.picture);
        let ended = |t: &&TaskReport| {
            let job = parse_task(&t.task).and_then(|(job, _)| picture.ends.get(&job).copied());
            t.state != TaskState::Exited && job.is_some_and(|e| e.state == JobState::Cancelled)
        };
        let stop = |t: &TaskReport| Order {
            op: Op::Stop,
            task: t.task.clone(),
            attempt: t.attempt,
            grace_s: Some(0.0),
        };
        let orders = report.tasks.iter().filter(ended).map(stop).collect();
        Some(ReportReply::Orders { token: report.token, orders })
    }

    /// Whether a leader may renew workers' leases: not if another controller
    /// may have told users of cancellations that this one knows nothing of and
    /// that could then outlive `cancel_s`. While its own lease lasts a leader
    /// always may, whatever the settings allow.
    fn knows_enough(&self, now: Instant) -> bool {
        let limit = self.settings.caretaking_limit().max(self.settings.leader_lease());
        let members = self.settings.members.iter().map(|m| m.member.as_str());
        let known = lock(&self.peers.horizon).of(members);
        self.settings.members.is_empty() || known.is_some_and(|at| now < at + limit)
    }

    fn depose(&self, term: &mut Option<Term>) {
        if let Some(held) = term.take() {
            warn!(token = held.token, "a worker has seen a higher token");
            self.lead_changed.notify_one();
        }
    }

    /// Takes the answer to direct orders, or that none came.
    fn take_direct(
        &self,
        version: u64,
        id: &MachineId,
        orders: &DirectOrders,
        answer: Option<&Report>,
    ) {
        let mut term = lock(&self.term);
        let leader = term.as_mut().filter(|t| t.version == version).and_then(|t| t.leader.as_mut());
        let result = leader.map(|l| l.on_direct(id, orders, answer, Instant::now()));
        if result.is_some_and(|r| r.is_err()) {
            self.depose(&mut term);
        }
        self.work.notify_one();
    }

    // Between controllers.

    pub fn heartbeat(&self, to: &str) -> Heartbeat {
        let (mark, echo) = lock(&self.peers.promises).beat(to, Instant::now());
        let (leads, state_ok) = (lock(&self.term).is_some(), self.state_ok());
        let picture = lock(&self.picture);
        // A picture that was never read knows nothing of what a former process
        // of this member told.
        let told = echo.filter(|_| picture.loaded).map(|(_, since)| {
            let (jobs, all) = picture.cancelled_since(since, TOLD_LIMIT);
            Told { since, all, jobs }
        });
        Heartbeat {
            member: self.settings.member.clone(),
            mark,
            echo: echo.map(|(mark, _)| mark),
            leads,
            token: picture.token.1,
            state_ok,
            // Told to every member alike: counted once for whoever was told
            // first, it never reached the leader that needed it.
            strays: self.strayed(),
            revision: picture.revision,
            told,
        }
    }

    /// Whether this node turned a report away lately.
    fn strayed(&self) -> bool {
        lock(&self.stray).is_some_and(|at| at.elapsed() < self.settings.report() * 2)
    }

    /// Whether workers report to another controller, but not to this one.
    pub fn hears_less(&self) -> bool {
        !self.strayed() && self.peers.any(self.settings.report() * 2, |heartbeat| heartbeat.strays)
    }

    /// Tells a leader through the state service that workers live, if no
    /// heartbeat can: connections between the controllers may be refused while
    /// the leader loses its workers.
    pub async fn tell_stray(&self) {
        let heard = self.peers.any(self.settings.leader_lease(), |heartbeat| heartbeat.leads);
        if heard || !self.strayed() || !self.state_ok() {
            return;
        }
        if let Ok(value) = store::value(&self.settings.member) {
            let put = Write::Put { key: store::STRAY.into(), value, lease: None };
            let _ = self.writer.commit(Vec::new(), vec![put]).await;
        }
    }

    pub fn on_heartbeat(&self, heartbeat: Heartbeat) {
        let mut term = lock(&self.term);
        if term.as_ref().is_some_and(|t| t.token < heartbeat.token) {
            warn!(member = %heartbeat.member, token = heartbeat.token, "another controller leads");
            *term = None;
            self.lead_changed.notify_one();
        }
        drop(term);
        self.take_told(heartbeat.told.as_ref());
        let revision = lock(&self.picture).revision;
        self.peers.note(heartbeat, revision);
    }

    /// Takes in what another controller may have told users: those ends are
    /// durable, though the state service may not let this one see them.
    fn take_told(&self, told: Option<&Told>) {
        let mut changes = Vec::new();
        for (id, version, done) in told.into_iter().flat_map(|told| &told.jobs) {
            let end = End { state: JobState::Cancelled, done: *done };
            if let Ok(value) = store::value(&end) {
                changes.extend(lock(&self.picture).put(&store::end_key(id), value, *version));
            }
        }
        self.dispatch(&changes);
    }

    // Leadership.

    /// A random share of `most`, so that nodes don't act at the same instant.
    pub fn jitter(&self, most: Duration) -> Duration {
        most.mul_f64(lock(&self.rng).random_range(0.0..1.0))
    }

    pub fn is_me(&self, lead: &Lead) -> bool {
        lead.member == self.settings.member && lead.incarnation == self.incarnation
    }

    pub fn begin_term(&self, version: u64, token: u64) {
        lock(&self.peers.promises).begin_term();
        *lock(&self.term) = Some(Term {
            version,
            token,
            renewed: Instant::now(),
            leader: None,
            probed: HashMap::new(),
        });
        let limits = &self.settings.cluster.state;
        self.requests.set_rate(self.settings.share(limits.rps, true));
        self.writer.set_write_rate(self.settings.share(limits.write_rps, true));
    }

    pub fn end_term(&self, version: u64) {
        let mut term = lock(&self.term);
        if term.as_ref().is_some_and(|t| t.version == version) {
            *term = None;
        }
        let limits = &self.settings.cluster.state;
        self.requests.set_rate(self.settings.share(limits.rps, false));
        self.writer.set_write_rate(self.settings.share(limits.write_rps, false));
    }

    pub fn renewed(&self, version: u64, asked: Instant) {
        if let Some(term) = lock(&self.term).as_mut().filter(|t| t.version == version) {
            term.renewed = asked;
            term.probed.clear();
        }
    }

    /// Whether this term still stands, as far as this node knows.
    pub fn leads(&self, version: u64) -> bool {
        let held = lock(&self.picture).lead.as_ref().is_some_and(|(v, _)| *v == version);
        held && lock(&self.term).as_ref().is_some_and(|t| t.version == version)
    }

    /// Whether the workers seem alive, but not to this node.
    pub fn deserted(&self, version: u64) -> bool {
        let silent =
            self.with_leader(version, |leader| leader.deserted(Instant::now())).unwrap_or(false);
        let lately = self.settings.report() * 2;
        let told = lock(&self.stray_told).is_some_and(|at| at.elapsed() < lately);
        silent && (told || self.peers.any(lately, |heartbeat| heartbeat.strays))
    }

    fn with_leader<T>(&self, version: u64, work: impl FnOnce(&mut Leader) -> T) -> Option<T> {
        let mut term = lock(&self.term);
        let held = term.as_mut().filter(|t| t.version == version)?;
        held.leader.as_mut().map(work)
    }

    fn in_doubt(&self) -> bool {
        let ttl = self.settings.leader_lease();
        lock(&self.term).as_ref().is_none_or(|t| t.renewed.elapsed() > ttl)
    }

    // The picture.

    /// Notes committed writes at once, before the watch brings them.
    pub fn note_writes(&self, writes: &[Write], revision: u64) {
        let changes: Vec<Change> = {
            let mut picture = lock(&self.picture);
            let note = |write: &Write| match write {
                Write::Put { key, value, .. } => picture.put(key, value.clone(), revision),
                Write::Delete { key } => picture.delete(key, revision),
            };
            writes.iter().filter_map(note).collect()
        };
        self.dispatch(&changes);
    }

    fn dispatch(&self, changes: &[Change]) {
        if changes.is_empty() {
            return;
        }
        if changes.contains(&Change::Lead) {
            self.lead_changed.notify_one();
        }
        if changes.contains(&Change::Stray) {
            *lock(&self.stray_told) = Some(Instant::now());
        }
        let picture = lock(&self.picture);
        if let Some(leader) = lock(&self.term).as_mut().and_then(|t| t.leader.as_mut()) {
            leader.on_changes(changes, &picture, Instant::now());
            self.work.notify_one();
        }
    }

    fn take_events(&self, events: crate::protocol::Events) {
        let changes = lock(&self.picture).apply(events.events, events.revision);
        self.dispatch(&changes);
    }

    /// Waits until the picture has reached a revision read after this call.
    /// All who wait share one read.
    pub async fn fresh(&self) -> Result<(), Trouble> {
        let (done, answer) = oneshot::channel();
        lock(&self.readers).push(done);
        self.read_wanted.notify_one();
        answer.await.unwrap_or(Err(Trouble::State))
    }

    /// Notes how a reading went that was asked for at `asked`.
    fn note_state(&self, asked: Instant, ok: bool) {
        if ok {
            lock(&self.peers.horizon).read(asked);
        }
        *lock(&self.state_seen) = (Instant::now(), ok);
    }

    /// Reads all records. The list takes several requests, so it is only as
    /// new as its first page; the watch goes on from there.
    async fn load(&self) -> Result<(), StateError> {
        let mut items = Vec::new();
        let mut since = String::new();
        let mut revision = None;
        loop {
            self.requests.take(1.0).await;
            let page = self.state.list(PREFIX, &since).await?;
            revision.get_or_insert(page.revision);
            if let Some(last) = page.items.last() {
                since.clone_from(&last.key);
            }
            let more = page.more && !page.items.is_empty();
            items.extend(page.items);
            if !more {
                break;
            }
        }
        let changes = lock(&self.picture).replace(items, revision.unwrap_or(0));
        self.dispatch(&changes);
        Ok(())
    }
}

fn final_state(status: &JobStatus) -> bool {
    matches!(status.state, JobState::Done | JobState::Cancelled)
}

async fn until(stop: CancellationToken, duty: impl Future<Output = ()>) {
    tokio::select! {
        () = duty => {}
        () = stop.cancelled() => {}
    }
}

/// Keeps the picture warm.
async fn watch_duty(node: Arc<Node>) {
    let pause = node.settings.state_timeout() / 4;
    let wait = node.settings.worker_lease();
    // Changes that come close together are fetched together.
    let spacing =
        Duration::from_secs_f64(2.0 / node.settings.share(node.settings.cluster.state.rps, false));
    loop {
        while !lock(&node.picture).loaded {
            let asked = Instant::now();
            match node.load().await {
                Ok(()) => {
                    node.note_state(asked, true);
                    info!(revision = lock(&node.picture).revision, "records loaded");
                }
                Err(error) => {
                    node.note_state(asked, false);
                    debug!(%error, "the records can't be read");
                    tokio::time::sleep(pause).await;
                }
            }
        }
        let revision = lock(&node.picture).revision;
        node.requests.take(1.0).await;
        let asked = Instant::now();
        match node.state.follow(PREFIX, revision, wait).await {
            Ok(events) => {
                node.take_events(events);
                tokio::time::sleep(spacing.saturating_sub(asked.elapsed())).await;
            }
            Err(StateError::TooOld) => lock(&node.picture).loaded = false,
            Err(error) => {
                debug!(%error, "watch");
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// Answers those who need a fresh picture, all who wait by one read. It also
/// reads by itself now and then, to know whether the service answers.
async fn read_duty(node: Arc<Node>) {
    let idle = node.settings.leader_lease() / 4;
    let spacing =
        Duration::from_secs_f64(2.0 / node.settings.share(node.settings.cluster.state.rps, false));
    loop {
        let _ = tokio::time::timeout(idle, node.read_wanted.notified()).await;
        let (loaded, revision) = {
            let picture = lock(&node.picture);
            (picture.loaded, picture.revision)
        };
        let waiting = std::mem::take(&mut *lock(&node.readers));
        let result = if loaded {
            node.requests.take(1.0).await;
            let asked = Instant::now();
            let answer = node.state.follow(PREFIX, revision, Duration::ZERO).await;
            let ok = answer.is_ok();
            let result = match answer {
                Ok(events) => {
                    node.take_events(events);
                    Ok(())
                }
                Err(StateError::TooOld) => {
                    lock(&node.picture).loaded = false;
                    Err(Trouble::State)
                }
                Err(_) => Err(Trouble::State),
            };
            // Only once the picture holds what was read.
            node.note_state(asked, ok);
            result
        } else {
            Err(Trouble::State)
        };
        for reader in waiting {
            let _ = reader.send(result);
        }
        tokio::time::sleep(spacing).await;
    }
}

/// What a leader does for as long as its term stands.
pub async fn lead_duty(node: Arc<Node>, version: u64, stop: CancellationToken) {
    let work = TaskTracker::new();
    tokio::select! {
        () = lead(&node, version, &work, &stop) => {}
        () = stop.cancelled() => {}
    }
    work.close();
    work.wait().await;
}

async fn lead(node: &Arc<Node>, version: u64, work: &TaskTracker, stop: &CancellationToken) {
    let report = node.settings.report();
    // The picture must hold every write of the former leaders.
    while node.fresh().await.is_err() {
        tokio::time::sleep(report / 8).await;
    }
    {
        let picture = lock(&node.picture);
        let mut term = lock(&node.term);
        let Some(held) = term.as_mut().filter(|t| t.version == version) else { return };
        let leader =
            Leader::new(node.settings.clone(), version, held.token, &picture, Instant::now());
        info!(token = held.token, "{}", leader.summary(Instant::now()));
        held.leader = Some(leader);
    }
    work.spawn(until(stop.clone(), cloud_duty(node.clone(), version)));
    let mut told = Instant::now();
    loop {
        let _ = tokio::time::timeout(report / 4, node.work.notified()).await;
        let now = Instant::now();
        let paused = node.in_doubt();
        let alone = lock(&node.peers.promises).alone_since(now);
        let due = {
            let picture = lock(&node.picture);
            node.with_leader(version, |leader| {
                leader.tick(now, paused, alone);
                leader.took(now, now.elapsed());
                if told + report * 10 < now {
                    told = now;
                    info!("{}", leader.summary(now));
                    if leader.outnumbered() {
                        warn!("cluster.quota.fd_limit: more machines than sockets for them");
                    }
                }
                let commits =
                    if leader.has_writes() { leader.take_commits(&picture) } else { Vec::new() };
                let direct = leader.take_direct(now);
                (commits, direct, leader.take_rentals(), leader.take_deletions())
            })
        };
        let Some((commits, direct, rentals, deletions)) = due else { return };
        for commit in commits {
            work.spawn(until(stop.clone(), carry(node.clone(), version, commit)));
        }
        for (id, addr, orders) in direct {
            work.spawn(until(stop.clone(), prompt(node.clone(), version, id, addr, orders)));
        }
        for rental in rentals {
            work.spawn(until(stop.clone(), rent(node.clone(), version, rental)));
        }
        if !deletions.is_empty() {
            work.spawn(until(stop.clone(), give_back(node.clone(), version, deletions)));
        }
        // Whatever comes within this time is handled together.
        tokio::time::sleep(report / 100).await;
    }
}

/// Sees one write through: committed for certain, or certainly to be redone.
async fn carry(node: Arc<Node>, version: u64, commit: Commit) {
    let pause = node.settings.state_timeout() / 4;
    loop {
        let result = node.writer.commit(commit.conditions.clone(), commit.writes.clone()).await;
        match result {
            Ok(revision) => {
                node.note_writes(&commit.writes, revision);
                break settle(&node, version, commit.kind, true);
            }
            Err(StateError::Refused(_)) => tokio::time::sleep(pause).await,
            Err(error) => {
                debug!(%error, "a write is unsure or failed");
                while node.fresh().await.is_err() {
                    tokio::time::sleep(pause).await;
                }
                let stands = stands(&node, &commit.kind);
                break settle(&node, version, commit.kind, stands);
            }
        }
    }
}

/// Whether the fresh picture shows what the write was to bring about.
fn stands(node: &Node, kind: &CommitKind) -> bool {
    let picture = lock(&node.picture);
    match kind {
        CommitKind::Page { job, page, content } => picture
            .pages
            .get(job)
            .and_then(|pages| pages.get(page))
            .and_then(|entry| serde_json::from_str::<Page>(entry.raw.get()).ok())
            .is_some_and(|held| held == *content),
        CommitKind::End { job } => !picture.jobs.contains_key(job),
        CommitKind::Types => false,
    }
}

fn settle(node: &Node, version: u64, kind: CommitKind, committed: bool) {
    let picture = lock(&node.picture);
    let now = Instant::now();
    node.with_leader(version, |leader| {
        if committed {
            leader.committed(&kind, &picture, now);
        } else {
            leader.not_committed(kind, &picture, now);
        }
    });
    node.work.notify_one();
}

/// Sends orders to a worker's own address.
async fn prompt(node: Arc<Node>, version: u64, id: MachineId, addr: String, orders: DirectOrders) {
    let answer = node.workers.command(&addr, orders.clone()).await;
    if let Err(error) = &answer {
        debug!(machine = %id, %error, "direct orders");
    }
    node.take_direct(version, &id, &orders, answer.as_ref().ok());
}

async fn rent(node: Arc<Node>, version: u64, rental: Rental) {
    loop {
        let answer = match node.cloud.rent(rental.clone()).await {
            Ok(machines) => Some(machines),
            Err(CloudError::NoCapacity) => None,
            Err(error) => {
                // The same name again: if it was carried out, nothing is
                // rented twice.
                debug!(%error, request = %rental.request, "rental");
                tokio::time::sleep(node.settings.report()).await;
                continue;
            }
        };
        node.with_leader(version, |leader| leader.rented(&rental, answer, Instant::now()));
        return node.work.notify_one();
    }
}

async fn give_back(node: Arc<Node>, version: u64, machines: Vec<MachineId>) {
    match node.cloud.delete(machines.clone()).await {
        Ok(()) => {
            node.with_leader(version, |leader| leader.deleted(&machines, Instant::now()));
        }
        Err(error) => {
            debug!(%error, "deletion");
            tokio::time::sleep(node.settings.report()).await;
            node.with_leader(version, |leader| leader.not_deleted(machines));
        }
    }
    node.work.notify_one();
}

/// Reads the machine types and the machine list again and again.
async fn cloud_duty(node: Arc<Node>, version: u64) {
    // The list is as old as its lag; reading it more often than that tells
    // little, and never more than a few times per report interval.
    let every = Duration::from_secs_f64(node.settings.cluster.cloud.list_lag_s / 2.0)
        .max(node.settings.report() * 3);
    let mut types_due = Instant::now();
    loop {
        if types_due <= Instant::now() {
            match node.cloud.machine_types().await {
                Ok(types) => {
                    node.with_leader(version, |leader| leader.on_types(types));
                    types_due = Instant::now() + every * 10;
                    node.work.notify_one();
                }
                Err(error) => {
                    debug!(%error, "machine types");
                    types_due = Instant::now() + every / 4;
                }
            }
        }
        let mut since = String::new();
        loop {
            match node.cloud.list(&since).await {
                Ok(list) => {
                    if let Some(last) = list.machines.last() {
                        since = last.id.to_string();
                    }
                    let now = Instant::now();
                    node.with_leader(version, |leader| leader.on_list(&list.machines, now));
                    if !list.more || list.machines.is_empty() {
                        break;
                    }
                }
                Err(error) => {
                    debug!(%error, "machine list");
                    break;
                }
            }
        }
        let pause = every.min(types_due.saturating_duration_since(Instant::now()));
        tokio::time::sleep(pause.max(node.settings.report() / 2)).await;
    }
}
