//! Worker incarnations that end: by proof of lease expiry, by a later one, or by the
//! deletion of the machine. Their tasks are confirmed terminated.

use tokio::time::Instant;
use tracing::info;

use super::Leader;
use crate::{
    fleet::{Machine, TaskKey},
    protocol::MachineId,
};

impl Leader {
    /// Ends incarnations whose lease expired, with proof of it. `sole_renewer_since`:
    /// since when surely no other controller has renewed workers' leases.
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

    /// The latest incarnation known of a machine. One that was never in contact with this
    /// leader has the incarnations that the records name.
    fn latest_incarnation(&self, machine: &Machine) -> u64 {
        let recorded =
            |key: &TaskKey| Some(self.jobs.get(&key.job)?.bound.get(&key.task)?.incarnation);
        let recorded = machine.bound.iter().filter_map(recorded).max();
        machine.latest_heartbeat.incarnation.max(recorded.unwrap_or(0))
    }

    /// All tasks of incarnations before `incarnation` are gone from a machine.
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
                info!(job = %key.job, task = key.task, machine = %id, "task lost with its worker's incarnation");
                self.confirm_terminated(&key, now);
            }
        }
        if let Some(machine) = self.fleet.machines.get_mut(id) {
            machine.idle_since.get_or_insert(now);
        }
    }

    /// Whether this controller alone seems cut off from the workers. Found out late,
    /// a successor would have no time left to be found by them within their
    /// lease: they search for it only after a response has failed to come.
    pub fn is_isolated_from_workers(&self, now: Instant) -> bool {
        now > self.started + self.settings.worker_lease()
            && self.fleet.is_mostly_silent(now, self.settings.heartbeat_interval() * 5 / 2)
    }
}
