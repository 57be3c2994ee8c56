//! Preemption: chooses the running tasks to stop for tasks of higher priority.

use super::{
    decisions::{Decisions, TaskStop},
    resources::Resources,
    snapshot::{BoundTaskIndex, Snapshot},
    vacancy::{
        capacity_after_stops, machines_eligible_for, mark_stopping, reserve_vacated_capacity,
    },
    view::{JobView, MachineView},
};
use crate::protocol::Shape;

/// Saving a checkpoint may take this many times as long as its job declares.
const SLOW_SAVE_FACTOR: f64 = 1.5;

/// Frees capacity for `count` tasks of a job by stopping tasks of lower priority, those that lose
/// the least work first, and reserves the capacity. Returns the number of tasks for which it did;
/// for a gang all or none.
pub fn preempt(
    snapshot: &mut Snapshot<'_>,
    bound_by_machine: &[Vec<BoundTaskIndex>],
    job_index: usize,
    count: usize,
    decisions: &mut Decisions,
) -> usize {
    if count == 0 {
        return 0;
    }
    match snapshot.jobs[job_index].spec.shape {
        // Arrays wait for machines: stopping one array's task for another's gains nothing.
        Shape::Array => 0,
        Shape::Service => {
            preempt_each(snapshot, bound_by_machine, job_index, count, None, decisions).len()
        }
        Shape::Gang => preempt_for_gang(snapshot, bound_by_machine, job_index, count, decisions),
    }
}

/// Frees capacity for all tasks of a gang or for none, since a gang can't start in part. A gang
/// that must run in one zone tries each zone and takes the one with the least lost work: the
/// cheapest machine for the first task may be in a zone without capacity for the others.
fn preempt_for_gang(
    snapshot: &mut Snapshot<'_>,
    bound_by_machine: &[Vec<BoundTaskIndex>],
    job_index: usize,
    count: usize,
    decisions: &mut Decisions,
) -> usize {
    let job = &snapshot.jobs[job_index];
    let zones: Vec<Option<u8>> = if job.spec.one_zone && job.bound.is_empty() {
        (0..snapshot.settings.cluster.zones.len() as u8).map(Some).collect()
    } else {
        vec![None]
    };
    let mut best: Option<ZoneLoss> = None;
    for zone in zones {
        let mut discarded = Decisions::default();
        let plans =
            preempt_each(snapshot, bound_by_machine, job_index, count, zone, &mut discarded);
        let lost_work_s: f64 = plans.iter().map(|plan| plan.lost_work_s).sum();
        if plans.len() == count && best.as_ref().is_none_or(|best| lost_work_s < best.lost_work_s) {
            best = Some(ZoneLoss { zone, lost_work_s });
        }
        undo_plans(snapshot, job_index, plans);
    }
    let Some(ZoneLoss { zone, .. }) = best else { return 0 };
    preempt_each(snapshot, bound_by_machine, job_index, count, zone, decisions).len()
}

/// The work lost by preempting for a whole gang in one zone, or in any zone.
struct ZoneLoss {
    zone: Option<u8>,
    lost_work_s: f64,
}

/// How capacity for one task is freed on a machine.
struct PreemptionPlan {
    machine_index: usize,
    /// The tasks to stop; none if the capacity of tasks that are already being stopped suffices.
    victims: Vec<BoundTaskIndex>,
    /// Seconds of work that are lost by stopping the victims.
    lost_work_s: f64,
}

/// Whether a machine must already hold the job's image.
#[derive(Clone, Copy, PartialEq)]
enum ImageCache {
    Required,
    Optional,
}

/// Frees capacity for up to `count` tasks of a job, task by task, in one zone if one is given.
/// Returns the plans carried out.
fn preempt_each(
    snapshot: &mut Snapshot<'_>,
    bound_by_machine: &[Vec<BoundTaskIndex>],
    job_index: usize,
    count: usize,
    zone: Option<u8>,
    decisions: &mut Decisions,
) -> Vec<PreemptionPlan> {
    let mut plans = Vec::new();
    while plans.len() < count
        && let Some(plan) =
            least_loss_plan(snapshot, bound_by_machine, job_index, ImageCache::Optional, zone)
    {
        apply_plan(snapshot, job_index, &plan, decisions);
        plans.push(plan);
    }
    plans
}

/// Reverts the plans that `preempt_each` carried out in the snapshot.
fn undo_plans(
    snapshot: &mut Snapshot<'_>,
    preempting_job_index: usize,
    plans: Vec<PreemptionPlan>,
) {
    let need = Resources::of_task(&snapshot.jobs[preempting_job_index].spec);
    for plan in plans {
        let machine = &mut snapshot.machines[plan.machine_index];
        machine.free.add(&need);
        for BoundTaskIndex { job_index, binding_index } in plan.victims {
            machine.stopping.sub(&Resources::of_task(&snapshot.jobs[job_index].spec));
            snapshot.jobs[job_index].bound[binding_index].stopping = false;
        }
        snapshot.jobs[preempting_job_index].bound.pop();
    }
}

