//! Counters of the leader's work, and the log line that summarizes the leader's state.

use tokio::time::Instant;

use super::Leader;
use crate::fleet::Machine;

/// Counts of the operations that a leader has carried out in its term.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkCounters {
    /// Heartbeats reconciled, without stale ones.
    pub heartbeats: u64,
    /// Heartbeats not reconciled, since a newer one or a later incarnation is known: late ones
    /// and copies.
    pub stale_heartbeats: u64,
    /// Direct requests sent.
    pub direct_requests: u64,
    /// Direct requests that the worker refused for their token or incarnation.
    pub direct_requests_refused: u64,
    /// Raises of a single worker's fencing token.
    pub tokens_raised: u64,
    /// Reports of an attempt that runs on a machine although it is not bound there, as after a
    /// copy of a start command that took effect.
    pub unbound_attempts: u64,
    /// Tasks compared in reconciliations, counted once as bound and once as reported.
    pub tasks_reconciled: u64,
    /// Ticks of the leader.
    pub ticks: u64,
    /// Sweeps over all machines and jobs for actions that are due as time passes.
    pub sweeps: u64,
    /// Scheduling passes.
    pub passes: u64,
    /// Candidate placements evaluated in scheduling passes.
    pub candidates_evaluated: u64,
}

/// The GPUs of one class of machines, ordinary or spot.
#[derive(Default)]
struct GpuUsage {
    used: f64,
    total: f64,
}

/// Statistics of the fleet. Machines that have not reported in this term count as booting, and
/// in nothing else.
#[derive(Default)]
struct FleetStats {
    booting: u32,
    ready: u32,
    idle: u32,
    ordinary: GpuUsage,
    spot: GpuUsage,
    /// GPUs of ordinary machines used by jobs that may run on spot machines.
    misplaced_gpus: f64,
}

impl Leader {
    /// Returns a one-line summary of the leader's state for the operator.
    pub fn summary(&self, now: Instant) -> String {
        let FleetStats { booting, ready, idle, ordinary, spot, misplaced_gpus } =
            self.fleet_stats(now);
        let waiting = self.jobs.values().filter(|j| j.bound.is_empty() && j.is_active()).count();
        let dependent =
            self.jobs.values().filter(|j| j.awaits_dependencies && j.ended.is_none()).count();
        format!(
            "jobs {} (waiting {waiting}, awaiting dependencies {dependent}), GPUs used {} of {} ordinary ({misplaced_gpus} by spot-eligible jobs) and {} of {} spot, machines {} (booting {booting}, ready {ready}, idle {idle}), {:?}",
            self.jobs.len(),
            ordinary.used,
            ordinary.total,
            spot.used,
            spot.total,
            self.fleet.machines.len(),
            self.counters
        )
    }

    fn fleet_stats(&self, now: Instant) -> FleetStats {
        let mut stats = FleetStats::default();
        for machine in self.fleet.machines.values() {
            self.count_machine(machine, &mut stats, now);
        }
        stats
    }

    fn count_machine(&self, machine: &Machine, stats: &mut FleetStats, now: Instant) {
        if !machine.has_reported() {
            stats.booting += 1;
            return;
        }
        let ready = machine.is_ready(now, self.settings.heartbeat_interval());
        stats.ready += u32::from(ready);
        stats.idle += u32::from(machine.bound.is_empty());
        let gpus = if machine.spot { &mut stats.spot } else { &mut stats.ordinary };
        gpus.total += self.types.by_name(&machine.machine_type).map_or(0.0, |t| t.gpus);
        for job in machine.bound.iter().filter_map(|key| self.jobs.get(&key.job)) {
            gpus.used += job.spec.gpus;
            if job.spec.spot && !machine.spot {
                stats.misplaced_gpus += job.spec.gpus;
            }
        }
    }
}
