//! Moving replicas: holes scattered over many machines are no room for a task
//! that needs a whole one, so replicas are moved from one machine into holes
//! of others.
//!
//! A moved replica is stopped first and starts again when it is gone, so it
//! is away for as long as its image takes at the new place, and for a moment
//! if the image is there.

use super::{
    bin_packing::{fetch_s, find},
    decisions::{Decisions, Stopping},
    eligibility::{Allowed, Zones},
    resources::Resources,
    snapshot::{Slot, Snapshot, bind_tentatively},
    view::BoundView,
};
use crate::protocol::Shape;

/// Makes room for all tasks of a gang by moving replicas that have room
/// elsewhere. True if it did, and the room is then held.
pub fn make_room(
    snapshot: &mut Snapshot<'_>,
    residents: &[Vec<Slot>],
    at: usize,
    count: usize,
    decisions: &mut Decisions,
) -> bool {
    // Once a round is enough: what a move frees shows only after it.
    if !snapshot.round {
        return false;
    }
    let job = &snapshot.jobs[at];
    let pools: Vec<Option<u8>> = if job.spec.one_zone {
        (0..snapshot.settings.cluster.zones.len() as u8).map(Some).collect()
    } else {
        vec![None]
    };
    let mut options: Vec<Vec<Clearing>> = pools
        .into_iter()
        .filter_map(|zone| {
            let mut clearings = clearings(snapshot, residents, at, zone);
            clearings.sort_by(|a, b| a.moved.total_cmp(&b.moved));
            clearings.truncate(count);
            (clearings.len() == count).then_some(clearings)
        })
        .collect();
    let moved = |option: &[Clearing]| option.iter().map(|c| c.moved).sum::<f64>();
    options.sort_by(|a, b| moved(a).total_cmp(&moved(b)));
    options.iter().any(|clearings| carry_out(snapshot, at, clearings, decisions))
}

/// A machine that could be cleared for one task.
struct Clearing {
    machine: usize,
    /// Replicas to move and arrays' tasks to stop.
    tasks: Vec<Slot>,
    /// The share of the machine that is moved.
    moved: f64,
}

fn clearings(
    snapshot: &Snapshot<'_>,
    residents: &[Vec<Slot>],
    at: usize,
    zone: Option<u8>,
) -> Vec<Clearing> {
    let job = &snapshot.jobs[at];
    let need = Resources::of_task(&job.spec);
    let zones = Zones::of(job, |z| snapshot.settings.zone_index(z));
    let allowed = Allowed::of(snapshot, job);
    snapshot.weigh(snapshot.machines.len());
    let mut found = Vec::new();
    for (machine, view) in snapshot.machines.iter().enumerate() {
        let kind = &snapshot.types[view.kind];
        if !view.ready
            || !zones.allow(view.zone)
            || zone.is_some_and(|z| z != view.zone)
            || !allowed.takes(view)
            || !view.open_to(&job.id)
            || job.avoid.contains(&view.id)
        {
            continue;
        }
        let mut room = view.free;
        room.add(&view.stopping);
        let mut moved = Resources::default();
        let mut tasks = Vec::new();
        for &(other, slot) in residents.get(machine).into_iter().flatten() {
            let spec = &snapshot.jobs[other].spec;
            let bound = &snapshot.jobs[other].bound[slot];
            if bound.stopping || room.holds(&need) {
                continue;
            }
            let stops = spec.shape == Shape::Array && snapshot.jobs[other].priority < job.priority;
            if stops || (spec.shape == Shape::Service && bound.settled) {
                room.add(&Resources::of_task(spec));
                tasks.push((other, slot));
                if !stops {
                    moved.add(&Resources::of_task(spec));
                }
            }
        }
        let moved = moved.share_of(&Resources::of_type(kind));
        // Moving most of a machine gains less than it disturbs.
        if room.holds(&need) && moved <= 0.5 {
            found.push(Clearing { machine, tasks, moved });
        }
    }
    found
}

/// Moves what stands in the way, if all of it finds a place elsewhere.
fn carry_out(
    snapshot: &mut Snapshot<'_>,
    at: usize,
    clearings: &[Clearing],
    decisions: &mut Decisions,
) -> bool {
    let before = snapshot.clone();
    let mut stops = Vec::new();
    for clearing in clearings {
        for &(job, slot) in &clearing.tasks {
            let spec = snapshot.jobs[job].spec.clone();
            let bound = &mut snapshot.jobs[job].bound[slot];
            bound.stopping = true;
            stops.push(Stopping { job: spec.id.clone(), task: bound.task, at_once: false });
            snapshot.machines[clearing.machine].stopping.add(&Resources::of_task(&spec));
        }
        // Held before the moved replicas look for places.
        snapshot.machines[clearing.machine].free.sub(&Resources::of_task(&snapshot.jobs[at].spec));
        bind_held(snapshot, at, clearing.machine);
    }
    for &(job, _) in clearings.iter().flat_map(|c| &c.tasks) {
        if snapshot.jobs[job].spec.shape != Shape::Service {
            continue;
        }
        // A move that fetches an image takes its replica away for too long.
        let place = find(snapshot, job, 1, true).first().copied();
        let Some(place) = place.filter(|&m| fetch_s(snapshot, job, m) <= 0.0) else {
            *snapshot = before;
            return false;
        };
        bind_tentatively(snapshot, job, place);
    }
    decisions.stop.extend(stops);
    true
}

