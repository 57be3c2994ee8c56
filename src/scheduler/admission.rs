//! The autoscaler's round: admits waiting arrays in arrival order and sets
//! their widths by the dynamic program.
//!
//! Services and gangs have one feasible width, all their tasks, so they take
//! their room by priority before the elastic jobs share what is left.

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

/// Units of room in one machine when types have no GPUs.
const UNITS_WITHOUT_GPUS: f64 = 8.0;

/// Sets the widths of arrays: in a round those of all, between rounds the least width
/// of those that wait.
pub fn set_widths(snapshot: &mut Snapshot<'_>, decisions: &mut Decisions) {
    if snapshot.round {
        round(snapshot);
    }
    for job in &mut snapshot.jobs {
        // Between rounds a waiting array starts at its least width.
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

/// A job's width as the program counts it. A step is one task or, where several
/// fit into one unit of room, as many of these: counted one by one, an array of
/// tens of thousands of small tasks would make the program's tables as long.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Step {
    tasks: u32,
    /// Units of room that a step takes.
    units: usize,
}

impl Step {
    /// `share`: units of room that one task takes.
    fn of(share: f64) -> Self {
        if !share.is_finite() || share <= 0.0 {
            return Self { tasks: 1, units: 1 };
        }
        let tasks = (1.0 / share + STEP_SLACK).floor().clamp(1.0, f64::from(MAX_TASKS_OF_STEP));
        Self { tasks: tasks as u32, units: ((share - STEP_SLACK).ceil() as usize).max(1) }
    }

    /// How many steps hold so many tasks.
    fn steps(&self, tasks: u32) -> u32 {
        tasks.div_ceil(self.tasks)
    }

    /// The width of so many steps, for a job of at most `max_tasks` tasks.
    fn width(&self, steps: u32, max_tasks: u32) -> u32 {
        steps.saturating_mul(self.tasks).min(max_tasks)
    }
}

/// Sums of decimal amounts are compared with a little slack.
const STEP_SLACK: f64 = 1e-6;

/// Tasks that take next to nothing are still counted.
const MAX_TASKS_OF_STEP: u32 = 1_000;

/// An array that may be admitted: its place in the snapshot, its widths in steps
/// and the most tasks that it may have.
struct Candidate {
    at: usize,
    step: Step,
    max_tasks: u32,
    curve: Curve,
}

impl Candidate {
    /// Its present width in steps, or 0 if it was not admitted yet.
    fn present(&self, snapshot: &Snapshot<'_>) -> u32 {
        self.step.steps(snapshot.jobs[self.at].width).min(self.curve.max)
    }
}

fn round(snapshot: &mut Snapshot<'_>) {
    let units = units_of_machine(snapshot);
    let candidates = candidates(snapshot, units);
    // A job past its team's limit waits and does not end admission.
    let eligible: Vec<&Candidate> = candidates.iter().filter(|c| c.curve.max > 0).collect();
    // While the cloud has machines, the room grows with the demand.
    let wanted: usize = eligible.iter().map(|c| c.curve.max as usize * c.curve.cost).sum();
    let room = if any_is_obtainable(snapshot) { wanted } else { room_of_arrays(snapshot, units) };
    let steps = if wanted <= room {
        widths_where_all_fits(snapshot, &eligible)
    } else {
        widths_by_program(snapshot, &eligible, room)
    };
    let widths: Vec<(usize, u32)> = eligible
        .iter()
        .zip(steps)
        .map(|(candidate, steps)| (candidate.at, candidate.step.width(steps, candidate.max_tasks)))
        .collect();
    for (at, width) in widths {
        snapshot.jobs[at].width = width;
    }
}

/// The room unit: one GPU, or the same share of whatever is scarcest.
fn units_of_machine(snapshot: &Snapshot<'_>) -> f64 {
    let units = snapshot.types.iter().map(|t| t.gpus).fold(0.0, f64::max);
    if units > 0.0 { units } else { UNITS_WITHOUT_GPUS }
}

fn step_of(snapshot: &Snapshot<'_>, job: &JobView, units: f64) -> Step {
    let need = Resources::of_task(&job.spec);
    let shares = snapshot.types.iter().map(|t| need.share_of(&Resources::of_type(t)));
    Step::of(shares.fold(f64::INFINITY, f64::min) * units)
}

/// The room that arrays may share: rigid work takes its part first, and what
/// arrays hold now is theirs.
fn room_of_arrays(snapshot: &Snapshot<'_>, units: f64) -> usize {
    let mut room = 0_usize;
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
        room += (free * units + STEP_SLACK) as usize;
    }
    let mut rigid = 0_usize;
    for job in &snapshot.jobs {
        let step = step_of(snapshot, job, units);
        if job.spec.shape == Shape::Array {
            room += step.steps(job.bound.len() as u32) as usize * step.units;
        } else {
            rigid += job.startable() * step.units;
        }
    }
    room.saturating_sub(rigid)
}

