//! The state of one controller, which all its tasks share.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};

use super::{
    follower_renewals::FollowerRenewals, rejected_heartbeats::RejectedHeartbeats,
    state_health::StateServiceHealth, term::Term,
};
use crate::{
    admission_limit::AdmissionLimit,
    cloud::CloudApi,
    peers::Peers,
    protocol::JobId,
    replies::Unavailable,
    settings::Settings,
    state::{self, Budget, StateApi, Writer, lock},
    store::WatchCache,
    worker_client::WorkerApi,
};

/// One controller. It lives as long as its process.
pub struct Node {
    /// The settings, fixed at the start.
    pub settings: Arc<Settings>,
    /// The client of the state service.
    pub state: Arc<dyn StateApi>,
    /// The client of the cloud.
    pub cloud: Arc<dyn CloudApi>,
    /// The client of workers' own addresses.
    pub workers: Arc<dyn WorkerApi>,
    /// The budget of requests to the state service.
    pub requests: Arc<Budget>,
    /// The limit on users' requests in progress.
    pub admission: Arc<AdmissionLimit>,
    /// The records in memory.
    pub watch_cache: Mutex<WatchCache>,
    /// What is known of the other controllers.
    pub peers: Peers,
    /// Notified whenever the leader record or this node's term may have changed.
    pub leadership_changed: Notify,
    /// Drawn at each start, so that a node distinguishes its predecessors from itself.
    pub incarnation: u64,
    pub(super) rng: Mutex<StdRng>,
    pub(super) writer: Arc<Writer>,
    pub(super) term: Mutex<Option<Term>>,
    /// Notified when the leader should tick.
    pub(super) tick_requested: Notify,
    /// Those who wait for a fresh watch cache.
    pub(super) waiting_readers: Mutex<Vec<oneshot::Sender<Result<(), Unavailable>>>>,
    /// Notified when one more waits.
    pub(super) read_requested: Notify,
    pub(super) state_health: StateServiceHealth,
    pub(super) started_at: Instant,
    pub(super) follower_renewals: FollowerRenewals,
    pub(super) rejected_heartbeats: RejectedHeartbeats,
    /// For ended jobs that still have records: the earliest time at which their end
    /// may have been confirmed to users.
    pub(super) confirmed_since: Mutex<HashMap<JobId, Instant>>,
}

impl Node {
    /// A controller that doesn't run yet. `seed`: of its random numbers.
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
            Arc::new(Budget::new(settings.follower_share(settings.state_limits().requests_per_s)));
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
                settings.max_cancellations_per_heartbeat(),
            )),
            peers: Peers::new(members, settings.renewal_abstention(), incarnation),
            settings,
            leadership_changed: Notify::new(),
            incarnation,
            rng: Mutex::new(rng),
            writer,
            term: Mutex::new(None),
            tick_requested: Notify::new(),
            waiting_readers: Mutex::default(),
            read_requested: Notify::new(),
            state_health: StateServiceHealth::new(),
            started_at: Instant::now(),
            follower_renewals: FollowerRenewals::default(),
            rejected_heartbeats: RejectedHeartbeats::default(),
            confirmed_since: Mutex::default(),
        })
    }

    /// What all parts of this controller write through.
    pub fn writer(&self) -> Arc<Writer> {
        self.writer.clone()
    }

    /// The names of the other controllers.
    pub(super) fn other_members(&self) -> impl Iterator<Item = &str> {
        self.settings.members.iter().map(|member| member.member.as_str())
    }

    /// Whether users' requests may be sent here. Healthy unless it never saw the
    /// records, or alone lost the state service: in an outage that all share, other
    /// nodes are no better.
    pub fn healthy(&self) -> bool {
        if !lock(&self.watch_cache).loaded {
            return false;
        }
        self.state_ok()
            || !self.peers.any_recent(self.settings.leader_lease(), |heartbeat| heartbeat.state_ok)
    }

    /// Whether the state service answered this node within a leader lease.
    pub(super) fn state_ok(&self) -> bool {
        self.state_health.is_ok(self.settings.leader_lease())
    }
}
