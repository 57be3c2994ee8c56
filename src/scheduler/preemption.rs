//! Room for work of higher priority: which running tasks are stopped for it.

use super::{
    decisions::{Decisions, Stopping},
    eligibility::{Allowed, Zones},
    resources::Resources,
    snapshot::{Slot, Snapshot},
    view::BoundView,
};
use crate::protocol::Shape;

/// Makes room for `count` tasks of a job by stopping work of lower priority,
/// the least lost work first, and holds that room for them. Returns for how
/// many tasks it did; for a gang that is all or none.
pub fn make_room(
    snapshot: &mut Snapshot<'_>,
    residents: &[Vec<Slot>],
    at: usize,
    count: usize,
    decisions: &mut Decisions,
) -> usize {
    let shape = snapshot.jobs[at].spec.shape;
    // Arrays wait for machines: stopping one task for another gains nothing.
    if shape == Shape::Array || count == 0 {
        return 0;
    }
    if shape == Shape::Service {
        let made = make_each(snapshot, residents, at, count, None, decisions);
        return made.len();
    }
    // Half a gang's room is no use to anybody. The machine where one task
    // loses the least may lie in a zone that has no room for the next.
    let job = &snapshot.jobs[at];
    let zones: Vec<Option<u8>> = if job.spec.one_zone && job.bound.is_empty() {
        (0..snapshot.settings.cluster.zones.len() as u8).map(Some).collect()
    } else {
        vec![None]
    };
    let mut best: Option<(f64, Option<u8>)> = None;
    for zone in zones {
        let mut tried = Decisions::default();
        let made = make_each(snapshot, residents, at, count, zone, &mut tried);
        let loss: f64 = made.iter().map(|m| m.loss_s).sum();
        if made.len() == count && best.is_none_or(|(least, _)| loss < least) {
            best = Some((loss, zone));
        }
        take_back(snapshot, at, made);
    }
    let Some((_, zone)) = best else { return 0 };
    make_each(snapshot, residents, at, count, zone, decisions).len()
}

/// Room made for one task.
struct Made {
    machine: usize,
    victims: Vec<Slot>,
    loss_s: f64,
}

fn make_each(
    snapshot: &mut Snapshot<'_>,
    residents: &[Vec<Slot>],
    at: usize,
    count: usize,
    zone: Option<u8>,
    decisions: &mut Decisions,
) -> Vec<Made> {
    let mut made = Vec::new();
    while made.len() < count
        && let Some(room) = cheapest(snapshot, residents, at, false, zone)
    {
        stop_for(snapshot, at, &room, decisions);
        made.push(room);
    }
    made
}

/// Undoes in the snapshot what `make_each` did there.
fn take_back(snapshot: &mut Snapshot<'_>, at: usize, made: Vec<Made>) {
    let need = Resources::of_task(&snapshot.jobs[at].spec);
    for room in made {
        let machine = &mut snapshot.machines[room.machine];
        machine.free.add(&need);
        for (job, slot) in room.victims {
            machine.stopping.sub(&Resources::of_task(&snapshot.jobs[job].spec));
            snapshot.jobs[job].bound[slot].stopping = false;
        }
        snapshot.jobs[at].bound.pop();
    }
}

/// Makes room on a machine that holds the job's image already, if the fetch
/// elsewhere would take longer than the work lost by it.
pub fn make_cached_room(
    snapshot: &mut Snapshot<'_>,
    residents: &[Vec<Slot>],
    at: usize,
    fetch_s: f64,
    decisions: &mut Decisions,
) -> bool {
    match cheapest(snapshot, residents, at, true, None) {
        Some(room) if room.loss_s < fetch_s => {
            stop_for(snapshot, at, &room, decisions);
            true
        }
        _ => false,
    }
}

fn stop_for(snapshot: &mut Snapshot<'_>, at: usize, room: &Made, decisions: &mut Decisions) {
    let machine = room.machine;
    let need = Resources::of_task(&snapshot.jobs[at].spec);
    // Saving takes time that a tight aim on waiting may not have.
    let patience_s = snapshot.jobs[at].patience_s;
    for &(job, slot) in &room.victims {
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
    snapshot.machines[machine].awaited = true;
    let zone = snapshot.machines[machine].zone;
    snapshot.jobs[at].bound.push(BoundView::held(machine, zone, true));
}

/// The machine where one task finds room at the least loss, with the tasks
/// (job, slot) to stop there: none if tasks already being stopped suffice.
fn cheapest(
    snapshot: &Snapshot<'_>,
    residents: &[Vec<Slot>],
    at: usize,
    cached: bool,
    zone: Option<u8>,
) -> Option<Made> {
    let job = &snapshot.jobs[at];
    let need = Resources::of_task(&job.spec);
    let zones = Zones::of(job, |z| snapshot.settings.zone_index(z));
    let allowed = Allowed::of(snapshot, job);
    snapshot.weigh(snapshot.machines.len());
    let mut best: Option<(f64, usize, Vec<Slot>)> = None;
    for (m, machine) in snapshot.machines.iter().enumerate() {
        if !machine.ready
            || !zones.allow(machine.zone)
            || zone.is_some_and(|z| z != machine.zone)
            || !allowed.takes(machine)
            || !machine.open_to(&job.id)
            || job.avoid.contains(&machine.id)
            || (cached && !machine.images.contains(&job.spec.image))
        {
            continue;
        }
        let mut room = machine.free;
        room.add(&machine.stopping);
        let mut candidates: Vec<(f64, usize, usize)> = Vec::new();
        for &(j, slot) in residents.get(m).into_iter().flatten() {
            let other = &snapshot.jobs[j];
            let bound = &other.bound[slot];
            // Only arrays: stopping a replica or a gang costs its whole job,
            // and work that is dearer to stop waits for a rented machine.
            if other.priority < job.priority && other.spec.shape == Shape::Array && !bound.stopping
            {
                candidates.push((bound.loss_s, j, slot));
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
    best.map(|(loss_s, machine, victims)| Made { machine, victims, loss_s })
}
