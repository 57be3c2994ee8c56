//! Admission: in each round of the autoscaler, admits waiting arrays in arrival order and sets
//! the widths of all arrays by the dynamic program of `optimizer`.
//!
//! Services and gangs have one feasible width, all their tasks. They are allocated capacity by
//! priority first, and the arrays share the remaining capacity.

use std::collections::HashMap;

use super::{
    decisions::{Decisions, GrantedWidth},
    optimizer::{Curve, Program},
    quota::tasks_within_team_limit,
    resources::Resources,
    snapshot::Snapshot,
    team_use::TeamUse,
    view::{JobView, MachineKind},
};
use crate::protocol::Shape;

/// Capacity units of one machine if no machine type has GPUs.
const UNITS_PER_MACHINE_WITHOUT_GPUS: f64 = 8.0;

/// Sets the widths of all arrays in a round. Between rounds, sets the widths of arrays that
/// are not admitted yet to the minimum.
pub fn set_widths(snapshot: &mut Snapshot<'_>, decisions: &mut Decisions) {
    if snapshot.round {
        set_widths_in_round(snapshot);
    }
    for job in &mut snapshot.jobs {
        // An array that was not admitted starts at the minimum width.
        if job.spec.shape == Shape::Array && job.width == 0 {
            job.width = 1;
            if !snapshot.round {
                continue;
            }
        }
        if job.spec.shape == Shape::Array && snapshot.round {
            decisions.widths.push(GrantedWidth { job: job.id.clone(), width: job.width });
        }
    }
}

/// The unit in which the dynamic program counts a job's width: one task or, if several tasks
/// fit into one capacity unit, as many tasks as fit. If the program counted single tasks, an
/// array of tens of thousands of small tasks would make its tables as long.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Step {
    /// Tasks in one step.
    tasks: u32,
    /// Capacity units that a step takes.
    units: usize,
}

impl Step {
    /// The step of a job of which each task takes `units_per_task` capacity units.
    fn of(units_per_task: f64) -> Self {
        if !units_per_task.is_finite() || units_per_task <= 0.0 {
            return Self { tasks: 1, units: 1 };
        }
        let tasks = (1.0 / units_per_task + STEP_TOLERANCE)
            .floor()
            .clamp(1.0, f64::from(MAX_TASKS_PER_STEP));
        Self {
            tasks: tasks as u32,
            units: ((units_per_task - STEP_TOLERANCE).ceil() as usize).max(1),
        }
    }

    /// The number of steps that cover `tasks` tasks.
    fn steps(&self, tasks: u32) -> u32 {
        tasks.div_ceil(self.tasks)
    }

    /// The width in tasks of `steps` steps, for a job of at most `max_tasks` tasks.
    fn width(&self, steps: u32, max_tasks: u32) -> u32 {
        steps.saturating_mul(self.tasks).min(max_tasks)
    }
}

/// Rounding error of sums of decimal amounts that conversions to whole units and tasks allow for.
const STEP_TOLERANCE: f64 = 1e-6;

/// Bounds the tasks in one step, so that tasks that need almost no resources still count
/// towards the capacity in use.
const MAX_TASKS_PER_STEP: u32 = 1_000;

/// An array that may be admitted.
struct Candidate {
    /// The job's index in the snapshot.
    job_index: usize,
    /// The unit in which the job's width is counted.
    step: Step,
    /// The maximum number of tasks that may run at a time within the team's limit.
    max_tasks: u32,
    /// The curve over widths in steps.
    curve: Curve,
}

impl Candidate {
    /// The array's current width in steps, or 0 if it was not admitted yet.
    fn current_steps(&self, snapshot: &Snapshot<'_>) -> u32 {
        self.step.steps(snapshot.jobs[self.job_index].width).min(self.curve.max_width)
    }
}

