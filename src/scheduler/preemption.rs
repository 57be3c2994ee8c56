//! Preemption: which running tasks are stopped for work of higher priority.

use super::{
    decisions::{Decisions, TaskStop},
    resources::Resources,
    snapshot::{Snapshot, TaskSlot},
    vacancy::{keep_vacated_place, machines_for, room_after_stops, stop},
    view::{JobView, MachineView},
};
use crate::protocol::Shape;

/// Saving a checkpoint may take this many times as long as its job says.
const SLOW_SAVE: f64 = 1.5;

/// Makes room for `count` tasks of a job by stopping work of lower priority,
/// the least lost work first, and keeps that room for them. Returns for how
/// many tasks it did; for a gang that is all or none.
pub fn preempt(
    snapshot: &mut Snapshot<'_>,
    bound_by_machine: &[Vec<TaskSlot>],
    at: usize,
    count: usize,
    decisions: &mut Decisions,
) -> usize {
    // Arrays wait for machines: stopping one task for another gains nothing.
    if count == 0 {
        return 0;
    }
    match snapshot.jobs[at].spec.shape {
        Shape::Array => 0,
        Shape::Service => {
            preempt_each(snapshot, bound_by_machine, at, count, None, decisions).len()
        }
        Shape::Gang => preempt_for_gang(snapshot, bound_by_machine, at, count, decisions),
    }
}

/// Half a gang's room is no use to anybody. The machine where one task
/// loses the least may lie in a zone that has no room for the next.
fn preempt_for_gang(
    snapshot: &mut Snapshot<'_>,
    bound_by_machine: &[Vec<TaskSlot>],
    at: usize,
    count: usize,
    decisions: &mut Decisions,
) -> usize {
    let job = &snapshot.jobs[at];
    let zones: Vec<Option<u8>> = if job.spec.one_zone && job.bound.is_empty() {
        (0..snapshot.settings.cluster.zones.len() as u8).map(Some).collect()
    } else {
        vec![None]
    };
    let mut best: Option<ZoneLoss> = None;
    for zone in zones {
        let mut tried = Decisions::default();
        let plans = preempt_each(snapshot, bound_by_machine, at, count, zone, &mut tried);
        let lost_work_s: f64 = plans.iter().map(|plan| plan.lost_work_s).sum();
        if plans.len() == count && best.as_ref().is_none_or(|best| lost_work_s < best.lost_work_s) {
            best = Some(ZoneLoss { zone, lost_work_s });
        }
        undo(snapshot, at, plans);
    }
    let Some(ZoneLoss { zone, .. }) = best else { return 0 };
    preempt_each(snapshot, bound_by_machine, at, count, zone, decisions).len()
}

/// What a gang's room costs in one zone, or in any.
struct ZoneLoss {
    zone: Option<u8>,
    lost_work_s: f64,
}

/// How room is made for one task.
struct PreemptionPlan {
    machine: usize,
    /// The tasks to stop; none if tasks that are being stopped already suffice.
    victims: Vec<TaskSlot>,
    /// Seconds of work that this loses.
    lost_work_s: f64,
}

/// Whether only machines count that hold the job's image.
#[derive(Clone, Copy, PartialEq)]
enum ImageCache {
    Required,
    Optional,
}

fn preempt_each(
    snapshot: &mut Snapshot<'_>,
    bound_by_machine: &[Vec<TaskSlot>],
    at: usize,
    count: usize,
    zone: Option<u8>,
    decisions: &mut Decisions,
) -> Vec<PreemptionPlan> {
    let mut plans = Vec::new();
    while plans.len() < count
        && let Some(plan) = least_loss(snapshot, bound_by_machine, at, ImageCache::Optional, zone)
    {
        carry_out(snapshot, at, &plan, decisions);
        plans.push(plan);
    }
    plans
}

/// Undoes in the snapshot what `preempt_each` did there.
fn undo(snapshot: &mut Snapshot<'_>, at: usize, plans: Vec<PreemptionPlan>) {
    let need = Resources::of_task(&snapshot.jobs[at].spec);
    for plan in plans {
        let machine = &mut snapshot.machines[plan.machine];
        machine.free.add(&need);
        for TaskSlot { job, binding } in plan.victims {
            machine.stopping.sub(&Resources::of_task(&snapshot.jobs[job].spec));
            snapshot.jobs[job].bound[binding].stopping = false;
        }
        snapshot.jobs[at].bound.pop();
    }
}

