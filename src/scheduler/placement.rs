//! Placement: chooses the machine on which each waiting task starts.

use super::{
    bin_packing::{MachineReadiness, find_machines, image_fetch_s, may_provision_in_zone},
    consolidation,
    decisions::{Decisions, PlacedTask},
    eligibility::is_eligible,
    preemption,
    quota::tasks_within_team_limit,
    resources::Resources,
    scale_out::UnplacedTasks,
    snapshot::{BoundTaskIndex, Snapshot, bind_tentatively},
};
use crate::protocol::Shape;

/// Places waiting tasks, job by job in `placement_order`. Returns the tasks for which there is no
/// capacity.
pub fn place(
    snapshot: &mut Snapshot<'_>,
    bound_by_machine: &[Vec<BoundTaskIndex>],
    decisions: &mut Decisions,
) -> Vec<UnplacedTasks> {
    let mut unplaced = Vec::new();
    for job_index in placement_order(snapshot) {
        consolidation::reserve_next_machines(snapshot, job_index);
        let Some(tasks) = tasks_to_place(snapshot, job_index) else { continue };
        let lacking = place_job(snapshot, bound_by_machine, job_index, &tasks, decisions);
        if lacking > 0 {
            unplaced.push(UnplacedTasks { job_index, count: lacking });
        }
    }
    unplaced
}

/// Returns the tasks of a job that may start now within the job's width and its team's limit; for
/// a gang all tasks or none.
fn tasks_to_place(snapshot: &mut Snapshot<'_>, job_index: usize) -> Option<Vec<u32>> {
    let job = &snapshot.jobs[job_index];
    let startable = job.startable();
    if startable == 0 {
        return None;
    }
    let usage = snapshot.usage.entry(job.spec.team.clone()).or_default();
    let limit =
        tasks_within_team_limit(snapshot.settings.team(&job.spec.team), usage, &job.spec) as usize;
    if limit == 0 || (job.spec.shape == Shape::Gang && limit < startable) {
        return None;
    }
    Some(job.pending[..startable.min(limit)].to_vec())
}

/// Places tasks of a job, or frees capacity for them. Returns the number of tasks that got
/// neither.
fn place_job(
    snapshot: &mut Snapshot<'_>,
    bound_by_machine: &[Vec<BoundTaskIndex>],
    job_index: usize,
    tasks: &[u32],
    decisions: &mut Decisions,
) -> usize {
    let shape = snapshot.jobs[job_index].spec.shape;
    let mut found = find_machines(snapshot, job_index, tasks.len(), MachineReadiness::Ready);
    let found_count = found.len();
    if shape == Shape::Service {
        found = avoid_fetches(snapshot, bound_by_machine, job_index, found, decisions);
    }
    add_usage(snapshot, job_index, tasks.len());
    if shape == Shape::Gang && found.len() < tasks.len() {
        return obtain_capacity_for_gang(
            snapshot,
            bound_by_machine,
            job_index,
            found,
            tasks.len(),
            decisions,
        );
    }
    for (&task, &machine_index) in tasks.iter().zip(&found) {
        decisions.place.push(PlacedTask {
            job: snapshot.jobs[job_index].id.clone(),
            task,
            machine: snapshot.machines[machine_index].id.clone(),
        });
        bind_tentatively(snapshot, job_index, machine_index);
    }
    // A task for which `avoid_fetches` frees capacity waits until the preempted tasks are gone:
    // it is not placed, but doesn't lack capacity either.
    let lacking = tasks.len() - found_count;
    lacking - preemption::preempt(snapshot, bound_by_machine, job_index, lacking, decisions)
}

/// Adds tasks of a job to its team's usage, whether they are placed in this pass or wait for
/// capacity that is being freed for them.
fn add_usage(snapshot: &mut Snapshot<'_>, job_index: usize, count: usize) {
    let spec = &snapshot.jobs[job_index].spec;
    let usage = snapshot.usage.entry(spec.team.clone()).or_default();
    usage.cpus += spec.cpus * count as f64;
    usage.gpus += spec.gpus * count as f64;
}

