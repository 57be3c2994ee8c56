//! Bin packing: chooses the machines for a job's tasks by placement cost, one task after the
//! other.

use std::{
    cmp::Ordering,
    collections::{BinaryHeap, HashMap},
};

use super::{
    eligibility::{MachineEligibility, ZoneConstraint, is_eligible},
    resources::Resources,
    snapshot::Snapshot,
    view::{JobView, MachineKind, MachineView},
};

/// An image fetch may take a third longer than the machine type's rate predicts.
const SLOW_FETCH_FACTOR: f64 = 4.0 / 3.0;

/// Seconds that a machine needs to fetch a job's image; 0 if it holds the image already.
pub fn image_fetch_s(snapshot: &Snapshot<'_>, job_index: usize, machine_index: usize) -> f64 {
    fetch_s_for_job(snapshot, &snapshot.jobs[job_index], machine_index)
}

/// Same as `image_fetch_s`, for a job's view.
fn fetch_s_for_job(snapshot: &Snapshot<'_>, job: &JobView, machine_index: usize) -> f64 {
    let view = &snapshot.machines[machine_index];
    let rate = snapshot.type_of(machine_index).fetch_gb_per_s;
    if rate <= 0.0 || view.images.contains(&job.spec.image) {
        0.0
    } else {
        job.spec.image_gb / rate
    }
}

/// Which machines a search considers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineReadiness {
    /// Machines that can start tasks now.
    Ready,
    /// Machines that boot, or that this pass provisions.
    Booting,
}

/// Indexes of the machines for up to `count` more tasks of a job, one entry a task; all in one
/// zone if the job requires that.
pub fn find_machines(
    snapshot: &Snapshot<'_>,
    job_index: usize,
    count: usize,
    readiness: MachineReadiness,
) -> Vec<usize> {
    let job = &snapshot.jobs[job_index];
    let zones = ZoneConstraint::of(snapshot, job);
    // Empty ordinary machines cost more, and other jobs need them whole: a job that may use
    // spot machines doesn't start on one while the cloud can provision spot machines.
    let spot_may_be_provisioned = job.spec.spot && may_provision_spot(snapshot, job);
    let eligibility = MachineEligibility::of(snapshot, job);
    let eligible: Vec<usize> = (0..snapshot.machines.len())
        .filter(|&m| {
            let machine = &snapshot.machines[m];
            machine.ready == (readiness == MachineReadiness::Ready)
                && eligibility.accepts(machine)
                && machine.accepts_tasks_of(&job.id)
                && !job.avoided_machines.contains(&machine.id)
                && !(spot_may_be_provisioned && machine.empty && !machine.spot)
        })
        .collect();
    if job.spec.one_zone && job.spec.tasks > 1 && job.bound.is_empty() {
        // Prefers a zone that has capacity for all tasks or where machines can be provisioned,
        // then the zone with capacity for the most tasks.
        return (0..snapshot.settings.cluster.zones.len() as u8)
            .map(|zone| {
                let in_zone: Vec<usize> = eligible
                    .iter()
                    .copied()
                    .filter(|&m| snapshot.machines[m].zone == zone)
                    .collect();
                (zone, cheapest_machines(snapshot, job, &in_zone, count, zones.clone()))
            })
            .max_by_key(|(zone, found)| {
                (found.len() == count || may_provision_in_zone(snapshot, job, *zone), found.len())
            })
            .map(|(_, found)| found)
            .unwrap_or_default();
    }
    cheapest_machines(snapshot, job, &eligible, count, zones)
}

/// Whether a kind of machine that the job may use is not marked exhausted in a zone.
pub(super) fn may_provision_in_zone(snapshot: &Snapshot<'_>, job: &JobView, zone: u8) -> bool {
    snapshot.types.iter().enumerate().any(|(machine_type, t)| {
        let is_offered = t.zones.iter().any(|z| snapshot.settings.zone_index(z) == Some(zone));
        is_offered
            && [false, true].iter().any(|&spot| {
                is_eligible(&job.spec, t, spot)
                    && snapshot.may_provision(&MachineKind { machine_type, zone, spot })
            })
    })
}

/// Whether a kind of spot machine that may take one more task of the job is not marked
/// exhausted.
fn may_provision_spot(snapshot: &Snapshot<'_>, job: &JobView) -> bool {
    let zones = ZoneConstraint::of(snapshot, job);
    snapshot.types.iter().enumerate().any(|(machine_type, t)| {
        let mut offered_in = t.zones.iter().filter_map(|z| snapshot.settings.zone_index(z));
        is_eligible(&job.spec, t, true)
            && offered_in.any(|zone| {
                let kind = MachineKind { machine_type, zone, spot: true };
                zones.allows(zone) && snapshot.may_provision(&kind)
            })
    })
}

