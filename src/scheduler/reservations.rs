//! Machines that are reclaimed for one job: what must leave them is stopped with time to
//! save, and nothing else is placed there.

use std::collections::HashMap;

use super::{
    decisions::{Decisions, Stopping},
    resources::Resources,
    snapshot::Snapshot,
    view::JobView,
};
use crate::protocol::{JobId, Shape};

/// Stops the work that reserved machines are to be cleared of.
pub fn clear_reserved(snapshot: &mut Snapshot<'_>, decisions: &mut Decisions) {
    if snapshot.machines.iter().all(|machine| machine.reservation.is_none()) {
        return;
    }
    let places: HashMap<JobId, usize> =
        snapshot.jobs.iter().enumerate().map(|(at, job)| (job.id.clone(), at)).collect();
    let residents = snapshot.residents();
    for (machine, slots) in residents.iter().enumerate() {
        let reservation = snapshot.machines[machine].reservation.as_ref();
        let claimant = reservation.and_then(|held| places.get(&held.job)).copied();
        let Some(claimant) = claimant else { continue };
        // It is kept for the job, though it may be idle until that is placed.
        decisions.awaited.push(snapshot.machines[machine].id.clone());
        for &(job, slot) in slots.iter().filter(|(job, _)| *job != claimant) {
            stop(snapshot, machine, (job, slot), decisions);
        }
    }
}

fn stop(
    snapshot: &mut Snapshot<'_>,
    machine: usize,
    (job, slot): (usize, usize),
    decisions: &mut Decisions,
) {
    if !may_be_stopped(&snapshot.jobs[job]) || snapshot.jobs[job].bound[slot].stopping {
        return;
    }
    let need = Resources::of_task(&snapshot.jobs[job].spec);
    let id = snapshot.jobs[job].id.clone();
    let bound = &mut snapshot.jobs[job].bound[slot];
    bound.stopping = true;
    let stopping = Stopping { job: id, task: bound.task, at_once: false };
    decisions.stop.push(stopping);
    snapshot.machines[machine].stopping.add(&need);
}

/// Work beyond its team's guarantee that saves. What came inside meanwhile stays.
fn may_be_stopped(job: &JobView) -> bool {
    !job.guaranteed && job.spec.shape != Shape::Service && job.spec.checkpoint_s > 0.0
}