/// Frees or reserves capacity for a gang of `count` tasks of which only those on the `found`
/// machines can start now. Returns the number of tasks that lack capacity.
fn obtain_capacity_for_gang(
    snapshot: &mut Snapshot<'_>,
    bound_by_machine: &[Vec<BoundTaskIndex>],
    job_index: usize,
    found: Vec<usize>,
    count: usize,
    decisions: &mut Decisions,
) -> usize {
    if preemption::preempt(snapshot, bound_by_machine, job_index, count, decisions) == count {
        return 0;
    }
    if may_get_remaining_capacity(snapshot, job_index, &found, count) {
        let lacking = count - found.len();
        reserve_for_partial_gang(snapshot, job_index, found, decisions);
        return lacking;
    }
    if consolidation::consolidate_for_gang(snapshot, bound_by_machine, job_index, count, decisions)
    {
        0
    } else {
        count
    }
}

/// Whether the capacity that a gang lacks can come from machines that boot or that the cloud may
/// provision. For a gang that must run in one zone, only the zone of the found machines counts.
fn may_get_remaining_capacity(
    snapshot: &Snapshot<'_>,
    job_index: usize,
    found: &[usize],
    count: usize,
) -> bool {
    let job = &snapshot.jobs[job_index];
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
    zones
        .filter(|z| zone.is_none_or(|zone| zone == *z))
        .any(|z| may_provision_in_zone(snapshot, job, z))
        || booting.count() >= count - found.len()
}

/// Reserves the machines that a gang has found until the rest of its capacity is there. If small
/// tasks took these machines meanwhile, the gang might never get its whole capacity at one time.
fn reserve_for_partial_gang(
    snapshot: &mut Snapshot<'_>,
    job_index: usize,
    found: Vec<usize>,
    decisions: &mut Decisions,
) {
    for machine_index in found {
        decisions.machines_to_keep.push(snapshot.machines[machine_index].id.clone());
        bind_tentatively(snapshot, job_index, machine_index);
    }
}

/// Drops found machines that would first fetch the replica's image, if preemption on a machine
/// that holds the image loses less work than the fetch takes. Returns the remaining machines.
fn avoid_fetches(
    snapshot: &mut Snapshot<'_>,
    bound_by_machine: &[Vec<BoundTaskIndex>],
    job_index: usize,
    found: Vec<usize>,
    decisions: &mut Decisions,
) -> Vec<usize> {
    // The longest fetch for which preemption lost more work. The least loss only grows as the
    // pass goes on, so fetches that are no longer than this one are not tried again.
    let mut longest_failed_fetch_s = 0.0;
    found
        .into_iter()
        .filter(|&m| {
            let fetch_s = image_fetch_s(snapshot, job_index, m);
            let capacity_freed = fetch_s > longest_failed_fetch_s
                && preemption::preempt_where_image_is_cached(
                    snapshot,
                    bound_by_machine,
                    job_index,
                    fetch_s,
                    decisions,
                );
            if !capacity_freed {
                longest_failed_fetch_s = fetch_s.max(longest_failed_fetch_s);
            }
            !capacity_freed
        })
        .collect()
}

/// The order in which waiting jobs are placed: by priority, then services and gangs before arrays
/// (which can use the capacity that tasks needing most of a machine leave), then jobs within their
/// team's guarantee, then by arrival.
fn placement_order(snapshot: &Snapshot<'_>) -> Vec<usize> {
    let mut order: Vec<usize> = (0..snapshot.jobs.len()).collect();
    order.sort_by_cached_key(|&job_index| {
        let job = &snapshot.jobs[job_index];
        let is_array = job.spec.shape == Shape::Array;
        let priority = std::cmp::Reverse(job.priority);
        (priority, is_array, !job.guaranteed, job.arrival)
    });
    order
}
