//! Consolidation: free capacity that is fragmented over many machines can't take a task that
//! needs a whole machine, so replicas are moved from one machine to the free capacity of others.
//!
//! A moved replica is stopped first and starts elsewhere once it is gone. It is unavailable for
//! as long as the other machine needs to fetch its image, or only briefly if the image is cached
//! there.

use super::{
    bin_packing::{MachineReadiness, find_machines, image_fetch_s},
    decisions::{Decisions, TaskStop},
    resources::Resources,
    snapshot::{BoundTaskIndex, Snapshot, bind_tentatively},
    vacancy::{
        capacity_after_stops, machines_eligible_for, mark_stopping, reserve_vacated_capacity,
    },
    view::{BoundView, JobView, MachineView},
};
use crate::protocol::Shape;

/// The maximum share of a machine that is moved to clear it: moving more disrupts more than it
/// gains.
const MAX_MOVED_SHARE: f64 = 0.5;

/// Clears machines for all `count` tasks of a gang by moving replicas to other machines and
/// stopping arrays' tasks of lower priority. Returns whether it did; the capacity is then reserved
/// for the gang in this snapshot.
pub fn consolidate_for_gang(
    snapshot: &mut Snapshot<'_>,
    bound_by_machine: &[Vec<BoundTaskIndex>],
    job_index: usize,
    count: usize,
    decisions: &mut Decisions,
) -> bool {
    // Not between rounds: a move takes until after this pass to free capacity, so trying in
    // each pass gains nothing.
    if !snapshot.round {
        return false;
    }
    let job = &snapshot.jobs[job_index];
    let zones: Vec<Option<u8>> = if job.spec.one_zone {
        (0..snapshot.settings.cluster.zones.len() as u8).map(Some).collect()
    } else {
        vec![None]
    };
    let mut options: Vec<Vec<Candidate>> = zones
        .into_iter()
        .filter_map(|zone| {
            let mut candidates = clearing_candidates(snapshot, bound_by_machine, job_index, zone);
            candidates.sort_by(|a, b| a.moved_share.total_cmp(&b.moved_share));
            candidates.truncate(count);
            (candidates.len() == count).then_some(candidates)
        })
        .collect();
    let total_moved = |option: &[Candidate]| option.iter().map(|c| c.moved_share).sum::<f64>();
    options.sort_by(|a, b| total_moved(a).total_cmp(&total_moved(b)));
    options.iter().any(|candidates| apply_candidates(snapshot, job_index, candidates, decisions))
}

/// A machine that could be cleared for one task.
struct Candidate {
    machine_index: usize,
    /// The replicas to move and the arrays' tasks to stop.
    tasks: Vec<BoundTaskIndex>,
    /// The share of the machine that the moved replicas use.
    moved_share: f64,
}

/// The machines, of one zone if one is given, that could be cleared for a task of the gang.
fn clearing_candidates(
    snapshot: &Snapshot<'_>,
    bound_by_machine: &[Vec<BoundTaskIndex>],
    job_index: usize,
    zone: Option<u8>,
) -> Vec<Candidate> {
    let job = &snapshot.jobs[job_index];
    machines_eligible_for(snapshot, job, zone)
        .filter_map(|(machine_index, view)| {
            let bound = bound_by_machine.get(machine_index).map_or(&[][..], Vec::as_slice);
            clearing_candidate(snapshot, job, machine_index, view, bound)
        })
        .collect()
}

