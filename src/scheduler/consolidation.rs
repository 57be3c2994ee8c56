//! Consolidation: holes scattered over many machines are no room for a task
//! that needs a whole one, so replicas are moved from one machine into holes
//! of others.
//!
//! A moved replica is stopped first and starts again when it is gone, so it
//! is away for as long as its image takes at the new place, and for a moment
//! if the image is there.

use super::{
    bin_packing::{MachineReadiness, fetch_s, find_machines},
    decisions::{Decisions, TaskStop},
    resources::Resources,
    snapshot::{Snapshot, TaskSlot, bind_tentatively},
    vacancy::{keep_vacated_place, machines_for, room_after_stops, stop},
    view::{BoundView, JobView, MachineView},
};
use crate::protocol::Shape;

/// Moving more than this share of a machine gains less than it disturbs.
const MAX_MOVED_SHARE: f64 = 0.5;

/// Makes room for all tasks of a gang by moving replicas that have room
/// elsewhere. True if it did, and the room is then kept for the gang.
pub fn make_room_for_gang(
    snapshot: &mut Snapshot<'_>,
    bound_by_machine: &[Vec<TaskSlot>],
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
    let mut options: Vec<Vec<Candidate>> = pools
        .into_iter()
        .filter_map(|zone| {
            let mut candidates = candidates(snapshot, bound_by_machine, at, zone);
            candidates.sort_by(|a, b| a.moved.total_cmp(&b.moved));
            candidates.truncate(count);
            (candidates.len() == count).then_some(candidates)
        })
        .collect();
    let moved = |option: &[Candidate]| option.iter().map(|c| c.moved).sum::<f64>();
    options.sort_by(|a, b| moved(a).total_cmp(&moved(b)));
    options.iter().any(|candidates| carry_out(snapshot, at, candidates, decisions))
}

/// A machine that could be cleared for one task.
struct Candidate {
    machine: usize,
    /// Replicas to move and arrays' tasks to stop.
    tasks: Vec<TaskSlot>,
    /// The share of the machine that is moved.
    moved: f64,
}

fn candidates(
    snapshot: &Snapshot<'_>,
    bound_by_machine: &[Vec<TaskSlot>],
    at: usize,
    zone: Option<u8>,
) -> Vec<Candidate> {
    let job = &snapshot.jobs[at];
    machines_for(snapshot, job, zone)
        .filter_map(|(machine, view)| {
            let bound = bound_by_machine.get(machine).map_or(&[][..], Vec::as_slice);
            candidate(snapshot, job, machine, view, bound)
        })
        .collect()
}

/// What must leave a machine for one task of a job, if that is worth it.
fn candidate(
    snapshot: &Snapshot<'_>,
    job: &JobView,
    machine: usize,
    view: &MachineView,
    bound: &[TaskSlot],
) -> Option<Candidate> {
    let need = Resources::of_task(&job.spec);
    let mut room = room_after_stops(view);
    let mut moved = Resources::default();
    let mut tasks = Vec::new();
    for &slot in bound {
        let other = &snapshot.jobs[slot.job];
        let binding = &other.bound[slot.binding];
        if binding.stopping || room.has_capacity_for(&need) {
            continue;
        }
        let stops = other.spec.shape == Shape::Array && other.priority < job.priority;
        let moves = other.spec.shape == Shape::Service && binding.movable;
        if stops || moves {
            room.add(&Resources::of_task(&other.spec));
            tasks.push(slot);
        }
        if moves {
            moved.add(&Resources::of_task(&other.spec));
        }
    }
    let moved = moved.share_of(&Resources::of_type(snapshot.type_of(machine)));
    let is_worth_it = room.has_capacity_for(&need) && moved <= MAX_MOVED_SHARE;
    is_worth_it.then_some(Candidate { machine, tasks, moved })
}

/// Moves what stands in the way, if all of it finds a place elsewhere.
fn carry_out(
    snapshot: &mut Snapshot<'_>,
    at: usize,
    candidates: &[Candidate],
    decisions: &mut Decisions,
) -> bool {
    let before = snapshot.clone();
    let mut stops = Vec::new();
    for candidate in candidates {
        for &slot in &candidate.tasks {
            stops.push(stop(snapshot, slot, candidate.machine));
        }
        // Kept before the moved replicas look for places.
        keep_vacated_place(snapshot, at, candidate.machine);
    }
    for &TaskSlot { job, .. } in candidates.iter().flat_map(|c| &c.tasks) {
        if snapshot.jobs[job].spec.shape != Shape::Service {
            continue;
        }
        let Some(place) = place_with_image(snapshot, job) else {
            *snapshot = before;
            return false;
        };
        bind_tentatively(snapshot, job, place);
    }
    decisions.stop.extend(stops);
    true
}

