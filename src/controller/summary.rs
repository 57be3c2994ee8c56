//! How a leader is doing: what its work has cost, and one line for the operator.

use tokio::time::Instant;

use super::Leader;
use crate::fleet::Machine;

/// What a leader has done so far, in operations rather than seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkCounters {
    /// Heartbeats that were new.
    pub heartbeats: u64,
    /// Bound or reported tasks that were reconciled for them.
    pub tasks_reconciled: u64,
    /// Iterations of the leader's loop.
    pub ticks: u64,
    /// Sweeps over all machines and jobs for what time alone brings.
    pub sweeps: u64,
    /// Scheduling passes.
    pub passes: u64,
    /// Candidate placements that were evaluated in them.
    pub candidates_evaluated: u64,
}

/// GPUs of ordinary or of spot machines.
#[derive(Default)]
struct GpuFigures {
    used: f64,
    total: f64,
}

/// The fleet in figures. Machines that have not reported only count as booting.
#[derive(Default)]
struct FleetFigures {
    booting: u32,
    ready: u32,
    idle: u32,
    ordinary: GpuFigures,
    spot: GpuFigures,
    /// GPUs of ordinary machines that work uses which could run on spot machines.
    misplaced_gpus: f64,
}

impl Leader {
    /// One line for the operator.
    pub fn summary(&self, now: Instant) -> String {
        let FleetFigures { booting, ready, idle, ordinary, spot, misplaced_gpus } =
            self.fleet_figures(now);
        let waiting = self.jobs.values().filter(|j| j.bound.is_empty() && j.is_active()).count();
        let dependent =
            self.jobs.values().filter(|j| j.awaits_dependencies && j.ended.is_none()).count();
        format!(
            "jobs {} (waiting {waiting}, for others {dependent}), GPUs {} of {} ordinary ({misplaced_gpus} by work for spot) and {} of {} spot, machines {} (booting {booting}, ready {ready}, idle {idle}), {:?}",
            self.jobs.len(),
            ordinary.used,
            ordinary.total,
            spot.used,
            spot.total,
            self.fleet.machines.len(),
            self.counters
        )
    }

    fn fleet_figures(&self, now: Instant) -> FleetFigures {
        let mut figures = FleetFigures::default();
        for machine in self.fleet.machines.values() {
            self.count_machine(machine, &mut figures, now);
        }
        figures
    }

    fn count_machine(&self, machine: &Machine, figures: &mut FleetFigures, now: Instant) {
        if !machine.has_reported() {
            figures.booting += 1;
            return;
        }
        let ready = machine.is_ready(now, self.settings.heartbeat_interval());
        figures.ready += u32::from(ready);
        figures.idle += u32::from(machine.bound.is_empty());
        let gpus = if machine.spot { &mut figures.spot } else { &mut figures.ordinary };
        gpus.total += self.types.by_name(&machine.machine_type).map_or(0.0, |t| t.gpus);
        for job in machine.bound.iter().filter_map(|key| self.jobs.get(&key.job)) {
            gpus.used += job.spec.gpus;
            if job.spec.spot && !machine.spot {
                figures.misplaced_gpus += job.spec.gpus;
            }
        }
    }
}
