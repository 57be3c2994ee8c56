//! Durations, limits and rate shares derived from the settings.

use std::time::Duration;

use super::{
    limits::{BYTES_PER_KB, EffectiveLimits},
    platform::Settings,
};

/// Upper bound on how much longer a lease lasts when measured by a monotonic clock that drifts
/// from the clock of the lease's holder.
const CLOCK_DRIFT_FACTOR: f64 = 1.005;
/// The number of leader leases that fit into a worker's lease.
const LEADER_LEASES_PER_WORKER_LEASE: f64 = 3.0;
/// The number of attempts of a state service call that fit into a leader lease.
const STATE_ATTEMPTS_PER_LEASE: u32 = 3;
/// The share of the time between `lease_s` and `cancel_s` during which worker heartbeats may
/// be answered. The rest is a safety margin.
const RENEWAL_SHARE: f64 = 0.9;

/// Sockets for the state service. Twice the number of connections in use, since connections
/// that a network failure left half open keep their sockets until they time out.
const STATE_SOCKETS: usize = 16;
/// Sockets for the cloud, twice the number of connections in use like `STATE_SOCKETS`.
const CLOUD_SOCKETS: usize = 8;
/// File descriptors of the listeners, the async runtime and the standard streams.
const BASE_SOCKETS: usize = 12;
/// Sockets for the connections with each other controller.
const SOCKETS_PER_MEMBER: usize = 3;
/// One direct call to a worker may be in flight for each of this many file descriptors.
const DESCRIPTORS_PER_DIRECT_CALL: usize = 16;
const MIN_DIRECT_CALLS: usize = 2;
const MIN_PUBLIC_SOCKETS: usize = 8;
/// The minimum backlog of listeners, in connections. A larger number of sockets raises it.
pub(super) const MIN_BACKLOG: u32 = 1024;

/// Lower bound of [`Settings::max_cancellations_per_heartbeat`], however low the write rate of
/// the state service is: earlier versions, in which the limit was not derived from the
/// settings, carry no more than this.
pub const MIN_CANCELLATIONS_PER_HEARTBEAT: usize = 1024;
/// The number of leader leases for which a leader can miss cancellations. A leader that is the
/// only controller refused by the state service misses the cancellations that other controllers
/// confirm until its lease expires, and for as long again until their heartbeats have caught up.
const MISSED_LEADER_LEASES: f64 = 2.0;

/// Upper bound on the bytes that one bound task takes in a page's record.
pub const MAX_BINDING_BYTES: usize = 64;
const MAX_PAGE_TASKS: u32 = 1024;

