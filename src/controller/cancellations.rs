//! Tasks of cancelled jobs that the commands in heartbeat responses don't stop in time: they are
//! stopped by direct commands, and finally by returning their machines.

use tokio::time::{Duration, Instant};

use super::{Leader, state_service::StateService};
use crate::{
    fleet::{Machine, ReturnReason},
    protocol::MachineId,
};

/// How long a worker may send no heartbeat before it gets direct stop commands for cancelled
/// tasks, in heartbeat intervals.
const SILENT_INTERVALS: u32 = 2;

impl Leader {
    /// Queues direct stop commands for cancelled tasks on machines that send no heartbeats, since
    /// there is no heartbeat response to carry the commands. Each sweep repeats this.
    pub(super) fn stop_cancelled_directly(&mut self, now: Instant) {
        let max_silence = self.settings.heartbeat_interval() * SILENT_INTERVALS;
        for job in self.jobs.values().filter(|job| job.ended.is_some()) {
            for binding in job.bound.values() {
                let machine = self.fleet.machines.get(&binding.machine);
                let is_silent =
                    |m: &Machine| m.last_heartbeat.is_none_or(|at| now > at + max_silence);
                let may_call = |m: &Machine| !m.address.is_empty() && !m.commands_in_flight;
                if machine.is_some_and(|m| is_silent(m) && may_call(m)) {
                    self.direct_calls.push(binding.machine.clone());
                }
            }
        }
    }

    /// Returns machines that still hold tasks of a cancelled job at the job's deadline for
    /// machine returns.
    ///
    /// The tasks must have terminated within `cancel_s`, even on a machine that can't be reached
    /// or that may still start one of them. While the state service is unavailable only the
    /// machines that sent this controller a heartbeat within the last worker lease are returned,
    /// since this controller keeps their leases alive. The leases of the others expire, or are
    /// renewed by a controller that learns of the cancellation in time.
    pub(super) fn return_machines_with_cancelled_tasks(
        &mut self,
        now: Instant,
        state_service: StateService,
    ) {
        let limit = Duration::from_secs_f64(self.settings.cluster.workers.cancel_s);
        let lease = self.settings.worker_lease();
        let available = state_service == StateService::Available;
        let lease_renewed_here = |id: &MachineId| {
            let machine = self.fleet.machines.get(id);
            machine.and_then(|m| m.last_heartbeat).is_some_and(|at| now < at + lease)
        };
        let mut overdue = Vec::new();
        for job in self.jobs.values() {
            if job.ended.is_some_and(|end| now > end.machine_return_deadline(limit, lease)) {
                let machines = job.bound.values().map(|binding| &binding.machine);
                overdue.extend(machines.filter(|id| available || lease_renewed_here(id)).cloned());
            }
        }
        for id in overdue {
            self.return_machine(&id, ReturnReason::UnstoppableTask, now);
        }
    }

    /// Records that a job's end may have been confirmed to the job's user at `at`, but no earlier.
    pub fn record_confirmed_end(&mut self, id: &str, at: Instant) {
        if let Some(end) = self.jobs.get_mut(id).and_then(|job| job.ended.as_mut()) {
            end.confirmed_at = end.confirmed_at.min(at);
        }
    }
}
