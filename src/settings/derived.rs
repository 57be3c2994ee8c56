//! Durations, limits and shares that follow from the settings.

use std::time::Duration;

use super::{
    limits::{BYTES_PER_KB, EffectiveLimits},
    platform::Settings,
};

/// How much longer a lease may last by a clock that drifts from its holder's.
const CLOCK_DRIFT_FACTOR: f64 = 1.005;
/// Leader leases that fit into a worker's lease.
const LEADER_LEASES_PER_WORKER_LEASE: f64 = 3.0;
/// Tries of a call to the state service that fit into a leader lease.
const STATE_TRIES_PER_LEASE: u32 = 3;
/// The part of the time left by a worker's lease within `cancel_s` in which workers may
/// be answered; the rest is a margin.
const RENEWAL_SHARE: f64 = 0.9;

/// Connections kept to the state service and to the cloud, twice: those
/// that a network cut left half open occupy theirs until they time out.
const STATE_SOCKETS: usize = 16;
const CLOUD_SOCKETS: usize = 8;
/// Listeners, the runtime's own, standard streams.
const BASE_SOCKETS: usize = 12;
/// Connections with each other controller.
const SOCKETS_PER_MEMBER: usize = 3;
/// One direct call to a worker may be under way for so many file descriptors.
const DESCRIPTORS_PER_DIRECT_CALL: usize = 16;
const MIN_DIRECT_CALLS: usize = 2;
const MIN_PUBLIC_SOCKETS: usize = 8;
/// The backlog of listeners unless the number of sockets asks for a longer one.
pub(super) const MIN_BACKLOG: u32 = 1024;

/// Cancellations that a controller heartbeat can carry at least, however slow the state
/// service is: versions from before this followed from the settings carry no more.
pub const MIN_CANCELLATIONS_PER_HEARTBEAT: usize = 1024;
/// A leader that alone is refused misses what others confirm until its lease
/// expires, and for as long again while the heartbeats catch up.
const NOTICED_LEADER_LEASES: f64 = 2.0;

/// A page's record needs no more than this for each task that is bound.
pub const MAX_BINDING_BYTES: usize = 64;
const MAX_PAGE_TASKS: u32 = 1024;

impl Settings {
    /// The time between two heartbeats of a worker.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.cluster.workers.report_s)
    }

    /// A worker's lease, as long as it can last by this node's clock: monotonic
    /// clocks drift apart, so a safe wait is a little longer than the lease.
    pub fn worker_lease(&self) -> Duration {
        Duration::from_secs_f64(self.cluster.workers.lease_s * CLOCK_DRIFT_FACTOR)
    }

    /// Takeover (the rest of this lease, an election, a first report) must
    /// fit well inside a worker's lease, so this is a third of it.
    pub fn leader_lease(&self) -> Duration {
        Duration::from_secs_f64(self.cluster.workers.lease_s / LEADER_LEASES_PER_WORKER_LEASE)
    }

    /// How long a heartbeat of a leader keeps another controller from answering
    /// workers. Heartbeats leave four times per leader lease, so one may be
    /// lost; and all of it, with a restart, must fit into a worker's lease.
    pub fn renewal_abstention(&self) -> Duration {
        self.leader_lease() * 3 / 4
    }

    /// For how long workers may be answered after the last moment up to which
    /// all cancellations are known: a job cancelled just then must be gone, by
    /// its worker's own lease, within `cancel_s`.
    pub fn renewal_window(&self) -> Duration {
        let workers = &self.cluster.workers;
        Duration::from_secs_f64((workers.cancel_s - workers.lease_s).max(0.0) * RENEWAL_SHARE)
    }

    /// How long one call to the state service may take: three tries fit into
    /// the leader's lease.
    pub fn state_timeout(&self) -> Duration {
        self.leader_lease() / STATE_TRIES_PER_LEASE
    }

    /// Direct calls to workers under way at once. Each takes a socket, and to
    /// machines that hang for as long as a call may last.
    pub fn max_direct_calls(&self) -> usize {
        (self.cluster.quota.fd_limit as usize / DESCRIPTORS_PER_DIRECT_CALL).max(MIN_DIRECT_CALLS)
    }

    /// Sockets that incoming connections of users and workers may take: all
    /// but those of the node's own calls. The state service, the cloud and the
    /// other controllers must always find one.
    pub fn max_public_sockets(&self) -> usize {
        let links = self.members.len() * SOCKETS_PER_MEMBER;
        let own = self.max_direct_calls() + STATE_SOCKETS + CLOUD_SOCKETS + links + BASE_SOCKETS;
        (self.cluster.quota.fd_limit as usize).saturating_sub(own).max(MIN_PUBLIC_SOCKETS)
    }

    /// A leader's share of a limit that all controllers keep together: half of it, since the
    /// leader does most of the work.
    pub fn leader_share(&self, limit: f64) -> f64 {
        if self.cluster.size == 1 { limit } else { limit / 2.0 }
    }

    /// A follower's share of such a limit: an equal part of the other half.
    pub fn follower_share(&self, limit: f64) -> f64 {
        if self.cluster.size == 1 { limit } else { limit / 2.0 / f64::from(self.cluster.size - 1) }
    }

    /// What may be asked of the state service, now and after its limits fall.
    pub fn state_limits(&self) -> EffectiveLimits {
        self.cluster.state.effective()
    }

    /// Cancellations that one controller heartbeat can carry. Each takes a change of the
    /// state service, so its rate bounds what a leader can miss.
    pub fn max_cancellations_per_heartbeat(&self) -> usize {
        let state = &self.cluster.state;
        // Which of both limits is in force isn't known.
        let rate = state.write_rps.max(state.next.write_rps.unwrap_or(0.0));
        let missed = rate * self.leader_lease().as_secs_f64() * NOTICED_LEADER_LEASES;
        (missed.round() as usize).max(MIN_CANCELLATIONS_PER_HEARTBEAT)
    }

    /// The longest frame that another controller may send to this one.
    pub fn frame_limit(&self) -> usize {
        crate::peers::frame_limit_for(self.max_cancellations_per_heartbeat())
    }

    /// Connections that may wait to be accepted. After a change of leader all
    /// workers may come within one heartbeat interval, and a connection that finds
    /// no room tries again only a second later.
    pub fn listen_backlog(&self) -> u32 {
        let sockets = u32::try_from(self.max_public_sockets()).unwrap_or(u32::MAX);
        sockets.max(MIN_BACKLOG)
    }

    /// Tasks per durable page, such that a page full of bindings fits a value
    /// of today's limit. It must not follow `state.next`: versions that don't
    /// know that setting share the pages, and which tasks a page holds follows
    /// from its number alone. `controller/pages.rs` keeps the content within
    /// the smaller limit.
    pub fn page_tasks(&self) -> u32 {
        tasks_per_page((self.cluster.state.value_kb * BYTES_PER_KB) as usize)
    }

    /// Tasks of a page that fits a value also after the limits fall, even when
    /// all its tasks are bound.
    pub fn small_page_tasks(&self) -> u32 {
        tasks_per_page(self.state_limits().value_bytes)
    }
}

/// Tasks of which a record surely fits a value of this many bytes.
fn tasks_per_page(value_bytes: usize) -> u32 {
    u32::try_from(value_bytes / MAX_BINDING_BYTES)
        .unwrap_or(MAX_PAGE_TASKS)
        .clamp(1, MAX_PAGE_TASKS)
}