/// The tasks to move off or stop on a machine for one task of a job. None if that doesn't
/// suffice, or if more than `MAX_MOVED_SHARE` would be moved.
fn clearing_candidate(
    snapshot: &Snapshot<'_>,
    job: &JobView,
    machine_index: usize,
    view: &MachineView,
    bound: &[BoundTaskIndex],
) -> Option<Candidate> {
    let need = Resources::of_task(&job.spec);
    let mut capacity = capacity_after_stops(view);
    let mut moved = Resources::default();
    let mut tasks = Vec::new();
    for &bound_task in bound {
        let other = &snapshot.jobs[bound_task.job_index];
        let binding = &other.bound[bound_task.binding_index];
        if binding.stopping || capacity.has_capacity_for(&need) {
            continue;
        }
        let may_stop = other.spec.shape == Shape::Array && other.priority < job.priority;
        let may_move = other.spec.shape == Shape::Service && binding.movable;
        if may_stop || may_move {
            capacity.add(&Resources::of_task(&other.spec));
            tasks.push(bound_task);
        }
        if may_move {
            moved.add(&Resources::of_task(&other.spec));
        }
    }
    let moved_share = moved.share_of(&Resources::of_type(snapshot.type_of(machine_index)));
    let is_worthwhile = capacity.has_capacity_for(&need) && moved_share <= MAX_MOVED_SHARE;
    is_worthwhile.then_some(Candidate { machine_index, tasks, moved_share })
}

/// Clears the candidates and reserves them for the gang. Returns false, with the snapshot
/// unchanged, if a replica finds no other machine.
fn apply_candidates(
    snapshot: &mut Snapshot<'_>,
    gang_index: usize,
    candidates: &[Candidate],
    decisions: &mut Decisions,
) -> bool {
    let before = snapshot.clone();
    let mut stops = Vec::new();
    for candidate in candidates {
        for &bound_task in &candidate.tasks {
            stops.push(mark_stopping(snapshot, bound_task, candidate.machine_index));
        }
        // Reserved before destinations are chosen, so that no replica is moved there.
        reserve_vacated_capacity(snapshot, gang_index, candidate.machine_index);
    }
    for &BoundTaskIndex { job_index, .. } in candidates.iter().flat_map(|c| &c.tasks) {
        if snapshot.jobs[job_index].spec.shape != Shape::Service {
            continue;
        }
        let Some(destination) = ready_machine_with_image(snapshot, job_index) else {
            *snapshot = before;
            return false;
        };
        bind_tentatively(snapshot, job_index, destination);
    }
    decisions.stop.extend(stops);
    true
}

/// The machine to move a replica to: it must hold the image, since a fetch would make the
/// replica unavailable for too long.
fn ready_machine_with_image(snapshot: &Snapshot<'_>, job_index: usize) -> Option<usize> {
    let found = find_machines(snapshot, job_index, 1, MachineReadiness::Ready).first().copied();
    found.filter(|&machine_index| image_fetch_s(snapshot, job_index, machine_index) <= 0.0)
}

/// Vacates lightly loaded machines, so that they can be returned to the cloud: when load falls,
/// the remaining replicas would otherwise occupy many half-empty machines for a long time.
pub fn vacate_machines(
    snapshot: &mut Snapshot<'_>,
    bound_by_machine: &[Vec<BoundTaskIndex>],
    decisions: &mut Decisions,
) {
    let ordinary: Vec<usize> = (0..bound_by_machine.len())
        .filter(|&m| snapshot.machines[m].ready && !snapshot.machines[m].spot)
        .collect();
    // Free capacity, in machines. Without the vacated machine it must still cover the headroom.
    let mut capacity: f64 = ordinary.iter().map(|&m| 1.0 - load(snapshot, m)).sum();
    let mut sources: Vec<LoadedMachine> = ordinary
        .into_iter()
        .filter(|&machine_index| {
            may_be_vacated(snapshot, machine_index, &bound_by_machine[machine_index])
        })
        .map(|machine_index| LoadedMachine { load: load(snapshot, machine_index), machine_index })
        .filter(|source| source.load <= MAX_MOVED_SHARE)
        .collect();
    sources.sort_by(|a, b| a.load.total_cmp(&b.load));
    for LoadedMachine { machine_index, .. } in sources {
        if capacity - 1.0 < snapshot.headroom_capacity {
            break;
        }
        // A machine that this pass has chosen as a destination is not vacated.
        if !snapshot.machines[machine_index].allocated_in_pass
            && vacate(snapshot, &bound_by_machine[machine_index], machine_index, decisions)
        {
            capacity -= 1.0;
        }
    }
}

