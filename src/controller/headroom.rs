//! Headroom: free capacity kept ready beyond the present demand, so that work with a waiting
//! objective need not wait for a machine to boot. Ordinary machines are those that are not spot
//! machines.

use tokio::time::{Duration, Instant};

use super::Leader;
use crate::{
    fleet::Machine,
    protocol::{JobSpec, MachineType},
    scheduler::Resources,
};

/// The share of a machine above which a task is taken to need an empty machine.
const WHOLE_MACHINE_SHARE: f64 = 0.5;

/// Free capacity to keep ready on ordinary machines.
#[derive(Clone, Copy, Debug)]
pub(super) struct Headroom {
    /// Empty machines, for tasks that need most of a machine.
    pub(super) empty_machines: usize,
    /// Free capacity on any machines, in machines, for smaller tasks.
    pub(super) partial_machines: f64,
}

impl Headroom {
    /// Returns the total headroom in machines.
    pub(super) fn total_machines(self) -> f64 {
        self.empty_machines as f64 + self.partial_machines
    }
}

impl Leader {
    /// Returns the headroom on ordinary machines, for work whose class has a waiting objective.
    ///
    /// As tasks arrive and depart, the load of this work varies by about its square root, so the
    /// headroom is proportional to that root. Waiting work counts as load too. Otherwise a
    /// fleet that starts without machines would have no headroom for boots that take several
    /// times as long as usual.
    pub(super) fn headroom(&self) -> Headroom {
        let (mut whole_machine_load, mut partial_load) = (0.0, 0.0);
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
                whole_machine_load += load;
            } else {
                partial_load += load;
            }
        }
        let factor = self.settings.operator.headroom;
        Headroom {
            empty_machines: (whole_machine_load.sqrt() * factor).round() as usize,
            partial_machines: partial_load.sqrt() * factor,
        }
    }

    /// Returns how many empty ordinary machines the headroom takes: those for large tasks, and
    /// as many more as the free capacity of occupied machines falls short of that for small tasks.
    pub(super) fn headroom_machines(&self) -> usize {
        let headroom = self.headroom();
        let missing = headroom.partial_machines - self.free_on_occupied_machines();
        headroom.empty_machines + missing.max(0.0).round() as usize
    }

    /// Returns how many empty spot machines to keep ready for work that may use them and whose
    /// class has an objective.
    ///
    /// The headroom is multiplied by the ratio of the ordinary price to the spot price, since
    /// spare spot machines cost less while a late start costs the same. The growth of the load
    /// within the last boot time is added, since the load is likely to grow by as much within the
    /// next boot time. If machines were requested only for work that has arrived, all of the
    /// growth would wait for a boot.
    pub(super) fn headroom_spot_machines(&self) -> usize {
        let price_ratio_of =
            |t: &MachineType| if t.spot_price > 0.0 { t.price / t.spot_price } else { 1.0 };
        let max_price_ratio = self.types.iter().map(price_ratio_of).fold(1.0, f64::max);
        let load = self.spot_load();
        let load_one_boot_ago = self.spot_loads.oldest().unwrap_or(load);
        let variation = load.sqrt() * self.settings.operator.headroom * max_price_ratio;
        (variation + (load - load_one_boot_ago).max(0.0)).round() as usize
    }

    /// Returns the load, in machines, of work that may use spot machines and whose class has an
    /// objective.
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

    /// Records the present load of work that may use spot machines. The history covers the longest
    /// boot time of any machine type.
    pub(super) fn record_spot_load(&mut self, now: Instant) {
        let boot_s = self.types.iter().map(|t| t.boot_s).fold(0.0, f64::max);
        let load = self.spot_load();
        self.spot_loads.record(load, Duration::from_secs_f64(boot_s), now);
    }

    /// Returns the free capacity of ordinary machines that hold tasks, in machines.
    fn free_on_occupied_machines(&self) -> f64 {
        let occupied = self.fleet.machines.values().filter(|m| !m.spot && !m.bound.is_empty());
        occupied.filter_map(|machine| self.free_share(machine)).sum()
    }

    /// Returns the share of a machine that its tasks leave free, or None if the machine's type or
    /// the job of one of the tasks is unknown.
    fn free_share(&self, machine: &Machine) -> Option<f64> {
        let machine_type = self.types.by_name(&machine.machine_type)?;
        let mut used = Resources::default();
        for key in &machine.bound {
            let job = self.jobs.get(&key.job)?;
            used.add(&Resources::of_task(&job.spec));
        }
        Some((1.0 - used.share_of(&Resources::of_type(machine_type))).max(0.0))
    }

    /// Returns within how many seconds a job's tasks should start, if the job's class has a waiting
    /// objective.
    pub(super) fn wait_objective_s(&self, spec: &JobSpec) -> Option<f64> {
        let objectives = &self.settings.cluster.objectives;
        objectives
            .iter()
            .find(|o| o.kind == "wait" && o.class.as_ref().is_some_and(|c| *c == spec.class))
            .and_then(|o| o.within_s)
    }
}
