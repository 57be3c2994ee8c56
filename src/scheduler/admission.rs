//! The autoscaler's round: admits waiting arrays in arrival order and sets
//! their widths by the dynamic program.
//!
//! Services and gangs have one feasible width, all their tasks, so they take
//! their room by priority before the elastic jobs share what is left.

use std::collections::HashMap;

use crate::protocol::Shape;

use super::{
    Decisions, Resources, Snapshot, TeamUse,
    optimizer::{Curve, Program},
    team_room,
};

/// Units of room in one machine when types have no GPUs.
const UNITS_WITHOUT_GPUS: f64 = 8.0;

pub fn set_widths(snapshot: &mut Snapshot<'_>, decisions: &mut Decisions) {
    if snapshot.round {
        round(snapshot);
    }
    for job in &mut snapshot.jobs {
        // Between rounds a waiting job starts at its least width.
        if job.spec.shape == Shape::Array && job.width == 0 {
            job.width = 1;
            if !snapshot.round {
                continue;
            }
        }
        if job.spec.shape == Shape::Array && snapshot.round {
            decisions.widths.push((job.id.clone(), job.width));
        }
    }
}

fn round(snapshot: &mut Snapshot<'_>) {
    // The room unit: one GPU, or the same share of whatever is scarcest.
    let units = snapshot.types.iter().map(|t| t.gpus).fold(0.0, f64::max);
    let units = if units > 0.0 { units } else { UNITS_WITHOUT_GPUS };
    let cost = |need: &Resources| {
        let share = snapshot
            .types
            .iter()
            .map(|t| need.share_of(&Resources::of_type(t)))
            .fold(f64::INFINITY, f64::min);
        if share.is_finite() { ((share * units - 1e-6).ceil() as usize).max(1) } else { 1 }
    };

    // Rigid work takes its room first; what arrays hold now is theirs to share.
    let mut room = 0_usize;
    for machine in &snapshot.machines {
        let total = Resources::of_type(&snapshot.types[machine.kind]);
        let free = [
            (machine.free.gpus, total.gpus),
            (machine.free.cpus, total.cpus),
            (machine.free.memory_gb, total.memory_gb),
        ]
        .iter()
        .filter(|(_, total)| *total > 0.0)
        .map(|(free, total)| (free / total).max(0.0))
        .fold(1.0, f64::min);
        room += (free * units + 1e-6) as usize;
    }
    let arrays: Vec<usize> = (0..snapshot.jobs.len())
        .filter(|&at| snapshot.jobs[at].spec.shape == Shape::Array)
        .collect();
    let mut rigid: usize = 0;
    for job in &snapshot.jobs {
        let each = cost(&Resources::of_task(&job.spec));
        if job.spec.shape == Shape::Array {
            room += job.bound.len() * each;
        } else {
            rigid += job.startable() * each;
        }
    }
    room = room.saturating_sub(rigid);

    // The limit that a team's arrays share, in order of arrival.
    let mut used: HashMap<_, TeamUse> = snapshot.usage.clone();
    for &at in &arrays {
        let job = &snapshot.jobs[at];
        let team = used.entry(job.spec.team.clone()).or_default();
        team.cpus -= job.spec.cpus * job.bound.len() as f64;
        team.gpus -= job.spec.gpus * job.bound.len() as f64;
    }
    let mut curves = Vec::with_capacity(arrays.len());
    for &at in &arrays {
        let job = &snapshot.jobs[at];
        let usage = used.entry(job.spec.team.clone()).or_default();
        let limit = team_room(snapshot.settings.team(&job.spec.team), usage, &job.spec);
        let max = job.remaining.min(limit);
        usage.cpus += job.spec.cpus * f64::from(max);
        usage.gpus += job.spec.gpus * f64::from(max);
        let cost = cost(&Resources::of_task(&job.spec));
        curves.push(Curve { min: 1, max, cost, slope: 0.0 });
    }

    // While the cloud rents, the room held grows with the demand.
    let wanted: usize = curves.iter().map(|c| c.max as usize * c.cost).sum();
    let room = if rentable(snapshot) { wanted } else { room.min(wanted) };

    let mut program = Program::new(room);
    let mut admitted = Vec::new();
    for (slot, curve) in curves.iter().enumerate() {
        // A job past its team's limit waits and does not end admission.
        if curve.max == 0 {
            continue;
        }
        if !program.admit(curve) {
            break;
        }
        admitted.push(slot);
    }
    let widths = program.widths();
    let kept = keep_widths(snapshot, &arrays, &curves, &admitted, room, program.total());
    for (&slot, width) in admitted.iter().zip(kept.unwrap_or(widths)) {
        snapshot.jobs[arrays[slot]].width = width;
    }
}

/// Running widths stay unless the total gains enough; jobs new in this round
/// then share what the running ones leave. None: change the widths.
fn keep_widths(
    snapshot: &Snapshot<'_>,
    arrays: &[usize],
    curves: &[Curve],
    admitted: &[usize],
    room: usize,
    best: f64,
) -> Option<Vec<u32>> {
    let mut program = Program::new(room);
    for &slot in admitted {
        let width = snapshot.jobs[arrays[slot]].width;
        let mut curve = curves[slot].clone();
        if width > 0 {
            let width = width.min(curve.max);
            (curve.min, curve.max) = (width, width);
        }
        if !program.admit(&curve) {
            return None;
        }
    }
    let gain = 1.0 + snapshot.settings.operator.resize_gain;
    (best < program.total() * gain).then(|| program.widths())
}

fn rentable(snapshot: &Snapshot<'_>) -> bool {
    snapshot.types.iter().enumerate().any(|(kind, t)| {
        t.zones.iter().any(|zone| {
            snapshot.settings.zone_index(zone).is_some_and(|zone| {
                [false, true].iter().any(|&spot| !snapshot.refused.contains(&(kind, zone, spot)))
            })
        })
    })
}