/// Frees capacity for one task on a machine that holds the job's image, if that loses less work
/// than the `fetch_s` seconds that another machine needs to fetch the image. Returns whether it
/// did.
pub fn preempt_where_image_is_cached(
    snapshot: &mut Snapshot<'_>,
    bound_by_machine: &[Vec<BoundTaskIndex>],
    job_index: usize,
    fetch_s: f64,
    decisions: &mut Decisions,
) -> bool {
    match least_loss_plan(snapshot, bound_by_machine, job_index, ImageCache::Required, None) {
        Some(plan) if plan.lost_work_s < fetch_s => {
            apply_plan(snapshot, job_index, &plan, decisions);
            true
        }
        _ => false,
    }
}

/// Stops the victims of a plan and reserves their capacity for the job.
fn apply_plan(
    snapshot: &mut Snapshot<'_>,
    job_index: usize,
    plan: &PreemptionPlan,
    decisions: &mut Decisions,
) {
    // A victim gets no grace period if saving its checkpoint could make the job miss its wait
    // objective.
    let remaining_wait_s = snapshot.jobs[job_index].remaining_wait_s;
    for &victim in &plan.victims {
        let save_s = snapshot.jobs[victim.job_index].spec.save_s * SLOW_SAVE_FACTOR;
        let without_grace =
            remaining_wait_s.is_some_and(|remaining_s| remaining_s > 0.0 && remaining_s < save_s);
        decisions.stop.push(TaskStop {
            without_grace,
            ..mark_stopping(snapshot, victim, plan.machine_index)
        });
    }
    reserve_vacated_capacity(snapshot, job_index, plan.machine_index);
}

/// The plan that frees capacity for one task with the least lost work; of equal plans the first.
fn least_loss_plan(
    snapshot: &Snapshot<'_>,
    bound_by_machine: &[Vec<BoundTaskIndex>],
    job_index: usize,
    image_cache: ImageCache,
    zone: Option<u8>,
) -> Option<PreemptionPlan> {
    let job = &snapshot.jobs[job_index];
    let mut best: Option<PreemptionPlan> = None;
    for (machine_index, view) in machines_eligible_for(snapshot, job, zone) {
        if image_cache == ImageCache::Required && !view.images.contains(&job.spec.image) {
            continue;
        }
        let bound = bound_by_machine.get(machine_index).map_or(&[][..], Vec::as_slice);
        let Some(plan) = plan_for_machine(snapshot, job, machine_index, view, bound) else {
            continue;
        };
        if best.as_ref().is_none_or(|best| plan.lost_work_s < best.lost_work_s) {
            best = Some(plan);
        }
    }
    best
}

/// The plan to free capacity for one task on a machine; none if all preemptible tasks there do not
/// suffice.
fn plan_for_machine(
    snapshot: &Snapshot<'_>,
    job: &JobView,
    machine_index: usize,
    view: &MachineView,
    bound: &[BoundTaskIndex],
) -> Option<PreemptionPlan> {
    let need = Resources::of_task(&job.spec);
    let mut capacity = capacity_after_stops(view);
    let mut victims = Vec::new();
    let mut lost_work_s = 0.0;
    for candidate in candidates(snapshot, job, bound) {
        if capacity.has_capacity_for(&need) {
            break;
        }
        capacity.add(&Resources::of_task(&snapshot.jobs[candidate.bound_task.job_index].spec));
        lost_work_s += candidate.lost_work_s;
        victims.push(candidate.bound_task);
    }
    capacity.has_capacity_for(&need).then_some(PreemptionPlan {
        machine_index,
        victims,
        lost_work_s,
    })
}

/// A task that may be preempted.
struct Candidate {
    bound_task: BoundTaskIndex,
    /// Seconds of work that would be lost if the task stopped now.
    lost_work_s: f64,
}

/// The tasks on a machine that a job may preempt, those with the least lost work first.
fn candidates(snapshot: &Snapshot<'_>, job: &JobView, bound: &[BoundTaskIndex]) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    for &bound_task in bound {
        let other = &snapshot.jobs[bound_task.job_index];
        let binding = &other.bound[bound_task.binding_index];
        // Only tasks of arrays are preempted: stopping a replica or one task of a gang affects
        // its whole job, so the preempting job waits for a provisioned machine instead.
        let preemptible = other.priority < job.priority && other.spec.shape == Shape::Array;
        if preemptible && !binding.stopping {
            candidates.push(Candidate { bound_task, lost_work_s: binding.lost_work_s });
        }
    }
    candidates.sort_by(|a, b| a.lost_work_s.total_cmp(&b.lost_work_s));
    candidates
}