/// Notes a gang's held place, whose room is taken out already.
fn bind_held(snapshot: &mut Snapshot<'_>, at: usize, machine: usize) {
    snapshot.machines[machine].awaited = true;
    let zone = snapshot.machines[machine].zone;
    snapshot.jobs[at].bound.push(BoundView::held(machine, zone, true));
}

/// Clears machines that hold little, so that they can be returned: as load
/// runs out, what is left would keep many half-empty machines for long.
pub fn gather(snapshot: &mut Snapshot<'_>, residents: &[Vec<Slot>], decisions: &mut Decisions) {
    let load = |snapshot: &Snapshot<'_>, m: usize| {
        let total = Resources::of_type(&snapshot.types[snapshot.machines[m].kind]);
        let mut used = total;
        used.sub(&snapshot.machines[m].free);
        used.share_of(&total)
    };
    let ordinary: Vec<usize> = (0..residents.len())
        .filter(|&m| snapshot.machines[m].ready && !snapshot.machines[m].spot)
        .collect();
    // One machine less must still leave the room that is kept ready.
    let mut room: f64 = ordinary.iter().map(|&m| 1.0 - load(snapshot, m)).sum();
    let mut sources: Vec<(f64, usize)> = ordinary
        .into_iter()
        .filter(|&m| {
            let movable = |&(job, slot): &Slot| {
                let job = &snapshot.jobs[job];
                let bound = &job.bound[slot];
                job.spec.shape == Shape::Service && bound.settled && !bound.stopping
            };
            !residents[m].is_empty()
                && snapshot.machines[m].reservation.is_none()
                && residents[m].iter().all(movable)
                && snapshot.machines[m].stopping == Resources::default()
        })
        .map(|m| (load(snapshot, m), m))
        .filter(|(load, _)| *load <= 0.5)
        .collect();
    sources.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (_, machine) in sources {
        if room - 1.0 < snapshot.spare_room {
            break;
        }
        // A machine that a move just decided on counts on stays.
        if !snapshot.machines[machine].awaited
            && clear(snapshot, &residents[machine], machine, decisions)
        {
            room -= 1.0;
        }
    }
}

/// Moves all of a machine's replicas to machines in use that hold their
/// images; all of them or none.
fn clear(
    snapshot: &mut Snapshot<'_>,
    residents: &[Slot],
    machine: usize,
    decisions: &mut Decisions,
) -> bool {
    let ready = std::mem::replace(&mut snapshot.machines[machine].ready, false);
    let mut moves: Vec<(Slot, usize)> = Vec::new();
    for &(job, slot) in residents {
        snapshot.jobs[job].bound[slot].stopping = true;
        let place = find(snapshot, job, 1, true).first().copied();
        let fits = |&m: &usize| !snapshot.machines[m].empty && fetch_s(snapshot, job, m) <= 0.0;
        let Some(place) = place.filter(fits) else {
            snapshot.jobs[job].bound[slot].stopping = false;
            for &((job, slot), place) in &moves {
                snapshot.jobs[job].bound[slot].stopping = false;
                snapshot.jobs[job].bound.pop();
                let need = Resources::of_task(&snapshot.jobs[job].spec);
                snapshot.machines[place].free.add(&need);
            }
            snapshot.machines[machine].ready = ready;
            return false;
        };
        bind_tentatively(snapshot, job, place);
        moves.push(((job, slot), place));
    }
    for ((job, slot), _) in moves {
        let job = &snapshot.jobs[job];
        let task = job.bound[slot].task;
        decisions.stop.push(Stopping { job: job.id.clone(), task, at_once: false });
    }
    true
}

/// Replicas being stopped start again as soon as they are gone: their next
/// places are held till then, or others would take them in between.
pub fn hold_next_places(snapshot: &mut Snapshot<'_>, at: usize) {
    let job = &snapshot.jobs[at];
    if job.spec.shape != Shape::Service {
        return;
    }
    let away = job.bound.iter().filter(|b| b.stopping && b.task != BoundView::HELD).count();
    if away > 0 {
        for place in find(snapshot, at, away, true) {
            bind_tentatively(snapshot, at, place);
        }
    }
}
