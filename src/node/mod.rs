//! One controller: its watch cache, what it answers users and
//! workers, and the duties that keep it going.
//!
//! `users`, `workers` and `links` answer each of these; `records` keeps the
//! watch cache; `leading` carries out what a leader's duty decides, with `cloud_loop`
//! for the cloud.

mod candidate;
mod cloud_loop;
mod internal_jobs;
mod leading;
mod links;
mod records;
mod requests;
mod users;
mod workers;

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    net::TcpListener,
    sync::{Notify, oneshot},
    time::Instant,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    admission_limit::AdmissionLimit,
    cloud::CloudApi,
    controller::{Leader, LendingView, WorkCounters},
    election,
    fencing::TermTokens,
    http, peers,
    peers::Peers,
    protocol::{JobId, MachineId},
    scheduler::Reservation,
    settings::Settings,
    state::{self, Budget, StateApi, Writer, lock},
    store::WatchCache,
    worker_client::WorkerApi,
};

pub use crate::replies::{HeartbeatReply, Unavailable, UserReply};
pub use internal_jobs::InternalJobReply;

/// The leader's part of a node, while it leads.
struct Term {
    version: u64,
    tokens: TermTokens,
    /// When the last successful renewal was asked for.
    renewed: Instant,
    /// Built once the watch cache is as new as the leadership.
    leader: Option<Leader>,
    /// Workers sent to look for another leader, while ours is in doubt.
    probed: HashMap<MachineId, Instant>,
    /// Leases are not renewed, since cancellations may be unknown.
    withholds_renewals: bool,
}

