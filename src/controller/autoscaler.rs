//! Scaling of the fleet: which machines are requested from the cloud and returned to it, and the
//! cloud's responses.

use tokio::time::{Duration, Instant};
use tracing::info;

use super::Leader;
use crate::{
    fleet::{Machine, MachineReturn, ReturnReason, TerminationProof},
    protocol::{ListedMachine, MachineId, MachineType, ProvisionRequest},
    scheduler::{MachineKind, ScaleOut},
};

/// The shortest idle time before a machine is returned, in heartbeat intervals. A machine takes
/// tasks only from its second heartbeat on, so where boots are short, a share of the boot time
/// alone would return new machines before a task could be placed on them.
const MIN_IDLE_INTERVALS: u32 = 3;

/// Deleted machines are remembered for the sum of the lag of the cloud's lists and a worker
/// lease, multiplied by this factor, since late lists and heartbeats may still name them.
const DELETED_RETENTION_FACTOR: u32 = 10;

/// A kind of machine that the cloud ran out of is requested again after the boot time divided by
/// this.
const EXHAUSTED_WAIT_BOOT_DIVISOR: f64 = 4.0;

/// A machine that has been idle for long enough to be returned. The derived order puts spot
/// machines first, and among machines of the same sort the longest idle first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct IdleMachine {
    ordinary: bool,
    idle_since: Instant,
    id: MachineId,
}

impl Leader {
    /// Returns machines to the cloud that are of no further use (see `ReturnReason`), and idle
    /// machines beyond the headroom. Forgets machines that were deleted long ago.
    pub(super) fn scale_in(&mut self, now: Instant, proof: TerminationProof) {
        let boot_s = |type_name: &str| self.types.boot_s(type_name);
        let returns = self.fleet.machines_to_return(&self.settings, boot_s, proof, now);
        for MachineReturn { machine, reason } in returns {
            self.return_machine(&machine, reason, now);
        }
        self.record_spot_load(now);
        self.return_idle_machines(now);
        let lag_s = self.settings.cluster.cloud.list_lag_s * f64::from(DELETED_RETENTION_FACTOR);
        let retention = Duration::from_secs_f64(lag_s)
            + self.settings.worker_lease() * DELETED_RETENTION_FACTOR;
        self.fleet.forget_deleted(now, retention);
    }

    /// Returns idle machines, except for the headroom. Of ordinary and of spot machines, those that
    /// became idle last are kept.
    fn return_idle_machines(&mut self, now: Instant) {
        let (headroom, headroom_spot) = (self.headroom_machines(), self.headroom_spot_machines());
        let mut idle = self.idle_machines(now);
        idle.sort();
        let ordinary = idle.iter().filter(|machine| machine.ordinary).count();
        let mut ordinary_to_keep = headroom.min(ordinary);
        let mut spot_to_keep = headroom_spot.min(idle.len() - ordinary);
        for machine in idle.into_iter().rev() {
            let to_keep = if machine.ordinary { &mut ordinary_to_keep } else { &mut spot_to_keep };
            if *to_keep > 0 {
                *to_keep -= 1;
            } else {
                self.return_machine(&machine.id, ReturnReason::Idle, now);
            }
        }
    }

    /// Lists the machines that have been idle for longer than the settings allow.
    fn idle_machines(&self, now: Instant) -> Vec<IdleMachine> {
        let min_idle = self.settings.heartbeat_interval() * MIN_IDLE_INTERVALS;
        // Idle time counts from the end of an outage of the state service: no task could be placed
        // during the outage, and the next pass places the work that waited.
        let outage_end = self.state_available_since.unwrap_or(now);
        let candidates = self
            .fleet
            .machines
            .iter()
            .filter(|(_, m)| m.bound.is_empty() && !m.deleting && m.has_reported());
        candidates
            .filter_map(|(id, machine)| {
                let idle_since = machine.idle_since?.max(outage_end);
                let boot_s = self.types.boot_s(&machine.machine_type);
                let max_idle_s = boot_s * self.settings.operator.idle_boots;
                let max_idle = Duration::from_secs_f64(max_idle_s).max(min_idle);
                (now > idle_since + max_idle).then(|| IdleMachine {
                    ordinary: !machine.spot,
                    idle_since,
                    id: id.clone(),
                })
            })
            .collect()
    }

