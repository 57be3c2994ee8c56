//! Headroom: capacity beyond demand that is kept ready, since a boot is too long to
//! wait for.

use tokio::time::{Duration, Instant};

use super::Leader;
use crate::{
    fleet::Machine,
    protocol::{JobSpec, MachineType},
    scheduler::Resources,
};

/// A task that takes more than this share of a machine needs an empty one.
const WHOLE_MACHINE_SHARE: f64 = 0.5;

/// Capacity to keep ready on ordinary machines.
#[derive(Clone, Copy, Debug)]
pub(super) struct Headroom {
    /// Empty machines, for tasks that need most of one.
    pub(super) empty_machines: usize,
    /// Free capacity anywhere, in machines, for the rest.
    pub(super) partial_machines: f64,
}

impl Headroom {
    /// All of it, in machines.
    pub(super) fn total_machines(self) -> f64 {
        self.empty_machines as f64 + self.partial_machines
    }
}

impl Leader {
    /// Headroom on ordinary machines. Arrivals and departures of work whose class has an
    /// objective for waiting make its load swing by about the root of it. Waiting work
    /// counts, or a fleet that starts from nothing would have no headroom for boots that
    /// take several times as long.
    pub(super) fn headroom(&self) -> Headroom {
        let (mut whole, mut partial) = (0.0, 0.0);
        for job in self.jobs.values() {
            if job.awaits_dependencies
                || job.spec.spot
                || self.wait_objective_s(&job.spec).is_none()
            {
                continue;
            }
            let share = self.types.smallest_share(&Resources::of_task(&job.spec));
            let load = share * f64::from(job.remaining());
            if share > WHOLE_MACHINE_SHARE {
                whole += load;
            } else {
                partial += load;
            }
        }
        let factor = self.settings.operator.headroom;
        Headroom {
            empty_machines: (whole.sqrt() * factor).round() as usize,
            partial_machines: partial.sqrt() * factor,
        }
    }

    /// How many empty ordinary machines the headroom takes.
    pub(super) fn headroom_machines(&self) -> usize {
        let headroom = self.headroom();
        let missing = headroom.partial_machines - self.free_on_occupied_machines();
        headroom.empty_machines + missing.max(0.0).round() as usize
    }

    /// Empty spot machines kept ready for work that may use them and has an objective;
    /// as many more as they are cheaper than ordinary ones, since what a late start costs
    /// is the same. While that work grows, what it grew by within the last boot is likely
    /// to come again within the next: rented only when it has come, all of it would wait
    /// for a boot.
    pub(super) fn headroom_spot_machines(&self) -> usize {
        let price_ratio =
            |t: &MachineType| if t.spot_price > 0.0 { t.price / t.spot_price } else { 1.0 };
        let price_ratio = self.types.iter().map(price_ratio).fold(1.0, f64::max);
        let load = self.spot_load();
        let before = self.spot_loads.oldest().unwrap_or(load);
        let swing = load.sqrt() * self.settings.operator.headroom * price_ratio;
        (swing + (load - before).max(0.0)).round() as usize
    }

    /// The work, in machines, that may use spot machines and has an objective.
    fn spot_load(&self) -> f64 {
        let objectives = &self.settings.cluster.objectives;
        self.jobs
            .values()
            .filter(|job| job.spec.spot && job.is_active())
            .filter(|job| objectives.iter().any(|o| o.class.as_ref() == Some(&job.spec.class)))
            .map(|job| {
                let share = self.types.smallest_share(&Resources::of_task(&job.spec));
                share * f64::from(job.remaining())
            })
            .sum()
    }

    /// Records that load, for as long as a boot takes.
    pub(super) fn record_spot_load(&mut self, now: Instant) {
        let boot_s = self.types.iter().map(|t| t.boot_s).fold(0.0, f64::max);
        let load = self.spot_load();
        self.spot_loads.record(load, Duration::from_secs_f64(boot_s), now);
    }

    /// Free capacity on ordinary machines that hold tasks, in machines.
    fn free_on_occupied_machines(&self) -> f64 {
        let occupied = self.fleet.machines.values().filter(|m| !m.spot && !m.bound.is_empty());
        occupied.filter_map(|machine| self.free_share(machine)).sum()
    }

    /// The share of a machine that its tasks leave. None if its type or a task's job is
    /// unknown.
    fn free_share(&self, machine: &Machine) -> Option<f64> {
        let kind = self.types.by_name(&machine.machine_type)?;
        let mut used = Resources::default();
        for key in &machine.bound {
            let job = self.jobs.get(&key.job)?;
            used.add(&Resources::of_task(&job.spec));
        }
        Some((1.0 - used.share_of(&Resources::of_type(kind))).max(0.0))
    }

    /// Within how many seconds a job's tasks should start, if its class has an
    /// objective for that.
    pub(super) fn wait_objective_s(&self, spec: &JobSpec) -> Option<f64> {
        let objectives = &self.settings.cluster.objectives;
        objectives
            .iter()
            .find(|o| o.kind == "wait" && o.class.as_ref().is_some_and(|c| *c == spec.class))
            .and_then(|o| o.within_s)
    }
}