/// Sets the widths of arrays to those that the dynamic program chooses for the current capacity.
fn set_widths_in_round(snapshot: &mut Snapshot<'_>) {
    let units = units_per_machine(snapshot);
    let candidates = candidates(snapshot, units);
    // An array whose team is at its limit waits; later arrays may still be admitted.
    let eligible: Vec<&Candidate> = candidates.iter().filter(|c| c.curve.max_width > 0).collect();
    // While the cloud can provision machines, capacity grows with the demand.
    let demand: usize = eligible.iter().map(|c| c.curve.max_width as usize * c.curve.cost).sum();
    let capacity =
        if may_provision_any(snapshot) { demand } else { capacity_for_arrays(snapshot, units) };
    let steps = if demand <= capacity {
        widths_without_contention(snapshot, &eligible)
    } else {
        widths_by_program(snapshot, &eligible, capacity)
    };
    let widths: Vec<(usize, u32)> = eligible
        .iter()
        .zip(steps)
        .map(|(candidate, steps)| {
            (candidate.job_index, candidate.step.width(steps, candidate.max_tasks))
        })
        .collect();
    for (job_index, width) in widths {
        snapshot.jobs[job_index].width = width;
    }
}

/// Capacity units of one machine. A unit is one GPU of the type with the most GPUs, or the
/// same share of the machine's scarcest resource.
fn units_per_machine(snapshot: &Snapshot<'_>) -> f64 {
    let units = snapshot.types.iter().map(|t| t.gpus).fold(0.0, f64::max);
    if units > 0.0 { units } else { UNITS_PER_MACHINE_WITHOUT_GPUS }
}

/// The step of a job on the machine type of which its tasks take the smallest share.
fn step_of(snapshot: &Snapshot<'_>, job: &JobView, units: f64) -> Step {
    let need = Resources::of_task(&job.spec);
    let shares = snapshot.types.iter().map(|t| need.share_of(&Resources::of_type(t)));
    Step::of(shares.fold(f64::INFINITY, f64::min) * units)
}

/// Capacity units that arrays may share: those that are free or used by arrays now, less those
/// that waiting services and gangs will take first.
fn capacity_for_arrays(snapshot: &Snapshot<'_>, units: f64) -> usize {
    let mut capacity = 0_usize;
    for machine in &snapshot.machines {
        let total = Resources::of_type(&snapshot.types[machine.machine_type]);
        let free = [
            (machine.free.gpus, total.gpus),
            (machine.free.cpus, total.cpus),
            (machine.free.memory_gb, total.memory_gb),
        ]
        .iter()
        .filter(|(_, total)| *total > 0.0)
        .map(|(free, total)| (free / total).max(0.0))
        .fold(1.0, f64::min);
        capacity += (free * units + STEP_TOLERANCE) as usize;
    }
    let mut rigid_demand = 0_usize;
    for job in &snapshot.jobs {
        let step = step_of(snapshot, job, units);
        if job.spec.shape == Shape::Array {
            capacity += step.steps(job.bound.len() as u32) as usize * step.units;
        } else {
            rigid_demand += job.startable() * step.units;
        }
    }
    capacity.saturating_sub(rigid_demand)
}

/// All arrays in order of arrival. The arrays of a team share the team's limit in that order.
fn candidates(snapshot: &Snapshot<'_>, units: f64) -> Vec<Candidate> {
    let arrays: Vec<usize> = (0..snapshot.jobs.len())
        .filter(|&job_index| snapshot.jobs[job_index].spec.shape == Shape::Array)
        .collect();
    let mut usage_by_team: HashMap<_, TeamUse> = snapshot.usage.clone();
    for &job_index in &arrays {
        let job = &snapshot.jobs[job_index];
        let team = usage_by_team.entry(job.spec.team.clone()).or_default();
        team.cpus -= job.spec.cpus * job.bound.len() as f64;
        team.gpus -= job.spec.gpus * job.bound.len() as f64;
    }
    let mut candidates = Vec::with_capacity(arrays.len());
    for job_index in arrays {
        let job = &snapshot.jobs[job_index];
        let usage = usage_by_team.entry(job.spec.team.clone()).or_default();
        let limit =
            tasks_within_team_limit(snapshot.settings.team(&job.spec.team), usage, &job.spec);
        let max_tasks = job.remaining.min(limit);
        usage.cpus += job.spec.cpus * f64::from(max_tasks);
        usage.gpus += job.spec.gpus * f64::from(max_tasks);
        let step = step_of(snapshot, job, units);
        let curve =
            Curve { min_width: 1, max_width: step.steps(max_tasks), cost: step.units, slope: 0.0 };
        candidates.push(Candidate { job_index, step, max_tasks, curve });
    }
    candidates
}

