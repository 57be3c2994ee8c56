//! Which machine each task starts on.

use super::{
    bin_packing::{fetch_s, find, obtainable},
    consolidation,
    decisions::Decisions,
    eligibility::allows,
    preemption,
    quota::team_room,
    resources::Resources,
    scale_out::rent,
    snapshot::{Slot, Snapshot, bind_tentatively},
};
use crate::protocol::Shape;

pub fn place(snapshot: &mut Snapshot<'_>, decisions: &mut Decisions) {
    let mut lacking: Vec<(usize, Vec<u32>)> = Vec::new();
    // What is only placed tentatively here is not yet anybody's to stop.
    let residents = snapshot.residents();
    for at in order(snapshot) {
        consolidation::hold_next_places(snapshot, at);
        let job = &snapshot.jobs[at];
        let wanted = job.startable();
        if wanted == 0 {
            continue;
        }
        let usage = snapshot.usage.entry(job.spec.team.clone()).or_default();
        let room = team_room(snapshot.settings.team(&job.spec.team), usage, &job.spec) as usize;
        if room == 0 || (job.spec.shape == Shape::Gang && room < wanted) {
            continue;
        }
        let spec = job.spec.clone();
        let tasks: Vec<u32> = job.pending[..wanted.min(room)].to_vec();
        let mut found = find(snapshot, at, tasks.len(), true);
        let wanted_here = found.len();
        if spec.shape == Shape::Service {
            found = without_fetches(snapshot, &residents, at, found, decisions);
        }
        let usage = snapshot.usage.entry(spec.team.clone()).or_default();
        usage.cpus += spec.cpus * tasks.len() as f64;
        usage.gpus += spec.gpus * tasks.len() as f64;
        if spec.shape == Shape::Gang && found.len() < tasks.len() {
            let count = tasks.len();
            if preemption::make_room(snapshot, &residents, at, count, decisions) == count {
                continue;
            }
            if comes(snapshot, at, &found, count) {
                let rest = hold_part(snapshot, at, found, &tasks, decisions);
                lacking.push((at, rest));
            } else if !consolidation::make_room(snapshot, &residents, at, count, decisions) {
                lacking.push((at, tasks));
            }
            continue;
        }
        for (&task, &machine) in tasks.iter().zip(&found) {
            let id = snapshot.machines[machine].id.clone();
            decisions.place.push((snapshot.jobs[at].id.clone(), task, id));
            bind_tentatively(snapshot, at, machine);
        }
        // Tasks that wait for cached room are neither placed nor lacking room.
        let mut rest = tasks[found.len().max(wanted_here)..].to_vec();
        let made = preemption::make_room(snapshot, &residents, at, rest.len(), decisions);
        rest.drain(..made);
        if !rest.is_empty() {
            lacking.push((at, rest));
        }
    }
    if snapshot.round && lacking.is_empty() {
        consolidation::gather(snapshot, &residents, decisions);
    }
    rent(snapshot, &lacking, decisions);
}

/// Whether the rest of a gang's room will come by itself: machines that boot
/// or can be rented in the zone where the gang has found some.
fn comes(snapshot: &Snapshot<'_>, at: usize, found: &[usize], count: usize) -> bool {
    let job = &snapshot.jobs[at];
    let zone = found.first().map(|&m| snapshot.machines[m].zone);
    let zone = zone.filter(|_| job.spec.one_zone);
    let need = Resources::of_task(&job.spec);
    let zones = 0..snapshot.settings.cluster.zones.len() as u8;
    let booting = snapshot.machines.iter().filter(|m| {
        !m.ready
            && zone.is_none_or(|z| z == m.zone)
            && allows(&job.spec, &snapshot.types[m.kind], m.spot)
            && m.free.holds(&need)
    });
    zones.filter(|z| zone.is_none_or(|zone| zone == *z)).any(|z| obtainable(snapshot, job, z))
        || booting.count() >= count - found.len()
}

/// Holds what part of a gang's room is there, until the rest is: given to
/// small work meanwhile, it would never be whole at one time. Returns the
/// tasks that lack room.
fn hold_part(
    snapshot: &mut Snapshot<'_>,
    at: usize,
    found: Vec<usize>,
    tasks: &[u32],
    decisions: &mut Decisions,
) -> Vec<u32> {
    let rest = tasks[found.len()..].to_vec();
    for machine in found {
        decisions.awaited.push(snapshot.machines[machine].id.clone());
        bind_tentatively(snapshot, at, machine);
    }
    rest
}

/// Keeps a replica from a machine that would first fetch its image, if one
/// that holds the image can be had at a smaller loss.
fn without_fetches(
    snapshot: &mut Snapshot<'_>,
    residents: &[Vec<Slot>],
    at: usize,
    found: Vec<usize>,
    decisions: &mut Decisions,
) -> Vec<usize> {
    // The longest fetch that no cached room could be had for: room only gets
    // dearer, so there is no use in looking for it again.
    let mut least_hopeless_fetch_s = 0.0;
    found
        .into_iter()
        .filter(|&m| {
            let fetch_s = fetch_s(snapshot, at, m);
            let made = fetch_s > least_hopeless_fetch_s
                && preemption::make_cached_room(snapshot, residents, at, fetch_s, decisions);
            if !made {
                least_hopeless_fetch_s = fetch_s.max(least_hopeless_fetch_s);
            }
            !made
        })
        .collect()
}

/// Priority, then work within its team's guarantee, then work that needs most
/// of a machine (others find room in what it can't use), then arrival: the
/// order in which waiting work takes room.
pub fn order(snapshot: &Snapshot<'_>) -> Vec<usize> {
    let mut order: Vec<usize> = (0..snapshot.jobs.len()).collect();
    order.sort_by_cached_key(|&at| {
        let job = &snapshot.jobs[at];
        let elastic = job.spec.shape == Shape::Array;
        let priority = std::cmp::Reverse(job.priority);
        (priority, elastic, !job.guaranteed, job.arrival)
    });
    order
}