impl Settings {
    /// Returns the time between two heartbeats of a worker.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.cluster.workers.report_s)
    }

    /// Returns the longest time that a worker's lease can last by this controller's clock.
    /// Monotonic clocks drift apart, so a safe wait is slightly longer than the lease.
    pub fn worker_lease(&self) -> Duration {
        Duration::from_secs_f64(self.cluster.workers.lease_s * CLOCK_DRIFT_FACTOR)
    }

    /// Returns the duration of the leader lease: a third of a worker's lease, since a takeover
    /// (the rest of this lease, an election, the first worker heartbeats) must complete well
    /// within a worker's lease.
    pub fn leader_lease(&self) -> Duration {
        Duration::from_secs_f64(self.cluster.workers.lease_s / LEADER_LEASES_PER_WORKER_LEASE)
    }

    /// Returns for how long a leader's heartbeat keeps the controller that receives it from
    /// renewing workers' leases. A leader sends four heartbeats per leader lease, so one of
    /// them may be lost. The abstention and a restart of the controller together must fit
    /// into a worker's lease.
    pub fn renewal_abstention(&self) -> Duration {
        self.leader_lease() * 3 / 4
    }

    /// Returns for how long a controller keeps the confirmation of a cancellation back for a
    /// controller that it has lost touch with. A controller that crashes is usually back within
    /// half of a worker's lease, and the others must still know then all that it had confirmed. A
    /// user's requests are retried for several times as long.
    pub fn replication_hold(&self) -> Duration {
        self.leader_lease() * 2
    }

    /// Returns how long a controller may take to acknowledge a cancellation before the others
    /// stop promising it to wait for its acknowledgements. Heartbeats are sent four times as
    /// often.
    pub fn acknowledgement_timeout(&self) -> Duration {
        self.leader_lease()
    }

    /// Returns for how long worker leases may be renewed after the last instant up to which all
    /// cancellations are known. A job cancelled right after that instant must have stopped
    /// within `cancel_s`, at the latest when its worker's lease expires.
    pub fn renewal_window(&self) -> Duration {
        let workers = &self.cluster.workers;
        Duration::from_secs_f64((workers.cancel_s - workers.lease_s).max(0.0) * RENEWAL_SHARE)
    }

    /// Returns the time-out of one call to the state service: three attempts fit into the
    /// leader lease.
    pub fn state_timeout(&self) -> Duration {
        self.leader_lease() / STATE_ATTEMPTS_PER_LEASE
    }

    /// Returns the maximum number of direct calls to workers in flight. Each call takes a
    /// socket, and a call to a machine that hangs keeps it until the call's time-out.
    pub fn max_direct_calls(&self) -> usize {
        (self.cluster.quota.fd_limit as usize / DESCRIPTORS_PER_DIRECT_CALL).max(MIN_DIRECT_CALLS)
    }

    /// Returns the maximum number of sockets for incoming connections of users and workers:
    /// the file descriptors left after those reserved for this controller's calls, so that
    /// connections to the state service, the cloud and the other controllers can always be
    /// opened.
    pub fn max_public_sockets(&self) -> usize {
        let links = self.members.len() * SOCKETS_PER_MEMBER;
        let reserved =
            self.max_direct_calls() + STATE_SOCKETS + CLOUD_SOCKETS + links + BASE_SOCKETS;
        (self.cluster.quota.fd_limit as usize).saturating_sub(reserved).max(MIN_PUBLIC_SOCKETS)
    }

    /// Returns the leader's share of a rate limit that all controllers share: half of the
    /// limit, since the leader does most of the work.
    pub fn leader_share(&self, limit: f64) -> f64 {
        if self.cluster.size == 1 { limit } else { limit / 2.0 }
    }

    /// Returns a follower's share of a rate limit that all controllers share: the half that the
    /// leader leaves, divided equally among the followers.
    pub fn follower_share(&self, limit: f64) -> f64 {
        if self.cluster.size == 1 { limit } else { limit / 2.0 / f64::from(self.cluster.size - 1) }
    }

    /// Returns limits of the state service that are valid both now and after
    /// `cluster.state.next` comes into force.
    pub fn state_limits(&self) -> EffectiveLimits {
        self.cluster.state.effective()
    }

    /// Returns the maximum number of cancellations in one controller heartbeat. Each
    /// cancellation takes a write to the state service, so the write rate bounds the number of
    /// cancellations that a leader can miss.
    pub fn max_cancellations_per_heartbeat(&self) -> usize {
        let state = &self.cluster.state;
        // It isn't known whether the present or the coming limit is in force.
        let rate = state.write_rps.max(state.next.write_rps.unwrap_or(0.0));
        let missed = rate * self.leader_lease().as_secs_f64() * MISSED_LEADER_LEASES;
        (missed.round() as usize).max(MIN_CANCELLATIONS_PER_HEARTBEAT)
    }

    /// Returns the maximum length in bytes of a frame that this controller accepts from another
    /// controller.
    pub fn frame_limit(&self) -> usize {
        crate::peers::frame_limit_for(self.max_cancellations_per_heartbeat())
    }

    /// Returns the number of connections that may wait to be accepted. After a change of leader
    /// all workers may connect within one heartbeat interval, and a connection that the full
    /// backlog drops is retried only a second later.
    pub fn listen_backlog(&self) -> u32 {
        let sockets = u32::try_from(self.max_public_sockets()).unwrap_or(u32::MAX);
        sockets.max(MIN_BACKLOG)
    }

    /// Returns the number of tasks per durable page, chosen so that a page whose tasks are all
    /// bound fits a value of the present limit. It must not depend on `cluster.state.next`:
    /// versions that don't know that setting read and write the same pages, and the tasks of a
    /// page follow from the page's number alone. `controller/pages.rs` keeps the content of a
    /// page within the smaller limit.
    pub fn page_tasks(&self) -> u32 {
        tasks_per_page((self.cluster.state.value_kb * BYTES_PER_KB) as usize)
    }

    /// Returns the number of tasks of a page whose record fits a value under the present and the
    /// coming limits even when all its tasks are bound.
    pub fn small_page_tasks(&self) -> u32 {
        tasks_per_page(self.state_limits().value_bytes)
    }
}

/// Returns the number of bound tasks whose record always fits a value of this many bytes.
fn tasks_per_page(value_bytes: usize) -> u32 {
    u32::try_from(value_bytes / MAX_BINDING_BYTES)
        .unwrap_or(MAX_PAGE_TASKS)
        .clamp(1, MAX_PAGE_TASKS)
}