/// Chooses the machine with the lowest placement cost for one task after the other. Each choice
/// changes the cost of the chosen machine only, so the heap stays valid for all others.
fn cheapest_machines(
    snapshot: &Snapshot<'_>,
    job: &JobView,
    eligible: &[usize],
    count: usize,
    mut zones: ZoneConstraint<'_>,
) -> Vec<usize> {
    let need = Resources::of_task(&job.spec);
    snapshot.count_evaluated(eligible.len());
    let mut free: HashMap<usize, Resources> = HashMap::new();
    let mut candidates: BinaryHeap<PlacementCandidate> = eligible
        .iter()
        .map(|&m| (m, &snapshot.machines[m].free))
        .filter(|(_, free)| free.has_capacity_for(&need))
        .map(|(machine_index, free)| PlacementCandidate {
            cost: placement_cost(snapshot, job, machine_index, free, EarlierPlacement::None),
            machine_index,
        })
        .collect();
    let mut found = Vec::new();
    while found.len() < count
        && let Some(PlacementCandidate { machine_index, .. }) = candidates.pop()
    {
        // A zone that allows no more tasks won't allow any later in this search, as the task
        // counts of the zones only grow.
        if !zones.allows(snapshot.machines[machine_index].zone) {
            continue;
        }
        zones.add_task(snapshot.machines[machine_index].zone);
        found.push(machine_index);
        let free = free.entry(machine_index).or_insert(snapshot.machines[machine_index].free);
        free.sub(&need);
        if free.has_capacity_for(&need) {
            snapshot.count_evaluated(1);
            candidates.push(PlacementCandidate {
                cost: placement_cost(
                    snapshot,
                    job,
                    machine_index,
                    free,
                    EarlierPlacement::SameMachine,
                ),
                machine_index,
            });
        }
    }
    found
}

/// A machine that could take one more task. The order is reversed, since `BinaryHeap` yields
/// the greatest element: lower costs are greater, and of equal costs the lower index.
struct PlacementCandidate {
    cost: f64,
    machine_index: usize,
}

impl Ord for PlacementCandidate {
    fn cmp(&self, other: &Self) -> Ordering {
        other.cost.total_cmp(&self.cost).then(other.machine_index.cmp(&self.machine_index))
    }
}

impl PartialOrd for PlacementCandidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for PlacementCandidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for PlacementCandidate {}

/// Whether the same search has chosen the machine for an earlier task already.
#[derive(Clone, Copy, PartialEq)]
enum EarlierPlacement {
    None,
    SameMachine,
}

/// The cost of placing one task on a machine, in seconds: the fetch of an image that the
/// machine lacks, the use of an empty machine for a small task, the fragmented capacity that
/// remains, and the use of an ordinary machine for a task that could run on a spot machine.
fn placement_cost(
    snapshot: &Snapshot<'_>,
    job: &JobView,
    machine_index: usize,
    free: &Resources,
    earlier: EarlierPlacement,
) -> f64 {
    let chosen_before = earlier == EarlierPlacement::SameMachine;
    let view: &MachineView = &snapshot.machines[machine_index];
    let machine_type = snapshot.type_of(machine_index);
    let fetch_s = if chosen_before { 0.0 } else { fetch_s_for_job(snapshot, job, machine_index) };
    // A fetch that may make the job miss its wait objective costs an additional boot.
    let may_miss_objective = job
        .remaining_wait_s
        .is_some_and(|remaining_s| remaining_s > 0.0 && fetch_s * SLOW_FETCH_FACTOR > remaining_s);
    let fetch_s = if may_miss_objective { fetch_s + machine_type.boot_s } else { fetch_s };
    let total = Resources::of_type(machine_type);
    let needs_most_of_machine = Resources::of_task(&job.spec).share_of(&total) > 0.5;
    let empty_machine_s = if view.empty && !chosen_before && !needs_most_of_machine {
        machine_type.boot_s / 4.0
    } else {
        0.0
    };
    let fragmentation_s = free.share_of(&total) * machine_type.boot_s / 4.0;
    let ordinary_for_spot_s =
        if job.spec.spot && !view.spot { machine_type.boot_s / 2.0 } else { 0.0 };
    fetch_s + empty_machine_s + fragmentation_s + ordinary_for_spot_s
}
