//! Settings that work, but badly.

use std::sync::Arc;

use super::platform::Settings;

/// A machine's connection to its leader, and one of a user.
const SOCKETS_PER_MACHINE: f64 = 2.0;
/// What a controller holds without machines (docs/operations.md).
const OWN_MEMORY_MB: f64 = 8.0;
/// A connection that idles between reports, and what the leader knows of its
/// machine and its tasks.
const MEMORY_MB_PER_MACHINE: f64 = 0.02;
/// The least share of a core that was seen to serve a heartbeat a second from each
/// machine (docs/operations.md, "The least machine").
const CORE_SHARE_PER_REPORT: f64 = 0.012 / 155.0;
/// Machines that one page of the cloud's list holds.
const MACHINES_PER_LIST: f64 = 500.0;
/// Machines whose work one change of the records covers: a page holds the
/// places of many tasks, a small job those of few.
const MACHINES_PER_WRITE: f64 = 8.0;

impl Settings {
    /// What will work, but badly: one line each, for the operator.
    pub fn warnings(&self) -> Vec<String> {
        let limits = self.state_limits();
        let mut found = Vec::new();
        // Each controller asks by itself, without any user: renewals or reads
        // several times per leader lease, and a watch.
        let quiet = 8.0 / self.leader_lease().as_secs_f64();
        let share = self.follower_share(limits.requests_per_s);
        if share < quiet {
            found.push(format!(
                "cluster.state.rps: {:.1} requests a second are left for each of {} controllers, \
                 and {quiet:.1} go to watches and reads alone: answers will be late",
                share, self.cluster.size
            ));
        }
        let writes = self.follower_share(limits.writes_per_s);
        if writes < 1.0 {
            found.push(format!(
                "cluster.state.write_rps: {writes:.1} changes a second are left for each of {} \
                 controllers: submissions will be late",
                self.cluster.size
            ));
        }
        // A list page, the types and a deletion, now and then, and rentals.
        if self.cluster.cloud.rps < 1.0 {
            found.push(format!(
                "cluster.cloud.rps: with {} calls a second machines are rented late",
                self.cluster.cloud.rps
            ));
        }
        let (own, all) = (self.public_sockets(), self.cluster.quota.fd_limit as usize);
        if own * 2 < all {
            found.push(format!(
                "cluster.quota.fd_limit: of {all} sockets {own} are left for users and workers, \
                 and each machine takes one of its leader"
            ));
        }
        let workers = &self.cluster.workers;
        if self.renewal_limit() < self.leader_lease() {
            found.push(format!(
                "cluster.workers.cancel_s: with a lease of {} s, {} s leave a leader that is cut off \
                 no time to learn of cancellations: some may be stopped late",
                workers.lease_s, workers.cancel_s
            ));
        }
        if self.members.len() + 1 != self.cluster.size as usize {
            found.push(format!(
                "members: {} others are listed for {} controllers",
                self.members.len(),
                self.cluster.size
            ));
        }
        if !self.cluster.zones.contains(&Arc::from(self.zone.as_str())) {
            found.push("zone: not among cluster.zones".into());
        }
        found.extend(self.fleet_warnings());
        found
    }

    /// What falls short for as many machines as the operators expect.
    fn fleet_warnings(&self) -> Vec<String> {
        let machines = self.operator.expected_machines;
        let quota = &self.cluster.quota;
        let mut found = Vec::new();
        if machines <= 0.0 {
            return found;
        }
        let sockets = self.public_sockets() as f64;
        if sockets < machines * SOCKETS_PER_MACHINE {
            found.push(format!(
                "cluster.quota.fd_limit: {machines} machines and as many users need {} sockets, and \
                 {sockets} are left for them",
                machines * SOCKETS_PER_MACHINE
            ));
        }
        let memory_mb = OWN_MEMORY_MB + machines * MEMORY_MB_PER_MACHINE;
        if quota.mem_mb < memory_mb {
            found.push(format!(
                "cluster.quota.mem_mb: {machines} machines need about {memory_mb:.0} MB of {}",
                quota.mem_mb
            ));
        }
        let share = machines / self.cluster.workers.report_s * CORE_SHARE_PER_REPORT;
        if quota.core_share < share {
            found.push(format!(
                "cluster.quota.core_share: the reports of {machines} machines take about {share:.2} \
                 of a core, and {} is there",
                quota.core_share
            ));
        }
        let list_s = (machines / MACHINES_PER_LIST).ceil() / (self.cluster.cloud.rps / 2.0);
        if list_s > self.worker_lease().as_secs_f64() {
            found.push(format!(
                "cluster.cloud.rps: a list of {machines} machines takes {list_s:.0} s, longer than \
                 a worker's lease"
            ));
        }
        let limits = self.state_limits();
        let rewritten = machines / self.worker_lease().as_secs_f64() / MACHINES_PER_WRITE;
        let writes = self.leader_share(limits.writes_per_s);
        if writes < rewritten {
            found.push(format!(
                "cluster.state.write_rps: to start work on {machines} machines within a worker's \
                 lease takes {rewritten:.0} changes a second, and the leader has {writes:.0}"
            ));
        }
        found
    }
}