/// The machine that a moved replica goes to. A move that fetches an image takes its
/// replica away for too long.
fn place_with_image(snapshot: &Snapshot<'_>, job: usize) -> Option<usize> {
    let place = find_machines(snapshot, job, 1, MachineReadiness::Ready).first().copied();
    place.filter(|&machine| fetch_s(snapshot, job, machine) <= 0.0)
}

/// Vacates machines that hold little, so that they can be returned: as load
/// runs out, what is left would keep many half-empty machines for long.
pub fn vacate_machines(
    snapshot: &mut Snapshot<'_>,
    bound_by_machine: &[Vec<TaskSlot>],
    decisions: &mut Decisions,
) {
    let ordinary: Vec<usize> = (0..bound_by_machine.len())
        .filter(|&m| snapshot.machines[m].ready && !snapshot.machines[m].spot)
        .collect();
    // One machine less must still leave the room that is kept ready.
    let mut room: f64 = ordinary.iter().map(|&m| 1.0 - load(snapshot, m)).sum();
    let mut sources: Vec<LoadedMachine> = ordinary
        .into_iter()
        .filter(|&machine| may_be_vacated(snapshot, machine, &bound_by_machine[machine]))
        .map(|machine| LoadedMachine { load: load(snapshot, machine), machine })
        .filter(|source| source.load <= MAX_MOVED_SHARE)
        .collect();
    sources.sort_by(|a, b| a.load.total_cmp(&b.load));
    for LoadedMachine { machine, .. } in sources {
        if room - 1.0 < snapshot.headroom_capacity {
            break;
        }
        // A machine that a move just decided on counts on stays.
        if !snapshot.machines[machine].allocated_in_pass
            && vacate(snapshot, &bound_by_machine[machine], machine, decisions)
        {
            room -= 1.0;
        }
    }
}

/// A machine with the share of it that is in use.
struct LoadedMachine {
    load: f64,
    machine: usize,
}

/// The share of a machine that is in use.
fn load(snapshot: &Snapshot<'_>, machine: usize) -> f64 {
    let total = Resources::of_type(snapshot.type_of(machine));
    let mut used = total;
    used.sub(&snapshot.machines[machine].free);
    used.share_of(&total)
}

/// Whether a machine holds replicas that may be moved, and nothing else.
fn may_be_vacated(snapshot: &Snapshot<'_>, machine: usize, bound: &[TaskSlot]) -> bool {
    let movable = |slot: &TaskSlot| {
        let job = &snapshot.jobs[slot.job];
        let binding = &job.bound[slot.binding];
        job.spec.shape == Shape::Service && binding.movable && !binding.stopping
    };
    let view = &snapshot.machines[machine];
    !bound.is_empty()
        && view.reservation.is_none()
        && bound.iter().all(movable)
        && view.stopping == Resources::default()
}

/// A replica that is moved.
struct Move {
    slot: TaskSlot,
    /// The machine that it goes to.
    to: usize,
}

/// Moves all of a machine's replicas to machines in use that hold their
/// images; all of them or none.
fn vacate(
    snapshot: &mut Snapshot<'_>,
    bound: &[TaskSlot],
    machine: usize,
    decisions: &mut Decisions,
) -> bool {
    let ready = std::mem::replace(&mut snapshot.machines[machine].ready, false);
    let mut moves: Vec<Move> = Vec::new();
    for &slot in bound {
        snapshot.jobs[slot.job].bound[slot.binding].stopping = true;
        let place = place_with_image(snapshot, slot.job);
        let Some(to) = place.filter(|&to| !snapshot.machines[to].empty) else {
            snapshot.jobs[slot.job].bound[slot.binding].stopping = false;
            undo(snapshot, &moves);
            snapshot.machines[machine].ready = ready;
            return false;
        };
        bind_tentatively(snapshot, slot.job, to);
        moves.push(Move { slot, to });
    }
    for Move { slot, .. } in moves {
        let job = &snapshot.jobs[slot.job];
        let task = job.bound[slot.binding].task;
        decisions.stop.push(TaskStop { job: job.id.clone(), task, without_grace: false });
    }
    true
}

/// Undoes in the snapshot what `vacate` did there.
fn undo(snapshot: &mut Snapshot<'_>, moves: &[Move]) {
    for &Move { slot, to } in moves {
        let job = &mut snapshot.jobs[slot.job];
        job.bound[slot.binding].stopping = false;
        job.bound.pop();
        snapshot.machines[to].free.add(&Resources::of_task(&job.spec));
    }
}

/// Replicas being stopped start again as soon as they are gone: their next
/// places are held till then, or others would take them in between.
pub fn reserve_next_places(snapshot: &mut Snapshot<'_>, at: usize) {
    let job = &snapshot.jobs[at];
    if job.spec.shape != Shape::Service {
        return;
    }
    let away = job.bound.iter().filter(|b| b.stopping && b.task != BoundView::TENTATIVE).count();
    if away > 0 {
        for place in find_machines(snapshot, at, away, MachineReadiness::Ready) {
            bind_tentatively(snapshot, at, place);
        }
    }
}
