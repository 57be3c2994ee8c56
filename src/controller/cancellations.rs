//! Cancelled tasks: when their jobs ended, and what is done with those that can't
//! be stopped in time.

use tokio::time::{Duration, Instant};

use super::Leader;
use crate::{
    fleet::{Machine, ReturnReason},
    protocol::MachineId,
};

/// When a job ended, as far as this controller knows.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownEnd {
    /// When this leader learned of it.
    pub(super) learned: Instant,
    /// The earliest time at which its user may have been told.
    pub(super) confirmed: Instant,
}

impl KnownEnd {
    pub(super) fn learned(now: Instant) -> Self {
        Self { learned: now, confirmed: now }
    }

    /// When machines that still hold its tasks are returned. All of them must be
    /// gone `limit` after the confirmation. Half of that is left for stopping
    /// them; what was learned late gets half a lease, but not beyond three
    /// quarters of the limit.
    pub(super) fn machine_return_deadline(&self, limit: Duration, lease: Duration) -> Instant {
        let late = (self.learned + lease / 2).min(self.confirmed + limit * 3 / 4);
        late.max(self.confirmed + limit / 2)
    }
}

impl Leader {
    /// Cancelled tasks on machines that don't report are told to stop directly,
    /// again and again: their answers carry no order.
    pub(super) fn stop_cancelled_directly(&mut self, now: Instant) {
        let silent = self.settings.heartbeat_interval() * 2;
        for job in self.jobs.values().filter(|j| j.ended.is_some()) {
            for binding in job.bound.values() {
                let machine = self.fleet.machines.get(&binding.machine);
                let away = |m: &Machine| m.last_heartbeat.is_none_or(|at| now > at + silent);
                if machine
                    .is_some_and(|m| away(m) && !m.address.is_empty() && !m.commands_in_flight)
                {
                    self.needs_command.push(binding.machine.clone());
                }
            }
        }
    }

    /// A cancelled job's tasks must be gone in time, even from a machine that
    /// can't be reached, or that may still start one: then the machine itself
    /// goes. While the service is paused, a silent machine's lease runs out by
    /// itself, or whoever renews it knows of the cancellation in time; those that
    /// this controller keeps alive have to be returned then too.
    pub(super) fn delete_machines_with_cancelled_tasks(&mut self, now: Instant, paused: bool) {
        let limit = Duration::from_secs_f64(self.settings.cluster.workers.cancel_s);
        let lease = self.settings.worker_lease();
        let kept_alive = |id: &MachineId| {
            let machine = self.fleet.machines.get(id);
            machine.and_then(|m| m.last_heartbeat).is_some_and(|at| now < at + lease)
        };
        let mut late = Vec::new();
        for job in self.jobs.values() {
            if job.ended.is_some_and(|ended| now > ended.machine_return_deadline(limit, lease)) {
                let machines = job.bound.values().map(|binding| &binding.machine);
                late.extend(machines.filter(|id| !paused || kept_alive(id)).cloned());
            }
        }
        for id in late {
            self.delete(&id, ReturnReason::UnstoppableTask, now);
        }
    }

    /// A job's end was confirmed to its user no earlier than this.
    pub fn confirmed_since(&mut self, id: &str, at: Instant) {
        if let Some(ended) = self.jobs.get_mut(id).and_then(|job| job.ended.as_mut()) {
            ended.confirmed = ended.confirmed.min(at);
        }
    }
}
