//! Scale-out: chooses the machines to provision for unplaced tasks and for headroom.

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

/// Tasks of a job for which no ready machine has capacity.
pub struct UnplacedTasks {
    /// The job's index in the snapshot.
    pub job_index: usize,
    /// The number of such tasks.
    pub count: usize,
}

/// Decides which machines to provision: for the unplaced tasks that the booting machines can't
/// take either, and for headroom.
pub fn scale_out(
    snapshot: &mut Snapshot<'_>,
    unplaced: &[UnplacedTasks],
    decisions: &mut Decisions,
) {
    let existing_count = snapshot.machines.len();
    for tasks in unplaced {
        let remaining = fill_booting_machines(snapshot, tasks, existing_count, decisions);
        add_machines(snapshot, tasks.job_index, remaining);
    }
    let mut counts: BTreeMap<MachineKind, u32> = BTreeMap::new();
    add_headroom(snapshot, &mut counts);
    for machine in &snapshot.machines[existing_count..] {
        *counts.entry(machine.kind()).or_default() += 1;
    }
    decisions.scale_out =
        counts.into_iter().map(|(kind, count)| ScaleOut { kind, count }).collect();
}

/// Binds tasks tentatively to machines that boot, or that this pass provisions for other jobs
/// (the machines from index `existing_count` on). Returns the number of tasks that remain.
fn fill_booting_machines(
    snapshot: &mut Snapshot<'_>,
    tasks: &UnplacedTasks,
    existing_count: usize,
    decisions: &mut Decisions,
) -> usize {
    let found = find_machines(snapshot, tasks.job_index, tasks.count, MachineReadiness::Booting);
    let remaining = tasks.count - found.len();
    for machine_index in found {
        if machine_index < existing_count {
            decisions.machines_to_keep.push(snapshot.machines[machine_index].id.clone());
        }
        bind_tentatively(snapshot, tasks.job_index, machine_index);
    }
    remaining
}

/// Adds machines to the snapshot for `tasks` more tasks of a job, as far as there is a kind that
/// the cloud may provision.
fn add_machines(snapshot: &mut Snapshot<'_>, job_index: usize, mut tasks: usize) {
    while tasks > 0 {
        let Some(kind) = cheapest_kind(snapshot, job_index) else { break };
        let machine_index = add_machine(snapshot, kind);
        let need = Resources::of_task(&snapshot.jobs[job_index].spec);
        while tasks > 0 && snapshot.machines[machine_index].free.has_capacity_for(&need) {
            if !ZoneConstraint::of(snapshot, &snapshot.jobs[job_index]).allows(kind.zone) {
                break;
            }
            bind_tentatively(snapshot, job_index, machine_index);
            tasks -= 1;
        }
    }
}

/// Adds a machine that is yet to be provisioned to the snapshot, and returns its index.
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

/// Adds the empty machines that are missing for headroom to the counts.
fn add_headroom(snapshot: &Snapshot<'_>, counts: &mut BTreeMap<MachineKind, u32>) {
    let targets = [(false, snapshot.headroom_machines), (true, snapshot.headroom_spot_machines)];
    for (spot, headroom) in targets {
        let empty = snapshot.machines.iter().filter(|m| m.empty && m.spot == spot).count();
        if let Some(kind) = headroom_kind(snapshot, spot)
            && empty < headroom
        {
            *counts.entry(kind).or_default() += (headroom - empty) as u32;
        }
    }
}

/// A kind of machine with the values by which kinds are compared.
struct Offer {
    /// The price of an hour of one GPU or core of the machine, or of the share of the machine that
    /// a task takes.
    price: f64,
    /// The number of machines in the kind's zone.
    machines_in_zone: usize,
    kind: MachineKind,
}

/// The kind of machine to provision for headroom: the cheapest for its GPUs (or cores, if it has
/// more of these), in the zone with the fewest machines.
fn headroom_kind(snapshot: &Snapshot<'_>, spot: bool) -> Option<MachineKind> {
    let mut offers: Vec<Offer> = Vec::new();
    for (machine_type, t) in snapshot.types.iter().enumerate() {
        for zone in t.zones.iter().filter_map(|z| snapshot.settings.zone_index(z)) {
            let kind = MachineKind { machine_type, zone, spot };
            if snapshot.may_provision(&kind) {
                let price = price_of(t, spot) / t.gpus.max(t.cpus);
                offers.push(Offer {
                    price,
                    machines_in_zone: count_machines_in(snapshot, zone),
                    kind,
                });
            }
        }
    }
    offers.sort_by(|a, b| {
        a.price.total_cmp(&b.price).then(a.machines_in_zone.cmp(&b.machines_in_zone))
    });
    offers.first().map(|offer| offer.kind)
}

/// The kind of machine on which one more task of a job costs least, in the zone with the fewest
/// machines so far.
fn cheapest_kind(snapshot: &Snapshot<'_>, job_index: usize) -> Option<MachineKind> {
    let job = &snapshot.jobs[job_index];
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
                if !snapshot.may_provision(&kind) || !zones.allows(zone) {
                    continue;
                }
                let offer =
                    Offer { price, machines_in_zone: count_machines_in(snapshot, zone), kind };
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

fn count_machines_in(snapshot: &Snapshot<'_>, zone: u8) -> usize {
    snapshot.machines.iter().filter(|machine| machine.zone == zone).count()
}
