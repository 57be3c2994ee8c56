//! The state of one controller, shared by all its tasks.

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
    peers::{PeerTimings, Peers},
    protocol::JobId,
    replies::Unavailable,
    settings::Settings,
    state::{self, Budget, StateApi, Writer, lock},
    store::WatchCache,
    worker_client::WorkerApi,
};

/// One controller, which exists for the lifetime of its process.
pub struct Node {
    /// The settings, fixed when the process starts.
    pub settings: Arc<Settings>,
    /// The client for the state service.
    pub state: Arc<dyn StateApi>,
    /// The client for the cloud's API.
    pub cloud: Arc<dyn CloudApi>,
    /// The client for direct commands to workers, at the workers' addresses.
    pub workers: Arc<dyn WorkerApi>,
    /// The rate limit of this controller's requests to the state service.
    pub request_budget: Arc<Budget>,
    /// The limit on concurrent user requests.
    pub admission: Arc<AdmissionLimit>,
    /// The records of the state service in memory.
    pub watch_cache: Mutex<WatchCache>,
    /// The latest state received from each of the other controllers.
    pub peers: Peers,
    /// Notified whenever the leader record or this node's term may have changed.
    pub leadership_changed: Notify,
    /// A random number drawn when the process starts, which distinguishes this process from
    /// earlier ones of the same member.
    pub incarnation: u64,
    /// The source of random delays.
    pub(super) rng: Mutex<StdRng>,
    /// The queue through which all writes to the state service pass.
    pub(super) writer: Arc<Writer>,
    /// The current term, while this node is the leader.
    pub(super) term: Mutex<Option<Term>>,
    /// Notified when the leader should tick before the next scheduled tick.
    pub(super) tick_requested: Notify,
    /// Callers of `refresh` that wait for the next read of the state service.
    pub(super) waiting_readers: Mutex<Vec<oneshot::Sender<Result<(), Unavailable>>>>,
    /// Notified when a caller was added to `waiting_readers`.
    pub(super) read_requested: Notify,
    pub(super) state_health: StateServiceHealth,
    pub(super) started_at: Instant,
    pub(super) follower_renewals: FollowerRenewals,
    pub(super) rejected_heartbeats: RejectedHeartbeats,
    /// For each ended job that still has a job record: the earliest time at which its end
    /// may have been confirmed to a user.
    pub(super) confirmed_since: Mutex<HashMap<JobId, Instant>>,
}

impl Node {
    /// A controller whose tasks are not started yet. `seed`: seeds its random numbers.
    pub fn new(
        settings: Settings,
        state: Arc<dyn StateApi>,
        cloud: Arc<dyn CloudApi>,
        workers: Arc<dyn WorkerApi>,
        seed: u64,
    ) -> Arc<Self> {
        let mut rng = StdRng::seed_from_u64(seed);
        let settings = Arc::new(settings);
        let request_budget =
            Arc::new(Budget::new(settings.follower_share(settings.state_limits().requests_per_s)));
        let writer = Arc::new(state::writer(state.clone(), &settings, request_budget.clone()));
        // Users accept a response time of about a second. The target is half of a heartbeat
        // interval, so that it scales with the durations in the settings.
        let target_latency = settings.heartbeat_interval() / 2;
        let max_concurrent_requests = settings.cluster.quota.fd_limit as usize / 4;
        let incarnation = rng.random();
        let members = settings.members.iter().map(|m| m.member.clone()).collect();
        Arc::new(Self {
            state,
            cloud,
            workers,
            request_budget,
            admission: AdmissionLimit::new(target_latency, max_concurrent_requests),
            watch_cache: Mutex::new(WatchCache::with_notice_limit(
                settings.max_cancellations_per_heartbeat(),
            )),
            peers: Peers::new(&settings.member, members, peer_timings(&settings), incarnation),
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

    /// The queue through which every component of this controller writes to the state
    /// service.
    pub fn writer(&self) -> Arc<Writer> {
        self.writer.clone()
    }

    /// The names of the other controllers.
    pub(super) fn other_members(&self) -> impl Iterator<Item = &str> {
        self.settings.members.iter().map(|member| member.member.as_str())
    }

    /// Whether users' requests may be sent to this node. The node is unhealthy until the
    /// records are loaded, and while it can't reach the state service but another
    /// controller can. In an outage that affects all controllers every node stays healthy,
    /// since no other node could answer better.
    pub fn is_healthy(&self) -> bool {
        if !lock(&self.watch_cache).loaded {
            return false;
        }
        self.state_service_reachable()
            || !self.peers.any_recent(self.settings.leader_lease(), |heartbeat| heartbeat.state_ok)
    }

    /// Whether the state service answered this node's latest read, less than a leader lease
    /// ago.
    pub(super) fn state_service_reachable(&self) -> bool {
        self.state_health.answered_within(self.settings.leader_lease())
    }
}

/// The durations for which this controller and the others rely on each other's messages.
fn peer_timings(settings: &Settings) -> PeerTimings {
    PeerTimings {
        abstention: settings.renewal_abstention(),
        replication_hold: settings.replication_hold(),
        acknowledgement_timeout: settings.acknowledgement_timeout(),
    }
}