pub struct Node {
    pub settings: Arc<Settings>,
    pub state: Arc<dyn StateApi>,
    pub cloud: Arc<dyn CloudApi>,
    pub workers: Arc<dyn WorkerApi>,
    pub requests: Arc<Budget>,
    pub admission: Arc<AdmissionLimit>,
    pub watch_cache: Mutex<WatchCache>,
    pub peers: Peers,
    /// Notified whenever the leadership key or this node's term may have changed.
    pub leadership_changed: Notify,
    /// Drawn at each start, so that a node knows its former self from itself.
    pub incarnation: u64,
    rng: Mutex<StdRng>,
    writer: Arc<Writer>,
    term: Mutex<Option<Term>>,
    work: Notify,
    readers: Mutex<Vec<oneshot::Sender<Result<(), Unavailable>>>>,
    read_wanted: Notify,
    /// When the state service last answered, and whether it did last time.
    state_seen: Mutex<(Instant, bool)>,
    started: Instant,
    /// Workers answered while nobody can lead, and since when.
    renewed_workers: Mutex<HashMap<MachineId, Instant>>,
    /// When a heartbeat was last turned away or answered in a leader's stead.
    heartbeat_rejected_at: Mutex<Option<Instant>>,
    /// For ended jobs that still have records: the earliest time at which their
    /// users may have been told.
    confirmed_since: Mutex<HashMap<JobId, Instant>>,
    /// When the watch last brought that another node turned reports away.
    heartbeat_rejected_elsewhere_at: Mutex<Option<Instant>>,
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
        let requests =
            Arc::new(Budget::new(settings.share(settings.state_limits().requests_per_s, false)));
        let writer = Arc::new(state::writer(state.clone(), &settings, requests.clone()));
        // Users wait a second at ease; half of a heartbeat interval is a ratio
        // to how time runs here.
        let target = settings.heartbeat_interval() / 2;
        let ceiling = settings.cluster.quota.fd_limit as usize / 4;
        let incarnation = rng.random();
        let members = settings.members.iter().map(|m| m.member.clone()).collect();
        Arc::new(Self {
            state,
            cloud,
            workers,
            requests,
            admission: AdmissionLimit::new(target, ceiling),
            watch_cache: Mutex::new(WatchCache::with_notice_limit(
                settings.noticed_cancellations(),
            )),
            peers: Peers::new(members, settings.renewal_abstention(), incarnation),
            settings,
            leadership_changed: Notify::new(),
            incarnation,
            rng: Mutex::new(rng),
            writer,
            term: Mutex::new(None),
            work: Notify::new(),
            readers: Mutex::default(),
            read_wanted: Notify::new(),
            state_seen: Mutex::new((Instant::now(), false)),
            started: Instant::now(),
            renewed_workers: Mutex::default(),
            heartbeat_rejected_at: Mutex::new(None),
            confirmed_since: Mutex::default(),
            heartbeat_rejected_elsewhere_at: Mutex::new(None),
        })
    }

    /// Runs the node on its two listeners until told to stop.
    pub async fn run(
        self: Arc<Self>,
        public: TcpListener,
        internal: TcpListener,
        stop: CancellationToken,
    ) {
        let duties = self.spawn_background_tasks(&stop);
        let limits = requests::server_limits(&self.settings);
        duties.spawn(http::server::serve(self.clone(), limits, public, stop.clone()));
        duties.spawn(peers::listen(self.clone(), internal, stop.clone()));
        for member in &self.settings.members {
            let (name, endpoint) = (member.member.clone(), member.endpoint);
            duties.spawn(peers::send_heartbeats(self.clone(), name, endpoint, stop.clone()));
        }
        stop.cancelled().await;
        duties.close();
        duties.wait().await;
    }

    /// The duties that need no listener.
    pub fn spawn_background_tasks(self: &Arc<Self>, stop: &CancellationToken) -> TaskTracker {
        let duties = TaskTracker::new();
        duties.spawn(self.writer.clone().run(stop.clone()));
        duties.spawn(until(stop.clone(), records::run_watch(self.clone())));
        duties.spawn(until(stop.clone(), records::run_reads(self.clone())));
        duties.spawn(election::run(self.clone(), stop.clone()));
        duties
    }

    /// What all parts of this controller write through.
    pub fn writer(&self) -> Arc<Writer> {
        self.writer.clone()
    }

    /// The names of the other controllers.
    fn other_members(&self) -> impl Iterator<Item = &str> {
        self.settings.members.iter().map(|member| member.member.as_str())
    }

    /// Healthy unless it never saw the records, or alone lost the state
    /// service: in an outage that all share, other nodes are no better.
    pub fn healthy(&self) -> bool {
        if !lock(&self.watch_cache).loaded {
            return false;
        }
        self.state_ok()
            || !self.peers.any_recent(self.settings.leader_lease(), |heartbeat| heartbeat.state_ok)
    }

    fn state_ok(&self) -> bool {
        let (at, ok) = *lock(&self.state_seen);
        ok && at.elapsed() < self.settings.leader_lease()
    }

    // Leadership.

    pub fn begin_term(&self, version: u64, tokens: TermTokens) {
        lock(&self.peers.abstentions).begin_term();
        *lock(&self.term) = Some(Term {
            version,
            tokens,
            renewed: Instant::now(),
            leader: None,
            probed: HashMap::new(),
            withholds_renewals: false,
        });
        let limits = self.settings.state_limits();
        self.requests.set_rate(self.settings.share(limits.requests_per_s, true));
        self.writer.set_write_rate(self.settings.share(limits.writes_per_s, true));
    }

    pub fn end_term(&self, version: u64) {
        let mut term = lock(&self.term);
        if term.as_ref().is_some_and(|t| t.version == version) {
            *term = None;
        }
        let limits = self.settings.state_limits();
        self.requests.set_rate(self.settings.share(limits.requests_per_s, false));
        self.writer.set_write_rate(self.settings.share(limits.writes_per_s, false));
    }

    pub fn record_renewal(&self, version: u64, requested_at: Instant) {
        if let Some(term) = lock(&self.term).as_mut().filter(|t| t.version == version) {
            term.renewed = requested_at;
            term.probed.clear();
        }
    }

    /// Whether this term still stands, as far as this node knows.
    pub fn holds_term(&self, version: u64) -> bool {
        let held = lock(&self.watch_cache).lead.as_ref().is_some_and(|(v, _)| *v == version);
        held && lock(&self.term).as_ref().is_some_and(|t| t.version == version)
    }

    /// Whether the workers seem alive, but not to this node.
    pub fn is_isolated_from_workers(&self, version: u64) -> bool {
        let silent = self
            .with_leader(version, |leader| leader.is_isolated_from_workers(Instant::now()))
            .unwrap_or(false);
        let lately = self.settings.heartbeat_interval() * 2;
        let told =
            lock(&self.heartbeat_rejected_elsewhere_at).is_some_and(|at| at.elapsed() < lately);
        silent && (told || self.peers.any_recent(lately, |heartbeat| heartbeat.rejected_heartbeats))
    }

    fn with_leader<T>(&self, version: u64, work: impl FnOnce(&mut Leader) -> T) -> Option<T> {
        let mut term = lock(&self.term);
        let held = term.as_mut().filter(|t| t.version == version)?;
        held.leader.as_mut().map(work)
    }

    /// What this node's duty as the leader has cost so far, if it leads.
    pub fn leader_counters(&self) -> Option<WorkCounters> {
        lock(&self.term).as_ref()?.leader.as_ref().map(|leader| leader.counters)
    }

    /// What lending may act on, if this node leads.
    pub fn lending_view(&self, grace_s: f64, waited: Duration) -> Option<LendingView> {
        let term = lock(&self.term);
        let leader = term.as_ref()?.leader.as_ref()?;
        Some(leader.lending_view(grace_s, waited, Instant::now()))
    }

    /// Tells the leader, if this node leads, which machines are kept for one job each.
    pub fn reserve(&self, reservations: BTreeMap<MachineId, Reservation>) {
        let mut term = lock(&self.term);
        let leader = term.as_mut().and_then(|term| term.leader.as_mut());
        if leader.is_some_and(|leader| leader.reserve(reservations)) {
            self.work.notify_one();
        }
    }

    fn in_doubt(&self) -> bool {
        let ttl = self.settings.leader_lease();
        lock(&self.term).as_ref().is_none_or(|t| t.renewed.elapsed() > ttl)
    }
}

async fn until(stop: CancellationToken, duty: impl Future<Output = ()>) {
    tokio::select! {
        () = duty => {}
        () = stop.cancelled() => {}
    }
}