    /// Requests the return of a machine to the cloud, unless that was requested before.
    pub(super) fn return_machine(&mut self, id: &MachineId, reason: ReturnReason, now: Instant) {
        let Some(machine) = self.fleet.machines.get_mut(id) else { return };
        if machine.deleting {
            return;
        }
        machine.deleting = true;
        info!(
            machine = %id, zone = %machine.zone, spot = machine.spot, reason = reason.as_str(),
            silent_s = machine.silence(now).as_secs_f64(), "machine return requested"
        );
        self.provisioning.request_deletion([id.clone()]);
    }

    /// Creates provisioning requests for the machines that the scheduler decided to add.
    pub(super) fn scale_out(&mut self, scale_outs: Vec<ScaleOut>) {
        let token = self.tokens.first();
        for ScaleOut { kind, count } in scale_outs {
            let MachineKind { machine_type, zone, spot } = kind;
            let (Some(machine_type), Some(zone)) =
                (self.types.get(machine_type), self.settings.cluster.zones.get(usize::from(zone)))
            else {
                continue;
            };
            let request = ProvisionRequest {
                request: String::new(),
                machine_type: machine_type.name.clone(),
                zone: zone.clone(),
                spot,
                count,
            };
            if let Some(request) = self.provisioning.request(token, request) {
                info!(request = %request.request, machine_type = %request.machine_type, zone = %request.zone, spot, count, "machines requested");
            }
        }
    }

    /// Returns the provisioning requests to send now.
    pub fn take_provision_requests(&mut self) -> Vec<ProvisionRequest> {
        self.provisioning.take_requests()
    }

    /// Processes the cloud's response to a provisioning request. `machines`: the provisioned
    /// machines, or None if the cloud has none for now.
    pub fn on_provisioned(
        &mut self,
        request: &ProvisionRequest,
        machines: Option<Vec<MachineId>>,
        now: Instant,
    ) {
        self.provisioning.finish(request);
        let machines = machines.unwrap_or_default();
        if machines.len() < request.count as usize {
            self.record_exhausted(request, now);
        }
        for id in machines {
            if self.fleet.deleted_machines.contains_key(&id) {
                continue;
            }
            self.fleet.machines.entry(id).or_insert_with(|| {
                let (type_name, zone) = (request.machine_type.clone(), request.zone.clone());
                Machine::new(type_name, zone, request.spot, now)
            });
        }
        self.record_change();
        self.timers.request_round();
    }

    /// Records that the cloud has no more machines of the requested kind for now.
    fn record_exhausted(&mut self, request: &ProvisionRequest, now: Instant) {
        let Some(machine_type) = self.types.index_of(&request.machine_type) else { return };
        let Some(zone) = self.settings.zone_index(&request.zone) else { return };
        let boot_s = self.types.boot_s(&request.machine_type);
        let until = now + Duration::from_secs_f64(boot_s / EXHAUSTED_WAIT_BOOT_DIVISOR);
        info!(
            machine_type = %request.machine_type, zone = %request.zone, spot = request.spot,
            "machine kind exhausted in the cloud"
        );
        let kind = MachineKind { machine_type, zone, spot: request.spot };
        self.provisioning.mark_exhausted(kind, until);
    }

    /// Returns the machines to delete now, at most as many as one call to the cloud takes.
    pub fn take_deletions(&mut self) -> Vec<MachineId> {
        self.provisioning.take_deletions()
    }

    /// Records that the cloud deleted machines, which proves that all tasks on them terminated.
    pub fn on_deleted(&mut self, machines: &[MachineId], now: Instant) {
        for id in machines {
            self.end_incarnations_before(id, u64::MAX, now);
            self.fleet.machines.remove(id);
            self.fleet.deleted_machines.insert(id.clone(), now);
        }
        self.record_change();
    }

    /// Requests the deletion of machines again after a deletion call without a response.
    pub fn on_deletion_failed(&mut self, machines: Vec<MachineId>) {
        self.provisioning.request_deletion(machines);
    }

    /// Processes a list of the cloud's machines.
    pub fn on_list(&mut self, list: &[ListedMachine], now: Instant) {
        for listed in list {
            // A machine that only bindings in the records name has no known type yet.
            if let Some(machine) = self.fleet.machines.get_mut(&listed.id) {
                if machine.machine_type.is_empty() {
                    machine.machine_type = listed.machine_type.clone();
                    machine.spot = listed.spot;
                    self.record_change();
                }
            } else {
                self.record_change();
            }
        }
        self.fleet.record_listed_machines(list, now);
    }

    /// Processes the list of the cloud's machine types.
    pub fn on_machine_types(&mut self, types: Vec<MachineType>) {
        if self.types.update(types) {
            self.record_change();
        }
    }
}
