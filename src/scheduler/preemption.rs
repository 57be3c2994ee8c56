//! Room for work of higher priority: which running tasks are stopped for it.

use crate::protocol::Shape;

use super::{Decisions, Resources, Snapshot, Stopping, placement::Zones, placement::allows};

/// Makes room for `count` tasks of a job by stopping work of lower priority,
/// the least lost work first, and holds that room for them. Returns for how
/// many tasks it did; for a gang that is all or none.
pub fn make_room(
    snapshot: &mut Snapshot<'_>,
    at: usize,
    count: usize,
    decisions: &mut Decisions,
) -> usize {
    // Arrays wait for machines: stopping one task for another gains nothing.
    if snapshot.jobs[at].spec.shape == Shape::Array {
        return 0;
    }
    if snapshot.jobs[at].spec.shape == Shape::Gang {
        // Tried in thought first: half a gang's room is no use to anybody.
        let mut trial = snapshot.clone();
        let mut unused = Decisions::default();
        if make_each(&mut trial, at, count, &mut unused) < count {
            return 0;
        }
    }
    make_each(snapshot, at, count, decisions)
}

fn make_each(
    snapshot: &mut Snapshot<'_>,
    at: usize,
    count: usize,
    decisions: &mut Decisions,
) -> usize {
    for made in 0..count {
        let Some((machine, victims, _)) = cheapest(snapshot, at, false) else { return made };
        stop_for(snapshot, at, machine, victims, decisions);
    }
    count
}

/// Makes room on a machine that holds the job's image already, if the fetch
/// elsewhere would take longer than the work lost by it.
pub fn make_cached_room(
    snapshot: &mut Snapshot<'_>,
    at: usize,
    fetch_s: f64,
    decisions: &mut Decisions,
) -> bool {
    match cheapest(snapshot, at, true) {
        Some((machine, victims, loss_s)) if loss_s < fetch_s => {
            stop_for(snapshot, at, machine, victims, decisions);
            true
        }
        _ => false,
    }
}

fn stop_for(
    snapshot: &mut Snapshot<'_>,
    at: usize,
    machine: usize,
    victims: Vec<Victim>,
    decisions: &mut Decisions,
) {
    let need = Resources::of_task(&snapshot.jobs[at].spec);
    // Saving takes time that a tight aim on waiting may not have.
    let patience_s = snapshot.jobs[at].patience_s;
    for (job, slot) in victims {
        let spec = snapshot.jobs[job].spec.clone();
        let bound = &mut snapshot.jobs[job].bound[slot];
        bound.stopping = true;
        let stop = Stopping {
            job: spec.id.clone(),
            task: bound.task,
            at_once: patience_s.is_some_and(|p| p > 0.0 && p < spec.save_s * 1.5),
        };
        decisions.stop.push(stop);
        snapshot.machines[machine].stopping.add(&Resources::of_task(&spec));
    }
    // The room is held from now on: given to other work, it would have to be
    // made again and again.
    snapshot.machines[machine].free.sub(&need);
    let zone = snapshot.machines[machine].zone;
    snapshot.jobs[at].bound.push(super::BoundView {
        task: u32::MAX,
        machine: Some(machine),
        zone,
        stopping: true,
        loss_s: 0.0,
    });
}

/// A bound task: the job's place in the snapshot and the binding's in the job.
type Victim = (usize, usize);

/// The machine where one task finds room at the least loss, with the tasks
/// (job, slot) to stop there: none if tasks already being stopped suffice.
fn cheapest(snapshot: &Snapshot<'_>, at: usize, cached: bool) -> Option<(usize, Vec<Victim>, f64)> {
    let job = &snapshot.jobs[at];
    let need = Resources::of_task(&job.spec);
    let zones = Zones::of(job, |z| snapshot.settings.zone_index(z));
    let mut best: Option<(f64, usize, Vec<Victim>)> = None;
    for (m, machine) in snapshot.machines.iter().enumerate() {
        if !machine.ready
            || !zones.allow(machine.zone)
            || !allows(&job.spec, &snapshot.types[machine.kind], machine.spot)
            || job.avoid.contains(&machine.id)
            || (cached && !machine.images.contains(&job.spec.image))
        {
            continue;
        }
        let mut room = machine.free;
        room.add(&machine.stopping);
        let mut candidates: Vec<(f64, usize, usize)> = Vec::new();
        for (j, other) in snapshot.jobs.iter().enumerate() {
            // Only arrays: stopping a replica or a gang costs its whole job,
            // and work that is dearer to stop waits for a rented machine.
            if other.spec.priority >= job.spec.priority || other.spec.shape != Shape::Array {
                continue;
            }
            for (slot, bound) in other.bound.iter().enumerate() {
                if bound.machine == Some(m) && !bound.stopping && bound.task != u32::MAX {
                    candidates.push((bound.loss_s, j, slot));
                }
            }
        }
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut victims = Vec::new();
        let mut loss = 0.0;
        for (lost, j, slot) in candidates {
            if room.holds(&need) {
                break;
            }
            room.add(&Resources::of_task(&snapshot.jobs[j].spec));
            loss += lost;
            victims.push((j, slot));
        }
        if room.holds(&need) && best.as_ref().is_none_or(|(l, _, _)| loss < *l) {
            best = Some((loss, m, victims));
        }
    }
    best.map(|(loss, machine, victims)| (machine, victims, loss))
}
