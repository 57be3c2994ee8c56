//! Room that is made on a machine by stopping tasks there: what preemption, consolidation
//! and reservations share.

use super::{
    decisions::TaskStop,
    eligibility::{MachineEligibility, ZoneConstraint},
    resources::Resources,
    snapshot::{Snapshot, TaskSlot},
    view::{BoundView, JobView, MachineView},
};

/// The machines, with their places, that take tasks now and that one more task of a job
/// may go to once there is room; only those of one zone, if one is given.
pub(super) fn machines_for<'a>(
    snapshot: &'a Snapshot<'_>,
    job: &'a JobView,
    zone: Option<u8>,
) -> impl Iterator<Item = (usize, &'a MachineView)> {
    let zones = ZoneConstraint::of(snapshot, job);
    let eligibility = MachineEligibility::of(snapshot, job);
    snapshot.count_evaluated(snapshot.machines.len());
    snapshot.machines.iter().enumerate().filter(move |(_, machine)| {
        machine.ready
            && zones.allows(machine.zone)
            && zone.is_none_or(|zone| zone == machine.zone)
            && eligibility.accepts(machine)
            && machine.open_to(&job.id)
            && !job.avoided_machines.contains(&machine.id)
    })
}

/// The free room of a machine once all tasks that are being stopped there are gone.
pub(super) fn room_after_stops(machine: &MachineView) -> Resources {
    let mut room = machine.free;
    room.add(&machine.stopping);
    room
}

/// Marks a task on a machine as being stopped, with time to save.
pub(super) fn stop(snapshot: &mut Snapshot<'_>, slot: TaskSlot, machine: usize) -> TaskStop {
    let job = &mut snapshot.jobs[slot.job];
    let bound = &mut job.bound[slot.binding];
    bound.stopping = true;
    snapshot.machines[machine].stopping.add(&Resources::of_task(&job.spec));
    TaskStop { job: job.id.clone(), task: bound.task, without_grace: false }
}

/// Keeps room on a machine for one more task of a job, until what is being stopped there
/// is gone: given to other work, it would have to be made again and again.
pub(super) fn keep_vacated_place(snapshot: &mut Snapshot<'_>, job: usize, machine: usize) {
    let view = &mut snapshot.machines[machine];
    view.free.sub(&Resources::of_task(&snapshot.jobs[job].spec));
    view.allocated_in_pass = true;
    let place = BoundView::tentative(machine, view.zone, true);
    snapshot.jobs[job].bound.push(place);
}
