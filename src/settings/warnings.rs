//! Warnings about settings that are valid, but with which the service performs badly.

use super::platform::Settings;

/// Sockets for each machine: its connection to the leader, and one connection of a user.
const SOCKETS_PER_MACHINE: f64 = 2.0;
/// Memory in MiB of a controller without any machines (docs/operations.md).
const BASE_MEMORY_MB: f64 = 8.0;
/// Memory in MiB for each machine: a connection that is idle between heartbeats, and the
/// leader's state of the machine and its tasks.
const MEMORY_MB_PER_MACHINE: f64 = 0.02;
/// The smallest share of a core that serves one worker heartbeat a second (docs/operations.md,
/// "The least machine").
const CORE_SHARE_PER_REPORT: f64 = 0.012 / 155.0;
/// Machines on one page of the cloud's machine list.
const MACHINES_PER_LIST: f64 = 500.0;
/// Machines on which one write of a record starts work. A page of a large job holds the
/// placements of many tasks, the page of a small job only a few.
const MACHINES_PER_WRITE: f64 = 8.0;

/// Calls to the state service that each controller makes per leader lease without any requests
/// of users: several lease renewals or reads, and a watch.
const BACKGROUND_REQUESTS_PER_LEADER_LEASE: f64 = 8.0;
/// A follower with fewer writes a second delays submissions.
const MIN_WRITES_PER_S: f64 = 1.0;
/// Cloud calls a second for occasional list pages, type lists and deletions, and for rentals.
const MIN_CLOUD_CALLS_PER_S: f64 = 1.0;

impl Settings {
    /// Returns one line for each setting with which the service works, but badly.
    pub fn warnings(&self) -> Vec<String> {
        let deployment = [
            self.state_request_warning(),
            self.state_write_warning(),
            self.cloud_warning(),
            self.socket_warning(),
            self.cancellation_warning(),
            self.member_warning(),
            self.zone_warning(),
        ];
        let mut warnings: Vec<String> = deployment.into_iter().flatten().collect();
        let machines = self.operator.expected_machines;
        if machines > 0.0 {
            warnings.extend(self.fleet_warnings(machines));
        }
        warnings
    }

    fn state_request_warning(&self) -> Option<String> {
        let background = BACKGROUND_REQUESTS_PER_LEADER_LEASE / self.leader_lease().as_secs_f64();
        let share = self.follower_share(self.state_limits().requests_per_s);
        (share < background).then(|| {
            format!(
                "cluster.state.rps: {share:.1} requests a second are left for each of {} \
                 controllers, and {background:.1} go to watches and reads alone: answers will be \
                 late",
                self.cluster.size
            )
        })
    }

    fn state_write_warning(&self) -> Option<String> {
        let writes = self.follower_share(self.state_limits().writes_per_s);
        (writes < MIN_WRITES_PER_S).then(|| {
            format!(
                "cluster.state.write_rps: {writes:.1} changes a second are left for each of {} \
                 controllers: submissions will be late",
                self.cluster.size
            )
        })
    }

    fn cloud_warning(&self) -> Option<String> {
        let calls = self.cluster.cloud.rps;
        (calls < MIN_CLOUD_CALLS_PER_S).then(|| {
            format!("cluster.cloud.rps: with {calls} calls a second machines are rented late")
        })
    }

    fn socket_warning(&self) -> Option<String> {
        let (public, all) = (self.max_public_sockets(), self.cluster.quota.fd_limit as usize);
        (public * 2 < all).then(|| {
            format!(
                "cluster.quota.fd_limit: of {all} sockets {public} are left for users and workers, \
                 and each machine takes one of its leader"
            )
        })
    }

    fn cancellation_warning(&self) -> Option<String> {
        let workers = &self.cluster.workers;
        (self.renewal_window() < self.leader_lease()).then(|| {
            format!(
                "cluster.workers.cancel_s: with a lease of {} s, {} s leave a leader that is cut off \
                 no time to learn of cancellations: some may be stopped late",
                workers.lease_s, workers.cancel_s
            )
        })
    }

    fn member_warning(&self) -> Option<String> {
        let (others, size) = (self.members.len(), self.cluster.size);
        (others + 1 != size as usize)
            .then(|| format!("members: {others} others are listed for {size} controllers"))
    }

    fn zone_warning(&self) -> Option<String> {
        let is_known = self.cluster.zones.iter().any(|zone| **zone == *self.zone);
        (!is_known).then(|| "zone: not among cluster.zones".into())
    }

    /// Returns the warnings about limits that are too small for the number of machines that
    /// the operators expect.
    fn fleet_warnings(&self, machines: f64) -> impl Iterator<Item = String> {
        let warnings = [
            self.fleet_socket_warning(machines),
            self.fleet_memory_warning(machines),
            self.fleet_core_warning(machines),
            self.fleet_list_warning(machines),
            self.fleet_write_warning(machines),
        ];
        warnings.into_iter().flatten()
    }

    fn fleet_socket_warning(&self, machines: f64) -> Option<String> {
        let sockets = self.max_public_sockets() as f64;
        let needed = machines * SOCKETS_PER_MACHINE;
        (sockets < needed).then(|| {
            format!(
                "cluster.quota.fd_limit: {machines} machines and as many users need {needed} \
                 sockets, and {sockets} are left for them"
            )
        })
    }

    fn fleet_memory_warning(&self, machines: f64) -> Option<String> {
        let available_mb = self.cluster.quota.mem_mb;
        let needed_mb = BASE_MEMORY_MB + machines * MEMORY_MB_PER_MACHINE;
        (available_mb < needed_mb).then(|| {
            format!(
                "cluster.quota.mem_mb: {machines} machines need about {needed_mb:.0} MB of \
                 {available_mb}"
            )
        })
    }

    fn fleet_core_warning(&self, machines: f64) -> Option<String> {
        let available = self.cluster.quota.core_share;
        let needed = machines / self.cluster.workers.report_s * CORE_SHARE_PER_REPORT;
        (available < needed).then(|| {
            format!(
                "cluster.quota.core_share: the reports of {machines} machines take about \
                 {needed:.2} of a core, and {available} is there"
            )
        })
    }

    fn fleet_list_warning(&self, machines: f64) -> Option<String> {
        let list_s = (machines / MACHINES_PER_LIST).ceil() / (self.cluster.cloud.rps / 2.0);
        (list_s > self.worker_lease().as_secs_f64()).then(|| {
            format!(
                "cluster.cloud.rps: a list of {machines} machines takes {list_s:.0} s, longer than \
                 a worker's lease"
            )
        })
    }

    fn fleet_write_warning(&self, machines: f64) -> Option<String> {
        let needed = machines / self.worker_lease().as_secs_f64() / MACHINES_PER_WRITE;
        let writes = self.leader_share(self.state_limits().writes_per_s);
        (writes < needed).then(|| {
            format!(
                "cluster.state.write_rps: to start work on {machines} machines within a worker's \
                 lease takes {needed:.0} changes a second, and the leader has {writes:.0}"
            )
        })
    }
}
