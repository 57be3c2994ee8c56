//! Scale out: which machines to provision for what finds no place, and for headroom.

use std::collections::BTreeMap;

use super::{
    bin_packing::{MachineReadiness, find_machines},
    decisions::{Decisions, ScaleOut},
    eligibility::{ZoneConstraint, is_eligible},
    resources::Resources,
    snapshot::{Snapshot, bind_tentatively},
    view::{MachineKind, MachineView},
};
use crate::protocol::{MachineId, MachineType};

/// Tasks of a job that no running machine takes.
pub struct UnplacedTasks {
    /// The job's place in the snapshot.
    pub job: usize,
    /// How many.
    pub count: usize,
}

/// Provisions machines for tasks that no running machine takes, after the booting
/// machines are filled tentatively, and for headroom.
pub fn scale_out(
    snapshot: &mut Snapshot<'_>,
    unplaced: &[UnplacedTasks],
    decisions: &mut Decisions,
) {
    let existing = snapshot.machines.len();
    for tasks in unplaced {
        let left = fill_booting_machines(snapshot, tasks, existing, decisions);
        add_machines(snapshot, tasks.job, left);
    }
    let mut counts: BTreeMap<MachineKind, u32> = BTreeMap::new();
    add_headroom(snapshot, &mut counts);
    for machine in &snapshot.machines[existing..] {
        *counts.entry(machine.kind()).or_default() += 1;
    }
    decisions.scale_out =
        counts.into_iter().map(|(kind, count)| ScaleOut { kind, count }).collect();
}

/// Binds tasks tentatively to machines that boot, or that this pass provisions for other
/// jobs: those after the first `existing`. Returns how many tasks are left.
fn fill_booting_machines(
    snapshot: &mut Snapshot<'_>,
    tasks: &UnplacedTasks,
    existing: usize,
    decisions: &mut Decisions,
) -> usize {
    let found = find_machines(snapshot, tasks.job, tasks.count, MachineReadiness::Booting);
    let left = tasks.count - found.len();
    for machine in found {
        if machine < existing {
            decisions.machines_to_keep.push(snapshot.machines[machine].id.clone());
        }
        bind_tentatively(snapshot, tasks.job, machine);
    }
    left
}

/// Adds machines to the snapshot until they hold so many more tasks of a job, as far as
/// the cloud may have some.
fn add_machines(snapshot: &mut Snapshot<'_>, job: usize, mut tasks: usize) {
    while tasks > 0 {
        let Some(kind) = cheapest_kind(snapshot, job) else { break };
        let machine = add_machine(snapshot, kind);
        let need = Resources::of_task(&snapshot.jobs[job].spec);
        while tasks > 0 && snapshot.machines[machine].free.has_capacity_for(&need) {
            if !ZoneConstraint::of(snapshot, &snapshot.jobs[job]).allows(kind.zone) {
                break;
            }
            bind_tentatively(snapshot, job, machine);
            tasks -= 1;
        }
    }
}

/// Adds a machine that is yet to be provisioned, and returns its place.
fn add_machine(snapshot: &mut Snapshot<'_>, kind: MachineKind) -> usize {
    snapshot.machines.push(MachineView {
        id: MachineId::from(""),
        machine_type: kind.machine_type,
        zone: kind.zone,
        spot: kind.spot,
        free: Resources::of_type(&snapshot.types[kind.machine_type]),
        stopping: Resources::default(),
        ready: false,
        empty: true,
        allocated_in_pass: false,
        reservation: None,
        images: Vec::new(),
    });
    snapshot.machines.len() - 1
}

/// Counts the empty machines that headroom lacks.
fn add_headroom(snapshot: &Snapshot<'_>, counts: &mut BTreeMap<MachineKind, u32>) {
    let wanted = [(false, snapshot.headroom_machines), (true, snapshot.headroom_spot_machines)];
    for (spot, headroom) in wanted {
        let empty = snapshot.machines.iter().filter(|m| m.empty && m.spot == spot).count();
        if let Some(kind) = headroom_kind(snapshot, spot)
            && empty < headroom
        {
            *counts.entry(kind).or_default() += (headroom - empty) as u32;
        }
    }
}

/// A kind of machine with what decides between kinds.
struct Offer {
    /// The price of an hour for its room, or for the part of it that a task takes.
    price: f64,
    /// How many machines its zone has.
    machines_in_zone: usize,
    kind: MachineKind,
}

/// The kind of a machine for headroom: the cheapest one for its room, in the zone with
/// the fewest machines.
fn headroom_kind(snapshot: &Snapshot<'_>, spot: bool) -> Option<MachineKind> {
    let mut offers: Vec<Offer> = Vec::new();
    for (machine_type, t) in snapshot.types.iter().enumerate() {
        for zone in t.zones.iter().filter_map(|z| snapshot.settings.zone_index(z)) {
            let kind = MachineKind { machine_type, zone, spot };
            if snapshot.may_be_provisioned(&kind) {
                let price = price_of(t, spot) / t.gpus.max(t.cpus);
                offers.push(Offer { price, machines_in_zone: count_in(snapshot, zone), kind });
            }
        }
    }
    offers.sort_by(|a, b| {
        a.price.total_cmp(&b.price).then(a.machines_in_zone.cmp(&b.machines_in_zone))
    });
    offers.first().map(|offer| offer.kind)
}

/// The cheapest kind of machine that one more task may go to, in the zone
/// with the fewest machines so far.
fn cheapest_kind(snapshot: &Snapshot<'_>, job: usize) -> Option<MachineKind> {
    let job = &snapshot.jobs[job];
    let zones = ZoneConstraint::of(snapshot, job);
    let mut best: Option<Offer> = None;
    for (machine_type, t) in snapshot.types.iter().enumerate() {
        for spot in [true, false] {
            if !is_eligible(&job.spec, t, spot) {
                continue;
            }
            let share = Resources::of_task(&job.spec).share_of(&Resources::of_type(t));
            let price = price_of(t, spot) * share;
            for zone in t.zones.iter().filter_map(|z| snapshot.settings.zone_index(z)) {
                let kind = MachineKind { machine_type, zone, spot };
                if !snapshot.may_be_provisioned(&kind) || !zones.allows(zone) {
                    continue;
                }
                let offer = Offer { price, machines_in_zone: count_in(snapshot, zone), kind };
                if best.as_ref().is_none_or(|best| offer.is_cheaper_than(best)) {
                    best = Some(offer);
                }
            }
        }
    }
    best.map(|offer| offer.kind)
}

impl Offer {
    fn is_cheaper_than(&self, other: &Self) -> bool {
        (self.price, self.machines_in_zone) < (other.price, other.machines_in_zone)
    }
}

fn price_of(machine_type: &MachineType, spot: bool) -> f64 {
    if spot { machine_type.spot_price } else { machine_type.price }
}

fn count_in(snapshot: &Snapshot<'_>, zone: u8) -> usize {
    snapshot.machines.iter().filter(|machine| machine.zone == zone).count()
}
