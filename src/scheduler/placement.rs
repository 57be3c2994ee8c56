//! Which machine each task starts on.

use super::{
    bin_packing::{MachineReadiness, fetch_s, find_machines, is_obtainable},
    consolidation,
    decisions::{Decisions, PlacedTask},
    eligibility::is_eligible,
    preemption,
    quota::tasks_within_team_limit,
    resources::Resources,
    scale_out::UnplacedTasks,
    snapshot::{Snapshot, TaskSlot, bind_tentatively},
};
use crate::protocol::Shape;

/// Places waiting tasks, job by job in the order in which they take room. Returns the
/// tasks that lack room.
pub fn place(
    snapshot: &mut Snapshot<'_>,
    bound_by_machine: &[Vec<TaskSlot>],
    decisions: &mut Decisions,
) -> Vec<UnplacedTasks> {
    let mut unplaced = Vec::new();
    for at in order(snapshot) {
        consolidation::reserve_next_places(snapshot, at);
        let Some(tasks) = tasks_to_place(snapshot, at) else { continue };
        let count = place_job(snapshot, bound_by_machine, at, &tasks, decisions);
        if count > 0 {
            unplaced.push(UnplacedTasks { job: at, count });
        }
    }
    unplaced
}

/// The tasks of a job that may start now within its width and its team's limit.
fn tasks_to_place(snapshot: &mut Snapshot<'_>, at: usize) -> Option<Vec<u32>> {
    let job = &snapshot.jobs[at];
    let wanted = job.startable();
    if wanted == 0 {
        return None;
    }
    let usage = snapshot.usage.entry(job.spec.team.clone()).or_default();
    let room =
        tasks_within_team_limit(snapshot.settings.team(&job.spec.team), usage, &job.spec) as usize;
    if room == 0 || (job.spec.shape == Shape::Gang && room < wanted) {
        return None;
    }
    Some(job.pending[..wanted.min(room)].to_vec())
}

/// Places tasks of a job, or makes room for them. Returns how many lack room.
fn place_job(
    snapshot: &mut Snapshot<'_>,
    bound_by_machine: &[Vec<TaskSlot>],
    at: usize,
    tasks: &[u32],
    decisions: &mut Decisions,
) -> usize {
    let shape = snapshot.jobs[at].spec.shape;
    let mut found = find_machines(snapshot, at, tasks.len(), MachineReadiness::Ready);
    let found_at_first = found.len();
    if shape == Shape::Service {
        found = avoid_fetches(snapshot, bound_by_machine, at, found, decisions);
    }
    add_usage(snapshot, at, tasks.len());
    if shape == Shape::Gang && found.len() < tasks.len() {
        return make_room_for_gang(snapshot, bound_by_machine, at, found, tasks.len(), decisions);
    }
    for (&task, &machine) in tasks.iter().zip(&found) {
        decisions.place.push(PlacedTask {
            job: snapshot.jobs[at].id.clone(),
            task,
            machine: snapshot.machines[machine].id.clone(),
        });
        bind_tentatively(snapshot, at, machine);
    }
    // Tasks that wait for cached room are neither placed nor lacking room.
    let lacking = tasks.len() - found_at_first;
    lacking - preemption::preempt(snapshot, bound_by_machine, at, lacking, decisions)
}

/// Counts tasks of a job into its team's usage, whether they are placed at once or wait
/// for room that is made for them.
fn add_usage(snapshot: &mut Snapshot<'_>, at: usize, count: usize) {
    let spec = &snapshot.jobs[at].spec;
    let usage = snapshot.usage.entry(spec.team.clone()).or_default();
    usage.cpus += spec.cpus * count as f64;
    usage.gpus += spec.gpus * count as f64;
}

/// Makes room for all `count` tasks of a gang that found too little. Returns how many
/// lack room.
fn make_room_for_gang(
    snapshot: &mut Snapshot<'_>,
    bound_by_machine: &[Vec<TaskSlot>],
    at: usize,
    found: Vec<usize>,
    count: usize,
    decisions: &mut Decisions,
) -> usize {
    if preemption::preempt(snapshot, bound_by_machine, at, count, decisions) == count {
        return 0;
    }
    if rest_can_come(snapshot, at, &found, count) {
        let lacking = count - found.len();
        hold_partial_gang(snapshot, at, found, decisions);
        return lacking;
    }
    if consolidation::make_room_for_gang(snapshot, bound_by_machine, at, count, decisions) {
        0
    } else {
        count
    }
}

/// Whether the rest of a gang's room will come by itself: machines that boot
/// or can be provisioned in the zone where the gang has found some.
fn rest_can_come(snapshot: &Snapshot<'_>, at: usize, found: &[usize], count: usize) -> bool {
    let job = &snapshot.jobs[at];
    let zone = found.first().map(|&m| snapshot.machines[m].zone);
    let zone = zone.filter(|_| job.spec.one_zone);
    let need = Resources::of_task(&job.spec);
    let zones = 0..snapshot.settings.cluster.zones.len() as u8;
    let booting = snapshot.machines.iter().filter(|m| {
        !m.ready
            && zone.is_none_or(|z| z == m.zone)
            && is_eligible(&job.spec, &snapshot.types[m.machine_type], m.spot)
            && m.free.has_capacity_for(&need)
    });
    zones.filter(|z| zone.is_none_or(|zone| zone == *z)).any(|z| is_obtainable(snapshot, job, z))
        || booting.count() >= count - found.len()
}

/// Holds what part of a gang's room is there, until the rest is: given to
/// small work meanwhile, it would never be whole at one time.
fn hold_partial_gang(
    snapshot: &mut Snapshot<'_>,
    at: usize,
    found: Vec<usize>,
    decisions: &mut Decisions,
) {
    for machine in found {
        decisions.machines_to_keep.push(snapshot.machines[machine].id.clone());
        bind_tentatively(snapshot, at, machine);
    }
}

/// Keeps a replica from a machine that would first fetch its image, if one
/// that holds the image can be had at a smaller loss.
fn avoid_fetches(
    snapshot: &mut Snapshot<'_>,
    bound_by_machine: &[Vec<TaskSlot>],
    at: usize,
    found: Vec<usize>,
    decisions: &mut Decisions,
) -> Vec<usize> {
    // The longest fetch that no cached room could be had for: room only gets
    // dearer, so there is no use in looking for it again.
    let mut longest_failed_fetch_s = 0.0;
    found
        .into_iter()
        .filter(|&m| {
            let fetch_s = fetch_s(snapshot, at, m);
            let made = fetch_s > longest_failed_fetch_s
                && preemption::preempt_where_image_is_cached(
                    snapshot,
                    bound_by_machine,
                    at,
                    fetch_s,
                    decisions,
                );
            if !made {
                longest_failed_fetch_s = fetch_s.max(longest_failed_fetch_s);
            }
            !made
        })
        .collect()
}

/// Priority, then work within its team's guarantee, then work that needs most
/// of a machine (others find room in what it can't use), then arrival: the
/// order in which waiting work takes room.
fn order(snapshot: &Snapshot<'_>) -> Vec<usize> {
    let mut order: Vec<usize> = (0..snapshot.jobs.len()).collect();
    order.sort_by_cached_key(|&at| {
        let job = &snapshot.jobs[at];
        let elastic = job.spec.shape == Shape::Array;
        let priority = std::cmp::Reverse(job.priority);
        (priority, elastic, !job.guaranteed, job.arrival)
    });
    order
}
