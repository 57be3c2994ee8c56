//! The machines that a job's tasks take: the cheapest places one after the other.

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

/// A fetch may take a third longer than its machine type says.
const SLOW_FETCH: f64 = 4.0 / 3.0;

/// How long a machine needs for a job's image, if it has to be fetched.
pub fn fetch_s(snapshot: &Snapshot<'_>, at: usize, machine: usize) -> f64 {
    fetch_time_s(snapshot, &snapshot.jobs[at], machine)
}

fn fetch_time_s(snapshot: &Snapshot<'_>, job: &JobView, machine: usize) -> f64 {
    let view = &snapshot.machines[machine];
    let rate = snapshot.type_of(machine).fetch_gb_per_s;
    if rate <= 0.0 || view.images.contains(&job.spec.image) {
        0.0
    } else {
        job.spec.image_gb / rate
    }
}

/// The machines among which places are looked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineReadiness {
    /// Machines that take tasks now.
    Ready,
    /// Machines that boot, or that are to be provisioned.
    Booting,
}

/// Machines for up to `count` more tasks of a job, in one zone if it must be.
pub fn find_machines(
    snapshot: &Snapshot<'_>,
    at: usize,
    count: usize,
    readiness: MachineReadiness,
) -> Vec<usize> {
    let job = &snapshot.jobs[at];
    let zones = ZoneConstraint::of(snapshot, job);
    // An empty ordinary machine is dear and wanted whole by others: work that
    // may use spot machines leaves it alone while the cloud has those.
    let spot_is_obtainable = job.spec.spot && is_spot_obtainable(snapshot, job);
    let eligibility = MachineEligibility::of(snapshot, job);
    let open: Vec<usize> = (0..snapshot.machines.len())
        .filter(|&m| {
            let machine = &snapshot.machines[m];
            machine.ready == (readiness == MachineReadiness::Ready)
                && eligibility.accepts(machine)
                && machine.takes_tasks_of(&job.id)
                && !job.avoided_machines.contains(&machine.id)
                && !(spot_is_obtainable && machine.empty && !machine.spot)
        })
        .collect();
    if job.spec.one_zone && job.spec.tasks > 1 && job.bound.is_empty() {
        // The zone that takes the most tasks takes them all; if none takes
        // all, rather one where more machines can be had.
        return (0..snapshot.settings.cluster.zones.len() as u8)
            .map(|zone| {
                let here: Vec<usize> =
                    open.iter().copied().filter(|&m| snapshot.machines[m].zone == zone).collect();
                (zone, cheapest_places(snapshot, job, &here, count, zones.clone()))
            })
            .max_by_key(|(zone, found)| {
                (found.len() == count || is_obtainable(snapshot, job, *zone), found.len())
            })
            .map(|(_, found)| found)
            .unwrap_or_default();
    }
    cheapest_places(snapshot, job, &open, count, zones)
}

/// Whether the cloud may have machines for a job in this zone.
pub(super) fn is_obtainable(snapshot: &Snapshot<'_>, job: &JobView, zone: u8) -> bool {
    snapshot.types.iter().enumerate().any(|(machine_type, t)| {
        let here = t.zones.iter().any(|z| snapshot.settings.zone_index(z) == Some(zone));
        here && [false, true].iter().any(|&spot| {
            is_eligible(&job.spec, t, spot)
                && snapshot.may_be_provisioned(&MachineKind { machine_type, zone, spot })
        })
    })
}

/// Whether the cloud may have spot machines for one more task of a job.
fn is_spot_obtainable(snapshot: &Snapshot<'_>, job: &JobView) -> bool {
    let zones = ZoneConstraint::of(snapshot, job);
    snapshot.types.iter().enumerate().any(|(machine_type, t)| {
        let mut offered_in = t.zones.iter().filter_map(|z| snapshot.settings.zone_index(z));
        is_eligible(&job.spec, t, true)
            && offered_in.any(|zone| {
                let kind = MachineKind { machine_type, zone, spot: true };
                zones.allows(zone) && snapshot.may_be_provisioned(&kind)
            })
    })
}

/// The cheapest places one after the other. A place taken changes the cost of
/// its own machine only, so the others keep their order.
fn cheapest_places(
    snapshot: &Snapshot<'_>,
    job: &JobView,
    open: &[usize],
    count: usize,
    mut zones: ZoneConstraint<'_>,
) -> Vec<usize> {
    let need = Resources::of_task(&job.spec);
    snapshot.count_evaluated(open.len());
    let mut free: HashMap<usize, Resources> = HashMap::new();
    let mut places: BinaryHeap<Place> = open
        .iter()
        .map(|&m| (m, &snapshot.machines[m].free))
        .filter(|(_, free)| free.has_capacity_for(&need))
        .map(|(machine, free)| Place {
            cost: placement_cost(snapshot, job, machine, free, EarlierPlace::None),
            machine,
        })
        .collect();
    let mut found = Vec::new();
    while found.len() < count
        && let Some(Place { machine, .. }) = places.pop()
    {
        // A zone that allows no more tasks allows none later, as more places are taken.
        if !zones.allows(snapshot.machines[machine].zone) {
            continue;
        }
        zones.add_task(snapshot.machines[machine].zone);
        found.push(machine);
        let free = free.entry(machine).or_insert(snapshot.machines[machine].free);
        free.sub(&need);
        if free.has_capacity_for(&need) {
            snapshot.count_evaluated(1);
            places.push(Place {
                cost: placement_cost(snapshot, job, machine, free, EarlierPlace::Taken),
                machine,
            });
        }
    }
    found
}

/// A machine that could take one more task. The cheapest is the greatest, and of equal
/// ones the first, for a heap yields the greatest.
struct Place {
    cost: f64,
    machine: usize,
}

impl Ord for Place {
    fn cmp(&self, other: &Self) -> Ordering {
        other.cost.total_cmp(&self.cost).then(other.machine.cmp(&self.machine))
    }
}

impl PartialOrd for Place {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Place {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Place {}

/// Whether the same search has taken a place on the machine already.
#[derive(Clone, Copy, PartialEq)]
enum EarlierPlace {
    None,
    Taken,
}

/// What a place costs, in seconds: the fetch of an image it lacks, the whole
/// machine it breaks into, the room it leaves scattered, and an ordinary
/// machine given to work that spot machines could do.
fn placement_cost(
    snapshot: &Snapshot<'_>,
    job: &JobView,
    machine: usize,
    free: &Resources,
    earlier: EarlierPlace,
) -> f64 {
    let taken = earlier == EarlierPlace::Taken;
    let view: &MachineView = &snapshot.machines[machine];
    let kind = snapshot.type_of(machine);
    let fetch = if taken { 0.0 } else { fetch_time_s(snapshot, job, machine) };
    // A fetch that may make the job miss its objective for waiting costs more.
    let late = job.remaining_wait_s.is_some_and(|p| p > 0.0 && fetch * SLOW_FETCH > p);
    let fetch = if late { fetch + kind.boot_s } else { fetch };
    let total = Resources::of_type(kind);
    let fills = Resources::of_task(&job.spec).share_of(&total) > 0.5;
    let breaks = if view.empty && !taken && !fills { kind.boot_s / 4.0 } else { 0.0 };
    let scattered = free.share_of(&total) * kind.boot_s / 4.0;
    let dear = if job.spec.spot && !view.spot { kind.boot_s / 2.0 } else { 0.0 };
    fetch + breaks + scattered + dear
}
