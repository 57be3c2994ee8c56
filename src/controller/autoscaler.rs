//! Scaling the fleet: which machines are requested and returned, and the cloud's answers.

use tokio::time::{Duration, Instant};
use tracing::info;

use super::Leader;
use crate::{
    fleet::{Machine, MachineReturn, ReturnReason, TerminationProof},
    protocol::{ListedMachine, MachineId, MachineType, ProvisionRequest},
    scheduler::{MachineKind, ScaleOut},
};

/// A machine takes tasks only from its second heartbeat on: where boots are short it must
/// not be returned before it could be of use, in heartbeat intervals.
const MIN_IDLE_INTERVALS: u32 = 3;

/// Deleted machines are remembered for this many times the lag of the cloud's lists, and
/// as many worker leases.
const DELETED_MEMORY_FACTOR: u32 = 10;

/// A kind that the cloud ran out of is asked for again after this part of a boot.
const EXHAUSTED_WAIT_BOOT_PARTS: f64 = 4.0;

/// A machine that has been idle for long enough to be returned. Its order: spot machines
/// first, then the longest idle.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct IdleMachine {
    ordinary: bool,
    since: Instant,
    id: MachineId,
}

impl Leader {
    /// Returns machines that are of no use any more, and idle ones beyond the headroom.
    pub(super) fn scale_in(&mut self, now: Instant, proof: TerminationProof) {
        let boot_s = |kind: &str| self.types.boot_s(kind);
        let returns = self.fleet.machines_to_return(&self.settings, boot_s, proof, now);
        for MachineReturn { machine, reason } in returns {
            self.return_machine(&machine, reason, now);
        }
        self.record_spot_load(now);
        self.return_idle_machines(now);
        let lag_s = self.settings.cluster.cloud.list_lag_s * f64::from(DELETED_MEMORY_FACTOR);
        let keep =
            Duration::from_secs_f64(lag_s) + self.settings.worker_lease() * DELETED_MEMORY_FACTOR;
        self.fleet.forget_deleted(now, keep);
    }

    /// Returns idle machines, but for the headroom: of each kind those that became idle
    /// last are kept.
    fn return_idle_machines(&mut self, now: Instant) {
        let (headroom, headroom_spot) = (self.headroom_machines(), self.headroom_spot_machines());
        let mut idle = self.idle_machines(now);
        idle.sort();
        let ordinary = idle.iter().filter(|machine| machine.ordinary).count();
        let mut keep_ordinary = headroom.min(ordinary);
        let mut keep_spot = headroom_spot.min(idle.len() - ordinary);
        for machine in idle.into_iter().rev() {
            let keep = if machine.ordinary { &mut keep_ordinary } else { &mut keep_spot };
            if *keep > 0 {
                *keep -= 1;
            } else {
                self.return_machine(&machine.id, ReturnReason::Idle, now);
            }
        }
    }

    /// Machines that have been idle for longer than the settings allow.
    fn idle_machines(&self, now: Instant) -> Vec<IdleMachine> {
        let min_idle = self.settings.heartbeat_interval() * MIN_IDLE_INTERVALS;
        // Idleness counts from the end of an outage: nothing could be placed
        // within it, and the work that waited is placed next.
        let outage_end = self.state_available_since.unwrap_or(now);
        let candidates = self
            .fleet
            .machines
            .iter()
            .filter(|(_, m)| m.bound.is_empty() && !m.deleting && m.has_reported());
        candidates
            .filter_map(|(id, machine)| {
                let since = machine.idle_since?.max(outage_end);
                let boot_s = self.types.boot_s(&machine.machine_type);
                let max_idle_s = boot_s * self.settings.operator.idle_boots;
                let max_idle = Duration::from_secs_f64(max_idle_s).max(min_idle);
                (now > since + max_idle).then(|| IdleMachine {
                    ordinary: !machine.spot,
                    since,
                    id: id.clone(),
                })
            })
            .collect()
    }

    /// Returns a machine to the cloud, unless that is under way.
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

    /// Requests machines.
    pub(super) fn scale_out(&mut self, wanted: Vec<ScaleOut>) {
        let token = self.tokens.first();
        for ScaleOut { kind, count } in wanted {
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

    /// The provisioning requests to send now.
    pub fn take_provision_requests(&mut self) -> Vec<ProvisionRequest> {
        self.provisioning.take_requests()
    }

    /// The cloud answered a request: with machines, or with none for now.
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
                let (kind, zone) = (request.machine_type.clone(), request.zone.clone());
                Machine::new(kind, zone, request.spot, now)
            });
        }
        self.record_change();
        self.timers.request_round();
    }

    /// The cloud has no more machines of the requested kind.
    fn record_exhausted(&mut self, request: &ProvisionRequest, now: Instant) {
        let Some(machine_type) = self.types.index_of(&request.machine_type) else { return };
        let Some(zone) = self.settings.zone_index(&request.zone) else { return };
        let boot_s = self.types.boot_s(&request.machine_type);
        let until = now + Duration::from_secs_f64(boot_s / EXHAUSTED_WAIT_BOOT_PARTS);
        info!(
            machine_type = %request.machine_type, zone = %request.zone, spot = request.spot,
            "machines exhausted in the cloud"
        );
        let kind = MachineKind { machine_type, zone, spot: request.spot };
        self.provisioning.mark_exhausted(kind, until);
    }

    /// The machines to return now, as many as one call to the cloud takes.
    pub fn take_deletions(&mut self) -> Vec<MachineId> {
        self.provisioning.take_deletions()
    }

    /// The cloud answered a deletion: proof of termination for everything on the machines.
    pub fn on_deleted(&mut self, machines: &[MachineId], now: Instant) {
        for id in machines {
            self.end_incarnations_before(id, u64::MAX, now);
            self.fleet.machines.remove(id);
            self.fleet.deleted_machines.insert(id.clone(), now);
        }
        self.record_change();
    }

    /// A deletion got no answer: it is requested again.
    pub fn on_deletion_failed(&mut self, machines: Vec<MachineId>) {
        self.provisioning.request_deletion(machines);
    }

    /// The cloud listed its machines.
    pub fn on_list(&mut self, list: &[ListedMachine], now: Instant) {
        for listed in list {
            // Bindings from the records name machines before their type is known.
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

    /// The cloud named its machine types.
    pub fn on_machine_types(&mut self, types: Vec<MachineType>) {
        if self.types.update(types) {
            self.record_change();
        }
    }
}