/// The widths in steps that the dynamic program would choose if the capacity suffices for all
/// candidates at their maximum widths, computed without a table. As in
/// `current_widths_unless_gain`, running arrays keep their widths unless the total gains enough.
fn widths_without_contention(snapshot: &Snapshot<'_>, eligible: &[&Candidate]) -> Vec<u32> {
    let greatest_widths: Vec<u32> = eligible.iter().map(|c| c.curve.max_width).collect();
    let kept_widths: Vec<u32> = eligible
        .iter()
        .map(|c| match c.current_steps(snapshot) {
            0 => c.curve.max_width,
            current_steps => current_steps,
        })
        .collect();
    let total = |widths: &[u32]| widths.iter().map(|width| f64::from(*width)).sum::<f64>();
    if reaches_resize_gain(snapshot, total(&kept_widths), total(&greatest_widths)) {
        greatest_widths
    } else {
        kept_widths
    }
}

/// The widths in steps of the admitted candidates: a prefix of `eligible`, up to the first one
/// whose minimum width doesn't fit.
fn widths_by_program(
    snapshot: &Snapshot<'_>,
    eligible: &[&Candidate],
    capacity: usize,
) -> Vec<u32> {
    let mut program = Program::new(capacity);
    let admitted = eligible.iter().take_while(|c| program.admit(&c.curve)).count();
    let kept_widths =
        current_widths_unless_gain(snapshot, &eligible[..admitted], capacity, program.total());
    kept_widths.unwrap_or_else(|| program.widths())
}

/// Widths in steps with which running arrays keep their current widths, and newly admitted ones
/// share the remaining capacity. None if the optimum gains enough over them, or if they don't
/// fit.
fn current_widths_unless_gain(
    snapshot: &Snapshot<'_>,
    admitted: &[&Candidate],
    capacity: usize,
    best: f64,
) -> Option<Vec<u32>> {
    let mut program = Program::new(capacity);
    for candidate in admitted {
        let current_steps = candidate.current_steps(snapshot);
        let mut curve = candidate.curve.clone();
        if current_steps > 0 {
            (curve.min_width, curve.max_width) = (current_steps, current_steps);
        }
        if !program.admit(&curve) {
            return None;
        }
    }
    (!reaches_resize_gain(snapshot, program.total(), best)).then(|| program.widths())
}

/// Whether the best total gains enough over the total with kept widths to change the widths of
/// running arrays.
fn reaches_resize_gain(snapshot: &Snapshot<'_>, kept: f64, best: f64) -> bool {
    best >= kept * (1.0 + snapshot.settings.operator.resize_gain)
}

/// Whether at least one kind of machine is not marked exhausted in the cloud.
fn may_provision_any(snapshot: &Snapshot<'_>) -> bool {
    snapshot.types.iter().enumerate().any(|(machine_type, t)| {
        t.zones.iter().any(|zone| {
            snapshot.settings.zone_index(zone).is_some_and(|zone| {
                [false, true]
                    .iter()
                    .any(|&spot| snapshot.may_provision(&MachineKind { machine_type, zone, spot }))
            })
        })
    })
}

#[cfg(test)]
mod tests;
