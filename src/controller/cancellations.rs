//! Tasks of cancelled jobs that can't be stopped by the usual means in time.

use tokio::time::{Duration, Instant};

use super::{Leader, state_service::StateService};
use crate::{
    fleet::{Machine, ReturnReason},
    protocol::MachineId,
};

/// A worker without a heartbeat for this many intervals gets stop commands directly.
const SILENT_INTERVALS: u32 = 2;

impl Leader {
    /// Cancelled tasks on machines that send no heartbeats get direct stop commands,
    /// repeatedly: there is no response to carry any.
    pub(super) fn stop_cancelled_directly(&mut self, now: Instant) {
        let silent = self.settings.heartbeat_interval() * SILENT_INTERVALS;
        for job in self.jobs.values().filter(|job| job.ended.is_some()) {
            for binding in job.bound.values() {
                let machine = self.fleet.machines.get(&binding.machine);
                let is_silent = |m: &Machine| m.last_heartbeat.is_none_or(|at| now > at + silent);
                let may_call = |m: &Machine| !m.address.is_empty() && !m.commands_in_flight;
                if machine.is_some_and(|m| is_silent(m) && may_call(m)) {
                    self.direct_calls.push(binding.machine.clone());
                }
            }
        }
    }

    /// A cancelled job's tasks must be gone in time, even from a machine that
    /// can't be reached, or that may still start one: then the machine itself
    /// is returned. While the state service is unavailable, a silent machine's lease
    /// expires by itself, or whoever renews it knows of the cancellation in time; those
    /// that this controller keeps alive have to be returned then too.
    pub(super) fn return_machines_with_cancelled_tasks(
        &mut self,
        now: Instant,
        state_service: StateService,
    ) {
        let limit = Duration::from_secs_f64(self.settings.cluster.workers.cancel_s);
        let lease = self.settings.worker_lease();
        let available = state_service == StateService::Available;
        let kept_alive = |id: &MachineId| {
            let machine = self.fleet.machines.get(id);
            machine.and_then(|m| m.last_heartbeat).is_some_and(|at| now < at + lease)
        };
        let mut late = Vec::new();
        for job in self.jobs.values() {
            if job.ended.is_some_and(|end| now > end.machine_return_deadline(limit, lease)) {
                let machines = job.bound.values().map(|binding| &binding.machine);
                late.extend(machines.filter(|id| available || kept_alive(id)).cloned());
            }
        }
        for id in late {
            self.return_machine(&id, ReturnReason::UnstoppableTask, now);
        }
    }

    /// Records that a job's end was confirmed to its user no earlier than this.
    pub fn record_confirmed_end(&mut self, id: &str, at: Instant) {
        if let Some(end) = self.jobs.get_mut(id).and_then(|job| job.ended.as_mut()) {
            end.confirmed_at = end.confirmed_at.min(at);
        }
    }
}
