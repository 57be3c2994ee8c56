//! How a leader is doing: what its duty has cost, and one line for the operator.

use tokio::time::Instant;

use super::Leader;

/// What the duty has cost so far, in operations rather than seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkCounters {
    pub heartbeats: u64,
    /// Bound or reported tasks looked at for them.
    pub reviewed: u64,
    /// Turns of the leader's loop.
    pub ticks: u64,
    /// Looks over all machines and jobs for what time sole_renewer_since brings.
    pub sweeps: u64,
    pub passes: u64,
    /// Places weighed in them.
    pub weighed: u64,
}

impl Leader {
    /// One line for the operator.
    pub fn summary(&self, now: Instant) -> String {
        let heartbeat_interval = self.settings.heartbeat_interval();
        let (mut ready, mut idle, mut booting) = (0, 0, 0);
        // GPUs in use and held, on spot machines [0] and ordinary ones [1];
        // and what work that may use spot machines has of the latter.
        let (mut used, mut held, mut misplaced) = ([0.0; 2], [0.0; 2], 0.0);
        for machine in self.fleet.machines.values() {
            if !machine.has_reported() {
                booting += 1;
                continue;
            }
            ready += u32::from(machine.is_ready(now, heartbeat_interval));
            idle += u32::from(machine.bound.is_empty());
            let at = usize::from(!machine.spot);
            held[at] += self.types.named(&machine.machine_type).map_or(0.0, |t| t.gpus);
            for spec in machine.bound.iter().filter_map(|key| Some(&self.jobs.get(&key.job)?.spec))
            {
                used[at] += spec.gpus;
                if spec.spot && !machine.spot {
                    misplaced += spec.gpus;
                }
            }
        }
        let waiting = self.jobs.values().filter(|j| j.bound.is_empty() && j.is_active()).count();
        let dependent =
            self.jobs.values().filter(|j| j.awaits_dependencies && j.ended.is_none()).count();
        format!(
            "jobs {} (waiting {waiting}, for others {dependent}), GPUs {} of {} ordinary ({misplaced} by work for spot) and {} of {} spot, machines {} (booting {booting}, ready {ready}, idle {idle}), {:?}",
            self.jobs.len(),
            used[1],
            held[1],
            used[0],
            held[0],
            self.fleet.machines.len(),
            self.counters
        )
    }
}