/// All arrays in order of arrival, each within the limit that its team's arrays
/// share.
fn candidates(snapshot: &Snapshot<'_>, units: f64) -> Vec<Candidate> {
    let arrays: Vec<usize> = (0..snapshot.jobs.len())
        .filter(|&at| snapshot.jobs[at].spec.shape == Shape::Array)
        .collect();
    let mut used: HashMap<_, TeamUse> = snapshot.usage.clone();
    for &at in &arrays {
        let job = &snapshot.jobs[at];
        let team = used.entry(job.spec.team.clone()).or_default();
        team.cpus -= job.spec.cpus * job.bound.len() as f64;
        team.gpus -= job.spec.gpus * job.bound.len() as f64;
    }
    let mut candidates = Vec::with_capacity(arrays.len());
    for at in arrays {
        let job = &snapshot.jobs[at];
        let usage = used.entry(job.spec.team.clone()).or_default();
        let limit =
            tasks_within_team_limit(snapshot.settings.team(&job.spec.team), usage, &job.spec);
        let max_tasks = job.remaining.min(limit);
        usage.cpus += job.spec.cpus * f64::from(max_tasks);
        usage.gpus += job.spec.gpus * f64::from(max_tasks);
        let step = step_of(snapshot, job, units);
        let curve = Curve { min: 1, max: step.steps(max_tasks), cost: step.units, slope: 0.0 };
        candidates.push(Candidate { at, step, max_tasks, curve });
    }
    candidates
}

/// The program's answer where its room holds all that could be granted: every job
/// at its greatest width, without a table. As in `keep_widths`, running widths
/// stay unless the total gains enough.
fn widths_where_all_fits(snapshot: &Snapshot<'_>, eligible: &[&Candidate]) -> Vec<u32> {
    let greatest: Vec<u32> = eligible.iter().map(|c| c.curve.max).collect();
    let kept: Vec<u32> = eligible
        .iter()
        .map(|c| match c.present(snapshot) {
            0 => c.curve.max,
            present => present,
        })
        .collect();
    let total = |widths: &[u32]| widths.iter().map(|width| f64::from(*width)).sum::<f64>();
    if gains_enough(snapshot, total(&kept), total(&greatest)) { greatest } else { kept }
}

/// The widths in steps of all admitted jobs: those that come first in `eligible`.
fn widths_by_program(snapshot: &Snapshot<'_>, eligible: &[&Candidate], room: usize) -> Vec<u32> {
    let mut program = Program::new(room);
    let admitted = eligible.iter().take_while(|c| program.admit(&c.curve)).count();
    let kept = keep_widths(snapshot, &eligible[..admitted], room, program.total());
    kept.unwrap_or_else(|| program.widths())
}

/// Running widths stay unless the total gains enough; jobs new in this round
/// then share what the running ones leave. None: change the widths.
fn keep_widths(
    snapshot: &Snapshot<'_>,
    admitted: &[&Candidate],
    room: usize,
    best: f64,
) -> Option<Vec<u32>> {
    let mut program = Program::new(room);
    for candidate in admitted {
        let present = candidate.present(snapshot);
        let mut curve = candidate.curve.clone();
        if present > 0 {
            (curve.min, curve.max) = (present, present);
        }
        if !program.admit(&curve) {
            return None;
        }
    }
    (!gains_enough(snapshot, program.total(), best)).then(|| program.widths())
}

/// Whether the best total is worth changing running widths for.
fn gains_enough(snapshot: &Snapshot<'_>, kept: f64, best: f64) -> bool {
    best >= kept * (1.0 + snapshot.settings.operator.resize_gain)
}

/// Whether the cloud may have machines of any kind.
fn any_is_obtainable(snapshot: &Snapshot<'_>) -> bool {
    snapshot.types.iter().enumerate().any(|(machine_type, t)| {
        t.zones.iter().any(|zone| {
            snapshot.settings.zone_index(zone).is_some_and(|zone| {
                [false, true].iter().any(|&spot| {
                    snapshot.may_be_provisioned(&MachineKind { machine_type, zone, spot })
                })
            })
        })
    })
}

#[cfg(test)]
mod tests;