/// A machine and its load.
struct LoadedMachine {
    /// The share of the machine that is in use.
    load: f64,
    machine_index: usize,
}

/// The share of a machine that is in use, by its scarcest resource.
fn load(snapshot: &Snapshot<'_>, machine_index: usize) -> f64 {
    let total = Resources::of_type(snapshot.type_of(machine_index));
    let mut used = total;
    used.sub(&snapshot.machines[machine_index].free);
    used.share_of(&total)
}

/// Whether a machine runs only replicas that may be moved, and is not reserved.
fn may_be_vacated(snapshot: &Snapshot<'_>, machine_index: usize, bound: &[BoundTaskIndex]) -> bool {
    let movable = |bound_task: &BoundTaskIndex| {
        let job = &snapshot.jobs[bound_task.job_index];
        let binding = &job.bound[bound_task.binding_index];
        job.spec.shape == Shape::Service && binding.movable && !binding.stopping
    };
    let view = &snapshot.machines[machine_index];
    !bound.is_empty()
        && view.reservation.is_none()
        && bound.iter().all(movable)
        && view.stopping == Resources::default()
}

/// A replica that is moved to another machine.
struct Move {
    bound_task: BoundTaskIndex,
    /// Index of the machine that the replica is moved to.
    destination: usize,
}

/// Moves all replicas of a machine to machines that are in use and hold their images. Returns
/// false, and moves none, if one of them has no such machine.
fn vacate(
    snapshot: &mut Snapshot<'_>,
    bound: &[BoundTaskIndex],
    machine_index: usize,
    decisions: &mut Decisions,
) -> bool {
    let ready = std::mem::replace(&mut snapshot.machines[machine_index].ready, false);
    let mut moves: Vec<Move> = Vec::new();
    for &bound_task in bound {
        snapshot.jobs[bound_task.job_index].bound[bound_task.binding_index].stopping = true;
        let found = ready_machine_with_image(snapshot, bound_task.job_index);
        let Some(destination) = found.filter(|&destination| !snapshot.machines[destination].empty)
        else {
            snapshot.jobs[bound_task.job_index].bound[bound_task.binding_index].stopping = false;
            undo_moves(snapshot, &moves);
            snapshot.machines[machine_index].ready = ready;
            return false;
        };
        bind_tentatively(snapshot, bound_task.job_index, destination);
        moves.push(Move { bound_task, destination });
    }
    for Move { bound_task, .. } in moves {
        let job = &snapshot.jobs[bound_task.job_index];
        let task = job.bound[bound_task.binding_index].task;
        decisions.stop.push(TaskStop { job: job.id.clone(), task, without_grace: false });
    }
    true
}

/// Reverts the moves that `vacate` made in the snapshot.
fn undo_moves(snapshot: &mut Snapshot<'_>, moves: &[Move]) {
    for &Move { bound_task, destination } in moves {
        let job = &mut snapshot.jobs[bound_task.job_index];
        job.bound[bound_task.binding_index].stopping = false;
        job.bound.pop();
        snapshot.machines[destination].free.add(&Resources::of_task(&job.spec));
    }
}

/// Reserves a machine for each replica of a job that is being stopped. The replica starts again
/// as soon as it is gone, and other tasks would take its next machine before that.
pub fn reserve_next_machines(snapshot: &mut Snapshot<'_>, job_index: usize) {
    let job = &snapshot.jobs[job_index];
    if job.spec.shape != Shape::Service {
        return;
    }
    let stopping_count =
        job.bound.iter().filter(|b| b.stopping && b.task != BoundView::TENTATIVE).count();
    if stopping_count > 0 {
        for machine_index in
            find_machines(snapshot, job_index, stopping_count, MachineReadiness::Ready)
        {
            bind_tentatively(snapshot, job_index, machine_index);
        }
    }
}