/// Makes room on a machine that holds the job's image already, if the fetch
/// elsewhere would take longer than the work lost by it.
pub fn preempt_where_image_is_cached(
    snapshot: &mut Snapshot<'_>,
    bound_by_machine: &[Vec<TaskSlot>],
    at: usize,
    fetch_s: f64,
    decisions: &mut Decisions,
) -> bool {
    match least_loss(snapshot, bound_by_machine, at, ImageCache::Required, None) {
        Some(plan) if plan.lost_work_s < fetch_s => {
            carry_out(snapshot, at, &plan, decisions);
            true
        }
        _ => false,
    }
}

fn carry_out(
    snapshot: &mut Snapshot<'_>,
    at: usize,
    plan: &PreemptionPlan,
    decisions: &mut Decisions,
) {
    // Saving takes time that a tight objective for waiting may not have.
    let remaining_wait_s = snapshot.jobs[at].remaining_wait_s;
    for &victim in &plan.victims {
        let save_s = snapshot.jobs[victim.job].spec.save_s * SLOW_SAVE;
        let without_grace = remaining_wait_s.is_some_and(|p| p > 0.0 && p < save_s);
        decisions.stop.push(TaskStop { without_grace, ..stop(snapshot, victim, plan.machine) });
    }
    keep_vacated_place(snapshot, at, plan.machine);
}

/// The machine where one task finds room at the least loss; of equal ones the first.
fn least_loss(
    snapshot: &Snapshot<'_>,
    bound_by_machine: &[Vec<TaskSlot>],
    at: usize,
    image_cache: ImageCache,
    zone: Option<u8>,
) -> Option<PreemptionPlan> {
    let job = &snapshot.jobs[at];
    let mut best: Option<PreemptionPlan> = None;
    for (machine, view) in machines_for(snapshot, job, zone) {
        if image_cache == ImageCache::Required && !view.images.contains(&job.spec.image) {
            continue;
        }
        let bound = bound_by_machine.get(machine).map_or(&[][..], Vec::as_slice);
        let Some(plan) = plan_on(snapshot, job, machine, view, bound) else { continue };
        if best.as_ref().is_none_or(|best| plan.lost_work_s < best.lost_work_s) {
            best = Some(plan);
        }
    }
    best
}

/// How room for one task can be made on a machine, if it can.
fn plan_on(
    snapshot: &Snapshot<'_>,
    job: &JobView,
    machine: usize,
    view: &MachineView,
    bound: &[TaskSlot],
) -> Option<PreemptionPlan> {
    let need = Resources::of_task(&job.spec);
    let mut room = room_after_stops(view);
    let mut victims = Vec::new();
    let mut lost_work_s = 0.0;
    for candidate in candidates(snapshot, job, bound) {
        if room.has_capacity_for(&need) {
            break;
        }
        room.add(&Resources::of_task(&snapshot.jobs[candidate.slot.job].spec));
        lost_work_s += candidate.lost_work_s;
        victims.push(candidate.slot);
    }
    room.has_capacity_for(&need).then_some(PreemptionPlan { machine, victims, lost_work_s })
}

/// A task that may be stopped.
struct Candidate {
    slot: TaskSlot,
    /// Seconds of work that stopping it now would lose.
    lost_work_s: f64,
}

/// The tasks on a machine that a job may preempt, the least loss first.
fn candidates(snapshot: &Snapshot<'_>, job: &JobView, bound: &[TaskSlot]) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    for &slot in bound {
        let other = &snapshot.jobs[slot.job];
        let binding = &other.bound[slot.binding];
        // Only arrays: stopping a replica or a gang costs its whole job,
        // and work that is dearer to stop waits for a provisioned machine.
        let preemptible = other.priority < job.priority && other.spec.shape == Shape::Array;
        if preemptible && !binding.stopping {
            candidates.push(Candidate { slot, lost_work_s: binding.lost_work_s });
        }
    }
    candidates.sort_by(|a, b| a.lost_work_s.total_cmp(&b.lost_work_s));
    candidates
}
