//! The end of worker incarnations: by a proved lease expiry, by a later incarnation, or by the
//! deletion of the machine. The tasks of an ended incarnation are confirmed terminated.

use tokio::time::Instant;
use tracing::info;

use super::Leader;
use crate::{
    fleet::{Machine, TaskKey},
    protocol::MachineId,
};

impl Leader {
    /// Ends incarnations whose leases are proved to have expired. `sole_renewer_since`: the instant
    /// since which certainly no other controller has renewed workers' leases, if there is one.
    pub(super) fn expire_incarnations(
        &mut self,
        now: Instant,
        sole_renewer_since: Option<Instant>,
    ) {
        let lease = self.settings.worker_lease();
        let expired: Vec<(MachineId, u64)> = self
            .fleet
            .machines
            .iter()
            .filter(|(_, machine)| machine.lease_expired(now, lease, sole_renewer_since))
            .map(|(id, machine)| (id.clone(), machine, self.latest_incarnation(machine)))
            .filter(|(_, machine, incarnation)| *incarnation > machine.last_ended_incarnation)
            .map(|(id, _, incarnation)| (id, incarnation))
            .collect();
        for (id, incarnation) in expired {
            info!(machine = %id, incarnation, "worker lease expired");
            if let Some(machine) = self.fleet.machines.get_mut(&id) {
                machine.last_ended_incarnation = incarnation;
            }
            self.end_incarnations_before(&id, incarnation + 1, now);
        }
    }

    /// Returns the latest known incarnation of a machine's worker. If the worker has not been in
    /// contact with this leader, the records of the tasks bound to the machine name it.
    fn latest_incarnation(&self, machine: &Machine) -> u64 {
        let bound_incarnation =
            |key: &TaskKey| Some(self.jobs.get(&key.job)?.bound.get(&key.task)?.incarnation);
        let recorded = machine.bound.iter().filter_map(bound_incarnation).max();
        machine.latest_heartbeat.incarnation.max(recorded.unwrap_or(0))
    }

    /// Confirms that all tasks on a machine of incarnations before `incarnation` terminated.
    pub(super) fn end_incarnations_before(
        &mut self,
        id: &MachineId,
        incarnation: u64,
        now: Instant,
    ) {
        let Some(machine) = self.fleet.machines.get(id) else { return };
        let bound: Vec<TaskKey> = machine.bound.iter().cloned().collect();
        for key in bound {
            let binding = self.jobs.get(&key.job).and_then(|job| job.bound.get(&key.task));
            if binding.is_some_and(|binding| binding.incarnation < incarnation) {
                info!(job = %key.job, task = key.task, machine = %id, "task lost, worker incarnation ended");
                self.confirm_terminated(&key, now);
            }
        }
        if let Some(machine) = self.fleet.machines.get_mut(id) {
            machine.idle_since.get_or_insert(now);
        }
    }

    /// Whether most workers are silent, so that this controller seems to be cut off from them.
    ///
    /// The limit of two and a half heartbeat intervals is short because workers look for another
    /// controller only after a response has failed to come. If this leader resigned later, they
    /// would not have enough time to find its successor within their leases.
    pub fn is_isolated_from_workers(&self, now: Instant) -> bool {
        now > self.started + self.settings.worker_lease()
            && self.fleet.is_mostly_silent(now, self.settings.heartbeat_interval() * 5 / 2)
    }
}
