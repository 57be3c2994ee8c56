//! Machines that are reclaimed for one job: what must leave them is stopped with time to
//! save, and nothing else is placed there.

use std::collections::HashMap;

use super::{
    decisions::Decisions,
    snapshot::{Snapshot, TaskSlot},
    vacancy::stop,
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
    let bound_by_machine = snapshot.bound_by_machine();
    for (machine, slots) in bound_by_machine.iter().enumerate() {
        let reservation = snapshot.machines[machine].reservation.as_ref();
        let claimant = reservation.and_then(|held| places.get(&held.job)).copied();
        let Some(claimant) = claimant else { continue };
        // It is kept for the job, though it may be idle until that is placed.
        decisions.machines_to_keep.push(snapshot.machines[machine].id.clone());
        for &slot in slots.iter().filter(|slot| slot.job != claimant) {
            if may_stop(snapshot, slot) {
                let stopping = stop(snapshot, slot, machine);
                decisions.stop.push(stopping);
            }
        }
    }
}

fn may_stop(snapshot: &Snapshot<'_>, slot: TaskSlot) -> bool {
    let job = &snapshot.jobs[slot.job];
    may_be_stopped(job) && !job.bound[slot.binding].stopping
}

/// Work beyond its team's guarantee that saves. What came inside meanwhile stays.
fn may_be_stopped(job: &JobView) -> bool {
    !job.guaranteed && job.spec.shape != Shape::Service && job.spec.checkpoint_s > 0.0
}
